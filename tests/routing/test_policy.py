"""Tests of the complete routing policy."""

from collections import Counter

import pytest

from lacewinglug.routing.choice import Placement
from lacewinglug.routing.rules import Refusal, WaitForSlot
from tests.routing.helpers import make_policy, make_profile, make_report


def send(policy, now_s=0.1, **fields):
    decision = policy.decide(make_profile(**fields), now_s=now_s)
    assert isinstance(decision, Placement)
    policy.record_sent(
        decision.runner.name,
        length_class=decision.length_class,
        prefill_tokens=decision.prefill_tokens,
        now_s=now_s,
    )
    return decision.runner.name


def test_own_requests_since_the_report_spread_the_load():
    policy = make_policy(3)
    assert Counter(send(policy) for _ in range(30)) == {
        f"runner-{index}": 10 for index in range(3)
    }


@pytest.mark.parametrize(
    ("sender_share", "least", "most"), [(0.5, 5, 12), (0.0, 20, 40)]
)
def test_entries_do_not_all_choose_the_runner_last_reported_idle(
    sender_share, least, most
):
    """Guards against a thundering herd.

    Eight entries send five requests each. Without allowance for the other entries,
    most of the requests go to the one idle runner.
    """
    sent = Counter()
    for _ in range(8):
        policy = make_policy(6, entry_count=8, sender_share=sender_share)
        for index in range(1, 6):
            policy.update_report(
                f"runner-{index}", make_report(running=4), sampled_s=0.05
            )
        sent.update(send(policy, output_tokens=400) for _ in range(5))
    assert least <= sent["runner-0"] <= most


def test_a_request_that_would_miss_its_deadline_is_refused():
    policy = make_policy(1)
    decision = policy.decide(
        make_profile(output_tokens=1000, deadline_s=5.0), now_s=0.1
    )
    assert isinstance(decision, Refusal)
    assert "deadline" in decision.reason


def test_long_requests_wait_for_their_slot_quota_and_short_ones_do_not():
    policy = make_policy(1)
    policy.update_report(
        "runner-0", make_report(running=26, low_priority=25), sampled_s=0.1
    )
    long = policy.decide(make_profile(output_tokens=3000, deadline_s=999), now_s=0.2)
    assert isinstance(long, WaitForSlot)
    assert isinstance(policy.decide(make_profile(), now_s=0.2), Placement)


@pytest.mark.parametrize("cause", ["unavailable", "draining", "failed", "excluded"])
def test_a_runner_that_accepts_no_work_gets_none(cause):
    policy = make_policy(2)
    excluded = ()
    match cause:
        case "unavailable":
            policy.set_unavailable_runners({"runner-0"})
        case "draining":
            policy.update_report(
                "runner-0", make_report(state="draining"), sampled_s=0.05
            )
        case "failed":
            policy.record_failure("runner-0", now_s=0.1)
        case "excluded":
            excluded = ("runner-0",)
    for _ in range(5):
        decision = policy.decide(make_profile(), now_s=0.2, excluded=excluded)
        assert decision.runner.name == "runner-1"


def test_requests_are_refused_without_an_available_runner():
    policy = make_policy(1)
    policy.set_unavailable_runners({"runner-0"})
    assert isinstance(policy.decide(make_profile(), now_s=0.1), Refusal)


def test_a_runner_with_outdated_reports_is_avoided_while_others_report():
    policy = make_policy(2)
    policy.update_report("runner-1", make_report(running=20), sampled_s=9.5)
    decision = policy.decide(make_profile(deadline_s=99), now_s=10.0)
    assert decision.runner.name == "runner-1"


def test_slow_tokens_divert_new_requests_before_any_report():
    policy = make_policy(2)
    for step in range(5):
        policy.record_token_interval("runner-0", interval_s=0.1, now_s=0.1 * step)
    assert policy.slowness_of("runner-0", 0.5) > 3
    assert {send(policy, now_s=0.5) for _ in range(4)} == {"runner-1"}
    assert policy.slowness_of("runner-0", 60.0) == 1.0


def test_a_stream_leaves_a_slow_runner_only_for_a_gain():
    policy = make_policy(2)
    profile = make_profile(output_tokens=200)
    move = {"runner": "runner-0", "prefill_done": True, "now_s": 0.5}
    assert policy.choose_faster_runner(profile, remaining_tokens=200, **move) is None
    for step in range(5):
        policy.record_token_interval("runner-0", interval_s=0.1, now_s=0.1 * step)
    assert (
        policy.choose_faster_runner(profile, remaining_tokens=200, **move) == "runner-1"
    )
    assert policy.choose_faster_runner(profile, remaining_tokens=2, **move) is None


def test_a_cached_prefix_attracts_requests_until_it_is_evicted():
    policy = make_policy(3)
    profile = {"prompt_tokens": 8000, "prefix_hashes": (1, 2, 3)}
    policy.update_cached_blocks("runner-2", added=(1, 2, 3))
    policy.update_cached_blocks("runner-1", added=(2, 3))
    assert send(policy, **profile) == "runner-2"
    policy.update_cached_blocks("runner-2", evicted=(1,))
    policy.update_cached_blocks("runner-1", added=(1,))
    assert policy.decide(make_profile(**profile), now_s=0.1).runner.name == "runner-1"


def test_a_role_change_clears_the_cached_prefixes():
    policy = make_policy(1)
    policy.update_cached_blocks("runner-0", added=(1,))
    policy.update_report("runner-0", make_report("decode"), sampled_s=1.0)
    decision = policy.decide(make_profile(prefix_hashes=(1,)), now_s=1.1)
    assert decision.runner.cached_blocks == 0


def test_an_entry_with_all_of_the_load_may_use_all_of_the_capacity():
    """Guards against refusals at an entry that is limited to an equal share.

    All callers use one of four entries, and a burst follows a pause.
    """
    policy = make_policy(3, entry_count=4)
    arrivals_s = [0.1 * index for index in range(1, 31)] + [4.0] * 15
    refused = 0
    for at_s in arrivals_s:
        decision = policy.decide(
            make_profile(prompt_tokens=20, output_tokens=108), now_s=at_s
        )
        if isinstance(decision, Refusal):
            refused += 1
            continue
        policy.record_sent(
            decision.runner.name,
            length_class=decision.length_class,
            prefill_tokens=decision.prefill_tokens,
            now_s=at_s,
        )
    assert refused == 0


def test_an_entry_with_part_of_the_load_is_limited_to_its_share():
    """The load of the other entries shows in the reports of the runners."""
    policy = make_policy(3, entry_count=4)
    for index in range(3):
        report = make_report(running=24)
        policy.update_report(f"runner-{index}", report, sampled_s=0.05)
    decisions = [
        policy.decide(make_profile(output_tokens=108), now_s=0.1) for _ in range(40)
    ]
    assert any(isinstance(decision, Refusal) for decision in decisions)
