"""Tests of replay: determinism, revisions, tenures and unreadable records."""

from unittest import mock

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from lacewinglug.authority import replay
from lacewinglug.authority.records import (
    MAX_RECORD_BYTES,
    UnreadableReason,
    decode_record,
)
from lacewinglug.authority.state import ControlState
from lacewinglug.backing.log import StoredRecord
from tests.authority.writers import Writers, check_stream, copy_state, replay_all

HOSTS = st.sampled_from(["a", "b", "c"])
DOMAINS = st.sampled_from(["assistant/mtl", "runner:assistant-1"])
ACTIONS = st.one_of(
    st.tuples(st.just("read"), HOSTS, st.one_of(st.none(), st.integers(0, 30))),
    st.tuples(st.just("publish"), HOSTS, st.sampled_from(["mtl", "qc"])),
    st.tuples(st.just("claim"), HOSTS, DOMAINS, st.booleans()),
    st.tuples(st.just("release"), HOSTS, DOMAINS),
    st.tuples(st.just("drain"), HOSTS, HOSTS, st.booleans()),
    st.tuples(st.just("withdraw"), HOSTS, HOSTS),
    st.tuples(st.just("replace"), HOSTS, HOSTS, st.sampled_from(["m1", "a-m0"])),
    st.tuples(st.just("snapshot"), HOSTS),
    st.tuples(st.just("copy"), st.integers(0, 30)),
    st.tuples(st.just("append"), st.sampled_from([b"", b"{", b'{"kind":"x"}'])),
)


def write_stream(actions):
    writers = Writers()
    for name, *arguments in actions:
        if name == "claim":
            writer, domain, exclusive = arguments
            writers.claim(writer, domain, exclusive=exclusive)
        else:
            getattr(writers, name)(*arguments)
    return writers.records


@settings(max_examples=250, deadline=None, derandomize=True, database=None)
@given(st.lists(ACTIONS, max_size=40), st.sampled_from([4, 4096]))
def test_replay_of_interleaved_writers_is_deterministic(actions, window):
    with mock.patch.object(replay, "DEDUP_WINDOW_RECORDS", window):
        records = write_stream(actions)
        expected = check_stream(records)
        with_duplicates = ControlState()
        for index in range(len(records)):
            for record in records[max(0, index - 3) : index + 3]:
                replay.replay_record(with_duplicates, record)
        assert with_duplicates == expected


def concurrent_publications(writers):
    writers.publish("a", "mtl")
    writers.publish("b", "mtl")


def publication_with_wrong_digest(writers):
    writers.publish("a", "mtl", digest="0" * 32)


def duplicate_after_reversal(writers):
    writers.drain("a", "c")
    writers.read("a")
    writers.drain("a", "c", False)
    writers.copy(0)


def duplicate_outside_dedup_window(writers):
    writers.claim("a", "x")
    writers.read("a")
    writers.release("a", "x")
    for _ in range(6):
        writers.read("a")
        writers.drain("a", "c")
    writers.copy(0)


def concurrent_claims(writers):
    writers.claim("a", "x", exclusive=False)
    writers.claim("b", "x", exclusive=False)


def takeover_of_exclusive_tenure(writers):
    writers.claim("a", "x")
    writers.read("b")
    writers.claim("b", "x")


def takeover_from_another_machine(writers):
    writers.claim("a", "x")
    writers.read("a")
    writers.claim("a", "x", machine="a-m1", incarnation="2")


def claim_by_withdrawn_host(writers):
    writers.withdraw("b", "a")
    writers.claim("a", "x")


def claim_by_replaced_machine(writers):
    writers.replace("b", "a", "a-m1")
    writers.claim("a", "x")


def withdrawal_of_holder(writers):
    writers.claim("a", "x")
    writers.withdraw("b", "a")


def stale_snapshot_in_trimmed_log(writers):
    writers.drain("a", "b")
    writers.read("a")
    for _ in range(3):
        writers.drain("b", "c")
    writers.snapshot("a")


def snapshot_beyond_its_own_offset(writers):
    writers.drain("a", "b")
    writers.read("a")
    writers.view("a").next_offset = 3
    writers.snapshot("a")
    writers.drain("b", "c")
    writers.drain("b", "c", False)


def record_for_newer_reader(writers):
    writers.append(b'{"kind":"config_published","reader_version":2}')
    writers.publish("a", "mtl")


def find_snapshot_without_lower_bound(records, *, first_offset):
    return ORIGINAL_FIND_NEWEST_SNAPSHOT(records, first_offset=0)


def find_snapshot_without_upper_bound(records, *, first_offset):
    moved = [StoredRecord(offset=10**6, data=item.data) for item in records]
    return ORIGINAL_FIND_NEWEST_SNAPSHOT(moved, first_offset=first_offset)


def skip_newer_records(data):
    record = decode_record(data)
    newer = record is UnreadableReason.NEWER_VERSION
    return UnreadableReason.UNKNOWN_KIND if newer else record


