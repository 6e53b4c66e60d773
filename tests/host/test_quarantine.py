"""Quarantine of prompt parts whose requests crash engines."""

import itertools
import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.quarantine import (
    COMMON_CAUSE_S,
    CRASHES_TO_QUARANTINE_PROVEN,
    EVIDENCE_TTL_S,
    FIRST_TRIAL_S,
    MAX_CRASHES_PER_PART,
    MAX_LEFT_OUT_PARTS,
    MAX_PARTS_PER_CRASH,
    MAX_PROVEN_PARTS,
    MAX_SUSPECTS,
    MAX_TRIAL_INTERVAL_S,
    MIN_RETRY_AFTER_S,
    Admitted,
    Crash,
    PartQuarantine,
    Quarantined,
    SuspectReport,
)

DEADLY, SOUND, OTHER = 1, 2, 3


@pytest.fixture
def quarantine():
    return PartQuarantine(random_fraction=lambda: 0.0)


def crash(quarantine, *parts, engine, at_s):
    quarantine.record_crash(parts, Crash(engine=engine, at_s=at_s), now_s=at_s)


def is_quarantined(quarantine, part, now_s=100.0):
    return quarantine.find_quarantined([part], now_s=now_s) is not None


# Guards against engines that crash one after the other under the same prompt part.
def test_part_of_two_crashes_is_quarantined(quarantine):
    quarantine.record_answer([SOUND], now_s=0.0)
    crash(quarantine, SOUND, DEADLY, engine=10, at_s=1.0)
    assert not is_quarantined(quarantine, DEADLY)
    crash(quarantine, SOUND, DEADLY, engine=11, at_s=3.0)
    assert quarantine.quarantined_parts() == [DEADLY]
    refused = quarantine.admit([SOUND, DEADLY], now_s=4.0)
    assert isinstance(refused, Quarantined)
    assert refused.retry_after_s == pytest.approx(FIRST_TRIAL_S - 1.0)
    assert quarantine.admit([SOUND, OTHER], now_s=4.0) == Admitted()


# Guards against sound parts that are refused after a loss of power of several engines.
def test_crashes_at_one_moment_count_as_one(quarantine):
    crash(quarantine, SOUND, engine=10, at_s=1.0)
    crash(quarantine, SOUND, engine=11, at_s=1.0 + COMMON_CAUSE_S / 2)
    assert not is_quarantined(quarantine, SOUND)


