"""Prompts with a part that crashes each engine that begins to answer them."""

import asyncio
import functools
import math
from collections import Counter, defaultdict
from dataclasses import dataclass, field, replace

import pytest

from harness.virtual_time import run_virtual
from tests.host.prompt_fleet import (
    FIRST_PARTS,
    ROUTES,
    SECOND_PARTS,
    running_fleet,
)

IO_WAIT_S = 0.0001
"""Real time in which sent bytes arrive on loopback, in s."""
STABLE_S = 4.0
"""Time in which hosts may still act on what was so before, in s; stated by the
platform."""
FREE_CRASHES = 5
MAX_LATE_ARRIVALS = 3
"""Requests with a deadly part that may reach engines later than ``STABLE_S`` after the
last of the free crashes; stated by the platform."""
MIN_SERVED_RATIO = 0.5
"""Share of sound prompts that begin at the first attempt, relative to the usual share;
stated by the platform."""
SERVED_AGAIN_S = 5.0
"""Time after an episode in which each host serves prompts of each sound part, in s."""
MAX_DATAGRAM_BYTES = 1472
"""Longest datagram that fits into one packet of an Ethernet, in bytes."""
SOUND_PER_S = 12.0
DEADLY_PER_S = 2.5
QUIET_S = 4.0
"""Time of the load without deadly prompts, in s."""
EPISODE_S = 15.0
"""Time for which the deadly prompts come after the fifth crash, in s."""
MAX_EPISODE_S = 60.0
"""Longest time for which they come, in s, if there are fewer crashes."""


@dataclass(kw_only=True)
class Episode:
    """Load on a fleet with deadly prompts, or none.

    :param fleet: a running fleet.
    :param draw_deadly: returns a deadly prompt, None if there are none.
    :param deadly_per_s: rate of these, in 1/s.
    :param lasts_s: time for which they come after the fifth crash, in s.
    :param in_touch_since_s: times since which hosts that were cut off are in touch
        with the others.
    """

    fleet: object
    draw_deadly: object = None
    deadly_per_s: float = DEADLY_PER_S
    lasts_s: float = EPISODE_S
    in_touch_since_s: dict = field(default_factory=dict)
    started_s: float = 0.0
    ended_s: float = 0.0

    @property
    def fifth_crash_s(self):
        """Time of the fifth crash, of the last if there are fewer."""
        crashes = self.fleet.crashes_s[:FREE_CRASHES]
        return crashes[-1] if crashes else self.started_s

    async def play(self, *, disturb=None):
        """Send sound prompts, then also deadly ones.

        :param disturb: coroutine function that is called when the latter begin.
        """
        fleet = self.fleet
        loads = [
            asyncio.create_task(fleet.keep_sending(fleet.load.sound, per_s=SOUND_PER_S))
        ]
        await asyncio.sleep(QUIET_S)
        self.started_s = fleet.now_s
        if self.draw_deadly is not None:
            loads.append(
                asyncio.create_task(
                    fleet.keep_sending(self.draw_deadly, per_s=self.deadly_per_s)
                )
            )
        disturbance = None if disturb is None else asyncio.create_task(disturb(self))
        await self.wait_after_fifth_crash(self.lasts_s)
        if disturbance is not None:
            await disturbance
        self.ended_s = fleet.now_s
        for task in loads:
            task.cancel()
        await fleet.finish_clients()
        if fleet.crashes_s:
            print(self.describe())

    async def wait_after_fifth_crash(self, delay_s):
        """Wait until some time after the fifth crash, or after the last if fewer."""
        end_s = self.started_s + MAX_EPISODE_S
        while self.fleet.now_s < min(self.fifth_crash_s + delay_s, end_s):
            await asyncio.sleep(0.05)

    def late_arrivals(self):
        """Return the requests with a deadly part that reached engines too late."""
        if len(self.fleet.crashes_s) < FREE_CRASHES:
            return []
        return self.deadly_arrivals(
            lambda host: (
                max(self.fifth_crash_s, self.in_touch_since_s.get(host, 0.0)) + STABLE_S
            )
        )

    def deadly_arrivals(self, start_s):
        """Return the requests with a deadly part that reached engines.

        The prefill of a prompt and the answer that follows it count once.

        :param start_s: returns the time from which the requests of a host count.
        """
        fleet = self.fleet
        found = [
            arrival
            for arrival in fleet.arrivals
            if fleet.deadly_parts.intersection(arrival.parts[:-1])
            and arrival.at_s > start_s(fleet.host_of_request[arrival.request_id])
        ]
        answered = {item.request_id for item in found if not item.prefill_only}
        return [
            arrival
            for arrival in found
            if not (arrival.prefill_only and arrival.request_id in answered)
        ]

    def count_begun(self, *, start_s=0.0, end_s):
        """Return how many sound prompts began at the first attempt, and how many came,
        by route and first part.
        """
        counts = defaultdict(lambda: (0, 0))
        for sending in self.fleet.sendings:
            prompt = sending.prompt
            if (
                not prompt.deadly
                and sending.first
                and start_s <= sending.sent_s < end_s
            ):
                key = (prompt.route, prompt.parts[0])
                begun, count = counts[key]
                counts[key] = (begun + sending.began, count + 1)
        return dict(counts)

    def count_usual(self):
        """Return the same for the time before the deadly prompts."""
        return self.count_begun(end_s=self.started_s - 1.0)

    def count_judged(self):
        """Return the same for the time in which service is required again."""
        return self.count_begun(
            start_s=self.fifth_crash_s + 2 * STABLE_S, end_s=self.ended_s
        )

    def describe(self):
        """Return the figures of the episode."""
        shares = [
            sum(begun for begun, _ in counts.values())
            / max(1, sum(count for _, count in counts.values()))
            for counts in (self.count_usual(), self.count_judged())
        ]
        return (
            f"{len(self.fleet.crashes_s)} crashes in "
            f"{self.ended_s - self.started_s:.1f} s, the fifth or last of them after "
            f"{self.fifth_crash_s - self.started_s:.1f} s; "
            f"{len(self.late_arrivals())} late arrivals; sound prompts begun at the "
            f"first attempt: {shares[0]:.2f} before, {shares[1]:.2f} judged; longest "
            f"datagram {self.fleet.longest_datagram_bytes} bytes"
        )


