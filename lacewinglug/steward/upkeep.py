"""Appends snapshots to the control stream before its records expire."""

import logging
from collections.abc import Callable, Collection
from dataclasses import dataclass

from lacewinglug.authority.records import SnapshotTaken, TenureClaimed, encode_record
from lacewinglug.authority.state import NO_TENURE, ControlState
from lacewinglug.backing.log import CONTROL_STREAM, LogClient
from lacewinglug.clock import Clock
from lacewinglug.errors import LogUnavailableError
from lacewinglug.ids import IdFactory
from lacewinglug.membership.neighbours import rank_hosts
from lacewinglug.metrics import Metrics

UPKEEP_DOMAIN = "upkeep"
MAX_RECORDS_SINCE_SNAPSHOT = 2048
STEP_INTERVAL_S = 2.0
APPEND_INTERVAL_S = 10.0

logger = logging.getLogger(__name__)


@dataclass(kw_only=True)
class SnapshotWriter:
    """Appends snapshots while this process holds the upkeep tenure.

    Concurrent holders are harmless: a snapshot only repeats the state that the
    records before it produce.

    :param host: name of this host.
    :param incarnation: identifies this run of the process.
    :param machine: machine that this host runs on.
    :param state: the replayed state.
    :param log: client of the log.
    :param live_hosts: returns the live hosts.
    :param max_interval_s: maximum time between snapshots, in seconds.
    :param clock: source of time.
    :param metrics: counters.
    :param ids: generates record ids.
    """

    host: str
    incarnation: str
    machine: str
    state: ControlState
    log: LogClient
    live_hosts: Callable[[], Collection[str]]
    max_interval_s: float
    clock: Clock
    metrics: Metrics
    ids: IdFactory
    _last_snapshot_offset: int = -1
    _last_snapshot_seen_s: float = float("-inf")
    _next_append_s: float = float("-inf")

    async def run(self) -> None:
        """Claim the tenure and append snapshots until cancelled."""
        while True:
            await self.step()
            await self.clock.sleep(STEP_INTERVAL_S)

    async def step(self) -> None:
        """Append a claim or a snapshot if due."""
        if self.state.halted or self.state.next_offset == 0:
            return
        if self.clock.now_s() < self._next_append_s:
            return
        tenure = self.state.tenures.get(UPKEEP_DOMAIN)
        if self.holds_tenure():
            if self._is_snapshot_due():
                await self._append_snapshot()
        elif self._may_claim():
            await self._append(
                TenureClaimed(
                    record_id=self.ids.make(),
                    as_of=self.state.next_offset,
                    domain=UPKEEP_DOMAIN,
                    host=self.host,
                    incarnation=self.incarnation,
                    supersedes=NO_TENURE if tenure is None else tenure.offset,
                    machine=self.machine,
                )
            )

    def holds_tenure(self) -> bool:
        """Return whether this process holds the upkeep tenure."""
        tenure = self.state.tenures.get(UPKEEP_DOMAIN)
        if tenure is None:
            return False
        return (tenure.host, tenure.incarnation) == (self.host, self.incarnation)

    def _may_claim(self) -> bool:
        """Return whether the holder is not live and this host is next to claim."""
        tenure = self.state.tenures.get(UPKEEP_DOMAIN)
        live = set(self.live_hosts()) - self.state.withdrawn - self.state.draining
        if tenure is not None and tenure.host == self.host:
            return True
        if tenure is not None and tenure.host in live:
            return False
        return rank_hosts(UPKEEP_DOMAIN, live)[:1] == [self.host]

    def _is_snapshot_due(self) -> bool:
        """Return whether enough records or time have passed since the last snapshot."""
        now_s = self.clock.now_s()
        if self.state.snapshot_offset != self._last_snapshot_offset:
            self._last_snapshot_offset = self.state.snapshot_offset
            self._last_snapshot_seen_s = now_s
        if (
            self.state.next_offset - self.state.snapshot_offset
            > MAX_RECORDS_SINCE_SNAPSHOT
        ):
            return True
        return now_s - self._last_snapshot_seen_s >= self.max_interval_s

    async def _append_snapshot(self) -> None:
        snapshot = SnapshotTaken(
            record_id=self.ids.make(), as_of=self.state.next_offset, state=self.state
        )
        if await self._append(snapshot):
            self.metrics.count("upkeep.snapshots")

    async def _append(self, record: SnapshotTaken | TenureClaimed) -> bool:
        """Append a record; the replay shows its outcome."""
        self._next_append_s = self.clock.now_s() + APPEND_INTERVAL_S
        try:
            await self.log.append(CONTROL_STREAM, encode_record(record))
        except LogUnavailableError:
            self.metrics.count("upkeep.append_failures")
            return False
        return True
