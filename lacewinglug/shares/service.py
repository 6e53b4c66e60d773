"""Applies the shares of organisations to the prompts of one host."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from typing import Protocol

from lacewinglug.shares.ledger import ShareDecision, ShareLedger


class EngineSpeed(Protocol):
    """Speed of an engine."""

    @property
    def factor(self) -> float:
        """Time of its work relative to its service."""


def estimate_capacity(slowdowns: Iterable[EngineSpeed]) -> float:
    """Return the capacity of engines, in s of prefill per s at the usual speed."""
    return sum(1.0 / max(0.1, item.factor) for item in slowdowns)


@dataclass(kw_only=True)
class OrganisationShares:
    """Shares of the organisations at one host, by model service."""

    _ledgers: dict[str, ShareLedger] = field(default_factory=dict)

    def decide(
        self,
        service: str,
        organisation: str,
        *,
        work_s: float,
        capacity: Callable[[], float],
        host_count: int,
        now_s: float,
    ) -> ShareDecision:
        """Count a prompt and decide whether it is within its organisation's share.

        :param work_s: its prefill time.
        :param capacity: returns the capacity of the engines; called once a second.
        """
        ledger = self._ledgers.get(service)
        if ledger is None:
            ledger = self._ledgers[service] = ShareLedger(service=service)
        if ledger.is_due(now_s):
            ledger.update(capacity=capacity(), host_count=host_count, now_s=now_s)
        return ledger.decide(organisation, work_s=work_s, now_s=now_s)

    def record_wait(
        self, service: str, *, expected_s: float, left_s: float, now_s: float
    ) -> None:
        """Record the expected time to the first token of a prompt."""
        ledger = self._ledgers.get(service)
        if ledger is not None:
            ledger.record_wait(expected_s=expected_s, left_s=left_s, now_s=now_s)


def describe_share(decision: ShareDecision | None) -> dict[str, object]:
    """Return the fields of a prompt whose share bound it, for the log."""
    if decision is None or decision.within:
        return {}
    return {
        "share_excess": True,
        "share_ms_per_s": round(decision.rate * 1000),
        "share_demand_ms_per_s": round(decision.demand * 1000),
        "share_hosts": decision.hosts,
        "share_oldest_ms": round(decision.oldest_s * 1000),
    }