def assert_no_more_crashing_requests(episode):
    assert len(episode.late_arrivals()) <= MAX_LATE_ARRIVALS


def assert_host_knows_deadly_part(episode, name, *, since_s):
    """A host needs no crashes of its own, even if there were fewer than five."""
    starts_s = {name: since_s}
    arrivals = episode.deadly_arrivals(lambda host: starts_s.get(host, math.inf))
    assert len(arrivals) <= MAX_LATE_ARRIVALS


def assert_sound_prompts_begin(episode):
    """Sound prompts of each route and first part begin at least half as often."""
    usual = episode.count_usual()
    for key, (begun, count) in episode.count_judged().items():
        usually_begun, usual_count = usual[key]
        required = MIN_SERVED_RATIO * count * usually_begun / usual_count
        assert begun >= required, key


def assert_refusals_are_true(fleet):
    """No engine has begun to answer a request that was refused as not run."""
    run = {
        arrival.request_id
        for arrival in fleet.arrivals
        if not arrival.prefill_only and not arrival.rejected
    }
    assert not [
        item for item in fleet.sendings if item.status == 503 and item.request_id in run
    ]


def assert_sound_prompts_get_responses(fleet):
    """Each sound prompt gets a response, if only a refusal or a part of the answer."""
    assert not [
        item
        for item in fleet.sendings
        if not item.prompt.deadly and (item.status == 0 or item.timed_out)
    ]


async def assert_shared_parts_are_served(fleet):
    """Each host soon serves prompts of each first and second part on each route."""
    draws = [
        (host, functools.partial(fleet.load.sound, first, second, route))
        for host in fleet.hosts
        for first in FIRST_PARTS
        for second in SECOND_PARTS
        for route in ROUTES
    ]
    await assert_served_soon(fleet, draws)


async def assert_chats_are_served(fleet):
    """Each host soon serves prompts of each chat."""
    draws = [
        (host, functools.partial(fleet.load.sound_of_chat, chat))
        for host in fleet.hosts
        for chat in list(fleet.load.chats)
    ]
    await assert_served_soon(fleet, draws)


