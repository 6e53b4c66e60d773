"""A region reads the store through few of its hosts, and loses nothing with them."""

import asyncio
import functools
from dataclasses import replace

import pytest

from harness.virtual_time import run_virtual
from lacewinglug.host.distance import Geography
from lacewinglug.host.fleet import REGISTRATION_GRACE_S, FleetView
from lacewinglug.host.hosts import HostTable
from lacewinglug.host.model import TopicSnapshot
from lacewinglug.host.routes import RouteTable
from lacewinglug.host.sharing import SharedEntries
from lacewinglug.host.watch import HEARD_LIMIT_S, RUNNERS_EVERY_S, StoreWatch
from lacewinglug.platform.store import StoreError
from tests.host.samples import make_runner
from tests.host.test_hosts import identity

REGIONS = {"mtl-a": "mtl", "qc-a": "qc"}
USUAL_S = 20.0


def on_virtual_time(test):
    """Run a test in a loop whose time passes at once."""

    @functools.wraps(test)
    def run():
        run_virtual(test())

    return run


class FakeStore:
    """A store on virtual time that counts its calls."""

    def __init__(self):
        self.calls = 0
        self.end_offset = 5
        self.answers = True

    async def read_newest(self, topic):
        self._note()
        return TopicSnapshot(end_offset=self.end_offset)

    async def wait_for_records(self, topic, *, from_offset, wait_s):
        self._note()
        await asyncio.sleep(wait_s)
        return self.end_offset != from_offset

    def _note(self):
        self.calls += 1
        if not self.answers:
            raise StoreError("away")


class Scene:
    """A host that follows the store beside another one of its region."""

    def __init__(self, own="b"):
        loop = asyncio.get_running_loop()
        self.now_s = loop.time
        self.suspended_s = 0.0
        self.store = FakeStore()
        self.told = []
        self.table = HostTable(
            own=identity(own, "mtl-a"), geography=Geography(regions=REGIONS)
        )
        self.fleet = FleetView()
        self.watch = StoreWatch(
            store=self.store,
            routes=RouteTable(),
            fleet=self.fleet,
            hosts=self.table,
            peers=None,
            now_s=self.now_s,
            boot_time_s=lambda: self.now_s() + self.suspended_s,
            tell=self.told.append,
        )
        self.other = SharedEntries()

    def hear(self, name="a", **state):
        self.table.note_beat(
            identity(name, "mtl-a"),
            ready=True,
            leaving=False,
            now_s=self.now_s(),
            reads_store=True,
            **state,
        )

    def update(self, entries=(), **fields):
        update = replace(self.other.replace(entries), **fields)
        return replace(update, configuration_offset=self.store.end_offset)

    async def follow(self, time_s, *, told):
        """Follow for some time, told every usual interval or not at all."""
        tasks = [
            asyncio.create_task(self.watch.follow_runners()),
            asyncio.create_task(self.watch.follow_configuration()),
        ]
        end_s = self.now_s() + time_s
        try:
            while self.now_s() < end_s:
                self.hear()
                if told:
                    self.watch.take_view(self.update())
                await asyncio.sleep(RUNNERS_EVERY_S)
        finally:
            for task in tasks:
                task.cancel()


@pytest.mark.parametrize(("own", "reads"), [("0", True), ("b", False)])
def test_the_first_host_by_name_reads_for_its_region(own, reads):
    table = HostTable(own=identity(own, "mtl-a"), geography=Geography(regions=REGIONS))
    table.note_beat(
        identity("a", "mtl-a"), ready=True, leaving=False, now_s=0.0, reads_store=True
    )
    assert table.is_store_reader(now_s=0.0) is reads


@pytest.mark.parametrize(
    "state",
    [
        {"reads_store": False, "leaving": False},
        {"reads_store": True, "leaving": True},
    ],
)
def test_a_host_that_cannot_read_is_passed_over(state):
    table = HostTable(own=identity("b", "mtl-a"), geography=Geography(regions=REGIONS))
    table.note_beat(identity("a", "mtl-a"), ready=True, now_s=0.0, **state)
    assert table.is_store_reader(now_s=0.0)


def test_a_silent_host_and_one_of_another_region_do_not_read_for_this_one():
    table = HostTable(own=identity("b", "mtl-a"), geography=Geography(regions=REGIONS))
    for name, zone, heard_s in (("a", "mtl-a", 0.0), ("0", "qc-a", 9.0)):
        table.note_beat(
            identity(name, zone),
            ready=True,
            leaving=False,
            now_s=heard_s,
            reads_store=True,
        )
    assert table.is_store_reader(now_s=9.0)


