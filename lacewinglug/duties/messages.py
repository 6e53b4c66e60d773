"""Datagrams between hosts about the duties: the holder, clocks and counts."""

from collections.abc import Sequence
from dataclasses import dataclass

import msgspec

from lacewinglug.decoding import decode_msgpack
from lacewinglug.usage.counts import WindowPart

DUTY_MARK = b"\xc1"
"""First byte of these datagrams. No MessagePack message begins with it, so they are
told from the other ones, and these stay as they are without duties."""
_US_PER_S = 1_000_000


@dataclass(frozen=True, kw_only=True, slots=True)
class HolderNews:
    """What the holder of the duties announces.

    :param fencing_number: fencing number of its tenure.
    :param time_s: agreed time of day when it was sent, in seconds since 1970.
    :param next_window: first undecided window of the usage report, None if not known.
    :param unanswered_age_s: time since its last call without an answer, in seconds;
        None if no such call may be executed any more.
    """

    fencing_number: int
    time_s: float
    next_window: int | None
    unanswered_age_s: float | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class DutyMessage:
    """Message of a host about the duties.

    :param sender: name of the host.
    :param incarnation: start time of its process.
    :param wall_s: what its clock showed when it was sent, in seconds since 1970.
    :param until_s: agreed time of day up to which its counts are complete.
    :param parts: its counts by window.
    :param holder: set if the sender holds the duties.
    """

    sender: str
    incarnation: int
    wall_s: float
    until_s: float = 0.0
    parts: Sequence[WindowPart] = ()
    holder: HolderNews | None = None


class _Part(msgspec.Struct, array_like=True):
    window: int
    size: int
    counts: dict[str, int]


class _Holder(msgspec.Struct, array_like=True):
    fencing_number: int
    time_us: int
    next_window: int | None
    unanswered_age_s: float | None


class _Message(msgspec.Struct, array_like=True):
    sender: str
    incarnation: int
    wall_us: int
    until_us: int
    parts: list[_Part]
    holder: _Holder | None


def encode_duty_message(message: DutyMessage) -> bytes:
    """Encode a message as a datagram."""
    holder = message.holder
    raw = _Message(
        sender=message.sender,
        incarnation=message.incarnation,
        wall_us=round(message.wall_s * _US_PER_S),
        until_us=int(message.until_s * _US_PER_S),
        parts=[
            _Part(window=part.window, size=part.size, counts=dict(part.counts))
            for part in message.parts
        ],
        holder=None
        if holder is None
        else _Holder(
            fencing_number=holder.fencing_number,
            time_us=round(holder.time_s * _US_PER_S),
            next_window=holder.next_window,
            unanswered_age_s=holder.unanswered_age_s,
        ),
    )
    return DUTY_MARK + msgspec.msgpack.encode(raw)


def decode_duty_message(data: bytes) -> DutyMessage:
    """Decode a datagram.

    :raises MalformedDataError: it is malformed.
    """
    raw = decode_msgpack(data[len(DUTY_MARK) :], kind=_Message)
    holder = raw.holder
    return DutyMessage(
        sender=raw.sender,
        incarnation=raw.incarnation,
        wall_s=raw.wall_us / _US_PER_S,
        until_s=raw.until_us / _US_PER_S,
        parts=[
            WindowPart(window=part.window, size=part.size, counts=part.counts)
            for part in raw.parts
        ],
        holder=None
        if holder is None
        else HolderNews(
            fencing_number=holder.fencing_number,
            time_s=holder.time_us / _US_PER_S,
            next_window=holder.next_window,
            unanswered_age_s=holder.unanswered_age_s,
        ),
    )