async def assert_served_soon(fleet, draws):
    """Hosts soon serve a prompt of each function that they are given with."""
    end_s = fleet.now_s + SERVED_AGAIN_S

    async def send_until_served(host, draw):
        while True:
            sending = await fleet.send(draw(), host)
            if sending.began and sending.complete:
                return
            assert fleet.now_s < end_s, sending
            await asyncio.sleep(0.2)

    async with asyncio.TaskGroup() as group:
        for host, draw in draws:
            group.create_task(send_until_served(host, draw))


async def judge(episode, *, disturb=None):
    """Play an episode and check every bound of the platform."""
    fleet = episode.fleet
    await episode.play(disturb=disturb)
    assert_refusals_are_true(fleet)
    assert_sound_prompts_get_responses(fleet)
    assert_no_more_crashing_requests(episode)
    assert_sound_prompts_begin(episode)
    await assert_shared_parts_are_served(fleet)


def run_episode(
    monkeypatch, *, seed, disturb=None, lasts_s=EPISODE_S, prefix=(), **fields
):
    """Judge an episode with one deadly part, and return it.

    :param prefix: first and second part of all deadly prompts; empty for any.
    :param fields: fields of the fleet.
    """

    async def play():
        async with running_fleet(monkeypatch, seed=seed, **fields) as fleet:
            fleet.deadly_parts.add("bad-1")
            episode = Episode(
                fleet=fleet,
                draw_deadly=lambda: fleet.load.deadly("bad-1", *prefix),
                lasts_s=lasts_s,
            )
            await judge(episode, disturb=disturb)
            return episode

    return run_virtual(play(), io_wait_s=IO_WAIT_S)


def test_prompts_that_crash_engines_stop_reaching_them(monkeypatch):
    """Regression test: each prompt with a part that crashes engines was run, so that
    most engines were down for as long as such prompts came.
    """
    run_episode(monkeypatch, seed=1, host_count=8, lasts_s=20.0)


def test_a_part_is_told_from_the_parts_that_always_come_with_it(monkeypatch):
    """Pattern: all prompts that crash engines come from one caller, and have the same
    parts before the deadly one, as many sound prompts have.
    """
    run_episode(monkeypatch, seed=2, prefix=(FIRST_PARTS[0], SECOND_PARTS[0]))


# Guards against a part that was answered before, turns deadly and is never suspected,
# since each prompt with it has a new part as well.
@pytest.mark.parametrize("seed", [20, 21, 22])
def test_answered_part_that_turns_deadly_beside_new_ones_stops(monkeypatch, seed):
    async def play():
        async with running_fleet(monkeypatch, seed=seed) as fleet:

            def draw():
                prompt = fleet.load.deadly("bad-1")
                first, *others = prompt.parts
                new_part = f"chat-{fleet.load.random.random()}"
                return replace(prompt, parts=(first, new_part, *others))

            draws = [(host, draw) for host in fleet.hosts]
            await assert_served_soon(fleet, draws)
            fleet.deadly_parts.add("bad-1")
            await judge(Episode(fleet=fleet, draw_deadly=draw))

    run_virtual(play(), io_wait_s=IO_WAIT_S)


def test_prompts_that_crash_engines_after_a_separate_prefill_stop(monkeypatch):
    """Pattern: the engine that prefills survives, the one that decodes crashes."""
    fleet = run_episode(monkeypatch, seed=19, prefill_engines=2).fleet
    assert any(
        arrival.from_handle and fleet.deadly_parts.intersection(arrival.parts)
        for arrival in fleet.arrivals
    )


def test_prompts_that_crash_engines_stop_without_the_store(monkeypatch):
    """Pattern: the store is away while the deadly prompts come."""

    async def lose_store(episode):
        episode.fleet.scene.store.down = True
        await episode.wait_after_fifth_crash(10.0)
        episode.fleet.scene.store.down = False

    run_episode(monkeypatch, seed=4, new_instances=False, disturb=lose_store)


def test_a_host_that_starts_needs_no_crashes_of_its_own(monkeypatch):
    """Pattern: a host starts when the others know the deadly part already."""

    async def start_host(episode):
        await episode.wait_after_fifth_crash(6.0)
        await episode.fleet.start_host(2)

    episode = run_episode(monkeypatch, seed=5, host_count=2, disturb=start_host)
    assert_host_knows_deadly_part(episode, "edge-3", since_s=0.0)


