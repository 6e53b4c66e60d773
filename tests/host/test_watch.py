"""One or two hosts read the store for their region; the others survive their loss."""

import asyncio
import functools
import json
from dataclasses import replace

import pytest

from harness.virtual_time import run_virtual
from lacewinglug.host.distance import Geography
from lacewinglug.host.fleet import REGISTRATION_GRACE_S, FleetView, LeavingSource
from lacewinglug.host.hosts import HostTable
from lacewinglug.host.model import TopicSnapshot
from lacewinglug.host.peers import PeerProtocol, encode_identity
from lacewinglug.host.positions import StorePosition
from lacewinglug.host.routes import RouteTable
from lacewinglug.host.sharing import ReplicatedRunners
from lacewinglug.host.watch import (
    HOSTS_TOPIC,
    RUNNER_EXPIRY_HEARTBEATS,
    RUNNER_POLL_INTERVAL_S,
    SHARED_VIEW_TIMEOUT_S,
    StoreWatcher,
)
from lacewinglug.platform.records import CONFIGURATION_TOPIC, RUNNERS_TOPIC
from lacewinglug.platform.store import StoreError
from tests.host.samples import make_configuration, make_runner
from tests.host.test_hosts import make_identity
from tests.test_decoding import NESTED_JSON, append_nested_field

REGIONS = {"mtl-a": "mtl", "qc-a": "qc"}
RUN_TIME_S = 20.0
HEARTBEAT_S = 1.2


def on_virtual_time(test):
    """Run a test in an event loop with virtual time."""

    @functools.wraps(test)
    def run_test(**arguments):
        run_virtual(test(**arguments))

    return run_test


class FakeStore:
    """A store on virtual time that counts the calls to it."""

    def __init__(self):
        self.calls = 0
        self.on_era = lambda _: None
        self.end = StorePosition(era=1, offset=5)
        self.available = True
        self.values = {}

    async def read_newest(self, topic):
        self._count_call()
        return TopicSnapshot(values=self.values.get(topic, {}), end=self.end)

    async def put(self, topic, *, key, value):
        self._count_call()
        return self.end.era

    async def wait_for_records(self, topic, *, start, wait_s):
        self._count_call()
        await asyncio.sleep(wait_s)
        return self.end != start

    def _count_call(self):
        self.calls += 1
        self.on_era(self.end.era)
        if not self.available:
            raise StoreError("store is unavailable")


class WatcherScene:
    """A host that watches the store, and another host of its region."""

    def __init__(self, own="b"):
        loop = asyncio.get_running_loop()
        self.now_s = loop.time
        self.suspended_s = 0.0
        self.store = FakeStore()
        self.shared_updates = []
        self.table = HostTable(
            own=make_identity(own, "mtl-a"), geography=Geography(regions=REGIONS)
        )
        self.fleet = FleetView()
        self.watch = StoreWatcher(
            store=self.store,
            routes=RouteTable(),
            fleet=self.fleet,
            hosts=self.table,
            peers=None,
            now_s=self.now_s,
            heartbeat_s=HEARTBEAT_S,
            boot_time_s=lambda: self.now_s() + self.suspended_s,
            send_view_update=self.shared_updates.append,
        )
        self.store.on_era = self.watch.record_era
        self.reader_entries = ReplicatedRunners()

    def receive_heartbeat(self, name="a", **state):
        self.table.record_heartbeat(
            make_identity(name, "mtl-a"),
            ready=True,
            leaving=False,
            now_s=self.now_s(),
            store_reachable=True,
            **state,
        )

    def share(self, *entries, restored=False):
        """Receive a view that the reader of the region has read from the store."""
        if restored:
            self.store.end = replace(self.store.end, era=self.store.end.era + 1)
        self.watch.apply_shared_view(self.make_update(entries))

    def make_update(self, entries=(), **fields):
        update = replace(self.reader_entries.replace(entries), **fields)
        end = self.store.end
        return replace(update, era=end.era, configuration_end=end)

    async def run(self, time_s, *, shared_views):
        """Run the watcher, with or without shared views at the usual interval."""
        tasks = [
            asyncio.create_task(self.watch.follow_runners()),
            asyncio.create_task(self.watch.follow_configuration()),
        ]
        end_s = self.now_s() + time_s
        try:
            while self.now_s() < end_s:
                self.receive_heartbeat()
                if shared_views:
                    self.watch.apply_shared_view(self.make_update())
                await asyncio.sleep(RUNNER_POLL_INTERVAL_S)
        finally:
            for task in tasks:
                task.cancel()


