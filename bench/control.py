"""Time and traffic of the control path, on virtual time and by counts."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from bench.figures import Figure, Target
from harness.fabric import SimulatedNetwork, SimulatedSteward, make_hosts, make_network
from lacewinglug.authority.records import (
    ConfigPublished,
    DrainChanged,
    SnapshotTaken,
    encode_record,
)
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.hosts import HostList, HostState
from lacewinglug.clock import SystemClock
from lacewinglug.config.changes import diff_fleets, digest_fleet
from lacewinglug.config.objects import Fleet, Organisation, Runner
from lacewinglug.metrics import Metrics
from lacewinglug.steward.hosts import HOST_LIST_READ_INTERVAL_S, HostListReader

IN_FORCE_TARGET = Target(limit=4.0, direction="at_most")
DRAIN_TARGET = Target(limit=3.0, direction="at_most")
TRAFFIC_TARGET = Target(limit=3000.0, direction="at_most")
APPEND_TARGET = Target(limit=200.0, direction="at_most")
SIZES = (8, 64, 370)
IN_FORCE_SIZES = (8, 64)
CHANGES_PER_DAY = 1400
RESTARTS_PER_DAY = 85
ORGANISATIONS = 3700
RUNNERS = 1300
SNAPSHOT_INTERVAL_S = 7200.0
_DAY_S = 86400.0
_WARM_UP_S = 15.0
_RESTART_S = 40.0
_BASE64_GROWTH = 4 / 3
_STEP_S = 0.05
_PATIENCE_S = 60.0
_RUNNER = "assistant-1"


def run() -> list[Figure]:
    """Measure the control path at several sizes."""
    figures: list[Figure] = []
    for count in IN_FORCE_SIZES:
        figures.extend(_measure_in_force(count))
        figures.extend(_measure_drain(count))
    for count in SIZES:
        figures.extend(_measure_traffic(count))
    return figures


def publish_organisation(state: ControlState, name: str) -> bytes:
    """Return a publication that adds one organisation to a state."""
    known = state.fleet.organisations
    wanted = Fleet(
        hosts=state.fleet.hosts, organisations={**known, name: Organisation()}
    )
    record = ConfigPublished(
        record_id=f"publish-{state.next_offset}",
        as_of=state.next_offset,
        publisher="operator",
        base_revision=state.revision,
        change=diff_fleets(state.fleet, wanted),
        digest=digest_fleet(wanted),
    )
    return encode_record(record)


def _wait_all(
    fabric: SimulatedNetwork, is_done: Callable[[SimulatedSteward], bool]
) -> float:
    """Return how long it takes until every node is done, in seconds."""
    start_s = fabric.now_s
    while fabric.now_s - start_s < _PATIENCE_S:
        if all(is_done(node) for node in fabric.nodes.values()):
            break
        fabric.run(_STEP_S)
    return fabric.now_s - start_s


def _slow_tails(fabric: SimulatedNetwork, *, share: float, delay_s: float) -> None:
    """Slow the log tails of a share of the nodes; the others keep half a second."""
    nodes = list(fabric.nodes.values())
    slowed = min(len(nodes) - 1, round(share * len(nodes)))
    for index, node in enumerate(nodes):
        node.tail_delay_s = delay_s if index < slowed else 0.5


def _measure_in_force(count: int) -> list[Figure]:
    """Measure the time from accepted to in force on every node."""
    figures = []
    for name, share in (("tails_fine", 0.0), ("half_slowed", 0.5), ("one_fine", 1.0)):
        fabric = make_network(count)
        fabric.run(_WARM_UP_S)
        _slow_tails(fabric, share=share, delay_s=30.0)
        state = next(iter(fabric.nodes.values())).state
        fabric.append(publish_organisation(state, "org-new"))
        figures.append(
            Figure(
                scenario="control",
                name="in_force_s",
                subject=f"{name}_{count}",
                value=_wait_all(fabric, lambda node: node.state.revision == 2),
                target=IN_FORCE_TARGET,
            )
        )
    return figures


def _measure_drain(count: int) -> list[Figure]:
    """Measure the time until no node gives new work, by each source."""
    return [
        Figure(
            scenario="control",
            name="last_new_work_s",
            subject=f"{source}_{count}",
            value=value,
            target=DRAIN_TARGET,
        )
        for source, value in (
            ("operator", _time_operator_drain(count)),
            ("host_list", _time_host_list(count)),
            ("runner_report", _time_runner_report(count)),
        )
    ]


def _time_operator_drain(count: int) -> float:
    """Return the time of a drain record with half of the tails slowed."""
    fabric = make_network(count)
    fabric.run(_WARM_UP_S)
    _slow_tails(fabric, share=0.5, delay_s=30.0)
    record = DrainChanged(
        record_id="drain-1", as_of=1, target=_RUNNER, draining=True, operator="operator"
    )
    fabric.append(encode_record(record))
    return _wait_all(fabric, lambda node: _RUNNER in node.state.draining)


def _time_runner_report(count: int) -> float:
    """Return the time after one steward saw the report of a leaving runner."""
    fabric = make_network(count)
    fabric.run(_WARM_UP_S)
    _report_leaving(fabric, next(iter(fabric.nodes)))
    return _wait_all(fabric, _knows_leaving)


def _report_leaving(fabric: SimulatedNetwork, host: str) -> None:
    node = fabric.nodes[host]
    urgent = node.update_own_status(leaving=(_RUNNER,))
    fabric.execute_actions(
        host, node.peer_protocol.gossip_changes(now_s=fabric.now_s, urgent=urgent)
    )


def _knows_leaving(node: SimulatedSteward) -> bool:
    return _RUNNER in node.peer_protocol.table.leaving_upstreams()


@dataclass(kw_only=True)
class _FakeHostList:
    """A host list in memory that counts its reads."""

    hosts: dict[str, HostState] = field(default_factory=dict)
    reads: int = 0

    async def fetch(self) -> HostList:
        """Return the list."""
        self.reads += 1
        return HostList(hosts=dict(self.hosts))


def _time_host_list(count: int) -> float:
    """Return the time after the platform lists a runner as leaving.

    The list is read just before it changes, so a whole interval passes first.
    """
    fabric = make_network(count)
    fabric.run(_WARM_UP_S)
    client = _FakeHostList()
    watchers = [
        HostListReader(
            host=host,
            client=client,
            live_hosts=node.peer_protocol.table.live_hosts,
            clock=SystemClock(),
            metrics=Metrics(),
        )
        for host, node in fabric.nodes.items()
    ]
    start_s = fabric.now_s
    _read_lists(fabric, watchers)
    client.hosts[_RUNNER] = "leaving"
    fabric.run(HOST_LIST_READ_INTERVAL_S)
    _read_lists(fabric, watchers)
    _wait_all(fabric, _knows_leaving)
    return fabric.now_s - start_s


def _read_lists(fabric: SimulatedNetwork, watchers: list[HostListReader]) -> None:
    for watcher in watchers:
        asyncio.run(watcher.read_once())
        if watcher.leaving_upstreams:
            _report_leaving(fabric, watcher.host)


def _measure_traffic(count: int) -> list[Figure]:
    """Measure bytes of peers and log, with the changes and restarts of a day."""
    fabric = make_network(count)
    fabric.run(_WARM_UP_S)
    idle_s = 10.0
    idle_bytes = _count_bytes(fabric, idle_s)
    change_s = _DAY_S / CHANGES_PER_DAY
    record = publish_organisation(next(iter(fabric.nodes.values())).state, "org-new")
    fabric.append(record)
    change_bytes = _count_bytes(fabric, change_s) - idle_bytes * change_s / idle_s
    restart_bytes = _restart(fabric) - idle_bytes * _RESTART_S / idle_s
    log_bytes_per_s = _log_bytes_per_s(len(record))
    per_s = {
        "heartbeats": idle_bytes / idle_s,
        "changes": change_bytes / change_s,
        "restarts": restart_bytes * RESTARTS_PER_DAY / _DAY_S,
    }
    sent = sum(per_s.values()) / count
    figures = [
        _traffic_figure("sent_bytes_per_s", count, sent, TRAFFIC_TARGET),
        _traffic_figure(
            "both_ways_bytes_per_s",
            count,
            2 * sent + log_bytes_per_s,
            TRAFFIC_TARGET,
        ),
        _traffic_figure("appends_per_s", count, _appends_per_s(count), APPEND_TARGET),
    ]
    figures.extend(
        _traffic_figure(f"sent_{name}_bytes_per_s", count, value / count)
        for name, value in per_s.items()
    )
    return figures


def _traffic_figure(
    name: str, count: int, value: float, target: Target | None = None
) -> Figure:
    return Figure(
        scenario="control",
        name=name,
        subject=f"nodes_{count}",
        value=value,
        target=target,
    )


def _count_bytes(fabric: SimulatedNetwork, duration_s: float) -> float:
    """Return the bytes that all nodes send in a time."""
    before = fabric.sent_bytes.total()
    fabric.run(duration_s)
    return float(fabric.sent_bytes.total() - before)


def _restart(fabric: SimulatedNetwork) -> float:
    """Restart one node; return the bytes sent until all is quiet again."""
    host = next(iter(fabric.nodes))
    state = fabric.nodes[host].state
    del fabric.nodes[host]
    before = fabric.sent_bytes.total()
    fabric.run(_RESTART_S / 2)
    fabric.add_node(host, state, phase_s=0.0)
    fabric.run(_RESTART_S / 2)
    return float(fabric.sent_bytes.total() - before)


def _log_bytes_per_s(record_bytes: int) -> float:
    """Return what one node reads from the log at the aimed size."""
    fleet = Fleet(
        hosts=make_hosts(SIZES[-1]),
        organisations={
            f"org-{index}": Organisation() for index in range(ORGANISATIONS)
        },
        runners={
            f"runner-{index}": Runner(
                service="assistant",
                availability_zone="mtl-a",
                url=f"http://10.1.{index // 250}.{index % 250}:8000",
            )
            for index in range(RUNNERS)
        },
    )
    state = ControlState(next_offset=1, revision=1, fleet=fleet)
    snapshot = SnapshotTaken(record_id="snapshot-1", as_of=1, state=state)
    return (
        record_bytes * _BASE64_GROWTH * CHANGES_PER_DAY / _DAY_S
        + len(encode_record(snapshot)) * _BASE64_GROWTH / SNAPSHOT_INTERVAL_S
    )


def _appends_per_s(count: int) -> float:
    """Return the records that the control path appends a second.

    Each restart of a host is counted as a claim of every domain that it could
    hold, and each failure of a host as one claim too.
    """
    changes = CHANGES_PER_DAY / _DAY_S
    claims = RESTARTS_PER_DAY * RUNNERS / count / _DAY_S
    return changes + claims + 1.0 / SNAPSHOT_INTERVAL_S
