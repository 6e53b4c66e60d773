"""Decides whether a process claims the tenure of an order domain."""

from collections.abc import Collection
from dataclasses import dataclass

import xxhash

from lacewinglug.authority.domains import OrderDomain
from lacewinglug.authority.state import NO_TENURE, ControlState, Tenure
from lacewinglug.config.objects import Fleet


@dataclass(frozen=True, kw_only=True, slots=True)
class Claimant:
    """A process that may claim tenures.

    :param host: name of its host.
    :param incarnation: incarnation of the process.
    :param machine: machine that has the host's name.
    """

    host: str
    incarnation: str
    machine: str = ""

    def holds(self, tenure: Tenure | None) -> bool:
        """Return whether this incarnation of the process holds a tenure."""
        return tenure is not None and (tenure.host, tenure.incarnation) == (
            self.host,
            self.incarnation,
        )

    def is_restart_of(self, tenure: Tenure) -> bool:
        """Return whether a tenure belongs to the same host and machine.

        An earlier incarnation there has ended, because this process has bound
        the host's control port.
        """
        return (tenure.host, tenure.machine) == (self.host, self.machine)


@dataclass(frozen=True, kw_only=True, slots=True)
class HostView:
    """The hosts, as seen by one process.

    :param live: hosts that are neither suspect, leaving nor withdrawn.
    :param listed: hosts on the platform's host list, None if it was not read.
    """

    live: frozenset[str]
    listed: frozenset[str] | None = None


@dataclass(frozen=True, kw_only=True, slots=True)
class ClaimTenure:
    """Claim the tenure of the domain.

    :param supersedes: offset of the tenure that the claim replaces, -1 for none.
    """

    supersedes: int


@dataclass(frozen=True, kw_only=True, slots=True)
class WithdrawHolder:
    """Withdraw the holder's host, which is missing from the platform's host list.

    :param host: name of the host.
    """

    host: str


@dataclass(frozen=True, kw_only=True, slots=True)
class KeepTenure:
    """Leave the tenure of the domain as it is."""


TenureDecision = ClaimTenure | WithdrawHolder | KeepTenure


def rank_domain_hosts(fleet: Fleet, region: str, domain: str) -> list[str]:
    """Return the hosts of a region, sorted by preference as holder of a domain.

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
    hosts: HostView,
) -> TenureDecision:
    """Decide what a process does about the tenure of a domain.

    A process on a withdrawn host does nothing. Any other reclaims the tenure of
    an earlier incarnation on its host and machine. Apart from that, only the most
    preferred eligible host acts, and only while no holder is live. It can't claim
    an exclusive tenure from another host: it withdraws the holder instead, once
    that is missing from the platform's host list.

    :param state: the replayed state.
    :param domain: the order domain.
    :param claimant: the process.
    :param ranked: hosts that may hold the tenure, most preferred first.
    :param hosts: the hosts, as seen by the process.
    """
    current = state.tenures.get(domain.name)
    if claimant.holds(current) or claimant.host in state.withdrawn:
        return KeepTenure()
    if current is not None and claimant.is_restart_of(current):
        return ClaimTenure(supersedes=current.offset)
    if current is not None and current.host in hosts.live:
        return KeepTenure()
    if claimant.host != _first_eligible(ranked, state, hosts):
        return KeepTenure()
    if current is None:
        return ClaimTenure(supersedes=NO_TENURE)
    if not current.exclusive:
        return ClaimTenure(supersedes=current.offset)
    if _is_delisted(current.host, claimant.host, hosts):
        return WithdrawHolder(host=current.host)
    return KeepTenure()


def _first_eligible(
    ranked: Collection[str], state: ControlState, hosts: HostView
) -> str | None:
    """Return the first host that is live and neither withdrawn nor draining."""
    for name in ranked:
        in_service = name not in state.withdrawn and name not in state.draining
        if name in hosts.live and in_service:
            return name
    return None


def _is_delisted(host: str, own_host: str, hosts: HostView) -> bool:
    """Return whether a host is missing from the platform's host list.

    A list that lacks the reader's own host is not trusted.
    """
    return (
        hosts.listed is not None
        and own_host in hosts.listed
        and host not in hosts.listed
    )