@pytest.mark.parametrize(("own", "reads"), [("0", True), ("b", False)])
def test_the_first_host_by_name_reads_the_store_for_its_region(own, reads):
    table = HostTable(
        own=make_identity(own, "mtl-a"), geography=Geography(regions=REGIONS)
    )
    table.record_heartbeat(
        make_identity("a", "mtl-a"),
        ready=True,
        leaving=False,
        now_s=0.0,
        store_reachable=True,
    )
    assert table.is_store_reader(now_s=0.0) is reads


@pytest.mark.parametrize(
    "state",
    [
        {"store_reachable": False, "leaving": False},
        {"store_reachable": True, "leaving": True},
    ],
)
def test_leaving_hosts_and_hosts_without_store_access_are_not_readers(state):
    table = HostTable(
        own=make_identity("b", "mtl-a"), geography=Geography(regions=REGIONS)
    )
    table.record_heartbeat(make_identity("a", "mtl-a"), ready=True, now_s=0.0, **state)
    assert table.is_store_reader(now_s=0.0)


def test_silent_hosts_and_hosts_of_other_regions_are_not_readers():
    table = HostTable(
        own=make_identity("b", "mtl-a"), geography=Geography(regions=REGIONS)
    )
    for name, zone, heartbeat_s in (("a", "mtl-a", 0.0), ("0", "qc-a", 9.0)):
        table.record_heartbeat(
            make_identity(name, zone),
            ready=True,
            leaving=False,
            now_s=heartbeat_s,
            store_reachable=True,
        )
    assert table.is_store_reader(now_s=9.0)


def test_a_large_region_has_two_readers():
    table = HostTable(
        own=make_identity("b", "mtl-a"), geography=Geography(regions=REGIONS)
    )
    for name in ("a", "c", "d", "e"):
        table.record_heartbeat(
            make_identity(name, "mtl-a"),
            ready=True,
            leaving=False,
            now_s=0.0,
            store_reachable=True,
        )
    assert table.is_store_reader(now_s=0.0)


@on_virtual_time
async def test_a_host_with_shared_views_calls_the_store_only_on_startup():
    scene = WatcherScene()
    await scene.run(RUN_TIME_S, shared_views=True)
    assert scene.store.calls <= 4
    assert scene.fleet.age_s(scene.now_s()) <= SHARED_VIEW_TIMEOUT_S
    assert not scene.shared_updates


@on_virtual_time
async def test_a_host_without_shared_views_reads_the_store_itself():
    scene = WatcherScene()
    await scene.run(RUN_TIME_S, shared_views=False)
    assert scene.fleet.age_s(scene.now_s()) <= SHARED_VIEW_TIMEOUT_S
    assert scene.store.calls > RUN_TIME_S


@on_virtual_time
async def test_the_reader_of_a_region_shares_its_view():
    scene = WatcherScene(own="0")
    await scene.run(RUN_TIME_S, shared_views=False)
    assert len(scene.shared_updates) >= RUN_TIME_S / RUNNER_POLL_INTERVAL_S - 1
    assert scene.shared_updates[-1].configuration_end == scene.store.end


@on_virtual_time
async def test_view_age_is_bounded_after_the_reader_falls_silent():
    scene = WatcherScene()
    await scene.run(5.0, shared_views=True)
    ages = []

    async def sample():
        while True:
            ages.append(scene.fleet.age_s(scene.now_s()))
            await asyncio.sleep(0.05)

    task = asyncio.create_task(sample())
    await scene.run(5.0, shared_views=False)
    task.cancel()
    assert max(ages) <= SHARED_VIEW_TIMEOUT_S + RUNNER_POLL_INTERVAL_S


@on_virtual_time
async def test_a_later_configuration_is_read_when_a_peer_reports_it():
    scene = WatcherScene()
    await scene.run(2.0, shared_views=True)
    calls = scene.store.calls
    scene.store.end = scene.store.end.next
    await scene.run(2.0, shared_views=True)
    assert scene.store.calls == calls + 1


@on_virtual_time
async def test_shared_views_tell_the_version_that_their_reader_has():
    reader, other = WatcherScene(own="0"), WatcherScene()
    reader.watch.routes.apply(make_configuration(7), now_s=0.0)
    await reader.run(2.0, shared_views=False)
    other.watch.apply_shared_view(reader.shared_updates[-1])
    assert other.watch.routes.latest_known_version == 7


