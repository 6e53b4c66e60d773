"""What hosts tell each other brings no request to runners that left or push back.

Requests stay at the host that took them from the client. Hosts relay views of the
registry, work and changes of stages, which may be older than what a runner said. Each
test guards against one way in which that could lead a request to such a runner.
"""

import asyncio
import contextlib
from dataclasses import replace

import pytest
from hypothesis import given
from hypothesis import strategies as st

from harness.virtual_time import run_virtual
from lacewinglug.host.health import MAX_PUSH_BACK_S
from lacewinglug.host.notices import RunnerNotices
from lacewinglug.host.reporting import HostMetrics
from lacewinglug.host.upstreams import Upstreams
from lacewinglug.host.watch import RUNNER_POLL_INTERVAL_S
from tests.host.hosting import running_host
from tests.host.prompt_fleet import FIRST_HOST_OCTET
from tests.host.test_crashing_prompts import IO_WAIT_S
from tests.host.test_notices import SHORT_PROMPT, make_app_runners, make_decode_engines
from tests.host.test_push_back import NEWS, make_head, push_back
from tests.host.test_relay import make_app_runner
from tests.host.test_watch import WatcherScene
from tests.platform.scene import HostTestbed, make_settings

TEST_TIMEOUT_S = 60.0
"""Fails a test that waits for an event that never occurs, in s; not a requirement."""
HOST_NAMES = ("edge-1", "edge-2")
"""Hosts of one region; the first one reads the store for both."""


def leave(runner):
    """Let a runner say in its responses that it leaves."""
    runner.leaving = True


RULES = pytest.mark.parametrize("announce", [leave, push_back])


class HostPair:
    """Two hosts of one region.

    :param scene: store and runners.
    """

    def __init__(self, scene):
        self.scene = scene
        self.processes = {}
        self.tasks = {}

    @property
    def reader(self):
        """The host that reads the store and shares the result."""
        return self.processes["edge-1"]

    @property
    def follower(self):
        """The host that uses the views of the other one."""
        return self.processes["edge-2"]

    async def send(self, process, path="/unlock/7", **headers):
        """Send a request to one of the hosts."""
        return await self.scene.send_request_to(
            process.settings.client_address, path, "POST", body=b"hi", headers=headers
        )

    async def wait_until(self, condition):
        while not condition():
            await asyncio.sleep(0.02)

    async def wait_for_views(self, count=2):
        """Wait until the follower has applied further views of the reader."""
        assert self.follower.state.fleet.is_loaded
        for _ in range(count):
            read_s = self.follower.state.fleet.read_at_s
            await self.wait_until(
                lambda before=read_s: self.follower.state.fleet.read_at_s > before
            )

    async def write(self, runner, **fields):
        """Register a runner, and wait until the follower knows of it."""
        entry = runner.entry() | fields
        await self.scene.store.put("keyed.servers", runner.instance, entry)
        await self.wait_until(
            lambda: (
                (known := self.follower.state.fleet.get(runner.instance))
                and known.born_ms == entry["born"]
            )
        )

    async def drop(self, runner):
        """Remove a runner's entry, and wait until the follower knows of that."""
        await self.scene.store.drop("keyed.servers", runner.instance)
        await self.wait_until(
            lambda: self.follower.state.fleet.get(runner.instance) is None
        )


@contextlib.asynccontextmanager
async def running_pair(*runners):
    scene = await HostTestbed().open(*runners)
    pair = HostPair(scene)
    network, ports = scene.ip.rpartition(".")[0], scene.settings["InternalPorts"]
    ips = [f"{network}.{FIRST_HOST_OCTET + number}" for number in range(2)]
    try:
        async with (
            contextlib.AsyncExitStack() as stack,
            asyncio.timeout(TEST_TIMEOUT_S),
        ):
            for name, ip in zip(HOST_NAMES, ips, strict=True):
                settings = make_settings(
                    ip,
                    scene.store.address,
                    name=name,
                    InternalPorts=ports,
                    Seeds=[f"{other}:{ports[0]}" for other in ips if other != ip],
                )
                host = await stack.enter_async_context(running_host(settings))
                pair.processes[name] = host
            await pair.wait_until(
                lambda: (
                    all(item.ready for item in pair.processes.values())
                    and pair.follower._store_watch.source == "hosts"
                )
            )
            yield pair
    finally:
        scene.close()


def play(script, *runners):
    """Play a script with two hosts on virtual time."""

    async def run():
        async with running_pair(*runners) as pair:
            await script(pair)

    run_virtual(run(), io_wait_s=IO_WAIT_S)


@RULES
def test_views_of_another_host_bring_no_request_to_the_runner(announce):
    near, far = make_app_runners()

    async def script(pair):
        announce(near)
        await pair.send(pair.follower)
        for _ in range(3):
            await pair.wait_for_views()
            assert (await pair.send(pair.follower)).status == 200
        assert (len(near.received), len(far.received)) == (1, 3)

    play(script, near, far)


@RULES
def test_a_view_that_lists_the_runner_again_brings_it_no_request(announce):
    near, far = make_app_runners()

    async def script(pair):
        announce(near)
        await pair.send(pair.follower)
        await pair.drop(near)
        pair.follower.state.remove_departed_runners()
        await pair.write(near)
        for _ in range(2):
            assert (await pair.send(pair.follower)).status == 200
        assert (len(near.received), len(far.received)) == (1, 2)

    play(script, near, far)


