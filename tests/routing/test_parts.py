"""Tests of the parts of the routing policy."""

from collections import Counter

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.retries import RetryBudget
from lacewinglug.routing.admission import AdmissionControl, Offer
from lacewinglug.routing.candidates import CandidateSet
from lacewinglug.routing.choice import TransferCost, choose_placement
from lacewinglug.routing.lanes import Lane, choose_lane, choose_priority
from lacewinglug.routing.ledger import RunnerLedger
from lacewinglug.routing.migration import StreamPrognosis, is_worth_moving
from lacewinglug.routing.prefix import PrefixHints, hash_pieces
from tests.routing.helpers import make_profile, make_report, make_state


def test_ledger_adds_own_sends_that_the_report_cannot_know():
    ledger = RunnerLedger()
    ledger.note(1.0, in_flight=2, prefill_tokens=600)
    ledger.note_report(make_report(running=5, queued_prefill_tokens=900), sampled_s=1.5)
    ledger.note(2.0, in_flight=1, prefill_tokens=300)
    load = ledger.estimate()
    assert (load.in_flight, load.prefill_tokens) == (6, 1200)
    assert ledger.estimate(mirror=8).in_flight == 13


def test_ledger_keeps_the_newer_of_two_crossed_reports():
    ledger = RunnerLedger()
    ledger.note_report(make_report(running=5), sampled_s=2.0)
    ledger.note_report(make_report(running=9), sampled_s=1.0)
    assert ledger.estimate().in_flight == 5


@given(
    st.lists(
        st.one_of(
            st.integers(-3, 3).map(lambda value: ("own", value)),
            st.integers(0, 50).map(lambda value: ("report", value)),
        )
    )
)
def test_ledger_never_predicts_less_than_the_own_work(steps):
    ledger = RunnerLedger()
    for now_s, (kind, value) in enumerate(steps):
        if kind == "own":
            ledger.note(float(now_s), in_flight=max(value, -ledger.in_flight))
        else:
            ledger.note_report(make_report(running=value), sampled_s=now_s - 0.5)
        assert ledger.estimate(mirror=4).in_flight >= ledger.in_flight >= 0


def test_hashes_of_pieces_are_chained_and_leave_out_the_rest():
    words = [str(index) for index in range(25)]
    whole = hash_pieces(words, piece_tokens=10)
    other = hash_pieces(["x", *words[1:]], piece_tokens=10)
    assert len(whole) == 2
    assert whole[0] == hash_pieces(words[:10], piece_tokens=10)[0]
    assert not set(whole) & set(other)


def test_hints_keep_the_latest_pieces():
    hints = PrefixHints(capacity=2)
    hints.add((1, 2))
    hints.add((1,))
    hints.add((3,))
    assert hints.matched((1, 3, 2)) == 2
    hints.clear()
    assert hints.matched((1,)) == 0


@pytest.mark.parametrize(
    ("prompt_tokens", "output_tokens", "lane"),
    [(300, 60, Lane.SHORT), (300, 3000, Lane.LONG), (20000, 60, Lane.LONG)],
)
def test_lanes_follow_the_predicted_length(prompt_tokens, output_tokens, lane):
    assert choose_lane(prompt_tokens=prompt_tokens, output_tokens=output_tokens) is lane


def test_priority_runs_value_a_token_first_and_long_work_last():
    kiosk = choose_priority(Lane.SHORT, value=3, prefill_tokens=300)
    history = choose_priority(Lane.SHORT, value=2, prefill_tokens=3000)
    long = choose_priority(Lane.LONG, value=9, prefill_tokens=10)
    assert kiosk < history < long


def test_a_prompt_is_computed_and_decoded_on_engines_of_the_fitting_roles():
    runners = [
        make_state("d", does="decode"),
        make_state("p", does="prefill"),
    ]
    transfer = TransferCost(
        kv_bytes_per_token=131072, bytes_per_s=1.25e9, remote_bytes_per_s=6e8
    )
    profile = make_profile(prompt_tokens=3000, output_tokens=200)
    placement = choose_placement(profile, Lane.SHORT, runners, transfer=transfer)
    assert (placement.runner.name, placement.decode_runner.name) == ("p", "d")
    alone = choose_placement(profile, Lane.SHORT, runners)
    assert alone.runner is alone.decode_runner


def test_distance_decides_between_equal_runners():
    runners = [make_state("far", delay_s=0.02), make_state("near", delay_s=0.001)]
    assert choose_placement(make_profile(), Lane.SHORT, runners).runner.name == "near"


def offer(value, *, organisation="a", work_s=1.0, wait_s=1.0):
    return Offer(
        organisation=organisation,
        organisation_weight=1.0,
        value=value,
        work_s=work_s,
        wait_s=wait_s,
    )


def count_admitted(offers, *, capacity, rounds=200):
    control = AdmissionControl(target_wait_s=0.25)
    admitted = Counter()
    for step in range(rounds):
        for index, item in enumerate(offers):
            if control.admit(item, capacity=capacity, now_s=step * 0.1):
                admitted[index] += 1
    return admitted


def test_admission_keeps_the_value_a_second_at_a_crest():
    admitted = count_admitted(
        [offer(9.0, work_s=0.1), offer(1.0, work_s=0.1)], capacity=1
    )
    assert admitted[0] > 4 * admitted[1]


def test_admission_takes_all_while_nothing_waits():
    offers = [offer(1.0, work_s=0.01, wait_s=0.0)] * 3
    assert sum(count_admitted(offers, capacity=5.0).values()) == 600


def test_admission_shares_between_organisations_of_equal_weight():
    offers = [offer(1.0, organisation="greedy", work_s=0.1)] * 9
    offers.append(offer(1.0, organisation="modest", work_s=0.1))
    admitted = count_admitted(offers, capacity=2.0)
    assert admitted[9] > 0.4 * sum(admitted.values())


def test_candidates_are_few_stable_and_share_an_affinity():
    names = tuple(f"runner-{index}" for index in range(1300))
    sets = []
    for entry in ("entry-1", "entry-2"):
        candidates = CandidateSet(entry=entry)
        candidates.update(names)
        sets.append(candidates)
    first = [candidates.pick("organisation-7") for candidates in sets]
    assert all(len(picked) <= 8 for picked in first)
    assert first[0][:3] == first[1][:3]
    assert set(first[0][3:]) != set(first[1][3:])
    seen = {name for _ in range(20) for name in sets[0].pick("organisation-7")}
    assert len(seen) <= 51


def test_retries_are_bounded_to_a_share_of_requests():
    budget = RetryBudget(ratio=0.1, capacity=5, tokens=0)
    spent = 0
    for _ in range(1000):
        budget.note_request()
        spent += budget.try_spend()
    assert 90 <= spent <= 100


@pytest.mark.parametrize(("here_s", "moves"), [(5.0, True), (2.2, False)])
def test_a_stream_moves_only_for_a_clear_gain(here_s, moves):
    prognosis = StreamPrognosis(here_s=here_s, there_s=1.5, move_s=0.5)
    assert is_worth_moving(prognosis) is moves
