"""Tests that keyed calls run at most once and get truthful answers under faults."""

import asyncio
import random

import pytest
from returns.result import Failure, Success

from harness.call_fleet import CallFleet, EntryGoneError, FaultRates
from harness.call_judge import SimulatedCallers, find_violations
from harness.virtual_time import run_virtual
from lacewinglug.requests import calls as calls_module
from lacewinglug.requests import keyed_calls as keyed_module
from lacewinglug.requests.calls import Call
from lacewinglug.requests.intent_claims import ClaimWon, ShardClaims
from lacewinglug.requests.intents import SHARD_COUNT
from lacewinglug.requests.keyed_calls import KeyedCallHandler
from lacewinglug.requests.keys import KeyMinter
from lacewinglug.requests.ledger import CallCache
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


async def inject_faults(fleet, fault_kind, rng):
    """Inject one kind of fault at random intervals until cancelled."""
    while True:
        await asyncio.sleep(rng.uniform(0.5, 2.0))
        host = rng.choice(fleet.hosts)
        match fault_kind:
            case "kills":
                fleet.entries[host].kill()
                await asyncio.sleep(rng.uniform(0.0, 1.0))
                fleet.start_entry(host)
            case "outages":
                fleet.log.is_down = not fleet.log.is_down
            case "views":
                fleet.host_views[host] = rng.sample(fleet.hosts, k=2)


async def run_workload(*, seed, rates, fault_kinds, count=250):
    """Return the violated guarantees and the histories of all calls."""
    rng = random.Random(seed)
    fleet = CallFleet(seed=seed, rates=rates)
    await asyncio.sleep(1.0)
    callers = SimulatedCallers(fleet=fleet, rng=rng)
    fault_tasks = [
        asyncio.create_task(inject_faults(fleet, fault_kind, rng))
        for fault_kind in fault_kinds
    ]
    await callers.run(count)
    for task in fault_tasks:
        task.cancel()
    await asyncio.sleep(30.0)
    views_differ = {"outages", "views"} <= set(fault_kinds)
    violations = find_violations(fleet, callers.histories, views_differ=views_differ)
    return violations, callers.histories


FAULT_SCENARIOS = [
    ("service", []),
    ("service", ["kills"]),
    ("peers", ["kills", "views"]),
    ("log", ["outages"]),
    ("log", ["kills", "outages"]),
    ("log", ["kills", "outages", "views"]),
]


@pytest.mark.parametrize(("rates", "fault_kinds"), FAULT_SCENARIOS)
@pytest.mark.parametrize("seed", range(4))
def test_no_guarantee_is_violated_under_seeded_faults(rates, fault_kinds, seed):
    violations, histories = run_virtual(
        run_workload(seed=seed, rates=RATES[rates], fault_kinds=fault_kinds)
    )
    assert violations == []
    assert sum(history.last_outcome == "answered" for history in histories) > 100


def run_locally_after_owner_ended(monkeypatch):
    async def run_locally(self, call, owner, call_id):
        return await self.runner.send_once(call)

    monkeypatch.setattr(KeyedCallHandler, "_find_archived", run_locally)


def win_every_claim(monkeypatch):
    monkeypatch.setattr(ShardClaims, "_result_after_append", lambda *_: ClaimWon())


def report_unknown_as_not_run(monkeypatch):
    refusal = NotRun(reason="", remedy="", repeat_with="new_key")
    monkeypatch.setattr(calls_module, "_single_send_failure", lambda _: refusal)


def forget_used_keys(monkeypatch):
    monkeypatch.setattr(CallCache, "finish", CallCache.discard)
    monkeypatch.setattr(KeyMinter, "is_used", lambda *_: False)


def ignore_organisation_in_keys(monkeypatch):
    monkeypatch.setattr(
        keyed_module, "supplied_key_id", lambda **k: k["key"].encode().hex()
    )
    monkeypatch.setattr(Call, "fingerprint", "same")


def treat_unread_shards_as_current(monkeypatch):
    monkeypatch.setattr(ShardClaims, "_is_index_current", lambda _: True)


def report_ended_owner_as_not_run(monkeypatch):
    refusal = NotRun(reason="", remedy="", repeat_with="new_key")
    monkeypatch.setattr(keyed_module, "owner_gone", lambda _: refusal)


