"""Factories for the inputs of the routing policy."""

from lacewinglug.routing.choice import RunnerState
from lacewinglug.routing.policy import RoutingPolicy
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import EngineRates
from lacewinglug.routing.rules import PolicySettings, RunnerInfo
from lacewinglug.upstream.messages import LoadReport

MIXED = EngineRates(prefill_tokens_per_s=12000, decode_tokens_per_s=1600, slots=32)
PREFILL = EngineRates(prefill_tokens_per_s=20000, decode_tokens_per_s=200, slots=8)
DECODE = EngineRates(prefill_tokens_per_s=2500, decode_tokens_per_s=2600, slots=64)
ROLES = {"mixed": MIXED, "prefill": PREFILL, "decode": DECODE}


def make_profile(**fields) -> RequestProfile:
    defaults = {
        "request_id": "r",
        "service": "s",
        "kind": "k",
        "organisation": "a",
        "weight": 1.0,
        "deadline_s": 100.0,
        "idempotent": True,
        "prompt_tokens": 300,
        "output_tokens": 60,
    }
    return RequestProfile(**{**defaults, **fields})


def make_state(name: str, **fields) -> RunnerState:
    serving_mode = fields.get("serving_mode", "mixed")
    defaults = {"rates": ROLES[serving_mode], "slots": ROLES[serving_mode].slots}
    return RunnerState(name=name, **{**defaults, **fields})


def make_report(role: str = "mixed", **fields) -> LoadReport:
    return LoadReport(role=role, slots=ROLES[role].slots, **fields)


def make_policy(
    runners: int = 3, *, entry_count: int = 1, reported: bool = True, **settings
) -> RoutingPolicy:
    policy = RoutingPolicy(
        entry="entry-1", settings=PolicySettings(**settings), entry_count=entry_count
    )
    names = [f"runner-{index}" for index in range(runners)]
    policy.update_runners(
        [
            RunnerInfo(
                name=name,
                rates=ROLES,
                serving_modes={role: role for role in ROLES},
                default_role="mixed",
            )
            for name in names
        ]
    )
    if reported:
        for name in names:
            policy.update_report(name, make_report(), sampled_s=0.0)
    return policy
