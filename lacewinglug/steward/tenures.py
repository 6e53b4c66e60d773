"""Claims and releases tenures of order domains through the log."""

import asyncio
import logging
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from typing import Any

from lacewinglug.authority.domains import OrderDomain, group_by_domain
from lacewinglug.authority.records import (
    AnyRecord,
    HostWithdrawn,
    TenureClaimed,
    TenureReleased,
    encode_record,
)
from lacewinglug.authority.replay import is_outside_dedup_window
from lacewinglug.authority.state import NO_TENURE, ControlState
from lacewinglug.authority.tenures import (
    Claimant,
    ClaimTenure,
    HostView,
    KeepTenure,
    WithdrawHolder,
    decide_tenure,
    rank_domain_hosts,
)
from lacewinglug.backing.log import CONTROL_STREAM, LogClient
from lacewinglug.charts import load_chart
from lacewinglug.clock import Clock
from lacewinglug.errors import PlatformError
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.steward.backoff import Backoff

HOST_LIST_OPERATOR = "host-list"
"""Operator name recorded when a host is withdrawn because the platform's host list
no longer contains it."""

SHORT_TENURE_S = 60.0
"""Losing a tenure within this time increases the delay of the next claim, in
seconds."""

logger = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class DomainTenure:
    """Tenure of an order domain, as tracked by this steward.

    :param domain: the order domain.
    :param runners: names of its runners.
    :param ranked_hosts: hosts that may hold it, in order of preference.
    :param chart_state: state in the chart ``tenure``.
    :param claim: claim whose outcome the replay does not show yet, None if none.
    :param attempts: appends since a claim last succeeded.
    :param consecutive_losses: consecutive tenures lost soon after they were won; set
        to 1 by any other loss.
    :param held_since_s: monotonic time since which it is held, in seconds.
    :param retry_at_s: monotonic time of the earliest next append, in seconds.
    """

    domain: OrderDomain
    runners: list[str]
    ranked_hosts: list[str]
    chart_state: str = "absent"
    claim: TenureClaimed | None = None
    attempts: int = 0
    consecutive_losses: int = 0
    held_since_s: float = 0.0
    retry_at_s: float = 0.0


