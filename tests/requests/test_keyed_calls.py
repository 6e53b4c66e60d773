"""Tests of calls that run at most once, under seeded faults."""

import asyncio
import random

import pytest
from returns.result import Failure, Success

from harness.call_fleet import CallFleet, EntryGoneError, FaultRates
from harness.call_judge import Callers, find_violations
from harness.virtual_time import run_virtual
from lacewinglug.requests import calls as calls_module
from lacewinglug.requests import keyed_calls as keyed_module
from lacewinglug.requests.calls import Call
from lacewinglug.requests.intent_claims import ClaimWon, ShardClaims
from lacewinglug.requests.intents import SHARD_COUNT
from lacewinglug.requests.keyed_calls import KeyedCalls
from lacewinglug.requests.keys import KeyMinter
from lacewinglug.requests.ledger import CallLedger
from lacewinglug.requests.outcomes import NotRun, OutcomeUnknown, failure_status

RATES = {
    "service": FaultRates(
        refused=0.05,
        request_lost=0.02,
        reply_lost=0.03,
        reply_late=0.02,
        reply_swapped=0.02,
        error_status=0.03,
    ),
    "peers": FaultRates(peer_lost=0.2, reply_lost=0.02),
    "log": FaultRates(append_lost=0.2, refused=0.05),
}


