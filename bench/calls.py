"""What callers learn of keyed calls under each fault, and what keys cost."""

import asyncio
import random
import tracemalloc
from collections.abc import Callable

from returns.result import Success

from bench.figures import Figure
from harness.call_fleet import CallFleet, FaultRates
from harness.call_judge import CallHistory, SimulatedCallers, find_violations
from harness.virtual_time import run_virtual
from lacewinglug.backing.log import StoredRecord
from lacewinglug.requests.intents import (
    Intent,
    IntentBatch,
    ShardIndex,
    encode_intent_batch,
)
from lacewinglug.requests.ledger import CallCache
from lacewinglug.upstream.messages import CallReply

_SEED = 11
_CALLS = 2000
_KEYS = 20_000
_RATE = 0.05
_OWN_KEY_CALLS = 2000
_BATCH = 10
_WARM_UP_KEYS = 2000
Filler = Callable[[int, int], None]
_SERVICE_FAULTS = (
    "refused",
    "request_lost",
    "reply_lost",
    "reply_late",
    "reply_swapped",
    "error_status",
    "peer_lost",
    "append_lost",
)


def run() -> list[Figure]:
    """Measure outcomes under each fault, appends and memory."""
    figures = []
    for fault in (*_SERVICE_FAULTS, "none", "kills", "outages"):
        figures += run_virtual(_measure_fault(fault))
    figures += run_virtual(_measure_appends())
    return [*figures, *_measure_memory()]


async def _measure_fault(fault: str) -> list[Figure]:
    rates = FaultRates(**({fault: _RATE} if fault in _SERVICE_FAULTS else {}))
    fleet = CallFleet(seed=_SEED, rates=rates)
    callers = SimulatedCallers(fleet=fleet, rng=random.Random(_SEED))
    await asyncio.sleep(1.0)
    disturbance = asyncio.create_task(_disturb(fleet, fault, random.Random(_SEED)))
    await callers.run(_CALLS)
    disturbance.cancel()
    await asyncio.sleep(30.0)
    stories = callers.histories
    shares = {
        "unknown_share": _share(stories, "outcome_unknown", "connection_lost"),
        "no_design_share": sum(_is_hidden(fleet, story) for story in stories)
        / len(stories),
        "not_run_share": _share(stories, "not_run"),
        "answered_share": _share(stories, "answered"),
        "violations": float(len(find_violations(fleet, stories))),
    }
    return [
        Figure(scenario="calls", name=name, subject=fault, value=value)
        for name, value in shares.items()
    ]


async def _disturb(fleet: CallFleet, fault: str, rng: random.Random) -> None:
    """Kill and restart entries every two seconds, or take the log away."""
    while fault in ("kills", "outages"):
        await asyncio.sleep(2.0)
        if fault == "outages":
            fleet.log.is_down = not fleet.log.is_down
            continue
        host = rng.choice(fleet.hosts)
        fleet.entries[host].kill()
        await asyncio.sleep(0.5)
        fleet.start_entry(host)


def _share(stories: list[CallHistory], *outcomes: str) -> float:
    """Return the share of calls whose last outcome is one of the given."""
    return sum(story.last_outcome in outcomes for story in stories) / len(stories)


def _is_hidden(fleet: CallFleet, story: CallHistory) -> bool:
    """Return whether no entry could have known what became of a call.

    Its bytes left for the service, no answer of its own came back to the
    process that sent it, and the service offers no way to ask.
    """
    return (
        story.organisation,
        story.key,
    ) in fleet.service.unanswered_calls and not any(
        isinstance(told.result, Success) for told in story.answers
    )


async def _measure_appends() -> list[Figure]:
    """Measure the appends of callers' own keys at a steady rate."""
    fleet = CallFleet(seed=_SEED)
    callers = SimulatedCallers(
        fleet=fleet,
        rng=random.Random(_SEED),
        minted_key_share=0.0,
        duplicate_share=0.0,
        repeat_share=0.0,
    )
    await asyncio.sleep(1.0)
    started_s = fleet.clock.now_s()
    await callers.run(_OWN_KEY_CALLS, spacing_s=0.002)
    duration_s = fleet.clock.now_s() - started_s
    intents = fleet.metrics.counts["calls.intent_appends"]
    outcomes = fleet.metrics.counts["calls.outcome_appends"]
    values = {
        "intent_appends_per_call": intents / _OWN_KEY_CALLS,
        "intent_appends_per_s": intents / duration_s,
        "outcome_appends_per_s": outcomes / duration_s,
    }
    subject = f"own_keys_at_{_OWN_KEY_CALLS / duration_s:.0f}_calls_per_s"
    return [
        Figure(scenario="calls", name=name, subject=subject, value=value)
        for name, value in values.items()
    ]


def _measure_memory() -> list[Figure]:
    """Measure the memory of remembered keys, and its growth past the bound."""
    values = {
        "bytes_per_result": _grow(_fill_ledger(max_results=2 * _KEYS), _KEYS),
        "bytes_per_result_past_bound": _grow(_fill_ledger(max_results=1000), _KEYS),
        "bytes_per_own_key": _grow(_fill_index(), _KEYS),
    }
    return [
        Figure(
            scenario="calls",
            name=name,
            subject=f"{_KEYS}_keys",
            value=value,
            deterministic=False,
        )
        for name, value in values.items()
    ]


def _fill_ledger(*, max_results: int) -> Filler:
    ledger = CallCache(max_results=max_results, max_bytes=1 << 30)

    async def fill(start: int, count: int) -> None:
        for number in range(start, start + count):
            key = f"entry-1.{0:012x}.{number}.{number:016x}"
            ledger.add_running(key, f"{number:032x}")
            ledger.finish(key, Success(CallReply(key=key, result="done")))

    return lambda start, count: run_virtual(fill(start, count))


def _fill_index() -> Filler:
    index = ShardIndex(retention_s=3600.0)

    def fill(start: int, count: int) -> None:
        for offset in range(start, start + count, _BATCH):
            batch = IntentBatch(
                record_id=f"{offset}",
                host="entry-1",
                incarnation="0" * 12,
                written_at_s=0.0,
                intents=[
                    Intent(call_id=f"{number:032x}", fingerprint=f"{number:032x}")
                    for number in range(offset, offset + _BATCH)
                ],
            )
            stored = StoredRecord(offset=offset, data=encode_intent_batch(batch))
            index.apply(stored, now_s=0.0)

    return fill


def _grow(fill: Filler, count: int) -> float:
    """Return the bytes that each of a number of keys adds."""
    tracemalloc.start()
    fill(0, _WARM_UP_KEYS)
    before, _ = tracemalloc.get_traced_memory()
    fill(_WARM_UP_KEYS, count)
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return (after - before) / count