@on_virtual_time
async def test_grace_time_of_lapsed_entries_applies_to_shared_views():
    scene = WatcherScene()
    runner = make_runner("a")
    scene.fleet.update([runner], now_s=scene.now_s())
    scene.watch.apply_shared_view(scene.make_update([runner]))
    scene.watch.apply_shared_view(scene.make_update([], grace_s=REGISTRATION_GRACE_S))
    assert scene.fleet.entries == (runner,)
    await asyncio.sleep(REGISTRATION_GRACE_S + 0.1)
    scene.watch.apply_shared_view(scene.make_update([]))
    assert scene.fleet.entries == ()


@on_virtual_time
async def test_a_host_whose_store_calls_fail_uses_shared_views():
    scene = WatcherScene(own="0")
    await scene.run(2.0, shared_views=True)
    scene.store.available = False
    await scene.run(5.0, shared_views=True)
    calls = scene.store.calls
    await scene.run(RUN_TIME_S, shared_views=True)
    assert scene.fleet.age_s(scene.now_s()) <= SHARED_VIEW_TIMEOUT_S
    assert scene.store.calls - calls <= RUN_TIME_S


@on_virtual_time
async def test_a_read_interrupted_by_suspension_is_shared_as_old():
    scene = WatcherScene(own="0")
    read_newest = scene.store.read_newest

    async def read_slowly(topic):
        snapshot = await read_newest(topic)
        scene.suspended_s += 5.0
        return snapshot

    await scene.run(2.0, shared_views=False)
    scene.store.read_newest = read_slowly
    scene.shared_updates.clear()
    await scene.run(1.0, shared_views=False)
    assert min(update.age_s for update in scene.shared_updates) >= 5.0


@on_virtual_time
async def test_an_outdated_shared_view_does_not_restore_runners():
    scene = WatcherScene()
    await asyncio.sleep(10.0)
    runner = make_runner("a")
    scene.fleet.update([], now_s=scene.now_s())
    scene.watch.apply_shared_view(scene.make_update([runner], age_s=5.0))
    assert scene.fleet.entries == ()


@on_virtual_time
async def test_the_later_of_two_reported_ends_of_configurations_counts():
    scene = WatcherScene()
    await scene.run(2.0, shared_views=True)
    earlier = scene.make_update()
    scene.store.end = scene.store.end.next
    scene.watch.apply_shared_view(scene.make_update())
    scene.watch.apply_shared_view(earlier)
    calls = scene.store.calls
    await scene.run(0.5, shared_views=True)
    assert scene.store.calls > calls


# Guards against reads of a restored store without end.
@pytest.mark.parametrize("offset", [3, 5, 9])
@on_virtual_time
async def test_a_restored_configuration_topic_is_read_once(offset):
    scene = WatcherScene()
    await scene.run(2.0, shared_views=True)
    calls = scene.store.calls
    scene.store.end = StorePosition(era=2, offset=offset)
    await scene.run(RUN_TIME_S, shared_views=True)
    assert scene.store.calls == calls + 1


# Guards against configurations that a host misses after the store was restored.
@pytest.mark.parametrize("shared_views", [False, True])
@on_virtual_time
async def test_a_configuration_at_the_offset_of_before_a_restoration_is_read(
    shared_views,
):
    scene = WatcherScene()
    await scene.run(2.0, shared_views=shared_views)
    before = scene.store.end
    scene.store.end = replace(before, era=2)
    read = []
    read_newest = scene.store.read_newest

    async def record_read(topic):
        read.append(topic)
        return await read_newest(topic)

    scene.store.read_newest = record_read
    await scene.run(RUNNER_POLL_INTERVAL_S, shared_views=shared_views)
    assert CONFIGURATION_TOPIC in read


@pytest.mark.parametrize(
    "reported",
    [
        {"configuration_end": StorePosition(era=1, offset=50)},
        {"configuration_end": StorePosition(era=7, offset=1), "era": 7},
        {"era": 7},
    ],
)
@on_virtual_time
async def test_reports_that_the_store_contradicts_cause_few_reads(reported):
    scene = WatcherScene()
    await scene.run(2.0, shared_views=True)
    calls = scene.store.calls
    make_update = scene.make_update
    scene.make_update = lambda: replace(make_update(), **reported)
    await scene.run(RUN_TIME_S, shared_views=True)
    assert scene.store.calls - calls <= 2 * RUN_TIME_S / RUNNER_POLL_INTERVAL_S