ORIGINAL_FIND_NEWEST_SNAPSHOT = replay.find_newest_snapshot
MUTANTS = [
    ("is_based_on_current_revision", lambda *_: True, concurrent_publications),
    ("matches_digest", lambda *_: True, publication_with_wrong_digest),
    ("is_duplicate", lambda *_: False, duplicate_after_reversal),
    ("is_outside_dedup_window", lambda *_: False, duplicate_outside_dedup_window),
    ("_evict_old_entries", lambda *_: None, duplicate_outside_dedup_window),
    ("supersedes_current_tenure", lambda *_: True, concurrent_claims),
    ("may_take_over", lambda *_: True, takeover_of_exclusive_tenure),
    ("may_take_over", lambda *_: True, takeover_from_another_machine),
    ("is_claimant_in_service", lambda *_: True, claim_by_withdrawn_host),
    ("is_claimant_in_service", lambda *_: True, claim_by_replaced_machine),
    ("_end_tenures_of_host", lambda *_: None, withdrawal_of_holder),
    (
        "find_newest_snapshot",
        find_snapshot_without_lower_bound,
        stale_snapshot_in_trimmed_log,
    ),
    (
        "find_newest_snapshot",
        find_snapshot_without_upper_bound,
        snapshot_beyond_its_own_offset,
    ),
    ("decode_record", skip_newer_records, record_for_newer_reader),
]


@pytest.mark.parametrize(
    ("rule", "mutant", "script"),
    MUTANTS,
    ids=[f"{rule}-{script.__name__}" for rule, _, script in MUTANTS],
)
def test_invariants_hold_and_detect_each_disabled_rule(
    monkeypatch, rule, mutant, script
):
    monkeypatch.setattr(replay, "DEDUP_WINDOW_RECORDS", 5)
    writers = Writers()
    script(writers)
    check_stream(writers.records)
    monkeypatch.setattr(replay, rule, mutant)
    with pytest.raises(AssertionError):
        check_stream(writers.records)


def test_raced_publication_is_refused_with_the_name_of_the_winner():
    writers = Writers()
    concurrent_publications(writers)
    lost = replay_all(writers.records).publications["b.2"]
    assert (lost.accepted, lost.refusal) == (False, "raced")
    assert (lost.revision, lost.publisher) == (1, "a")


@pytest.mark.parametrize(
    ("script", "holder"),
    [
        (lambda w: w.release("a", "x"), "b"),
        (lambda w: w.withdraw("b", "a"), "b"),
        (lambda w: w.replace("b", "a", "a-m1"), "b"),
        (lambda w: w.drain("b", "a"), "a"),
    ],
    ids=["release", "withdrawal", "replacement", "drain"],
)
def test_exclusive_tenure_can_be_claimed_after_release_withdrawal_or_replacement(
    script, holder
):
    writers = Writers()
    writers.claim("a", "x")
    writers.read("a")
    script(writers)
    writers.read("b")
    writers.claim("b", "x")
    assert replay_all(writers.records).tenures["x"].host == holder


def test_exclusive_tenure_passes_to_new_incarnation_on_the_same_machine():
    writers = Writers()
    writers.claim("a", "x")
    writers.read("a")
    offset = writers.claim("a", "x", incarnation="2")
    assert replay_all(writers.records).tenures["x"].offset == offset


def test_ending_a_drain_does_not_undo_a_withdrawal():
    writers = Writers()
    writers.withdraw("a", "c")
    writers.drain("a", "c", False)
    assert replay_all(writers.records).withdrawn == {"c"}
    writers.replace("a", "c", "c-m1")
    assert replay_all(writers.records).withdrawn == set()


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (b"\xff\xfe", "undecodable"),
        (b"[" * 100_000, "undecodable"),
        (b'{"kind":"drain_changed","record_id":1}', "undecodable"),
        (b'{"kind":"lane_opened","record_id":"r"}', "unknown_kind"),
        (b" " * (MAX_RECORD_BYTES + 1), "oversized"),
    ],
    ids=["bytes", "depth", "fields", "kind", "size"],
)
def test_unreadable_records_are_counted_and_skipped(data, reason):
    writers = Writers()
    writers.publish("a", "mtl")
    writers.append(data)
    writers.read("a")
    writers.publish("a", "qc")
    state = check_stream(writers.records)
    assert (state.revision, state.skipped) == (2, {reason: 1})


def test_record_for_a_newer_reader_halts_with_a_hint_to_upgrade():
    writers = Writers()
    record_for_newer_reader(writers)
    state = replay_all(writers.records)
    assert "upgrade this host" in state.halted
    assert state.next_offset == 0


def test_state_with_an_older_revision_is_not_adopted():
    writers = Writers()
    writers.publish("a", "mtl")
    writers.read("a")
    old = copy_state(writers.view("a"))
    writers.publish("a", "qc")
    state = replay_all(writers.records)
    assert not replay.adopt_state(state, old)
    old.next_offset = 99
    assert not replay.adopt_state(state, old)
    assert state.revision == 2