def test_a_host_that_was_cut_off_needs_no_further_crashes(monkeypatch):
    """Pattern: a host gets no datagrams of the others while they learn the part."""

    async def cut_off(episode):
        fleet = episode.fleet
        fleet.cut_off_ips.add(fleet.host_ip(2))
        await episode.wait_after_fifth_crash(6.0)
        fleet.cut_off_ips.clear()
        episode.in_touch_since_s["edge-3"] = fleet.now_s

    episode = run_episode(monkeypatch, seed=6, disturb=cut_off, lasts_s=18.0)
    stable_s = episode.in_touch_since_s["edge-3"] + STABLE_S
    assert_host_knows_deadly_part(episode, "edge-3", since_s=stable_s)


def test_crashes_without_a_deadly_prompt_hide_no_deadly_part(monkeypatch):
    """Pattern: engines also crash for other reasons, three of four at one moment."""

    async def kill_engines(episode):
        for _ in range(3):
            await asyncio.sleep(1.5)
            episode.fleet.load.random.choice(episode.fleet.engines).kill()
        await episode.wait_after_fifth_crash(8.0)
        for engine in episode.fleet.engines[:3]:
            engine.kill()

    run_episode(monkeypatch, seed=7, disturb=kill_engines)


def test_crashes_without_a_deadly_prompt_leave_no_part_refused(monkeypatch):
    """Pattern: engines crash several at a time, and no prompt is the cause."""

    async def kill_engines(episode):
        for number in range(6):
            await asyncio.sleep(1.5)
            for engine in episode.fleet.engines[number % 2 :][:3]:
                engine.kill()

    async def play():
        async with running_fleet(monkeypatch, seed=8) as fleet:
            episode = Episode(fleet=fleet, lasts_s=10.0)
            await episode.play(disturb=kill_engines)
            assert_refusals_are_true(fleet)
            assert_sound_prompts_get_responses(fleet)
            await assert_shared_parts_are_served(fleet)
            await assert_chats_are_served(fleet)

    run_virtual(play(), io_wait_s=IO_WAIT_S)


@pytest.mark.parametrize("seed", [10, 11, 12])
def test_two_kinds_of_deadly_prompts_at_once_stop_beside_other_crashes(
    monkeypatch, seed
):
    """Pattern: each of two routes has prompts of one caller with a deadly part of their
    own, and two engines crash for another reason before both parts are known.
    """
    kinds = (("ask", FIRST_PARTS[0], "bad-1"), ("notes", FIRST_PARTS[1], "bad-2"))

    async def kill_engines(episode):
        await asyncio.sleep(0.7)
        for engine in episode.fleet.engines[:2]:
            engine.kill()

    async def play():
        async with running_fleet(monkeypatch, seed=seed) as fleet:
            fleet.deadly_parts.update(part for _, _, part in kinds)

            def draw():
                route, first, part = fleet.load.random.choice(kinds)
                return replace(fleet.load.deadly(part, first), route=route)

            episode = Episode(fleet=fleet, draw_deadly=draw)
            await judge(episode, disturb=kill_engines)
            crashes = [item for one in fleet.engines for item in one.deadly_crash_parts]
            print("crashes by part:", dict(sorted(Counter(crashes).items())))
            for process in fleet.hosts.values():
                quarantined = process.state.quarantine.quarantined_parts()
                assert len(quarantined) == len(kinds)

    run_virtual(play(), io_wait_s=IO_WAIT_S)


def test_many_deadly_parts_do_not_stop_sound_prompts(monkeypatch):
    """Pattern: an adversary makes up a new deadly part for each prompt."""

    async def play():
        async with running_fleet(monkeypatch, seed=9, back_after_s=1.0) as fleet:

            def draw():
                part = f"bad-{len(fleet.deadly_parts)}"
                fleet.deadly_parts.add(part)
                return fleet.load.deadly(part)

            episode = Episode(fleet=fleet, draw_deadly=draw, deadly_per_s=0.5)
            await episode.play()
            assert_refusals_are_true(fleet)
            assert_sound_prompts_get_responses(fleet)
            assert_sound_prompts_begin(episode)
            await assert_shared_parts_are_served(fleet)
            assert fleet.longest_datagram_bytes <= MAX_DATAGRAM_BYTES

    run_virtual(play(), io_wait_s=IO_WAIT_S)