# Guards against requests to a runner that has gone, on a host that gets the raw list.
@on_virtual_time
async def test_a_shared_view_after_a_restoration_does_not_bring_back_a_gone_runner():
    scene = WatcherScene()
    gone, other = make_runner("gone", born_ms=5), make_runner("other")
    scene.fleet.update([gone, other], now_s=scene.now_s())
    scene.share(gone, other)
    scene.share(other)
    assert scene.fleet.entries == (other,)
    scene.share(gone, other, restored=True)
    assert scene.fleet.entries == (other,)
    await asyncio.sleep(RUNNER_EXPIRY_HEARTBEATS * HEARTBEAT_S)
    scene.share(gone, other, restored=True)
    await asyncio.sleep(RUNNER_EXPIRY_HEARTBEATS * HEARTBEAT_S)
    scene.share(gone, other)
    assert scene.fleet.entries == (other,), "it is held back from each restoration on"


# Guards against holding back a runner that serves.
@pytest.mark.parametrize(
    ("born_ms", "after_s"),
    [(6, 0.0), (5, RUNNER_EXPIRY_HEARTBEATS * HEARTBEAT_S + RUNNER_POLL_INTERVAL_S)],
)
@on_virtual_time
async def test_a_new_incarnation_or_a_lasting_entry_counts_after_a_restoration(
    born_ms, after_s
):
    scene = WatcherScene()
    scene.fleet.update([make_runner("a", born_ms=5)], now_s=scene.now_s())
    scene.share()
    scene.share(restored=True)
    await asyncio.sleep(after_s + 0.1)
    back = make_runner("a", born_ms=born_ms)
    scene.share(back)
    assert scene.fleet.entries == (back,)


# Guards against holding back a runner that was given up while it was not listed yet.
@on_virtual_time
async def test_a_runner_that_writes_again_after_the_grace_serves():
    scene = WatcherScene()
    late = make_runner("a", born_ms=5)
    scene.fleet.update([late], now_s=scene.now_s())
    scene.share(late)
    scene.share(restored=True)
    await asyncio.sleep(REGISTRATION_GRACE_S + 0.1)
    scene.share()
    assert scene.fleet.entries == ()
    scene.share(late)
    assert scene.fleet.entries == (late,)


# Guards against requests to the former address of a runner that has started again.
@on_virtual_time
async def test_a_restored_entry_does_not_replace_a_later_incarnation():
    scene = WatcherScene()
    before = make_runner("a", born_ms=5, address="10.0.0.1:80")
    after = make_runner("a", born_ms=9, address="10.0.0.2:80")
    scene.fleet.update([before], now_s=scene.now_s())
    scene.share(before)
    scene.share(after)
    scene.share(before, restored=True)
    assert scene.fleet.entries == (after,)
    await asyncio.sleep(REGISTRATION_GRACE_S + 0.1)
    scene.share(before)
    assert scene.fleet.entries == (), "neither of them is there"


# Guards against requests to a former owner of an address that is listed again.
@on_virtual_time
async def test_a_restored_entry_does_not_take_an_address_from_its_later_owner():
    scene = WatcherScene()
    former = make_runner("former", born_ms=5, address="10.0.0.1:80")
    owner = make_runner("owner", born_ms=9, address="10.0.0.1:80")
    scene.fleet.update([owner], now_s=scene.now_s())
    scene.share(owner)
    scene.share(former, restored=True)
    assert scene.fleet.ready("app") == (owner,)


# Guards against requests to a runner that a receiver of shared views knows to leave.
@pytest.mark.parametrize("source", list(LeavingSource))
@on_virtual_time
async def test_a_draining_runner_stays_so_after_restorations(source):
    scene = WatcherScene()
    ready = make_runner("a", born_ms=5)
    scene.fleet.update([ready], now_s=scene.now_s())
    scene.share(ready)
    match source:
        case LeavingSource.REGISTRY:
            scene.share(replace(ready, draining=True))
        case LeavingSource.RESPONSE:
            scene.fleet.record_leaving(ready, now_s=scene.now_s())
    for after_s in (0.0, RUNNER_EXPIRY_HEARTBEATS * HEARTBEAT_S, 60.0):
        await asyncio.sleep(after_s)
        scene.share(ready, restored=True)
        assert scene.fleet.get("a").draining
        assert scene.fleet.ready("app") == ()


# Guards against requests to a gone runner whose entry outlasts an outage of the store.
@on_virtual_time
async def test_a_gone_runner_is_held_back_until_the_store_can_remove_its_entry():
    scene = WatcherScene()
    gone, other = make_runner("gone", born_ms=5), make_runner("other")
    scene.fleet.update([gone, other], now_s=scene.now_s())
    scene.share(gone, other)
    scene.share(other)
    scene.watch.record_era(2)  # of a response with status 503
    scene.fleet.mark_store_unavailable(now_s=scene.now_s())
    await asyncio.sleep(2 * RUNNER_EXPIRY_HEARTBEATS * HEARTBEAT_S)
    scene.share(gone, other, restored=True)
    assert scene.fleet.entries == (other,)
    await asyncio.sleep(2 * RUNNER_EXPIRY_HEARTBEATS * HEARTBEAT_S)
    scene.share(gone, other)
    assert scene.fleet.get("gone") == gone, "a lasting entry counts in the end"