def test_a_large_region_has_two_readers():
    table = HostTable(own=identity("b", "mtl-a"), geography=Geography(regions=REGIONS))
    for name in ("a", "c", "d", "e"):
        table.note_beat(
            identity(name, "mtl-a"),
            ready=True,
            leaving=False,
            now_s=0.0,
            reads_store=True,
        )
    assert table.is_store_reader(now_s=0.0)


@on_virtual_time
async def test_a_host_that_is_told_calls_the_store_at_its_start_only():
    scene = Scene()
    await scene.follow(USUAL_S, told=True)
    assert scene.store.calls <= 4
    assert scene.fleet.age_s(scene.now_s()) <= HEARD_LIMIT_S
    assert not scene.told


@on_virtual_time
async def test_a_host_that_is_told_nothing_reads_by_itself():
    scene = Scene()
    await scene.follow(USUAL_S, told=False)
    assert scene.fleet.age_s(scene.now_s()) <= HEARD_LIMIT_S
    assert scene.store.calls > USUAL_S


@on_virtual_time
async def test_the_reader_of_a_region_tells_what_it_reads():
    scene = Scene(own="0")
    await scene.follow(USUAL_S, told=False)
    assert len(scene.told) >= USUAL_S / RUNNERS_EVERY_S - 1
    assert scene.told[-1].configuration_offset == scene.store.end_offset


@on_virtual_time
async def test_a_view_is_no_older_than_the_bound_after_the_reader_falls_silent():
    scene = Scene()
    await scene.follow(5.0, told=True)
    ages = []

    async def sample():
        while True:
            ages.append(scene.fleet.age_s(scene.now_s()))
            await asyncio.sleep(0.05)

    task = asyncio.create_task(sample())
    await scene.follow(5.0, told=False)
    task.cancel()
    assert max(ages) <= HEARD_LIMIT_S + RUNNERS_EVERY_S


@on_virtual_time
async def test_a_later_configuration_is_read_when_it_is_told():
    scene = Scene()
    await scene.follow(2.0, told=True)
    calls = scene.store.calls
    scene.store.end_offset += 1
    await scene.follow(2.0, told=True)
    assert scene.store.calls == calls + 1


@on_virtual_time
async def test_entries_that_lapsed_for_the_reader_hold_at_those_who_are_told():
    scene = Scene()
    runner = make_runner("a")
    scene.fleet.update([runner], now_s=scene.now_s())
    scene.watch.take_view(scene.update([runner]))
    scene.watch.take_view(scene.update([], grace_s=REGISTRATION_GRACE_S))
    assert scene.fleet.entries == (runner,)
    await asyncio.sleep(REGISTRATION_GRACE_S + 0.1)
    scene.watch.take_view(scene.update([]))
    assert scene.fleet.entries == ()


@on_virtual_time
async def test_a_host_that_the_store_turns_away_uses_what_it_is_told():
    scene = Scene(own="0")
    await scene.follow(2.0, told=True)
    scene.store.answers = False
    await scene.follow(5.0, told=True)
    calls = scene.store.calls
    await scene.follow(USUAL_S, told=True)
    assert scene.fleet.age_s(scene.now_s()) <= HEARD_LIMIT_S
    assert scene.store.calls - calls <= USUAL_S


@on_virtual_time
async def test_a_read_that_a_suspension_interrupts_is_told_as_old():
    scene = Scene(own="0")
    read_newest = scene.store.read_newest

    async def read_slowly(topic):
        snapshot = await read_newest(topic)
        scene.suspended_s += 5.0
        return snapshot

    await scene.follow(2.0, told=False)
    scene.store.read_newest = read_slowly
    scene.told.clear()
    await scene.follow(1.0, told=False)
    assert min(update.age_s for update in scene.told) >= 5.0


@on_virtual_time
async def test_an_old_read_brings_no_runner_back():
    scene = Scene()
    await asyncio.sleep(10.0)
    runner = make_runner("a")
    scene.fleet.update([], now_s=scene.now_s())
    scene.watch.take_view(scene.update([runner], age_s=5.0))
    assert scene.fleet.entries == ()


@on_virtual_time
async def test_the_later_of_two_configurations_is_believed():
    scene = Scene()
    await scene.follow(2.0, told=True)
    earlier = scene.update()
    scene.store.end_offset += 1
    scene.watch.take_view(scene.update())
    scene.watch.take_view(earlier)
    calls = scene.store.calls
    await scene.follow(0.5, told=True)
    assert scene.store.calls > calls
