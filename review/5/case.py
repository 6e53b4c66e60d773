"""Prompts of many parts, of which one crashes each runner that answers it."""

import asyncio
import random
import sys
import time
from pathlib import Path

from review.stage import HEARTBEAT_S, make_configuration, run_case
from tests.platform.crashing import CrashingEngine

DEADLY_PART = "dead0001"
DOCUMENTS = 34
"""Parts between the caller's part and the deadly one."""
SOUND_PER_S = 20.0
DEADLY_SHARE = 0.05
CALM_S = 4.0
EPISODE_S = 22.0
BACK_AFTER_S = 2.5
"""Time from a crash until the runner is back, in s."""
ENTRY_LAPSES_S = 3 * HEARTBEAT_S
"""Time without a heartbeat after which the store removes an entry, in s."""
STABLE_S = 4.0
FREE_CRASHES = 5
MAX_LATE = 3
DEADLINE_MS = 6000
SIBLING_AFTER_S = 2.0
"""Time after which a sound prompt with the same other parts follows, in s."""


class Engine(CrashingEngine):
    """An engine that registers itself and writes there every heartbeat."""

    def __init__(self, instance, service, *, record, **fields):
        super().__init__(instance, service, **fields)
        self.lapses = []
        self.record = record
        self.born_ms = round(time.time() * 1000)

    def entry(self, state="ready"):
        """Return what it registers."""
        return super().entry(state) | {"born": self.born_ms, "Slots": 128}

    async def _return(self):
        """Come back as a new instance; the old entry lapses in its own time."""
        previous = self.instance
        asyncio.get_running_loop().call_later(
            ENTRY_LAPSES_S,
            lambda: self.lapses.append(
                asyncio.create_task(self.store.drop("keyed.servers", previous))
            ),
        )
        await asyncio.sleep(self.back_after_s)
        ip, _, port = self.address.rpartition(":")
        self.server = await asyncio.get_running_loop().create_server(
            self.registry.make_connection, ip, int(port)
        )
        self._life += 1
        self.born_ms = round(time.time() * 1000)
        self.instance = f"{self.first_instance}-{self._life}"
        self.listening = True
        await self.store.put("keyed.servers", self.instance, self.entry())

    async def beat(self):
        """Write its entry every heartbeat while it lives."""
        while True:
            if self.listening:
                await self.store.put("keyed.servers", self.instance, self.entry())
            await asyncio.sleep(HEARTBEAT_S)

    async def run(self, request, exchange):
        """Note what arrives."""
        count = len(self.arrivals)
        await super().run(request, exchange)
        for item in self.arrivals[count : count + 1]:
            if not item.prefill_only and not item.rejected:
                self.record.add("run", id=item.request_id, runner=item.instance)


def make_prompt(rng, documents, *, deadly):
    """Return the headers of a prompt with the given parts and one of its own."""
    parts = [f"ca{rng.randrange(8):06x}:210", *documents]
    if deadly:
        parts.append(f"{DEADLY_PART}:40")
    parts.append(f"{rng.getrandbits(32):08x}:300")
    tokens = sum(int(part.partition(":")[2]) for part in parts)
    return (
        ("X-Lacewinglug-Model", "m"),
        ("X-Lacewinglug-Token-Count", f"{tokens},60"),
        ("X-Lacewinglug-Prompt-Prefix", ",".join(parts)),
    )


def draw_documents(rng):
    """Return the documents of a prompt."""
    return [f"{rng.getrandbits(32):08x}:100" for _ in range(DOCUMENTS)]


async def case(stage, record, trouble):
    """Play the case; return whether the rule held."""
    rng = random.Random(1)
    deadly_parts = {DEADLY_PART} if trouble else set()
    engines = []
    for number in range(8):
        engine = Engine(
            f"i-{number}",
            "ampwise-llm",
            record=record,
            store=stage.store,
            deadly_parts=deadly_parts,
            back_after_s=BACK_AFTER_S,
            stage="prefill" if number < 2 else "decode",
            event_count=8,
        )
        await engine.open()
        engines.append(engine)
        stage.runners.append(engine)
        stage.tasks.append(asyncio.create_task(engine.beat()))
    await stage.publish(make_configuration())
    await stage.start_hosts()
    tasks, deadly_ids, number = [], set(), 0

    def send(headers):
        nonlocal number
        number += 1
        host = stage.hosts[number % len(stage.hosts)]
        sending = stage.request(
            host, "kiosk-ask", deadline_ms=DEADLINE_MS, headers=headers
        )
        tasks.append(asyncio.create_task(sending))
        return f"{number:016x}"

    async def send_sibling(documents):
        await asyncio.sleep(SIBLING_AFTER_S)
        send(make_prompt(rng, documents, deadly=False))

    siblings = []
    start_s = record.now_s()
    while record.now_s() < start_s + CALM_S + EPISODE_S:
        documents = draw_documents(rng)
        episode = record.now_s() > start_s + CALM_S
        if episode and rng.random() < DEADLY_SHARE:
            request_id = send(make_prompt(rng, documents, deadly=True))
            record.add("has the deadly part", id=request_id)
            deadly_ids.add(request_id)
            siblings.append(asyncio.create_task(send_sibling(documents)))
        else:
            send(make_prompt(rng, documents, deadly=False))
        await asyncio.sleep(1.0 / SOUND_PER_S)
    await asyncio.gather(*siblings)
    answers = await asyncio.gather(*tasks)
    loop_start_s = asyncio.get_running_loop().time() - record.now_s()
    crashes_s = sorted(
        at_s - loop_start_s for item in engines for at_s in item.deadly_crashes_s
    )
    record.add("crashes", count=len(crashes_s))
    cut = sum(item.status == 200 and not item.whole for item in answers)
    record.add("prompts", sent=len(answers), deadly=len(deadly_ids), streams_cut=cut)
    if len(crashes_s) < FREE_CRASHES:
        return True
    from_s = crashes_s[FREE_CRASHES - 1] + STABLE_S
    late = [
        arrival
        for item in engines
        for arrival in item.arrivals
        if arrival.request_id in deadly_ids
        and not (arrival.prefill_only or arrival.rejected)
        and arrival.at_s - loop_start_s > from_s
    ]
    record.add(
        "prompts with the deadly part that reached runners later",
        than_s=f"{from_s:.3f}",
        count=len(late),
    )
    return len(late) <= MAX_LATE


if __name__ == "__main__":
    sys.exit(run_case(Path(__file__).parent, case))
