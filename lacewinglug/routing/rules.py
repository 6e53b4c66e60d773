"""Inputs, settings and results of the routing policy."""

from collections.abc import Mapping
from dataclasses import dataclass

from lacewinglug.routing.rates import EngineRates

DEFAULT_RETRY_AFTER_S = 2.0


@dataclass(frozen=True, kw_only=True, slots=True)
class RunnerInfo:
    """Static properties of a runner.

    :param name: name of the runner.
    :param rates: rates by engine role.
    :param serving_modes: serving mode by engine role: ``mixed``, ``prefill``,
        ``decode`` or ``plain``.
    :param default_role: role assumed until one is reported.
    :param region: region of the runner.
    :param delay_s: one-way network delay from this entry, in seconds.
    :param region_cost_s: data transfer cost to its region, expressed in seconds.
    """

    name: str
    rates: Mapping[str, EngineRates]
    serving_modes: Mapping[str, str]
    default_role: str = ""
    region: str = ""
    delay_s: float = 0.0
    region_cost_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class PolicySettings:
    """Feature switches of the policy, used to measure the effect of each feature.

    :param admission: refuse requests of low value under overload.
    :param deadlines: refuse requests that would miss their deadline.
    :param length_classes: limit long requests to a share of slots and a low priority.
    :param prefix_affinity: prefer runners with the prompt's prefix in their cache.
    :param slowness_detection: avoid runners whose observed latency is high.
    :param disaggregation: allow prefill and decode on separate runners.
    :param fair_sharing: weigh organisations under overload.
    :param priorities: let engines run requests with more value per token first.
    :param migration: migrate streams away from slow runners.
    :param role_planning: plan the engine roles.
    :param known_output_lengths: whether responses are about as long as the requested
        limit; if not, only queueing and prefill count against a deadline.
    :param sender_share: share of all entries assumed to send as much as this one
        between two reports; 0 assumes that no other entry does. Prevents all entries
        from choosing the runner that was last reported idle.
    """

    admission: bool = True
    deadlines: bool = True
    length_classes: bool = True
    prefix_affinity: bool = True
    slowness_detection: bool = True
    disaggregation: bool = True
    fair_sharing: bool = True
    priorities: bool = True
    migration: bool = True
    role_planning: bool = True
    known_output_lengths: bool = True
    sender_share: float = 0.5


@dataclass(frozen=True, kw_only=True, slots=True)
class Refusal:
    """Rejects a request.

    :param reason: human-readable reason.
    :param retry_after_s: time after which to retry, in seconds.
    """

    reason: str
    retry_after_s: float = DEFAULT_RETRY_AFTER_S


@dataclass(frozen=True, kw_only=True, slots=True)
class WaitForSlot:
    """Queues a request at the entry until a runner has a slot for its length class."""