MUTATIONS = [
    (run_locally_after_owner_ended, "service", ["kills"], "ran 2 times"),
    (win_every_claim, "peers", ["kills", "views"], "ran 2 times"),
    (report_unknown_as_not_run, "service", [], "ran after a final 'not run'"),
    (forget_used_keys, "service", [], "ran 2 times"),
    (ignore_organisation_in_keys, "peers", [], "the answer to another call"),
    (
        treat_unread_shards_as_current,
        "log",
        ["kills", "outages"],
        "'not run' after it had run",
    ),
    (
        report_ended_owner_as_not_run,
        "service",
        ["kills"],
        "ran after a final 'not run'",
    ),
]


@pytest.mark.parametrize(
    ("mutate", "rates", "fault_kinds", "expected_violation"), MUTATIONS
)
def test_find_violations_detects_mutations(
    monkeypatch, mutate, rates, fault_kinds, expected_violation
):
    mutate(monkeypatch)
    violations = []
    for seed in range(4):
        found, _ = run_virtual(
            run_workload(seed=seed, rates=RATES[rates], fault_kinds=fault_kinds)
        )
        violations += found
    assert any(expected_violation in violation for violation in violations)


def run_scenario(scenario, **options):
    """Run a scenario on a fleet with no random faults; return its result and fleet."""

    async def run():
        fleet = CallFleet(seed=1, **options)
        await asyncio.sleep(0.5)
        return await scenario(fleet), fleet

    return run_virtual(run())


def summarize(result):
    match result:
        case Success(reply):
            return reply.result
        case Failure(failure):
            return (type(failure).__name__, failure.repeat_with)


UNKNOWN = ("OutcomeUnknown", "")
UNKNOWN_SAME_KEY = ("OutcomeUnknown", "same_key")


@pytest.mark.parametrize("key", ["minted", "order-7"])
@pytest.mark.parametrize(
    ("event", "host", "expected"),
    [
        ("none", "entry-0", "done a"),
        ("none", "entry-2", "done a"),
        ("death", "entry-2", "done a"),
        ("death before the archive", "entry-2", UNKNOWN_SAME_KEY),
        ("restart before the archive", "entry-2", UNKNOWN),
        ("restart before the archive", "entry-0", UNKNOWN),
        ("restart", "entry-0", "done a"),
        ("outage", "entry-0", "done a"),
        ("outage", "entry-2", "done a"),
        ("death and outage", "entry-2", UNKNOWN_SAME_KEY),
    ],
)
def test_repeat_is_answered_without_second_execution(key, event, host, expected):
    async def scenario(fleet):
        fleet.host_views = {name: ["entry-0"] for name in fleet.hosts}
        text = fleet.mint_key("entry-0") if key == "minted" else key
        assert summarize(await fleet.send_call("entry-0", text, b"a")) == "done a"
        if "before the archive" not in event:
            await asyncio.sleep(3.0)
        fleet.log.is_down = "outage" in event
        if "death" in event or "restart" in event:
            fleet.entries["entry-0"].kill()
        if "restart" in event:
            fleet.start_entry("entry-0")
        return summarize(await fleet.send_call(host, text, b"a"))

    answer, fleet = run_scenario(scenario)
    assert answer == expected
    assert len(fleet.service.executions) == 1


async def use_forged_key(fleet):
    key = fleet.mint_key("entry-0")
    host, incarnation, _, tag = key.split(".")
    return await fleet.send_call("entry-1", f"{host}.{incarnation}.99.{tag}", b"a")


async def use_key_of_other_organisation(fleet):
    return await fleet.send_call("entry-0", fleet.mint_key("entry-0"), b"a", "south")


async def use_truncated_key(fleet):
    return await fleet.send_call("entry-1", fleet.mint_key("entry-0")[:-1], b"a")


async def reuse_minted_key_for_other_body(fleet):
    key = fleet.mint_key("entry-0")
    await fleet.send_call("entry-0", key, b"a")
    return await fleet.send_call("entry-1", key, b"b")


async def reuse_supplied_key_for_other_body(fleet):
    await fleet.send_call("entry-0", "order-1", b"a")
    return await fleet.send_call("entry-1", "order-1", b"b")


async def use_key_older_than_window(fleet):
    key = fleet.mint_key("entry-0")
    for _ in range(1100):
        fleet.mint_key("entry-0")
    return await fleet.send_call("entry-0", key, b"a")


async def use_expired_uuid7_key(fleet):
    return await fleet.send_call(
        "entry-0", "01890000-0000-7000-8000-000000000000", b"a"
    )


async def use_malformed_key(fleet):
    return await fleet.send_call("entry-0", "order\n1", b"a")


async def use_supplied_key_during_log_outage(fleet):
    fleet.log.is_down = True
    return await fleet.send_call("entry-0", "order-1", b"a")


