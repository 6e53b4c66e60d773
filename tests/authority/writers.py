"""Simulated writers of the control stream with stale views, and a replay checker."""

from dataclasses import dataclass, field, replace

import msgspec

from lacewinglug.authority import replay
from lacewinglug.authority.records import (
    ConfigPublished,
    DrainChanged,
    HostReplaced,
    HostWithdrawn,
    SnapshotTaken,
    TenureClaimed,
    TenureReleased,
    UnreadableReason,
    decode_record,
    encode_record,
)
from lacewinglug.authority.state import NO_TENURE, ControlState
from lacewinglug.backing.log import StoredRecord
from lacewinglug.config.changes import diff_fleets, digest_fleet
from lacewinglug.config.objects import Region


def copy_state(state):
    """Return a deep copy, made by an encode and decode round trip."""
    return msgspec.convert(msgspec.to_builtins(state), ControlState)


@dataclass(kw_only=True)
class Writers:
    """Writers that share a stream, each with its own, possibly stale view of it."""

    records: list[StoredRecord] = field(default_factory=list)
    views: dict[str, ControlState] = field(default_factory=dict)
    count: int = 0

    def view(self, writer):
        """Return the state that a writer has replayed so far."""
        return self.views.setdefault(writer, ControlState())

    def append(self, data):
        """Append raw bytes as a record and return its offset."""
        self.records.append(StoredRecord(offset=len(self.records), data=data))
        return len(self.records) - 1

    def write(self, writer, kind, **fields):
        """Append a record that is derived from a writer's view."""
        self.count += 1
        header = {"record_id": f"{writer}.{self.count}"}
        header["as_of"] = self.view(writer).next_offset
        return self.append(encode_record(kind(**{**header, **fields})))

    def read(self, writer, upto=None):
        """Replay further records into a writer's view."""
        view = self.view(writer)
        for record in self.records[view.next_offset : upto]:
            replay.replay_record(view, record)

    def publish(self, writer, region, **fields):
        """Publish a configuration with a new region, based on the writer's view."""
        view = self.view(writer)
        item = Region(one_way_delay_s=0.02)
        updated = replace(view.fleet, regions=view.fleet.regions | {region: item})
        defaults = {
            "publisher": writer,
            "base_revision": view.revision,
            "change": diff_fleets(view.fleet, updated),
            "digest": digest_fleet(updated),
        }
        return self.write(writer, ConfigPublished, **{**defaults, **fields})

    def claim(self, writer, domain, *, exclusive=True, incarnation="1", **fields):
        """Claim a domain, superseding the tenure in the writer's view."""
        current = self.view(writer).tenures.get(domain)
        defaults = {
            "domain": domain,
            "host": writer,
            "incarnation": incarnation,
            "supersedes": current.offset if current else NO_TENURE,
            "machine": f"{writer}-m0",
            "exclusive": exclusive,
        }
        return self.write(writer, TenureClaimed, **{**defaults, **fields})

    def release(self, writer, domain):
        """Release a domain if the writer holds it according to its view."""
        current = self.view(writer).tenures.get(domain)
        if current is not None and current.host == writer:
            self.write(writer, TenureReleased, domain=domain, tenure=current.offset)

    def drain(self, writer, target, draining=True):
        """Start or end the drain of a host."""
        fields = {"target": target, "draining": draining, "operator": writer}
        self.write(writer, DrainChanged, **fields)

    def withdraw(self, writer, target):
        """Withdraw a host."""
        self.write(writer, HostWithdrawn, target=target, operator=writer)

    def replace(self, writer, target, machine):
        """Replace the machine of a host."""
        fields = {"target": target, "machine": machine, "operator": writer}
        self.write(writer, HostReplaced, **fields)

    def snapshot(self, writer):
        """Append a snapshot of the writer's view, even if it is stale."""
        self.write(writer, SnapshotTaken, state=copy_state(self.view(writer)))

    def copy(self, index):
        """Append a duplicate of an earlier record."""
        if self.records:
            self.append(self.records[index % len(self.records)].data)


def replay_all(records, state=None):
    """Replay records, by default into an empty state, and return the state."""
    state = state or ControlState()
    for record in records:
        replay.replay_record(state, record)
    return state


def check_stream(records):
    """Assert the invariants of replay after each record of a stream."""
    state, applied_ids = ControlState(), set()
    for stored in records:
        before = copy_state(state)
        replay.replay_record(state, stored)
        record = decode_record(stored.data)
        if record is UnreadableReason.NEWER_VERSION or before.halted:
            assert state.next_offset == before.next_offset, (
                "replay passed a record that needs a newer reader"
            )
            continue
        assert state.revision in (before.revision, before.revision + 1)
        assert len(state.seen) <= replay.DEDUP_WINDOW_RECORDS + 1, (
            "dedup window is unbounded"
        )
        if _replicated_state(state) != _replicated_state(before):
            assert record.record_id not in applied_ids, "a duplicate took effect"
            applied_ids.add(record.record_id)
        if state.revision > before.revision:
            assert record.base_revision == before.revision, (
                "publication is not based on the current revision"
            )
            assert digest_fleet(state.fleet) == record.digest, (
                "configuration differs from its digest"
            )
        for domain in state.tenures.keys() | before.tenures.keys():
            _check_tenure(domain, before, state, record)
    _check_snapshots(records, state)
    return state


def _replicated_state(state):
    return (
        state.revision,
        dict(state.tenures),
        set(state.draining),
        set(state.withdrawn),
        dict(state.machines),
    )


def _check_tenure(domain, before, state, record):
    """Assert that a tenure began or ended as one of the rules allows."""
    old, new = before.tenures.get(domain), state.tenures.get(domain)
    if new is not None:
        assert new.host not in state.withdrawn, "tenure is held by a withdrawn host"
        assert state.machines.get(new.host, new.machine) == new.machine, (
            "tenure is held by a replaced machine"
        )
    if old == new:
        return
    match record:
        case TenureClaimed():
            assert record.supersedes == (old.offset if old else NO_TENURE)
            assert old is None or new.offset > old.offset, (
                "fencing number did not increase"
            )
            if old is not None and old.exclusive:
                assert (old.host, old.machine) == (new.host, new.machine), (
                    "exclusive tenure moved"
                )
        case TenureReleased():
            assert new is None
            assert record.tenure == old.offset
        case HostWithdrawn() | HostReplaced():
            assert new is None
            assert record.target == old.host
        case _:
            raise AssertionError(f"unexpected change of a tenure by {record}")


def _check_snapshots(records, expected):
    """Assert that replay of any trimmed log yields the same state as the full log."""
    for first in range(1, len(records)):
        kept = records[first:]
        start = replay.find_newest_snapshot(kept, first_offset=first)
        if start is not None:
            start = copy_state(start)
            rest = [item for item in kept if item.offset >= start.next_offset]
            assert replay_all(rest, start) == expected, (
                "replay from a snapshot differs from the full replay"
            )
