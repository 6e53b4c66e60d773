"""Records of the burn stream: counts of good and bad answers by minute."""

import msgspec

BURN_STREAM = "burn"
FOLD_STREAM = "burn-folds"
WINDOW_S = 60
WINDOWS_PER_FOLD = 60
FOLD_S = WINDOW_S * WINDOWS_PER_FOLD
MAX_BAD_TALLIES = 20
OTHER = "other"


class BadTally(msgspec.Struct, frozen=True, kw_only=True):
    """Bad answers of one origin.

    :param host: entry host that answered.
    :param runner: runner that worked on the request, empty for none.
    :param kind: name of the kind of request.
    :param reason: ``late`` or the outcome of the failure.
    :param count: number of answers.
    """

    host: str
    runner: str
    kind: str
    reason: str
    count: int


class ObjectiveTally(msgspec.Struct, frozen=True, kw_only=True):
    """Answers that count for one objective.

    :param objective: name of the objective.
    :param total: number of answers.
    :param good: number of answers that were good.
    :param bad: the others by origin, largest first.
    """

    objective: str
    total: int
    good: int
    bad: tuple[BadTally, ...] = ()


class WindowKey(msgspec.Struct, frozen=True, kw_only=True):
    """Identity of a window; copies of a record have the same.

    :param host: entry host.
    :param incarnation: run of the entry process.
    :param index: start of the window in minutes since the Unix epoch.
    """

    host: str
    incarnation: str
    index: int


class BurnWindow(msgspec.Struct, frozen=True, kw_only=True, tag="window"):
    """The answers of one entry in one minute.

    :param key: identity of the window.
    :param tallies: answers by objective.
    """

    key: WindowKey
    tallies: tuple[ObjectiveTally, ...]


class FoldedMinute(msgspec.Struct, frozen=True, kw_only=True):
    """The answers of all folded entries in one minute.

    :param index: start in minutes since the Unix epoch.
    :param tallies: answers by objective.
    """

    index: int
    tallies: tuple[ObjectiveTally, ...]


class BurnFold(msgspec.Struct, frozen=True, kw_only=True, tag="fold"):
    """All windows of one hour, in place of their single records.

    :param hour: start in hours since the Unix epoch.
    :param through_offset: the fold holds the windows before this offset.
    :param keys: identities of the windows that it holds.
    :param minutes: answers by minute.
    """

    hour: int
    through_offset: int
    keys: tuple[WindowKey, ...]
    minutes: tuple[FoldedMinute, ...]


BurnRecord = BurnWindow | BurnFold

_decoder = msgspec.msgpack.Decoder(BurnRecord)


def encode_burn_record(record: BurnRecord) -> bytes:
    """Return the bytes of a record."""
    return msgspec.msgpack.encode(record)


def decode_burn_record(data: bytes) -> BurnRecord | None:
    """Return a record, or None when the bytes are not one."""
    try:
        return _decoder.decode(data)
    except (msgspec.DecodeError, msgspec.ValidationError):
        return None


def merge_bad(tallies: list[BadTally], *, limit: int) -> tuple[BadTally, ...]:
    """Return bad answers by origin, the smallest origins put together."""
    counts: dict[tuple[str, str, str, str], int] = {}
    for item in tallies:
        origin = (item.host, item.runner, item.kind, item.reason)
        counts[origin] = counts.get(origin, 0) + item.count
    ordered = sorted(counts.items(), key=lambda pair: (-pair[1], pair[0]))
    kept = [_make_bad(origin, count) for origin, count in ordered[:limit]]
    rest = sum(count for _, count in ordered[limit:])
    if rest:
        kept.append(_make_bad((OTHER, OTHER, OTHER, OTHER), rest))
    return tuple(kept)


def _make_bad(origin: tuple[str, str, str, str], count: int) -> BadTally:
    host, runner, kind, reason = origin
    return BadTally(host=host, runner=runner, kind=kind, reason=reason, count=count)
