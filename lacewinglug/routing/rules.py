"""Typed input and output of the routing policy."""

from collections.abc import Mapping
from dataclasses import dataclass

from lacewinglug.routing.rates import EngineRates

RETRY_AFTER_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerFacts:
    """What the configuration says of a runner.

    :param name: name of the runner.
    :param rates: rates by name of the engine role.
    :param does: phases by name of the engine role.
    :param default_role: role assumed while none is reported.
    :param region: region that it stands in.
    :param delay_s: one-way delay from this entry, in seconds.
    :param cost_s: cost of its region by volume, expressed in seconds.
    """

    name: str
    rates: Mapping[str, EngineRates]
    does: Mapping[str, str]
    default_role: str = ""
    region: str = ""
    delay_s: float = 0.0
    cost_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicySettings:
    """Switches of the rules, for measuring each against its absence.

    :param admission: refuse work of low value at a crest.
    :param deadlines: refuse work that would finish past its deadline.
    :param lanes: hold long work to a share of slots and to low priority.
    :param prefixes: prefer runners that cache the prompt's prefix.
    :param slowness: avoid runners whose own response times are long.
    :param split: compute the prompt and generate the answer on two runners.
    :param fair_shares: weigh organisations at a crest.
    :param priorities: let engines run work of more value a token first.
    :param migration: move streams off runners that have become slow.
    :param planning: plan the engine roles.
    :param known_lengths: whether answers are about as long as callers allow; if
        not, only the wait and the prompt count against a deadline.
    :param mirror: entries assumed to send as this one does between reports,
        as a share of all entries; 0 assumes none.
    """

    admission: bool = True
    deadlines: bool = True
    lanes: bool = True
    prefixes: bool = True
    slowness: bool = True
    split: bool = True
    fair_shares: bool = True
    priorities: bool = True
    migration: bool = True
    planning: bool = True
    known_lengths: bool = True
    mirror: float = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """A request that is refused at once.

    :param reason: why, in words.
    :param retry_after_s: when to try again, in seconds.
    """

    reason: str
    retry_after_s: float = RETRY_AFTER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class Wait:
    """A request that waits at the entry until a runner has room for its lane."""