async def use_supplied_key_of_unread_shard_during_log_outage(fleet):
    fleet.log.is_down = True
    for entry in fleet.entries.values():
        entry.keyed.claims.mark_stale()
    return await fleet.send_call("entry-0", "order-1", b"a")


async def use_supplied_key_at_key_limit(fleet):
    for entry in fleet.entries.values():
        entry.keyed.claims.max_keys = 0
    return await fleet.send_call("entry-0", "order-1", b"a")


@pytest.mark.parametrize(
    ("scenario", "expected", "execution_count"),
    [
        (use_forged_key, (400, "new_key"), 0),
        (use_truncated_key, (400, "new_key"), 0),
        (use_key_of_other_organisation, (400, "new_key"), 0),
        (reuse_minted_key_for_other_body, (422, "new_key"), 1),
        (reuse_supplied_key_for_other_body, (422, "new_key"), 1),
        (use_key_older_than_window, (504, ""), 0),
        (use_expired_uuid7_key, (504, ""), 0),
        (use_malformed_key, (400, "new_key"), 0),
        (use_supplied_key_during_log_outage, (503, "same_key"), 0),
        (
            use_supplied_key_of_unread_shard_during_log_outage,
            (504, "same_key"),
            0,
        ),
        (use_supplied_key_at_key_limit, (503, "same_key"), 0),
    ],
)
def test_failure_has_status_and_key_to_repeat_with(scenario, expected, execution_count):
    result, fleet = run_scenario(scenario, key_window=1000)
    failure = result.failure()
    assert (failure_status(failure), failure.repeat_with) == expected
    assert failure.remedy
    assert len(fleet.service.executions) == execution_count


def test_repeat_after_eviction_is_unknown_and_does_not_execute():
    async def scenario(fleet):
        keys = [fleet.mint_key("entry-0") for _ in range(3000)]
        for key in keys:
            await fleet.send_call("entry-0", key, b"a")
            cache = fleet.entries["entry-0"].keyed.cache
            assert len(cache) <= 100 and cache.cached_bytes <= 100 * 100
        return [summarize(await fleet.send_call("entry-0", key, b"a")) for key in keys]

    answers, fleet = run_scenario(scenario, max_results=100)
    assert answers == [UNKNOWN] * 2900 + ["done a"] * 100
    assert len(fleet.service.executions) == 3000


def test_concurrent_claims_are_batched_into_few_appends():
    async def scenario(fleet):
        sends = [fleet.send_call("entry-0", f"order-{n}", b"a") for n in range(1000)]
        return await asyncio.gather(*sends)

    answers, fleet = run_scenario(scenario)
    assert {summarize(answer) for answer in answers} == {"done a"}
    assert fleet.metrics.counts["calls.intent_appends"] <= 2 * SHARD_COUNT


def test_claim_abandoned_after_lost_append_reply_can_be_repeated():
    async def scenario(fleet):
        fleet.host_views = {name: ["entry-0"] for name in fleet.hosts}
        fleet.rates.append_lost = 1.0
        first = asyncio.create_task(fleet.send_call("entry-0", "order-1", b"a"))
        await asyncio.sleep(1.0)
        fleet.log.is_down = True
        first_answer = summarize(await first)
        fleet.log.is_down = False
        fleet.rates.append_lost = 0.0
        return first_answer, summarize(
            await fleet.send_call("entry-1", "order-1", b"a")
        )

    answers, fleet = run_scenario(scenario)
    assert answers == (("NotRun", "same_key"), "done a")
    assert len(fleet.service.executions) == 1


def test_caller_disconnect_does_not_cancel_its_call():
    async def scenario(fleet):
        key = fleet.mint_key("entry-0")
        first = asyncio.create_task(fleet.send_call("entry-0", key, b"a"))
        await asyncio.sleep(0.01)
        first.cancel()
        return summarize(await fleet.send_call("entry-1", key, b"a"))

    answer, fleet = run_scenario(scenario)
    assert answer == "done a"
    assert len(fleet.service.executions) == 1


def test_outcome_is_unknown_if_the_owner_is_unreachable():
    async def scenario(fleet):
        key = fleet.mint_key("entry-0")
        fleet.entries["entry-0"].kill()
        with pytest.raises(EntryGoneError):
            await fleet.send_call("entry-0", key, b"a")
        return await fleet.send_call("entry-1", key, b"a")

    result, _ = run_scenario(scenario)
    assert isinstance(result.failure(), OutcomeUnknown)