# Guards against an era that is forgotten because another report was wrong.
@on_virtual_time
async def test_a_wrong_report_does_not_undo_a_restoration_noticed_during_the_read():
    scene = WatcherScene()
    await scene.run(2.0, shared_views=True)
    before = scene.store.end
    eras = []

    async def notice_restoration(_topic):
        if not eras:
            scene.store.end = replace(before, era=2)
            scene.watch.record_era(2)  # of a response to a concurrent call
            eras.append(scene.watch.era)
            return TopicSnapshot(end=before)
        eras.append(scene.watch.era)
        return TopicSnapshot(end=scene.store.end)

    async def hold(_topic, *, start, wait_s):
        await asyncio.sleep(wait_s)

    scene.store.read_newest = notice_restoration
    scene.store.wait_for_records = hold
    wrong_end = replace(before, offset=50)
    update = replace(scene.make_update(), configuration_end=wrong_end)
    scene.watch.apply_shared_view(update)
    task = asyncio.create_task(scene.watch.follow_configuration())
    await asyncio.sleep(0.1)
    task.cancel()
    assert eras == [2, 2], "the configuration is read again at once"


# Guards against a configuration that is read late because the store holds the wait.
@on_virtual_time
async def test_a_new_era_ends_a_wait_that_the_store_holds():
    scene = WatcherScene()

    async def hold(_topic, *, start, wait_s):
        await asyncio.sleep(wait_s)

    scene.store.wait_for_records = hold
    task = asyncio.create_task(scene.watch.follow_configuration())
    await asyncio.sleep(0.1)
    calls = scene.store.calls
    scene.store.end = replace(scene.store.end, era=2)
    scene.watch.record_era(2)  # of a response to a concurrent call
    await asyncio.sleep(0.1)
    task.cancel()
    assert scene.store.calls == calls + 1


# Guards against a failed read after a wait, since its connection was still in use.
@on_virtual_time
async def test_an_interrupted_wait_has_ended_before_the_next_read():
    scene = WatcherScene()
    waiting = []

    async def wait_for_records(topic, *, start, wait_s):
        waiting.append(topic)
        try:
            await asyncio.sleep(wait_s)
        finally:
            waiting.clear()
        return False

    read_newest = scene.store.read_newest
    waiting_at_reads = []

    async def record_read(topic):
        if topic == CONFIGURATION_TOPIC:
            waiting_at_reads.append(list(waiting))
        return await read_newest(topic)

    scene.store.wait_for_records = wait_for_records
    scene.store.read_newest = record_read
    asyncio.get_running_loop().call_later(1.0, scene.watch.record_era, 2)
    await scene.run(2.0, shared_views=False)
    assert len(waiting_at_reads) > 1
    assert not any(waiting_at_reads)


# Guards against one deeply nested entry of another writer, after which no host read the
# runners any more, and none was ready after a restart.
@on_virtual_time
async def test_a_deeply_nested_entry_hides_no_runner():
    scene = WatcherScene()
    entry = {
        "Service": "app",
        "Address": "10.0.0.1:80",
        "Zone": "mtl-a",
        "Slots": 6,
        "State": "ready",
    }
    scene.store.values[RUNNERS_TOPIC] = {
        "inventory-7": NESTED_JSON,
        "app-1": json.dumps(entry).encode(),
    }
    await scene.watch.read_runners()
    assert [entry.instance for entry in scene.fleet.entries] == ["app-1"]


# Guards against the same among the registrations of hosts.
@on_virtual_time
async def test_a_deeply_nested_registration_hides_no_host():
    scene = WatcherScene()
    own = make_identity("d", "mtl-a")
    scene.watch.peers = PeerProtocol(
        table=scene.table, on_work=lambda _: None, advertised_state=lambda: None
    )
    scene.store.values[HOSTS_TOPIC] = {
        "inventory-7": append_nested_field(encode_identity(own)),
        "c": encode_identity(make_identity("c", "mtl-a")),
    }
    following = asyncio.create_task(scene.watch.follow_hosts())
    await asyncio.sleep(1.0)
    following.cancel()
    assert [peer.name for peer in scene.table.peers] == ["c"]