async def disturb(fleet, kind, rng):
    """Kill and restart entries, or take the log away, again and again."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        host = rng.choice(fleet.hosts)
        match kind:
            case "kills":
                fleet.entries[host].kill()
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                fleet.start(host)
            case "outages":
                fleet.log.down = not fleet.log.down
            case "views":
                fleet.views[host] = rng.sample(fleet.hosts, k=2)


async def run_story(*, seed, rates, kinds, count=250):
    """Return what did not hold, and the stories."""
    rng = random.Random(seed)
    fleet = CallFleet(seed=seed, rates=rates)
    await asyncio.sleep(1.0)
    callers = Callers(fleet=fleet, rng=rng)
    disturbances = [asyncio.create_task(disturb(fleet, kind, rng)) for kind in kinds]
    await callers.run(count)
    for task in disturbances:
        task.cancel()
    await asyncio.sleep(30.0)
    differ = {"outages", "views"} <= set(kinds)
    violations = find_violations(fleet, callers.stories, views_differ=differ)
    return violations, callers.stories


SCENARIOS = [
    ("service", []),
    ("service", ["kills"]),
    ("peers", ["kills", "views"]),
    ("log", ["outages"]),
    ("log", ["kills", "outages"]),
    ("log", ["kills", "outages", "views"]),
]


@pytest.mark.parametrize(("rates", "kinds"), SCENARIOS)
@pytest.mark.parametrize("seed", range(4))
def test_no_promise_is_broken_under_seeded_faults(rates, kinds, seed):
    violations, stories = run_virtual(
        run_story(seed=seed, rates=RATES[rates], kinds=kinds)
    )
    assert violations == []
    assert sum(story.last_outcome == "answered" for story in stories) > 100


def run_here_after_death(monkeypatch):
    async def run_here(self, call, owner, call_id):
        return await self.runner.send_once(call)

    monkeypatch.setattr(KeyedCalls, "_find_archived", run_here)


def win_every_claim(monkeypatch):
    monkeypatch.setattr(ShardClaims, "_settled", lambda *_: ClaimWon())


def call_unknown_not_run(monkeypatch):
    refusal = NotRun(reason="", remedy="", repeat_with="new_key")
    monkeypatch.setattr(calls_module, "_single_send_failure", lambda _: refusal)


def forget_use_of_keys(monkeypatch):
    monkeypatch.setattr(CallLedger, "finish", CallLedger.drop)
    monkeypatch.setattr(KeyMinter, "is_spent", lambda *_: False)


def share_keys_between_organisations(monkeypatch):
    monkeypatch.setattr(keyed_module, "own_key_id", lambda **k: k["key"].encode().hex())
    monkeypatch.setattr(Call, "fingerprint", "same")


def trust_unread_shards(monkeypatch):
    monkeypatch.setattr(ShardClaims, "_is_complete", lambda _: True)


def call_lost_owner_not_run(monkeypatch):
    refusal = NotRun(reason="", remedy="", repeat_with="new_key")
    monkeypatch.setattr(keyed_module, "owner_gone", lambda _: refusal)


MUTANTS = [
    (run_here_after_death, "service", ["kills"], "ran 2 times"),
    (win_every_claim, "peers", ["kills", "views"], "ran 2 times"),
    (call_unknown_not_run, "service", [], "ran after a final 'not run'"),
    (forget_use_of_keys, "service", [], "ran 2 times"),
    (share_keys_between_organisations, "peers", [], "the answer to another call"),
    (trust_unread_shards, "log", ["kills", "outages"], "'not run' after it had run"),
    (call_lost_owner_not_run, "service", ["kills"], "ran after a final 'not run'"),
]


@pytest.mark.parametrize(("mutate", "rates", "kinds", "problem"), MUTANTS)
def test_judge_finds_a_broken_rule(monkeypatch, mutate, rates, kinds, problem):
    mutate(monkeypatch)
    violations = []
    for seed in range(4):
        found, _ = run_virtual(run_story(seed=seed, rates=RATES[rates], kinds=kinds))
        violations += found
    assert any(problem in violation for violation in violations)


def play(scenario, **options):
    """Run a scenario on a fleet without faults of its own."""

    async def run():
        fleet = CallFleet(seed=1, **options)
        await asyncio.sleep(0.5)
        return await scenario(fleet), fleet

    return run_virtual(run())


def outcome(result):
    match result:
        case Success(reply):
            return reply.result
        case Failure(failure):
            return (type(failure).__name__, failure.repeat_with)


UNKNOWN = ("OutcomeUnknown", "")
UNKNOWN_REPEAT = ("OutcomeUnknown", "same_key")


@pytest.mark.parametrize("key", ["minted", "order-7"])
@pytest.mark.parametrize(
    ("event", "host", "expected"),
    [
        ("none", "entry-0", "done a"),
        ("none", "entry-2", "done a"),
        ("death", "entry-2", "done a"),
        ("death before the archive", "entry-2", UNKNOWN_REPEAT),
        ("restart before the archive", "entry-2", UNKNOWN),
        ("restart before the archive", "entry-0", UNKNOWN),
        ("restart", "entry-0", "done a"),
        ("outage", "entry-0", "done a"),
        ("outage", "entry-2", "done a"),
        ("death and outage", "entry-2", UNKNOWN_REPEAT),
    ],
)
def test_repeat_is_answered_and_runs_nothing(key, event, host, expected):
    async def scenario(fleet):
        fleet.views = {name: ["entry-0"] for name in fleet.hosts}
        text = fleet.mint("entry-0") if key == "minted" else key
        assert outcome(await fleet.send("entry-0", text, b"a")) == "done a"
        if "before the archive" not in event:
            await asyncio.sleep(3.0)
        fleet.log.down = "outage" in event
        if "death" in event or "restart" in event:
            fleet.entries["entry-0"].kill()
        if "restart" in event:
            fleet.start("entry-0")
        return outcome(await fleet.send(host, text, b"a"))

    answer, fleet = play(scenario)
    assert answer == expected
    assert len(fleet.service.journal) == 1


async def forge(fleet):
    key = fleet.mint("entry-0")
    host, incarnation, _, tag = key.split(".")
    return await fleet.send("entry-1", f"{host}.{incarnation}.99.{tag}", b"a")


async def steal(fleet):
    return await fleet.send("entry-0", fleet.mint("entry-0"), b"a", "south")


async def cut_key_short(fleet):
    return await fleet.send("entry-1", fleet.mint("entry-0")[:-1], b"a")


async def change_body(fleet):
    key = fleet.mint("entry-0")
    await fleet.send("entry-0", key, b"a")
    return await fleet.send("entry-1", key, b"b")


async def change_body_of_own_key(fleet):
    await fleet.send("entry-0", "order-1", b"a")
    return await fleet.send("entry-1", "order-1", b"b")


async def use_key_past_the_window(fleet):
    key = fleet.mint("entry-0")
    for _ in range(1100):
        fleet.mint("entry-0")
    return await fleet.send("entry-0", key, b"a")


async def use_old_dated_key(fleet):
    return await fleet.send("entry-0", "01890000-0000-7000-8000-000000000000", b"a")


async def use_malformed_key(fleet):
    return await fleet.send("entry-0", "order\n1", b"a")


async def use_own_key_during_outage(fleet):
    fleet.log.down = True
    return await fleet.send("entry-0", "order-1", b"a")


async def use_own_key_at_full_index(fleet):
    for entry in fleet.entries.values():
        entry.keyed.claims.max_keys = 0
    return await fleet.send("entry-0", "order-1", b"a")


@pytest.mark.parametrize(
    ("scenario", "expected", "runs"),
    [
        (forge, (400, "new_key"), 0),
        (cut_key_short, (400, "new_key"), 0),
        (steal, (400, "new_key"), 0),
        (change_body, (422, "new_key"), 1),
        (change_body_of_own_key, (422, "new_key"), 1),
        (use_key_past_the_window, (504, ""), 0),
        (use_old_dated_key, (504, ""), 0),
        (use_malformed_key, (400, "new_key"), 0),
        (use_own_key_during_outage, (503, "same_key"), 0),
        (use_own_key_at_full_index, (503, "same_key"), 0),
    ],
)
def test_refusal_has_a_status_and_names_the_key_to_repeat_with(
    scenario, expected, runs
):
    result, fleet = play(scenario, key_window=1000)
    failure = result.failure()
    assert (failure_status(failure), failure.repeat_with) == expected
    assert failure.remedy
    assert len(fleet.service.journal) == runs


def test_results_past_the_memory_are_unknown_and_run_nothing():
    async def scenario(fleet):
        keys = [fleet.mint("entry-0") for _ in range(3000)]
        for key in keys:
            await fleet.send("entry-0", key, b"a")
            ledger = fleet.entries["entry-0"].keyed.ledger
            assert len(ledger) <= 100 and ledger.kept_bytes <= 100 * 100
        return [outcome(await fleet.send("entry-0", key, b"a")) for key in keys]

    answers, fleet = play(scenario, max_results=100)
    assert answers == [UNKNOWN] * 2900 + ["done a"] * 100
    assert len(fleet.service.journal) == 3000


def test_claims_of_many_keys_share_appends():
    async def scenario(fleet):
        sends = [fleet.send("entry-0", f"order-{n}", b"a") for n in range(1000)]
        return await asyncio.gather(*sends)

    answers, fleet = play(scenario)
    assert {outcome(answer) for answer in answers} == {"done a"}
    assert fleet.metrics.counts["calls.intent_appends"] <= 2 * SHARD_COUNT


def test_claim_given_up_for_a_lost_reply_can_be_repeated():
    async def scenario(fleet):
        fleet.views = {name: ["entry-0"] for name in fleet.hosts}
        fleet.rates.append_lost = 1.0
        first = asyncio.create_task(fleet.send("entry-0", "order-1", b"a"))
        await asyncio.sleep(1.0)
        fleet.log.down = True
        first_answer = outcome(await first)
        fleet.log.down = False
        fleet.rates.append_lost = 0.0
        return first_answer, outcome(await fleet.send("entry-1", "order-1", b"a"))

    answers, fleet = play(scenario)
    assert answers == (("NotRun", "same_key"), "done a")
    assert len(fleet.service.journal) == 1


def test_caller_that_leaves_does_not_end_its_call():
    async def scenario(fleet):
        key = fleet.mint("entry-0")
        first = asyncio.create_task(fleet.send("entry-0", key, b"a"))
        await asyncio.sleep(0.01)
        first.cancel()
        return outcome(await fleet.send("entry-1", key, b"a"))

    answer, fleet = play(scenario)
    assert answer == "done a"
    assert len(fleet.service.journal) == 1


def test_a_lost_connection_to_the_owner_is_not_settled():
    async def scenario(fleet):
        key = fleet.mint("entry-0")
        fleet.entries["entry-0"].kill()
        with pytest.raises(EntryGoneError):
            await fleet.send("entry-0", key, b"a")
        return await fleet.send("entry-1", key, b"a")

    result, _ = play(scenario)
    assert isinstance(result.failure(), OutcomeUnknown)
