"""Decides which process claims the tenure of an order domain."""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from lacewinglug.authority.domains import OrderDomain
from lacewinglug.authority.state import NO_TENURE, ControlState, Tenure
from lacewinglug.config.objects import Fleet


@dataclass(frozen=True, kw_only=True, slots=True)
class Claimant:
    """A process that may hold tenures.

    :param host: name of its host.
    :param incarnation: run of the process.
    :param machine: machine that carries the host's name.
    """

    host: str
    incarnation: str
    machine: str = ""

    def holds(self, tenure: Tenure | None) -> bool:
        """Return whether a tenure names this run of the process."""
        return tenure is not None and (tenure.host, tenure.incarnation) == (
            self.host,
            self.incarnation,
        )

    def succeeds(self, tenure: Tenure) -> bool:
        """Return whether a tenure names an earlier run on this host and machine.

        That run has ended, since this one holds the host's control port.
        """
        return (tenure.host, tenure.machine) == (self.host, self.machine)


@dataclass(frozen=True, kw_only=True, slots=True)
class HostKnowledge:
    """What a process knows of the hosts.

    :param live: hosts that are neither suspect, leaving nor gone.
    :param listed: hosts on the platform's list, None when it was not read.
    """

    live: frozenset[str]
    listed: frozenset[str] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimTenure:
    """Claim the domain.

    :param supersedes: offset of the tenure that the claim ends.
    """

    supersedes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawHolder:
    """Withdraw the holder's host, which left the platform's list.

    :param host: name of the host.
    """

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class LeaveTenure:
    """Do nothing about the domain."""


TenureDecision = ClaimTenure | WithdrawHolder | LeaveTenure


def rank_hosts(fleet: Fleet, region: str, domain: str) -> list[str]:
    """Return the hosts of a region in the order in which they hold a domain.

    :param fleet: the configuration.
    :param region: region of the domain's runners.
    :param domain: name of the domain.
    """
    names = [
        name
        for name, item in fleet.hosts.items()
        if fleet.region_of(item.availability_zone) == region
    ]
    return sorted(names, key=lambda name: _rendezvous_weight(domain, name))


def _rendezvous_weight(domain: str, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{domain}/{host}".encode())


def decide_tenure(
    state: ControlState,
    domain: OrderDomain,
    *,
    claimant: Claimant,
    ranked: Collection[str],
    known: HostKnowledge,
) -> TenureDecision:
    """Return what a process does about the tenure of a domain.

    :param state: the replayed state.
    :param domain: the order domain.
    :param claimant: the process.
    :param ranked: hosts that may hold the domain, first one first.
    :param known: what the process knows of the hosts.
    """
    current = state.tenures.get(domain.name)
    if claimant.holds(current) or claimant.host in state.withdrawn:
        return LeaveTenure()
    if current is not None and claimant.succeeds(current):
        return ClaimTenure(supersedes=current.offset)
    if current is not None and current.host in known.live:
        return LeaveTenure()
    if claimant.host != _first_live(ranked, state, known):
        return LeaveTenure()
    if current is None:
        return ClaimTenure(supersedes=NO_TENURE)
    if not current.exclusive:
        return ClaimTenure(supersedes=current.offset)
    if _left_list(current.host, claimant.host, known):
        return WithdrawHolder(host=current.host)
    return LeaveTenure()


def _first_live(
    ranked: Collection[str], state: ControlState, known: HostKnowledge
) -> str | None:
    """Return the first host that is live and in service."""
    for name in ranked:
        in_service = name not in state.withdrawn and name not in state.draining
        if name in known.live and in_service:
            return name
    return None


def _left_list(host: str, own_host: str, known: HostKnowledge) -> bool:
    """Return whether a host left the platform's list.

    A list that lacks the reader's own host is not believed.
    """
    return (
        known.listed is not None
        and own_host in known.listed
        and host not in known.listed
    )
