"""Tests of the service-level report against cases computed by hand."""

import random

import pytest

from lacewinglug.config.objects import Objective
from lacewinglug.report.burn import make_report
from lacewinglug.report.ledger import BurnLedger
from lacewinglug.report.page import format_report, make_page
from lacewinglug.report.windows import (
    BadTally,
    BurnWindow,
    ObjectiveTally,
    WindowKey,
    decode_burn_record,
    encode_burn_record,
)

OBJECTIVES = {
    "unlock": Objective(
        service="locker-app", kind="unlock", target_ratio=0.99, window_s=7200.0
    )
}
HOUR_MINUTES = 60


def make_window(index, *, total, bad=0, host="entry-1", incarnation="a"):
    origins = ()
    if bad:
        origins = (
            BadTally(host=host, runner="r-1", kind="unlock", reason="late", count=bad),
        )
    tally = ObjectiveTally(
        objective="unlock", total=total, good=total - bad, bad=origins
    )
    key = WindowKey(host=host, incarnation=incarnation, index=index)
    return BurnWindow(key=key, tallies=(tally,))


def make_ledger(windows):
    ledger = BurnLedger()
    for window in windows:
        ledger.apply(decode_burn_record(encode_burn_record(window)))
    return ledger


def report_at(ledger, minute, *, expired=False):
    return make_report(ledger, OBJECTIVES, at_s=minute * 60, expired=expired)


def steady_windows():
    """Two hosts for two hours: 100 answers a minute each, one bad on entry-2."""
    for index in range(1000, 1120):
        yield make_window(index, total=100)
        yield make_window(index, total=100, bad=1, host="entry-2")


def test_steady_half_percent_burns_at_half_the_rate(snapshot):
    # 120 bad of 24,000 answers are 0.5 %, and 1 % is allowed: rate 0.5, half left.
    report = report_at(make_ledger(steady_windows()), 1120)
    state = report.objectives[0]
    assert (state.total, state.good) == (24000, 23880)
    assert state.budget_left_ratio == pytest.approx(0.5)
    assert [rate.rate for rate in state.rates] == pytest.approx([0.5] * 4)
    assert state.alarm == ""
    assert format_report(report) == snapshot


def test_outage_of_five_minutes_overspends_and_raises_the_alarm(snapshot):
    # 115 good minutes and 5 minutes in which all 100 answers are late:
    # 500 of 12,000 is 4.17 % of answers, 4.17 budgets; in the last hour
    # 500 of 6,000 is 8.33 %, in the last five minutes 100 %.
    windows = [make_window(index, total=100) for index in range(1000, 1115)]
    windows += [make_window(index, total=100, bad=100) for index in range(1115, 1120)]
    report = report_at(make_ledger(windows), 1120)
    state = report.objectives[0]
    assert state.budget_left_ratio == pytest.approx(1 - 500 / 120)
    assert [rate.rate for rate in state.rates[:2]] == pytest.approx([100.0, 500 / 60])
    # 6 h and 3 d hold all 120 minutes: 4.17 is over 1 but under 6.
    assert state.alarm == "burns over 1 times the budget for 72 h"
    assert format_report(report) == snapshot


def test_copied_and_late_windows_change_nothing():
    windows = list(steady_windows())
    expected = report_at(make_ledger(windows), 1120)
    shuffled = windows + windows[:50]
    random.Random(7).shuffle(shuffled)
    report = report_at(make_ledger(shuffled), 1120)
    assert report.objectives == expected.objectives
    assert report.coverage.copies == 50


def test_fold_stands_for_its_windows():
    windows = list(steady_windows())
    ledger = make_ledger(windows)
    expected = report_at(ledger, 1120).objectives
    hours = ledger.hours_to_fold(before_hour=1120 // HOUR_MINUTES + 1)
    folds = [ledger.make_fold(hour, through_offset=9) for hour in hours]
    assert len(folds) == 3
    for records in (folds, windows + folds, folds + windows[:30], folds + folds):
        assert report_at(make_ledger(records), 1120).objectives == expected


def test_window_that_comes_after_the_fold_is_added():
    windows = list(steady_windows())
    ledger = make_ledger(windows[1:])
    fold = ledger.make_fold(1000 // HOUR_MINUTES, through_offset=9)
    late = make_ledger([fold, *windows])
    expected = report_at(make_ledger(windows), 1120).objectives
    assert report_at(late, 1120).objectives == expected
    assert late.make_fold(1000 // HOUR_MINUTES, through_offset=10) is not None
    assert ledger.make_fold(1000 // HOUR_MINUTES, through_offset=10) is not None
    ledger.apply(fold)
    assert ledger.make_fold(1000 // HOUR_MINUTES, through_offset=10) is None


def test_restarted_host_shows_its_missing_minutes():
    before = [make_window(index, total=1) for index in range(1000, 1010)]
    after = [make_window(i, total=1, incarnation="b") for i in range(1013, 1020)]
    report = report_at(make_ledger(before + after), 1020)
    assert report.coverage.missing_windows == {"entry-1": 3}


def test_expired_and_unreadable_records_are_said_so():
    ledger = make_ledger([make_window(1000, total=1)])
    ledger.apply(decode_burn_record(b"\xff\x00"))
    lines = format_report(report_at(ledger, 1060, expired=True))
    assert any("older records expired" in line for line in lines)
    assert "1 record(s) could not be read" in lines
    assert "unlock: the log covers the last 1.0 h" in lines


def test_page_names_the_origins_and_holds_a_plot():
    page = make_page(report_at(make_ledger(steady_windows()), 1120))
    assert "<svg" in page
    assert "entry-2" in page


def test_no_window_at_all_gives_an_untouched_budget():
    report = report_at(BurnLedger(), 1000)
    assert report.objectives[0].budget_left_ratio == 1.0
