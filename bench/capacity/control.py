"""Slopes of the control path, measured in this process."""

import time
import tracemalloc
from collections.abc import Callable

from bench.capacity.fleets import make_fleet
from bench.capacity.slopes import Slope, fit_slope
from lacewinglug.authority.records import ConfigPublished, encode_record
from lacewinglug.authority.replay import ControlState, replay_record
from lacewinglug.backing.log import StoredRecord
from lacewinglug.config.changes import diff_fleets, digest_fleet
from lacewinglug.config.objects import Fleet, Organisation
from lacewinglug.control import RunnerStatus, StatusView, encode_message
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.windows import (
    BurnWindow,
    ObjectiveTally,
    WindowKey,
    decode_burn_record,
    encode_burn_record,
)
from lacewinglug.upstream.messages import LoadReport

ORGANISATION_SIZES = (500, 1500, 3700)
RUNNER_SIZES = (130, 520, 1300)
HOST_SIZES = (50, 150, 370)
OBJECTIVE_SIZES = (2, 10, 30)
WINDOW_SIZES = (500, 1000, 2000)
WINDOW_OBJECTIVES = 30
_CHANGES = 20
_BYTES_PER_MB = 1024.0 * 1024.0


def measure() -> list[Slope]:
    """Return every slope of the control path."""
    return [
        _fit("replay.cpu_s", "organisation", ORGANISATION_SIZES, _replay_cpu_s),
        _fit("fleet.memory_mb", "organisation", ORGANISATION_SIZES, _organisations_mb),
        _fit("fleet.memory_mb", "runner", RUNNER_SIZES, _runners_mb),
        _fit("fleet.memory_mb", "host", HOST_SIZES, _hosts_mb),
        _fit("publication.bytes", "organisation", ORGANISATION_SIZES, _whole_bytes),
        _fit("status.bytes", "runner", RUNNER_SIZES, _status_bytes),
        _fit("burn.bytes", "objective", OBJECTIVE_SIZES, _burn_bytes),
        _fit("burn.memory_mb", "window held", WINDOW_SIZES, _windows_mb),
    ]


def _fit(
    name: str, per: str, sizes: tuple[int, ...], cost: Callable[[int], float]
) -> Slope:
    return fit_slope(name, per=per, sizes=sizes, values=[cost(size) for size in sizes])


def _publication(base: Fleet, wanted: Fleet, *, revision: int) -> StoredRecord:
    record = ConfigPublished(
        record_id=f"operator.{revision}",
        as_of=revision,
        publisher="operator",
        base_revision=revision,
        change=diff_fleets(base, wanted),
        digest=digest_fleet(wanted),
    )
    return StoredRecord(offset=revision, data=encode_record(record))


def _replay_cpu_s(organisations: int) -> float:
    """Return the processor time to replay a change of one organisation."""
    fleet = make_fleet(organisations=organisations)
    records = [_publication(Fleet(), fleet, revision=0)]
    for number in range(1, _CHANGES + 1):
        changed = dict(fleet.organisations)
        changed["organisation-0"] = Organisation(weight=1.0 + number)
        wanted = _replace_organisations(fleet, changed)
        records.append(_publication(fleet, wanted, revision=number))
        fleet = wanted
    state = ControlState()
    replay_record(state, records[0])
    started_s = time.process_time()
    for record in records[1:]:
        replay_record(state, record)
    return (time.process_time() - started_s) / _CHANGES


def _replace_organisations(
    fleet: Fleet, organisations: dict[str, Organisation]
) -> Fleet:
    return Fleet(
        **{
            name: getattr(fleet, name)
            for name in Fleet.__dataclass_fields__
            if name != "organisations"
        },
        organisations=organisations,
    )


def _state_mb(fleet: Fleet) -> float:
    """Return the memory of a state that was replayed from the log."""
    record = _publication(Fleet(), fleet, revision=0)
    tracemalloc.start()
    state = ControlState()
    replay_record(state, record)
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert state.revision == 1
    return current / _BYTES_PER_MB


def _organisations_mb(count: int) -> float:
    return _state_mb(make_fleet(organisations=count))


def _runners_mb(count: int) -> float:
    return _state_mb(make_fleet(runners=count))


def _hosts_mb(count: int) -> float:
    return _state_mb(make_fleet(hosts=count))


def _whole_bytes(organisations: int) -> float:
    fleet = make_fleet(organisations=organisations)
    return float(len(_publication(Fleet(), fleet, revision=0).data))


def _status_bytes(runners: int) -> float:
    """Return the size of the steward's message to its entry."""
    statuses = [
        RunnerStatus(runner=f"runner-{index}", report=LoadReport(), age_s=0.5)
        for index in range(runners)
    ]
    return float(len(encode_message(StatusView(runners=statuses, hosts=[]))))


def _burn_bytes(objectives: int) -> float:
    """Return the size of one entry's record of a minute."""
    return float(len(_burn_record(objectives, index=29_000_000)))


def _windows_mb(windows: int) -> float:
    """Return the memory of records of a minute that are held to be folded."""
    records = [_burn_record(WINDOW_OBJECTIVES, index=index) for index in range(windows)]
    tracemalloc.start()
    ledger = BurnLedger()
    for record in records:
        ledger.apply(decode_burn_record(record))
    current, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(ledger.window_keys()) == windows
    return current / _BYTES_PER_MB


def _burn_record(objectives: int, *, index: int) -> bytes:
    tallies = tuple(
        ObjectiveTally(objective=f"objective-service-{index}", total=400, good=399)
        for index in range(objectives)
    )
    key = WindowKey(host="host-100", incarnation="0123456789ab", index=index)
    return encode_burn_record(BurnWindow(key=key, tallies=tallies))