def crash_with_new_parts(quarantine, part_count, *, number, place="last"):
    """Record a crash under a prompt with the deadly part and others never seen."""
    first = 10_000 * (number + 1)
    parts = list(range(first, first + part_count))
    index = {"first": 0, "middle": part_count // 2, "last": part_count}[place]
    parts.insert(index, DEADLY)
    crash(quarantine, *parts, engine=number, at_s=3.0 * number)


# Guards against a deadly part that is never suspected, as it has too many before it.
@pytest.mark.parametrize("place", ["first", "middle", "last"])
@pytest.mark.parametrize("part_count", [2, 1000])
@pytest.mark.parametrize("seed", range(5))
def test_deadly_part_among_many_new_ones_is_quarantined(seed, part_count, place):
    reports = []
    quarantine = PartQuarantine(
        random_fraction=random.Random(seed).random, on_suspect=reports.append
    )
    for number in range(2):
        reports.clear()
        crash_with_new_parts(
            quarantine, MAX_PARTS_PER_CRASH + part_count, number=number, place=place
        )
        assert len(reports) == MAX_PARTS_PER_CRASH
    assert quarantine.quarantined_parts() == [DEADLY]


# Guards against the same where each host sees only one of the crashes.
@pytest.mark.parametrize("seed", range(20))
def test_deadly_part_that_a_host_left_out_is_found_with_the_others(seed):
    rng = random.Random(seed)
    hosts = [PartQuarantine(random_fraction=rng.random) for _ in range(5)]
    queue = []
    for host in hosts:
        host.on_suspect = queue.append
    for number, host in enumerate(hosts):
        crash_with_new_parts(host, MAX_PARTS_PER_CRASH + 2, number=number)
        while queue:
            report = queue.pop()
            for other in hosts:
                other.apply_report(report, now_s=3.0 * number)
    for host in hosts:
        assert host.quarantined_parts() == [DEADLY]


# Guards against crashes that count although an answer came after them.
def test_answer_clears_a_part_that_was_left_out():
    quarantine = PartQuarantine(random_fraction=random.Random(1).random)
    parts = range(100, 100 + 10 * MAX_PARTS_PER_CRASH)
    crash(quarantine, *parts, engine=10, at_s=1.0)
    quarantine.record_answer(parts, now_s=2.0)
    for engine in range(11, 10 + CRASHES_TO_QUARANTINE_PROVEN):
        crash(quarantine, *parts, engine=engine, at_s=3.0 * engine)
    assert quarantine.quarantined_parts() == []


# Guards against memory and evidence that stay for good with the parts left out.
@pytest.mark.parametrize(
    ("other_parts", "later_s", "remembered"),
    [
        (0, 5.0, True),
        (MAX_LEFT_OUT_PARTS + MAX_PARTS_PER_CRASH, 5.0, False),
        (0, EVIDENCE_TTL_S + 5.0, False),
    ],
)
def test_parts_that_are_left_out_are_forgotten(
    quarantine, other_parts, later_s, remembered
):
    parts = range(100, 100 + 2 * MAX_PARTS_PER_CRASH)
    crash(quarantine, *parts, engine=10, at_s=1.0)
    others = range(10**6, 10**6 + other_parts)
    crash(quarantine, *others, engine=11, at_s=3.0)
    quarantine.admit([SOUND], now_s=later_s)
    crash(quarantine, parts[-1], engine=12, at_s=later_s)
    assert is_quarantined(quarantine, parts[-1]) == remembered


def test_one_crash_that_several_requests_report_counts_once(quarantine):
    crash(quarantine, DEADLY, engine=10, at_s=1.0)
    crash(quarantine, DEADLY, engine=10, at_s=1.9)
    assert not is_quarantined(quarantine, DEADLY)
    crash(quarantine, DEADLY, engine=10, at_s=9.0)
    assert is_quarantined(quarantine, DEADLY)


def test_part_that_was_answered_before_needs_more_crashes(quarantine):
    quarantine.record_answer([SOUND], now_s=0.0)
    for number in range(CRASHES_TO_QUARANTINE_PROVEN):
        assert not is_quarantined(quarantine, SOUND)
        crash(quarantine, SOUND, engine=number, at_s=1.0 + number)
    assert is_quarantined(quarantine, SOUND)


# Guards against a part that was answered before, turns deadly and is never suspected,
# since each prompt with it has a new part as well.
@pytest.mark.parametrize("host_count", [1, 5])
@pytest.mark.parametrize("answers_between", [1, 4])
def test_answered_part_that_turns_deadly_beside_new_ones_is_quarantined(
    host_count, answers_between
):
    rng, now_s, new_parts = random.Random(1), 0.0, itertools.count(100)
    hosts = [PartQuarantine(random_fraction=rng.random) for _ in range(host_count)]
    for host in hosts:
        host.on_suspect = lambda report: [
            other.apply_report(report, now_s=now_s) for other in hosts
        ]
        host.on_proven = lambda part: [
            other.apply_proven(part, now_s=now_s) for other in hosts
        ]
        host.record_answer([SOUND, DEADLY], now_s=now_s)
    for number in range(CRASHES_TO_QUARANTINE_PROVEN):
        now_s += 2.0
        parts = [SOUND, next(new_parts), DEADLY]
        assert rng.choice(hosts).admit(parts, now_s=now_s) == Admitted()
        crash(rng.choice(hosts), *parts, engine=number, at_s=now_s)
        for _ in range(answers_between):
            now_s += 0.1
            rng.choice(hosts).record_answer([SOUND, next(new_parts)], now_s=now_s)
    for host in hosts:
        assert host.quarantined_parts() == [DEADLY]


def test_answer_clears_all_evidence(quarantine):
    crash(quarantine, SOUND, engine=10, at_s=1.0)
    quarantine.record_answer([SOUND], now_s=2.0)
    crash(quarantine, SOUND, engine=11, at_s=3.0)
    assert not is_quarantined(quarantine, SOUND)


# Guards against the quarantine of parts whose requests an engine was serving when
# another request crashed it.
def test_crash_that_a_deadly_part_explains_does_not_count_for_others(quarantine):
    crash(quarantine, SOUND, engine=10, at_s=1.0)
    crash(quarantine, DEADLY, engine=10, at_s=1.0)
    crash(quarantine, DEADLY, engine=11, at_s=1.1)
    crash(quarantine, SOUND, engine=12, at_s=2.0)
    assert is_quarantined(quarantine, SOUND)
    crash(quarantine, OTHER, DEADLY, engine=12, at_s=2.0)
    assert quarantine.quarantined_parts() == [DEADLY]


# Guards against a part that is released, and crashes one engine more, when an engine
# that it crashed before crashes again under another part. Hosts may know the engine's
# new start time only after that.
def test_crash_is_not_explained_by_a_later_one_of_the_same_engine(quarantine):
    crash(quarantine, DEADLY, engine=10, at_s=1.0)
    crash(quarantine, DEADLY, engine=11, at_s=2.0)
    for engine, at_s in ((12, 5.0), (10, 6.0), (13, 7.0)):
        crash(quarantine, OTHER, engine=engine, at_s=at_s)
    assert sorted(quarantine.quarantined_parts()) == sorted([DEADLY, OTHER])


# Guards against trials at once of parts that crashed the same engines at other times.
def test_parts_of_different_crashes_of_the_same_engines_get_no_trial(quarantine):
    for part, first_s in ((DEADLY, 1.0), (OTHER, 6.0)):
        crash(quarantine, part, engine=10, at_s=first_s)
        crash(quarantine, part, engine=11, at_s=first_s + 1.0)
    assert sorted(quarantine.quarantined_parts()) == sorted([DEADLY, OTHER])
    for part in (DEADLY, OTHER):
        assert isinstance(quarantine.admit([part], now_s=8.0), Quarantined)


def test_trial_tells_two_parts_of_the_same_crashes_apart(quarantine):
    crash(quarantine, SOUND, DEADLY, engine=10, at_s=1.0)
    crash(quarantine, SOUND, DEADLY, engine=11, at_s=3.0)
    assert sorted(quarantine.quarantined_parts()) == [DEADLY, SOUND]
    both = quarantine.admit([SOUND, DEADLY], now_s=4.0)
    assert isinstance(both, Quarantined)
    assert quarantine.admit([SOUND, OTHER], now_s=4.0) == Admitted(trial=True)
    assert isinstance(quarantine.admit([SOUND], now_s=4.1), Quarantined)
    quarantine.record_answer([SOUND, OTHER], now_s=5.0)
    assert quarantine.quarantined_parts() == [DEADLY]


def test_deadly_part_gets_few_trials(quarantine):
    crash(quarantine, DEADLY, engine=10, at_s=0.0)
    crash(quarantine, DEADLY, engine=11, at_s=1.0)
    now_s, trials = 1.0, 0
    while now_s < EVIDENCE_TTL_S:
        if quarantine.admit([DEADLY], now_s=now_s) == Admitted(trial=True):
            trials += 1
            crash(quarantine, DEADLY, engine=20 + trials, at_s=now_s)
            assert isinstance(quarantine.admit([DEADLY], now_s=now_s), Quarantined)
        now_s += 1.0
    assert 2 + trials == MAX_CRASHES_PER_PART


# Guards against a sound part that is refused for good.
@pytest.mark.parametrize("parts", [[SOUND], [SOUND, OTHER], [SOUND, OTHER, SOUND]])
def test_trials_without_a_result_go_on(quarantine, parts):
    crash(quarantine, *parts, engine=10, at_s=0.0)
    crash(quarantine, *parts, engine=11, at_s=5.0)
    admitted = [
        at_s
        for at_s in range(6, round(EVIDENCE_TTL_S))
        if isinstance(quarantine.admit(parts, now_s=at_s), Admitted)
    ]
    assert admitted[0] <= 5.0 + FIRST_TRIAL_S + 1.0
    gaps_s = [after - before for before, after in itertools.pairwise(admitted)]
    assert max(gaps_s) <= MAX_TRIAL_INTERVAL_S + 1.0


def test_trial_that_reached_no_engine_is_given_back(quarantine):
    crash(quarantine, SOUND, engine=10, at_s=0.0)
    crash(quarantine, SOUND, engine=11, at_s=1.0)
    now_s = 1.0 + FIRST_TRIAL_S
    assert quarantine.admit([SOUND], now_s=now_s) == Admitted(trial=True)
    quarantine.return_trial([SOUND], now_s=now_s)
    assert isinstance(quarantine.admit([SOUND], now_s=now_s), Quarantined)
    later_s = now_s + MIN_RETRY_AFTER_S
    assert quarantine.admit([SOUND], now_s=later_s) == Admitted(trial=True)


def test_quarantine_ends_with_an_answer_or_long_after_the_last_crash(quarantine):
    for at_s, engine in ((0.0, 10), (1.0, 11)):
        crash(quarantine, DEADLY, engine=engine, at_s=at_s)
    quarantine.apply_proven(DEADLY, now_s=2.0)
    assert quarantine.admit([DEADLY], now_s=2.0) == Admitted()
    for at_s, engine in ((3.0, 12), (4.0, 13), (5.0, 14), (6.0, 15)):
        crash(quarantine, DEADLY, engine=engine, at_s=at_s)
    assert is_quarantined(quarantine, DEADLY)
    later_s = 6.0 + EVIDENCE_TTL_S + 1.0
    assert quarantine.admit([DEADLY], now_s=later_s) == Admitted()


# Guards against hosts that go on to refuse a part since they missed its answer.
def test_answer_that_another_host_missed_is_repeated(quarantine):
    other = PartQuarantine()
    for item in (quarantine, other):
        crash(item, SOUND, engine=10, at_s=0.0)
        crash(item, SOUND, engine=11, at_s=5.0)
    quarantine.record_answer([SOUND], now_s=6.0)
    quarantine.on_proven = lambda part: other.apply_proven(part, now_s=8.0)
    for report in other.reports(now_s=7.0):
        quarantine.apply_report(report, now_s=7.0)
    assert other.quarantined_parts() == []


def test_report_that_a_part_was_answered_before_raises_the_threshold(quarantine):
    crash(quarantine, SOUND, engine=10, at_s=0.0)
    crash(quarantine, SOUND, engine=11, at_s=5.0)
    assert is_quarantined(quarantine, SOUND)
    report = SuspectReport(part=SOUND, crashes=((10, 6.0), (11, 1.0)), proven=True)
    quarantine.apply_report(report, now_s=6.0)
    assert not is_quarantined(quarantine, SOUND)


def test_quarantined_parts_come_first_in_reports(quarantine):
    crash(quarantine, DEADLY, engine=10, at_s=0.0)
    crash(quarantine, DEADLY, engine=11, at_s=5.0)
    for part in range(100, 140):
        crash(quarantine, part, engine=12, at_s=9.0)
    assert quarantine.reports(now_s=10.0)[0].part == DEADLY


def test_more_quarantined_parts_than_fit_drop_the_oldest(quarantine):
    for part in range(MAX_SUSPECTS + 10):
        crash(quarantine, part, engine=2 * part, at_s=10.0 * part)
        crash(quarantine, part, engine=2 * part + 1, at_s=10.0 * part + 5)
    assert len(quarantine.quarantined_parts()) == MAX_SUSPECTS
    assert is_quarantined(quarantine, MAX_SUSPECTS + 9)
    parts = range(10**6, 10**6 + 10 * MAX_PARTS_PER_CRASH)
    crash(quarantine, *parts, engine=10**9, at_s=10**4)
    assert len(quarantine.quarantined_parts()) >= MAX_SUSPECTS - MAX_PARTS_PER_CRASH


def test_report_that_is_older_than_an_answer_is_ignored(quarantine):
    other = PartQuarantine()
    for at_s, engine in ((0.0, 10), (1.0, 11)):
        crash(other, SOUND, engine=engine, at_s=at_s)
    quarantine.record_answer([SOUND], now_s=2.0)
    for report in other.reports(now_s=3.0):
        quarantine.apply_report(report, now_s=3.0)
    assert not is_quarantined(quarantine, SOUND)


def test_trial_of_another_host_is_not_repeated(quarantine):
    other = PartQuarantine(random_fraction=lambda: 0.0)
    for item in (quarantine, other):
        crash(item, DEADLY, engine=10, at_s=0.0)
        crash(item, DEADLY, engine=11, at_s=1.0)
    due_s = 1.0 + FIRST_TRIAL_S
    other.on_suspect = lambda report: quarantine.apply_report(report, now_s=due_s)
    assert other.admit([DEADLY], now_s=due_s) == Admitted(trial=True)
    assert isinstance(quarantine.admit([DEADLY], now_s=due_s), Quarantined)


# Guards against memory that grows with every new part of an adversary.
def test_memory_is_bounded_and_keeps_what_is_quarantined(quarantine):
    crash(quarantine, DEADLY, engine=10, at_s=0.0)
    crash(quarantine, DEADLY, engine=11, at_s=1.0)
    for part in range(100, 100 + 2 * MAX_SUSPECTS):
        crash(quarantine, part, engine=part, at_s=2.0 + part / 1000)
    for number in range(2 * MAX_CRASHES_PER_PART):
        crash(quarantine, DEADLY, engine=50 + number, at_s=10.0 + 3 * number)
    quarantine.record_answer(range(10**6, 10**6 + 2 * MAX_PROVEN_PARTS), now_s=9.0)
    reports = quarantine.reports(now_s=99.0)
    assert len(reports) == MAX_SUSPECTS
    assert max(len(report.crashes) for report in reports) == MAX_CRASHES_PER_PART
    assert is_quarantined(quarantine, DEADLY)


@given(
    seed=st.integers(0, 10**6),
    hosts=st.integers(1, 6),
    lost_share=st.sampled_from([0.0, 0.3]),
)
def test_hosts_that_see_single_crashes_agree(seed, hosts, lost_share):
    """Random requests at several hosts whose messages are late, repeated and lost."""
    rng = random.Random(seed)
    views = [PartQuarantine(random_fraction=lambda: 0.5) for _ in range(hosts)]
    queue = []
    clock = {"now_s": 0.0}

    def send(kind, content):
        for view in views:
            if rng.random() >= lost_share:
                queue.append(
                    (clock["now_s"] + rng.uniform(0, 0.3), kind, content, view)
                )

    for view in views:
        view.on_suspect = lambda report: send("apply_report", report)
        view.on_proven = lambda part: send("apply_proven", part)

    def deliver():
        due = [item for item in queue if item[0] <= clock["now_s"]]
        for item in due:
            queue.remove(item)
            _, kind, content, view = item
            getattr(view, kind)(content, now_s=clock["now_s"])

    crashes, arrivals = 0, []
    sound = range(100, 110)
    for number in range(400):
        clock["now_s"] += rng.uniform(0.0, 0.2)
        deliver()
        view = rng.choice(views)
        first = rng.choice(sound)
        if number % 5 == 0:
            # Stands for the periodic exchange of what is suspected.
            peer = rng.choice(views)
            for report in view.reports(now_s=clock["now_s"]):
                peer.apply_report(report, now_s=clock["now_s"])
        if rng.random() < 0.1:
            admitted = view.admit([first, DEADLY], now_s=clock["now_s"])
            if isinstance(admitted, Admitted):
                crashes += 1
                arrivals.append(clock["now_s"])
                engine = Crash(engine=crashes, at_s=clock["now_s"])
                view.record_crash([first, DEADLY], engine, now_s=clock["now_s"])
        elif isinstance(view.admit([first], now_s=clock["now_s"]), Admitted):
            view.record_answer([first], now_s=clock["now_s"])
    clock["now_s"] += 1.0
    deliver()
    for _ in range(hosts):
        for view in views:
            for peer in views:
                for report in view.reports(now_s=clock["now_s"]):
                    peer.apply_report(report, now_s=clock["now_s"])
    for view in views:
        assert view.quarantined_parts() == [DEADLY]
    late = [at_s for at_s in arrivals if crashes >= 5 and at_s > arrivals[4] + 4.0]
    assert len(late) <= 3
