"""Tests of the components of the routing policy."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.retries import RetryBudget
from lacewinglug.routing.admission import AdmissionController, OfferedWork
from lacewinglug.routing.candidates import CandidateSelector
from lacewinglug.routing.choice import KvTransferCost, choose_placement
from lacewinglug.routing.lanes import LengthClass, choose_length_class, choose_priority
from lacewinglug.routing.ledger import RunnerLoadTracker
from lacewinglug.routing.migration import MigrationEstimate, should_migrate
from lacewinglug.routing.prefix import PrefixCacheIndex, hash_prefix_blocks
from tests.routing.helpers import make_profile, make_report, make_state


def test_load_estimate_adds_own_requests_since_the_report():
    load_tracker = RunnerLoadTracker()
    load_tracker.record_change(1.0, in_flight=2, prefill_tokens=600)
    load_tracker.update_report(
        make_report(running=5, queued_prefill_tokens=900), sampled_s=1.5
    )
    load_tracker.record_change(2.0, in_flight=1, prefill_tokens=300)
    load = load_tracker.estimate()
    assert (load.in_flight, load.prefill_tokens) == (6, 1200)
    assert load_tracker.estimate(assumed_senders=8).in_flight == 13


def test_load_tracker_keeps_the_newer_of_two_reordered_reports():
    load_tracker = RunnerLoadTracker()
    load_tracker.update_report(make_report(running=5), sampled_s=2.0)
    load_tracker.update_report(make_report(running=9), sampled_s=1.0)
    assert load_tracker.estimate().in_flight == 5


@given(
    st.lists(
        st.one_of(
            st.integers(-3, 3).map(lambda value: ("own", value)),
            st.integers(0, 50).map(lambda value: ("report", value)),
        )
    )
)
def test_load_estimate_is_never_below_the_own_load(steps):
    load_tracker = RunnerLoadTracker()
    for now_s, (kind, value) in enumerate(steps):
        if kind == "own":
            load_tracker.record_change(
                float(now_s), in_flight=max(value, -load_tracker.in_flight)
            )
        else:
            load_tracker.update_report(
                make_report(running=value), sampled_s=now_s - 0.5
            )
        assert (
            load_tracker.estimate(assumed_senders=4).in_flight
            >= load_tracker.in_flight
            >= 0
        )


def test_block_hashes_are_chained_and_skip_a_partial_block():
    words = [str(index) for index in range(25)]
    whole = hash_prefix_blocks(words, block_tokens=10)
    other = hash_prefix_blocks(["x", *words[1:]], block_tokens=10)
    assert len(whole) == 2
    assert whole[0] == hash_prefix_blocks(words[:10], block_tokens=10)[0]
    assert not set(whole) & set(other)


def test_prefix_cache_index_evicts_the_least_recently_used_block():
    cache_index = PrefixCacheIndex(max_blocks=2)
    cache_index.add((1, 2))
    cache_index.add((1,))
    cache_index.add((3,))
    assert cache_index.count_cached_blocks((1, 3, 2)) == 2
    cache_index.clear()
    assert cache_index.count_cached_blocks((1,)) == 0


@pytest.mark.parametrize(
    ("prompt_tokens", "output_tokens", "length_class"),
    [
        (300, 60, LengthClass.SHORT),
        (300, 3000, LengthClass.LONG),
        (20000, 60, LengthClass.LONG),
    ],
)
def test_length_class_depends_on_prompt_and_output_length(
    prompt_tokens, output_tokens, length_class
):
    assert (
        choose_length_class(prompt_tokens=prompt_tokens, output_tokens=output_tokens)
        is length_class
    )


def test_priority_prefers_value_per_token_and_puts_long_requests_last():
    kiosk = choose_priority(LengthClass.SHORT, value=3, prefill_tokens=300)
    history = choose_priority(LengthClass.SHORT, value=2, prefill_tokens=3000)
    long = choose_priority(LengthClass.LONG, value=9, prefill_tokens=10)
    assert kiosk < history < long


def test_prefill_and_decode_are_split_between_engines_of_matching_roles():
    runners = [
        make_state("d", serving_mode="decode"),
        make_state("p", serving_mode="prefill"),
    ]
    transfer = KvTransferCost(
        kv_bytes_per_token=131072, local_bytes_per_s=1.25e9, remote_bytes_per_s=6e8
    )
    profile = make_profile(prompt_tokens=3000, output_tokens=200)
    placement = choose_placement(profile, LengthClass.SHORT, runners, transfer=transfer)
    assert (placement.runner.name, placement.decode_runner.name) == ("p", "d")
    aggregated = choose_placement(profile, LengthClass.SHORT, runners)
    assert aggregated.runner is aggregated.decode_runner


def test_network_delay_decides_between_equal_runners():
    runners = [make_state("far", delay_s=0.02), make_state("near", delay_s=0.001)]
    assert (
        choose_placement(make_profile(), LengthClass.SHORT, runners).runner.name
        == "near"
    )


def make_work(value, *, organisation="a", work_s=1.0, wait_s=1.0):
    return OfferedWork(
        organisation=organisation,
        organisation_weight=1.0,
        value=value,
        work_s=work_s,
        wait_s=wait_s,
    )


def count_admitted(offered_work, *, capacity, rounds=200):
    controller = AdmissionController(target_wait_s=0.25)
    admitted = Counter()
    for step in range(rounds):
        for index, item in enumerate(offered_work):
            if controller.admit(item, capacity=capacity, now_s=step * 0.1):
                admitted[index] += 1
    return admitted


def test_admission_prefers_value_per_second_under_overload():
    admitted = count_admitted(
        [make_work(9.0, work_s=0.1), make_work(1.0, work_s=0.1)], capacity=1
    )
    assert admitted[0] > 4 * admitted[1]


def test_admission_accepts_everything_without_queueing():
    offered_work = [make_work(1.0, work_s=0.01, wait_s=0.0)] * 3
    assert sum(count_admitted(offered_work, capacity=5.0).values()) == 600


def test_admission_is_fair_between_organisations_of_equal_weight():
    offered_work = [make_work(1.0, organisation="high-load", work_s=0.1)] * 9
    offered_work.append(make_work(1.0, organisation="low-load", work_s=0.1))
    admitted = count_admitted(offered_work, capacity=2.0)
    assert admitted[9] > 0.4 * sum(admitted.values())


def test_candidates_are_few_and_share_affinity_runners_between_entries():
    names = tuple(f"runner-{index}" for index in range(1300))
    selectors = []
    for entry in ("entry-1", "entry-2"):
        selector = CandidateSelector(entry=entry)
        selector.update(names)
        selectors.append(selector)
    first = [selector.select("organisation-7") for selector in selectors]
    assert all(len(candidates) <= 8 for candidates in first)
    assert first[0][:3] == first[1][:3]
    assert set(first[0][3:]) != set(first[1][3:])
    seen = {name for _ in range(20) for name in selectors[0].select("organisation-7")}
    assert len(seen) <= 51


def test_retry_budget_limits_retries_to_a_share_of_requests():
    budget = RetryBudget(ratio=0.1, capacity=5, tokens=0)
    spent = 0
    for _ in range(1000):
        budget.note_request()
        spent += budget.try_spend()
    assert 90 <= spent <= 100


@pytest.mark.parametrize(
    ("source_remaining_s", "migrates"), [(5.0, True), (2.2, False)]
)
def test_a_stream_migrates_only_for_a_clear_gain(source_remaining_s, migrates):
    estimate = MigrationEstimate(
        source_remaining_s=source_remaining_s, target_remaining_s=1.5, transfer_s=0.5
    )
    assert should_migrate(estimate) is migrates
