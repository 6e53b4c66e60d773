"""Status report of a host for operators: its view of the fleet and its resources."""

import msgspec

from lacewinglug.host.context import HostState
from lacewinglug.host.hosts import PeerStatus
from lacewinglug.host.model import RunnerEntry

STATUS_TARGET = b"/status"
"""Path of the status report on the metrics address."""


class RunnerStatus(msgspec.Struct, frozen=True, kw_only=True):
    """Status of a runner from the point of view of this host.

    :param runner: id of the runner's incarnation.
    :param service: name of its service.
    :param zone: its availability zone.
    :param stage: stage of prompt processing that it handles.
    :param draining: whether it is shutting down and gets no new requests.
    :param leaving_source: where this host learned that: ``registry`` or ``response``;
        empty if it is not draining.
    :param leaving_age_s: time since then, in seconds.
    :param in_use: estimated requests at the runner, from all hosts.
    :param failure_share: estimated fraction of requests that fail.
    :param blocked_for_s: remaining time without new requests after a failure, in
        seconds.
    :param push_back_s: time left of the pause that the runner asked for, in seconds.
    :param connections: open connections from this host.
    :param idle_connections: open connections that have no request in progress.
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
    leaving_source: str = ""
    leaving_age_s: float = 0.0
    push_back_s: float = 0.0


class RetryBudgetStatus(msgspec.Struct, frozen=True, kw_only=True):
    """This host's share of the retry budget of a service.

    :param service: name of the service.
    :param left: retries that are allowed now.
    """

    service: str
    left: float


class HostReport(msgspec.Struct, frozen=True, kw_only=True):
    """Status report of a host.

    :param host: name of the host.
    :param ready: whether clients may be directed to it.
    :param leaving: whether it is shutting down.
    :param requests: requests in progress.
    :param configuration_version: current configuration version, -1 before the first.
    :param view_age_s: age of the view of runners, in seconds; None before the first
        read.
    :param view_source: source of the view: ``store``, ``hosts`` or ``none``.
    :param fencing_number: fencing number of its tenure, None if it holds none.
    :param peers: status of the other hosts.
    :param runners: status of the runners.
    :param budgets: retry budgets.
    :param quarantined_parts: keys of the prompt parts whose requests are refused.
    """

    host: str
    ready: bool
    leaving: bool
    requests: int
    configuration_version: int
    view_age_s: float | None
    view_source: str
    fencing_number: int | None
    peers: list[PeerStatus]
    runners: list[RunnerStatus]
    budgets: list[RetryBudgetStatus]
    quarantined_parts: list[str] = []


def list_runners(state: HostState, *, now_s: float) -> list[RunnerStatus]:
    """Return the status of all runners, sorted by service and id."""
    entries = sorted(
        state.fleet.entries, key=lambda entry: (entry.service, entry.instance)
    )
    return [_runner_status(state, entry, now_s) for entry in entries]


def list_retry_budgets(state: HostState, *, now_s: float) -> list[RetryBudgetStatus]:
    """Return the retry budgets of services that had a request, sorted by name."""
    hosts = state.count_hosts()
    return [
        RetryBudgetStatus(
            service=service, left=budget.remaining(now_s=now_s, host_count=hosts)
        )
        for service, budget in sorted(state.retry_budgets.items())
    ]


def _runner_status(state: HostState, entry: RunnerEntry, now_s: float) -> RunnerStatus:
    health = state.upstreams.health(entry.instance)
    connections = state.upstreams.count_connections(entry.instance)
    notice = state.fleet.leaving_notice(entry)
    return RunnerStatus(
        runner=entry.instance,
        service=entry.service,
        zone=entry.zone,
        stage=entry.stage.value,
        draining=entry.draining,
        in_use=health.estimated_requests(now_s),
        failure_share=health.failure_share(now_s),
        blocked_for_s=max(0.0, health.blocked_until_s - now_s),
        connections=connections.open,
        idle_connections=connections.idle,
        leaving_source="" if notice is None else notice.source.value,
        push_back_s=state.notices.push_back_left_s(entry, now_s=now_s),
        leaving_age_s=0.0 if notice is None else now_s - notice.seen_at_s,
    )
