"""Claims and releases the tenures of order domains through the log."""

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
"""Operator named in a withdrawal that follows the platform's host list."""

SHORT_TENURE_S = 60.0
"""A tenure lost within this time makes the next claim wait longer, in seconds."""

logger = logging.getLogger(__name__)


@dataclass(kw_only=True, slots=True)
class DomainTenure:
    """What this steward does about one order domain.

    :param domain: the order domain.
    :param runners: names of its runners.
    :param ranked: hosts that may hold it, first one first.
    :param chart_state: state in the chart ``tenure``.
    :param claim: claim that the replay has not settled, None for none.
    :param attempts: appends since the last verdict.
    :param losses: tenures lost in a row, each soon after it was won.
    :param held_since_s: monotonic time since which it is held, in seconds.
    :param retry_at_s: monotonic time of the next append, in seconds.
    """

    domain: OrderDomain
    runners: list[str]
    ranked: list[str]
    chart_state: str = "absent"
    claim: TenureClaimed | None = None
    attempts: int = 0
    losses: int = 0
    held_since_s: float = 0.0
    retry_at_s: float = 0.0


@dataclass(kw_only=True)
class TenureKeeper:
    """Owns the claims of one steward.

    :param claimant: this process.
    :param state: the replayed state.
    :param log: client of the log.
    :param ids: maker of record ids.
    :param known_hosts: returns what is known of the hosts.
    :param clock: source of time.
    :param backoff: delay between appends about one domain.
    :param metrics: counters.
    :param claim_after_s: monotonic time before which nothing is claimed, so that
        the other hosts' heartbeats have come, in seconds.
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
        """Settle what the replay shows, and append claims that are due."""
        self._refresh_domains()
        for item in self.domains.values():
            self._settle(item)
        now_s = self.clock.now_s()
        if self.state.halted or now_s < self.claim_after_s:
            return
        known = self.known_hosts()
        appends = [
            append
            for item in self.domains.values()
            if now_s >= item.retry_at_s
            and (append := self._find_due(item, known)) is not None
        ]
        await asyncio.gather(*appends)

    def held(self) -> dict[str, int]:
        """Return the offset of each tenure under which orders may be given."""
        if self.state.halted:
            return {}
        return {
            name: self.state.tenures[name].offset
            for name, item in self.domains.items()
            if item.chart_state == "held" and self.is_holder(name)
        }

    def holds(self, domain: str, tenure: int) -> bool:
        """Return whether orders may be given under a tenure."""
        item = self.domains.get(domain)
        return (
            item is not None
            and item.chart_state == "held"
            and not self.state.halted
            and self.is_holder(domain)
            and self.state.tenures[domain].offset == tenure
        )

    def is_holder(self, domain: str) -> bool:
        """Return whether the replay names this process as the holder."""
        return self.claimant.holds(self.state.tenures.get(domain))

    async def confirm(self, domain: str, tenure: int) -> bool:
        """Return whether the log, read to its end now, still names this tenure."""
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
        """Supersede the own tenure to get a higher fencing number."""
        item = self.domains.get(domain)
        if item is None or not self.is_holder(domain):
            return
        if self.clock.now_s() >= item.retry_at_s:
            await self._claim(item, self.state.tenures[domain].offset)

    async def release(self, domain: str) -> None:
        """Append the end of the own tenure; no order may be in progress."""
        item = self.domains[domain]
        if not self.is_holder(domain):
            return
        if item.chart_state == "held":
            load_chart("tenure").apply(item, "release")
        await self._append(
            item,
            TenureReleased(
                record_id=self.ids.make(),
                as_of=self.state.next_offset,
                domain=domain,
                tenure=self.state.tenures[domain].offset,
            ),
        )

    def _refresh_domains(self) -> None:
        """Follow the order domains of the configuration in force."""
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
            item = self.domains.setdefault(
                domain.name, DomainTenure(domain=domain, runners=[], ranked=[])
            )
            item.domain, item.runners, item.ranked = domain, runners, ranked

    def _settle(self, item: DomainTenure) -> None:
        """Follow the replay's verdict on a domain."""
        chart = load_chart("tenure")
        current = self.state.tenures.get(item.domain.name)
        offset = NO_TENURE if current is None else current.offset
        if item.claim is not None and self._is_settled(item.claim, offset):
            item.claim = None
        if self.claimant.holds(current):
            if item.chart_state in ("absent", "claiming"):
                chart.apply(item, "win")
                item.attempts = 0
                item.held_since_s = self.clock.now_s()
                self.metrics.count("tenures.won")
                logger.info(
                    "tenure held", extra={"domain": item.domain.name, "tenure": offset}
                )
        elif item.chart_state in ("held", "releasing"):
            self._note_loss(item)
        elif item.chart_state == "claiming" and item.claim is None:
            chart.apply(item, "lose")

    def _is_settled(self, claim: TenureClaimed, offset: int) -> bool:
        """Return whether no further copy of a claim can take effect."""
        return (
            claim.supersedes != offset
            or claim.record_id in self.state.seen
            or is_outside_dedup_window(claim, self.state.next_offset)
        )

    def _note_loss(self, item: DomainTenure) -> None:
        """Leave a domain, and wait before claiming it from a new holder."""
        was_released = item.chart_state == "releasing"
        load_chart("tenure").apply(item, "lose")
        now_s = self.clock.now_s()
        is_short = now_s - item.held_since_s < SHORT_TENURE_S
        item.losses = item.losses + 1 if is_short and not was_released else 1
        item.retry_at_s = now_s + self.backoff.delay_s(item.losses)
        if was_released:
            self.metrics.count("tenures.released")
        else:
            self.metrics.count("tenures.lost")
        logger.info("tenure ended", extra={"domain": item.domain.name})

    def _find_due(
        self, item: DomainTenure, known: HostView
    ) -> Coroutine[Any, Any, None] | None:
        """Return the append that is due about a domain, None for none."""
        if item.claim is not None:
            return self._append(item, item.claim)
        decision = decide_tenure(
            self.state,
            item.domain,
            claimant=self.claimant,
            ranked=item.ranked,
            hosts=known,
        )
        match decision:
            case ClaimTenure(supersedes=supersedes):
                return self._claim(item, supersedes)
            case WithdrawHolder(host=host):
                record = HostWithdrawn(
                    record_id=self.ids.make(),
                    as_of=self.state.next_offset,
                    target=host,
                    operator=HOST_LIST_OPERATOR,
                )
                return self._append(item, record)
            case KeepTenure():
                return None

    async def _claim(self, item: DomainTenure, supersedes: int) -> None:
        """Append a claim; the replay settles it, whatever the reply."""
        item.claim = TenureClaimed(
            record_id=self.ids.make(),
            as_of=self.state.next_offset,
            domain=item.domain.name,
            host=self.claimant.host,
            incarnation=self.claimant.incarnation,
            supersedes=supersedes,
            machine=self.claimant.machine,
            exclusive=item.domain.exclusive,
        )
        if item.chart_state == "absent":
            load_chart("tenure").apply(item, "claim")
        await self._append(item, item.claim)

    async def _append(self, item: DomainTenure, record: AnyRecord) -> None:
        """Append a record and wait for the replay before the next one."""
        item.attempts += 1
        item.retry_at_s = self.clock.now_s() + self.backoff.delay_s(item.attempts)
        self.metrics.count("tenures.appends")
        try:
            await self.log.append(CONTROL_STREAM, encode_record(record))
        except PlatformError:
            self.metrics.count("tenures.append_failures")
