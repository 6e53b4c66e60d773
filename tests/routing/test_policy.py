"""Tests of the routing policy as a whole."""

from collections import Counter

import pytest

from lacewinglug.routing.choice import Placement
from lacewinglug.routing.rules import Refusal, Wait
from tests.routing.helpers import make_policy, make_profile, make_report


def send(policy, now_s=0.1, **fields):
    decision = policy.decide(make_profile(**fields), now_s=now_s)
    assert isinstance(decision, Placement)
    policy.note_sent(
        decision.runner.name,
        lane=decision.lane,
        prefill_tokens=decision.prefill_tokens,
        now_s=now_s,
    )
    return decision.runner.name


def test_own_sends_since_the_report_spread_the_load():
    policy = make_policy(3)
    assert Counter(send(policy) for _ in range(30)) == {
        f"runner-{index}": 10 for index in range(3)
    }


@pytest.mark.parametrize(("mirror", "least", "most"), [(0.5, 5, 12), (0.0, 20, 40)])
def test_entries_do_not_herd_onto_the_runner_last_reported_idle(mirror, least, most):
    """Eight entries send five requests each; without the rule they herd."""
    sent = Counter()
    for _ in range(8):
        policy = make_policy(6, entries=8, mirror=mirror)
        for index in range(1, 6):
            policy.note_report(
                f"runner-{index}", make_report(running=4), sampled_s=0.05
            )
        sent.update(send(policy, output_tokens=400) for _ in range(5))
    assert least <= sent["runner-0"] <= most


def test_a_request_that_would_miss_its_deadline_is_refused_at_once():
    policy = make_policy(1)
    decision = policy.decide(
        make_profile(output_tokens=1000, deadline_s=5.0), now_s=0.1
    )
    assert isinstance(decision, Refusal)
    assert "deadline" in decision.reason


def test_long_work_waits_for_its_share_of_the_slots_and_short_work_does_not():
    policy = make_policy(1)
    policy.note_report(
        "runner-0", make_report(running=26, low_priority=25), sampled_s=0.1
    )
    long = policy.decide(make_profile(output_tokens=3000, deadline_s=999), now_s=0.2)
    assert isinstance(long, Wait)
    assert isinstance(policy.decide(make_profile(), now_s=0.2), Placement)


@pytest.mark.parametrize("how", ["unavailable", "draining", "failed", "excluded"])
def test_a_runner_that_takes_no_work_gets_none(how):
    policy = make_policy(2)
    excluded = ()
    match how:
        case "unavailable":
            policy.set_unavailable({"runner-0"})
        case "draining":
            policy.note_report(
                "runner-0", make_report(state="draining"), sampled_s=0.05
            )
        case "failed":
            policy.note_failed("runner-0", now_s=0.1)
        case "excluded":
            excluded = ("runner-0",)
    for _ in range(5):
        decision = policy.decide(make_profile(), now_s=0.2, excluded=excluded)
        assert decision.runner.name == "runner-1"


def test_no_runner_means_a_refusal():
    policy = make_policy(1)
    policy.set_unavailable({"runner-0"})
    assert isinstance(policy.decide(make_profile(), now_s=0.1), Refusal)


def test_a_runner_with_old_reports_is_left_while_others_report():
    policy = make_policy(2)
    policy.note_report("runner-1", make_report(running=20), sampled_s=9.5)
    decision = policy.decide(make_profile(deadline_s=99), now_s=10.0)
    assert decision.runner.name == "runner-1"


def test_slow_tokens_move_new_work_before_the_reports_say_so():
    policy = make_policy(2)
    for step in range(5):
        policy.note_interval("runner-0", interval_s=0.1, now_s=0.1 * step)
    assert policy.slowness_of("runner-0", 0.5) > 3
    assert {send(policy, now_s=0.5) for _ in range(4)} == {"runner-1"}
    assert policy.slowness_of("runner-0", 60.0) == 1.0


def test_a_stream_leaves_a_slow_runner_only_when_it_gains():
    policy = make_policy(2)
    profile = make_profile(output_tokens=200)
    move = {"runner": "runner-0", "computed": True, "now_s": 0.5}
    assert policy.plan_move(profile, remaining_tokens=200, **move) is None
    for step in range(5):
        policy.note_interval("runner-0", interval_s=0.1, now_s=0.1 * step)
    assert policy.plan_move(profile, remaining_tokens=200, **move) == "runner-1"
    assert policy.plan_move(profile, remaining_tokens=2, **move) is None


def test_a_cached_prefix_draws_a_request_until_it_is_evicted():
    policy = make_policy(3)
    profile = {"prompt_tokens": 8000, "prefix_hashes": (1, 2, 3)}
    policy.note_cache("runner-2", added=(1, 2, 3))
    policy.note_cache("runner-1", added=(2, 3))
    assert send(policy, **profile) == "runner-2"
    policy.note_cache("runner-2", evicted=(1,))
    policy.note_cache("runner-1", added=(1,))
    assert policy.decide(make_profile(**profile), now_s=0.1).runner.name == "runner-1"


def test_a_change_of_role_forgets_the_cached_prefixes():
    policy = make_policy(1)
    policy.note_cache("runner-0", added=(1,))
    policy.note_report("runner-0", make_report("decode"), sampled_s=1.0)
    decision = policy.decide(make_profile(prefix_hashes=(1,)), now_s=1.1)
    assert decision.runner.cached_pieces == 0


def test_an_entry_that_carries_all_the_load_may_use_all_the_capacity():
    """All callers use one entry of four, and a pause of theirs ends in a burst."""
    policy = make_policy(3, entries=4)
    arrivals_s = [0.1 * index for index in range(1, 31)] + [4.0] * 15
    refused = 0
    for at_s in arrivals_s:
        decision = policy.decide(
            make_profile(prompt_tokens=20, output_tokens=108), now_s=at_s
        )
        if isinstance(decision, Refusal):
            refused += 1
            continue
        policy.note_sent(
            decision.runner.name,
            lane=decision.lane,
            prefill_tokens=decision.prefill_tokens,
            now_s=at_s,
        )
    assert refused == 0


def test_an_entry_that_carries_a_quarter_of_the_load_may_use_a_quarter():
    """The load of the other entries is in the reports of the runners."""
    policy = make_policy(3, entries=4)
    for index in range(3):
        report = make_report(running=24)
        policy.note_report(f"runner-{index}", report, sampled_s=0.05)
    decisions = [
        policy.decide(make_profile(output_tokens=108), now_s=0.1) for _ in range(40)
    ]
    assert any(isinstance(decision, Refusal) for decision in decisions)
