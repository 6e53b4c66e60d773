"""Short makers of the routing's inputs."""

from lacewinglug.routing.choice import RunnerState
from lacewinglug.routing.policy import RoutingPolicy
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import EngineRates
from lacewinglug.routing.rules import PolicySettings, RunnerFacts
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
    does = fields.get("does", "mixed")
    defaults = {"rates": ROLES[does], "slots": ROLES[does].slots}
    return RunnerState(name=name, **{**defaults, **fields})


def make_report(role: str = "mixed", **fields) -> LoadReport:
    return LoadReport(role=role, slots=ROLES[role].slots, **fields)


def make_policy(
    runners: int = 3, *, entries: int = 1, reported: bool = True, **settings
) -> RoutingPolicy:
    policy = RoutingPolicy(
        entry="entry-1", settings=PolicySettings(**settings), entries=entries
    )
    names = [f"runner-{index}" for index in range(runners)]
    policy.update_runners(
        [
            RunnerFacts(
                name=name,
                rates=ROLES,
                does={role: role for role in ROLES},
                default_role="mixed",
            )
            for name in names
        ]
    )
    if reported:
        for name in names:
            policy.note_report(name, make_report(), sampled_s=0.0)
    return policy