@dataclass(kw_only=True)
class TenureManager:
    """Manages the tenures of a steward.

    :param claimant: this process.
    :param state: the replayed state.
    :param log: client of the log.
    :param ids: generates record ids.
    :param known_hosts: returns the live and listed hosts.
    :param clock: source of time.
    :param backoff: delay between appends for the same domain.
    :param metrics: counters.
    :param claim_after_s: monotonic time of the earliest claim, in seconds; leaves time
        to receive heartbeats of the other hosts.
    """

    claimant: Claimant
    state: ControlState
    log: LogClient
    ids: IdFactory
    known_hosts: Callable[[], HostView]
    clock: Clock
    backoff: Backoff
    metrics: Metrics
    claim_after_s: float = 0.0
    domains: dict[str, DomainTenure] = field(default_factory=dict)
    _revision: int = -1

    async def step(self) -> None:
        """Update tenures from the replayed state, and append records that are due."""
        self._refresh_domains()
        for domain_tenure in self.domains.values():
            self._update_domain(domain_tenure)
        now_s = self.clock.now_s()
        if self.state.halted or now_s < self.claim_after_s:
            return
        known_hosts = self.known_hosts()
        appends = [
            append
            for domain_tenure in self.domains.values()
            if now_s >= domain_tenure.retry_at_s
            and (append := self._next_append(domain_tenure, known_hosts)) is not None
        ]
        await asyncio.gather(*appends)

    def held_tenures(self) -> dict[str, int]:
        """Return the offset, by domain, of tenures that allow sending orders."""
        if self.state.halted:
            return {}
        return {
            name: self.state.tenures[name].offset
            for name, domain_tenure in self.domains.items()
            if domain_tenure.chart_state == "held" and self.is_holder(name)
        }

    def holds(self, domain: str, tenure: int) -> bool:
        """Return whether a tenure is held and allows sending orders."""
        domain_tenure = self.domains.get(domain)
        return (
            domain_tenure is not None
            and domain_tenure.chart_state == "held"
            and not self.state.halted
            and self.is_holder(domain)
            and self.state.tenures[domain].offset == tenure
        )

    def is_holder(self, domain: str) -> bool:
        """Return whether the replayed state shows this process as the holder."""
        return self.claimant.holds(self.state.tenures.get(domain))

    async def confirm(self, domain: str, tenure: int) -> bool:
        """Return whether the log has no unread records and the tenure is still held."""
        try:
            reply = await self.log.read(
                CONTROL_STREAM, self.state.next_offset, wait_s=0.0
            )
        except PlatformError:
            return False
        if 0 <= reply.end_offset < self.state.next_offset:
            return False
        return not reply.records and self.holds(domain, tenure)

    async def renew(self, domain: str) -> None:
        """Supersede the held tenure to obtain a higher fencing number."""
        domain_tenure = self.domains.get(domain)
        if domain_tenure is None or not self.is_holder(domain):
            return
        if self.clock.now_s() >= domain_tenure.retry_at_s:
            await self._claim(domain_tenure, self.state.tenures[domain].offset)

    async def release(self, domain: str) -> None:
        """Append a release of the held tenure; no order may be in progress."""
        domain_tenure = self.domains[domain]
        if not self.is_holder(domain):
            return
        if domain_tenure.chart_state == "held":
            load_chart("tenure").apply(domain_tenure, "release")
        await self._append(
            domain_tenure,
            TenureReleased(
                record_id=self.ids.make(),
                as_of=self.state.next_offset,
                domain=domain,
                tenure=self.state.tenures[domain].offset,
            ),
        )

    def _refresh_domains(self) -> None:
        """Update the order domains if the configuration changed."""
        if self._revision == self.state.revision:
            return
        self._revision = self.state.revision
        fleet = self.state.fleet
        domains = group_by_domain(fleet)
        names = {domain.name for domain in domains}
        for name in set(self.domains) - names:
            del self.domains[name]
        for domain, runners in domains.items():
            region = fleet.region_of(fleet.runners[runners[0]].availability_zone)
            ranked = rank_domain_hosts(fleet, region, domain.name)
            domain_tenure = self.domains.setdefault(
                domain.name, DomainTenure(domain=domain, runners=[], ranked_hosts=[])
            )
            domain_tenure.domain, domain_tenure.runners, domain_tenure.ranked_hosts = (
                domain,
                runners,
                ranked,
            )

    def _update_domain(self, domain_tenure: DomainTenure) -> None:
        """Update a domain from the replayed state."""
        chart = load_chart("tenure")
        current = self.state.tenures.get(domain_tenure.domain.name)
        offset = NO_TENURE if current is None else current.offset
        if domain_tenure.claim is not None and self._is_claim_resolved(
            domain_tenure.claim, offset
        ):
            domain_tenure.claim = None
        if self.claimant.holds(current):
            if domain_tenure.chart_state in ("absent", "claiming"):
                chart.apply(domain_tenure, "win")
                domain_tenure.attempts = 0
                domain_tenure.held_since_s = self.clock.now_s()
                self.metrics.count("tenures.won")
                logger.info(
                    "tenure held",
                    extra={"domain": domain_tenure.domain.name, "tenure": offset},
                )
        elif domain_tenure.chart_state in ("held", "releasing"):
            self._handle_loss(domain_tenure)
        elif domain_tenure.chart_state == "claiming" and domain_tenure.claim is None:
            chart.apply(domain_tenure, "lose")

    def _is_claim_resolved(self, claim: TenureClaimed, offset: int) -> bool:
        """Return whether a claim, or a late copy of it, can no longer take effect."""
        return (
            claim.supersedes != offset
            or claim.record_id in self.state.seen
            or is_outside_dedup_window(claim, self.state.next_offset)
        )

    def _handle_loss(self, domain_tenure: DomainTenure) -> None:
        """Record the end of a tenure, and delay the next claim of its domain."""
        was_released = domain_tenure.chart_state == "releasing"
        load_chart("tenure").apply(domain_tenure, "lose")
        now_s = self.clock.now_s()
        is_short = now_s - domain_tenure.held_since_s < SHORT_TENURE_S
        domain_tenure.consecutive_losses = (
            domain_tenure.consecutive_losses + 1 if is_short and not was_released else 1
        )
        domain_tenure.retry_at_s = now_s + self.backoff.delay_s(
            domain_tenure.consecutive_losses
        )
        if was_released:
            self.metrics.count("tenures.released")
        else:
            self.metrics.count("tenures.lost")
        logger.info("tenure ended", extra={"domain": domain_tenure.domain.name})

    def _next_append(
        self, domain_tenure: DomainTenure, known_hosts: HostView
    ) -> Coroutine[Any, Any, None] | None:
        """Return the append that is due for a domain, None if none."""
        if domain_tenure.claim is not None:
            return self._append(domain_tenure, domain_tenure.claim)
        decision = decide_tenure(
            self.state,
            domain_tenure.domain,
            claimant=self.claimant,
            ranked=domain_tenure.ranked_hosts,
            hosts=known_hosts,
        )
        match decision:
            case ClaimTenure(supersedes=supersedes):
                return self._claim(domain_tenure, supersedes)
            case WithdrawHolder(host=host):
                record = HostWithdrawn(
                    record_id=self.ids.make(),
                    as_of=self.state.next_offset,
                    target=host,
                    operator=HOST_LIST_OPERATOR,
                )
                return self._append(domain_tenure, record)
            case KeepTenure():
                return None

    async def _claim(self, domain_tenure: DomainTenure, supersedes: int) -> None:
        """Append a claim; the replay decides its outcome, whatever the reply."""
        domain_tenure.claim = TenureClaimed(
            record_id=self.ids.make(),
            as_of=self.state.next_offset,
            domain=domain_tenure.domain.name,
            host=self.claimant.host,
            incarnation=self.claimant.incarnation,
            supersedes=supersedes,
            machine=self.claimant.machine,
            exclusive=domain_tenure.domain.exclusive,
        )
        if domain_tenure.chart_state == "absent":
            load_chart("tenure").apply(domain_tenure, "claim")
        await self._append(domain_tenure, domain_tenure.claim)

    async def _append(self, domain_tenure: DomainTenure, record: AnyRecord) -> None:
        """Append a record, and delay the next one so that the replay can show it."""
        domain_tenure.attempts += 1
        domain_tenure.retry_at_s = self.clock.now_s() + self.backoff.delay_s(
            domain_tenure.attempts
        )
        self.metrics.count("tenures.appends")
        try:
            await self.log.append(CONTROL_STREAM, encode_record(record))
        except PlatformError:
            self.metrics.count("tenures.append_failures")
