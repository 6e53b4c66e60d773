"""What a host tells operators of its view of the fleet and of its resources."""

import msgspec

from lacewinglug.host.context import HostState
from lacewinglug.host.hosts import PeerSight
from lacewinglug.host.model import RunnerEntry

STATUS_TARGET = b"/status"
"""Path of the report on the address that serves metrics."""


class RunnerSight(msgspec.Struct, frozen=True, kw_only=True):
    """A runner as this host sees it.

    :param runner: id of the runner's incarnation.
    :param service: name of its service.
    :param zone: its availability zone.
    :param stage: part of prompts that it takes.
    :param draining: whether it is about to leave.
    :param in_use: requests believed to be at the runner, of all hosts.
    :param failure_share: believed share of requests that fail.
    :param blocked_for_s: time for which it gets no work after a failure, in s.
    :param connections: open connections of this host to it.
    :param idle_connections: those of them that wait for a request.
    """

    runner: str
    service: str
    zone: str
    stage: str
    draining: bool
    in_use: float
    failure_share: float
    blocked_for_s: float
    connections: int
    idle_connections: int


class BudgetSight(msgspec.Struct, frozen=True, kw_only=True):
    """This host's part of a service's budget of repeats.

    :param service: name of the service.
    :param left: repeats that are allowed now.
    """

    service: str
    left: float


class HostReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a host believes and holds.

    :param host: name of the host.
    :param ready: whether clients may be sent to it.
    :param leaving: whether it was asked to stop.
    :param requests: requests in progress.
    :param configuration_version: version in force, -1 before the first.
    :param view_age_s: age of the view of runners, in s; None before the first read.
    :param view_source: where it comes from: ``store``, ``hosts`` or ``none``.
    :param fencing_number: number of its tenure over the engines, None without one.
    :param peers: other hosts.
    :param runners: runners.
    :param budgets: budgets of repeats.
    """

    host: str
    ready: bool
    leaving: bool
    requests: int
    configuration_version: int
    view_age_s: float | None
    view_source: str
    fencing_number: int | None
    peers: list[PeerSight]
    runners: list[RunnerSight]
    budgets: list[BudgetSight]


def list_runners(state: HostState, *, now_s: float) -> list[RunnerSight]:
    """Return the runners by service and id."""
    entries = sorted(
        state.fleet.entries, key=lambda entry: (entry.service, entry.instance)
    )
    return [_describe_runner(state, entry, now_s) for entry in entries]


def list_budgets(state: HostState, *, now_s: float) -> list[BudgetSight]:
    """Return the budgets of the services that had a request, by name."""
    hosts = state.count_hosts()
    return [
        BudgetSight(service=service, left=budget.left(now_s=now_s, hosts=hosts))
        for service, budget in sorted(state.retry_budgets.items())
    ]


def _describe_runner(state: HostState, entry: RunnerEntry, now_s: float) -> RunnerSight:
    health = state.upstreams.health(entry.instance)
    connections = state.upstreams.count_connections(entry.instance)
    return RunnerSight(
        runner=entry.instance,
        service=entry.service,
        zone=entry.zone,
        stage=entry.stage.value,
        draining=entry.draining,
        in_use=health.in_use(now_s),
        failure_share=health.failure_share(now_s),
        blocked_for_s=max(0.0, health.blocked_until_s - now_s),
        connections=connections.open,
        idle_connections=connections.idle,
    )