@RULES
def test_a_host_that_reads_the_store_itself_again_sends_the_runner_nothing(announce):
    near, far = make_app_runners()

    async def script(pair):
        announce(near)
        await pair.send(pair.follower)
        pair.reader.ended.cancel()
        watch = pair.follower._store_watch
        await pair.wait_until(lambda: watch.source == "store")
        await pair.wait_for_views()
        for _ in range(2):
            assert (await pair.send(pair.follower)).status == 200
        assert (len(near.received), len(far.received)) == (1, 2)

    play(script, near, far)


@RULES
def test_work_of_another_host_brings_no_prompt_to_the_engine(announce):
    """Pattern: another host goes on to place prompts on the engine."""
    near, far = make_decode_engines()
    paths = [f"/ask/{number}" for number in range(3)]

    async def script(pair):
        announce(near)
        await pair.send(pair.follower, paths[0], **SHORT_PROMPT)
        near.leaving, near.mode = False, "serve"
        received = len(near.received)
        for path in paths:
            assert (await pair.send(pair.reader, path, **SHORT_PROMPT)).complete
            await pair.wait_for_views(1)
        sent_by_reader = len(near.received) - received
        for path in paths:
            assert (await pair.send(pair.follower, path, **SHORT_PROMPT)).complete
        assert received == 1
        assert len(near.received) == received + sent_by_reader
        assert sent_by_reader > 0

    play(script, near, far)


@RULES
def test_views_tell_of_a_restarted_runner_which_gets_requests(announce):
    """Guards against a runner that a host leaves out for good."""
    runner = make_app_runner()

    async def script(pair):
        announce(runner)
        await pair.send(pair.follower)
        assert (await pair.send(pair.follower)).status == 503
        assert len(runner.received) == 1
        runner.leaving, runner.mode = False, "serve"
        await pair.write(runner, born=2)
        assert (await pair.send(pair.follower)).status == 200
        assert len(runner.received) == 2

    play(script, runner)


@RULES
def test_each_host_learns_of_the_runner_by_a_single_request(announce):
    """Hosts don't tell each other, so each one gets the notice itself."""
    near, far = make_app_runners()

    async def script(pair):
        announce(near)
        for number in (1, 2):
            for process in pair.processes.values():
                await pair.send(process)
            assert len(near.received) == 2
            await pair.wait_for_views(number)

    play(script, near, far)


HEADS = {
    "leaving": make_head(200, True, None),
    "short pause": make_head(503, False, b"3"),
    "long pause": make_head(503, False, b"999999999"),
}
PAUSES_S = {"short pause": 3.0, "long pause": MAX_PUSH_BACK_S}
EVENTS = st.lists(
    st.one_of(
        st.tuples(st.just("view"), st.tuples(NEWS, st.sampled_from([0.0, 1.0, 5.0]))),
        st.tuples(st.just("read"), NEWS),
        st.tuples(st.just("restored"), NEWS),
        st.tuples(
            st.just("response"),
            st.tuples(st.integers(0, 99), st.sampled_from(sorted(HEADS))),
        ),
        st.tuples(st.just("wait"), st.sampled_from([0.2, RUNNER_POLL_INTERVAL_S, 6.0])),
    ),
    max_size=25,
)


@given(events=EVENTS)
def test_no_order_of_views_and_reads_takes_a_notice_back(events):
    """Guards against late views of other hosts, own reads and restorations of the store
    after which a runner that left or pushes back counts as available.
    """

    async def run():
        scene = WatcherScene()
        health = Upstreams(now_s=scene.now_s, host_count=lambda: 2).health
        notices = RunnerNotices(fleet=scene.fleet, health=health, metrics=HostMetrics())
        seen, left, until_s = {}, set(), {}
        for kind, value in events:
            await asyncio.sleep(0.01)
            match kind:
                case "view":
                    entries, age_s = value
                    update = replace(scene.make_update(entries), age_s=age_s)
                    scene.watch.apply_shared_view(update)
                case "read":
                    scene.fleet.update(value, now_s=scene.now_s())
                case "restored":
                    scene.share(*value, restored=True)
                case "wait":
                    await asyncio.sleep(value)
                case "response" if seen:
                    index, name = value
                    key = sorted(seen)[index % len(seen)]
                    notices.record(seen[key], HEADS[name], now_s=scene.now_s())
                    if name in PAUSES_S:
                        end_s = scene.now_s() + PAUSES_S[name]
                        until_s[key] = max(until_s.get(key, 0.0), end_s)
                    else:
                        left.add(key)
            now_s = scene.now_s()
            ruled_out = left | {key for key, end_s in until_s.items() if end_s > now_s}
            listed = {(e.instance, e.born_ms): e for e in scene.fleet.entries}
            seen |= listed
            for entry in notices.accepting("app", now_s=now_s):
                assert (entry.instance, entry.born_ms) not in ruled_out
            for key in listed.keys() & ruled_out:
                assert notices.find_objection(listed[key], now_s=now_s) is not None

    run_virtual(run())
