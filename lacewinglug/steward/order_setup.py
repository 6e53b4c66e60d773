"""Builds the order manager of a steward from its settings."""

import random
from collections.abc import Callable, Mapping

import aiohttp

from lacewinglug.authority.state import ControlState
from lacewinglug.authority.tenures import Claimant, HostView
from lacewinglug.backing.log import LogClient
from lacewinglug.backing.weights import HttpWeightStoreClient
from lacewinglug.clock import Clock
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.settings import Settings
from lacewinglug.steward.backoff import Backoff
from lacewinglug.steward.engine_change import ChangeDriver, OrderTimings
from lacewinglug.steward.orders import OrderManager
from lacewinglug.steward.role_source import DeclaredRoles, RoleSource
from lacewinglug.steward.tenures import TenureManager
from lacewinglug.upstream.messages import LoadReport
from lacewinglug.upstream.orders import HttpEngineClient

_CLAIM_BACKOFF_BASE_S = 1.0
_ORDER_BACKOFF_BASE_S = 1.0
_BACKOFF_CAP_S = 60.0


def make_order_manager(
    *,
    settings: Settings,
    incarnation: str,
    state: ControlState,
    log: LogClient,
    known_hosts: Callable[[], HostView],
    reports: Callable[[], Mapping[str, LoadReport]],
    clock: Clock,
    metrics: Metrics,
    order_session: aiohttp.ClientSession,
    rng: random.Random,
    role_source: RoleSource | None = None,
) -> OrderManager:
    """Build the order manager of a steward.

    :param settings: settings of the host.
    :param incarnation: identifies this run of the process.
    :param state: the replayed state.
    :param log: client of the log.
    :param known_hosts: returns the live and listed hosts.
    :param reports: returns the last load report of each runner that still reports.
    :param clock: source of time.
    :param metrics: counters.
    :param order_session: session made by ``make_order_session``.
    :param rng: source of jitter.
    :param role_source: returns the desired roles, by default the declared ones.
    """
    timings = OrderTimings(
        drain_deadline_s=settings.steward.drain_deadline_s,
        settle_s=settings.steward.order_settle_s,
    )
    ids = IdFactory(host=f"{settings.host.name}-orders", incarnation=incarnation)
    tenure_manager = TenureManager(
        claimant=Claimant(
            host=settings.host.name,
            incarnation=incarnation,
            machine=settings.host.machine_name,
        ),
        state=state,
        log=log,
        ids=ids,
        known_hosts=known_hosts,
        clock=clock,
        backoff=Backoff(base_s=_CLAIM_BACKOFF_BASE_S, cap_s=_BACKOFF_CAP_S, rng=rng),
        metrics=metrics,
        claim_after_s=clock.now_s() + settings.steward.claim_delay_s,
    )
    driver = ChangeDriver(
        tenure_manager=tenure_manager,
        client=HttpEngineClient(session=order_session),
        weights=HttpWeightStoreClient(
            session=order_session, base_url=settings.platform.weight_store_url
        ),
        ids=ids,
        clock=clock,
        backoff=Backoff(base_s=_ORDER_BACKOFF_BASE_S, cap_s=_BACKOFF_CAP_S, rng=rng),
        metrics=metrics,
        timings=timings,
    )
    return OrderManager(
        state=state,
        tenure_manager=tenure_manager,
        driver=driver,
        clock=clock,
        metrics=metrics,
        role_source=role_source or DeclaredRoles(),
        reports=reports,
        timings=timings,
    )
