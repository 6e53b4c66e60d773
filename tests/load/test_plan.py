"""Tests of the planned load."""

from pathlib import Path

import pytest

from lacewinglug.errors import UserError
from lacewinglug.load.plan import Crest, KindPlan, LoadPlan, plan_arrivals, read_plan

EXAMPLE = Path(__file__).parent.parent.parent / "examples/load/mix-shift.toml"


def make_plan(**fields):
    kinds = (KindPlan(service="s", kind="a"), KindPlan(service="s", kind="b"))
    return LoadPlan(
        **{"duration_s": 100.0, "rate_per_s": 10.0, "kinds": kinds} | fields
    )


def test_same_seed_gives_the_same_arrivals():
    plan = read_plan(EXAMPLE)
    assert list(plan_arrivals(plan, seed=3)) == list(plan_arrivals(plan, seed=3))
    assert list(plan_arrivals(plan, seed=3)) != list(plan_arrivals(plan, seed=4))


def test_crest_multiplies_the_rate():
    crest = Crest(at_s=50.0, duration_s=50.0, factor=3.0)
    times = [item.at_s for item in plan_arrivals(make_plan(crests=(crest,)), seed=1)]
    early = sum(at_s < 50.0 for at_s in times)
    assert 2.5 < (len(times) - early) / early < 3.5


def test_shift_changes_the_shares():
    plan = make_plan(shifts=({"at_s": 50.0, "shares": {"a": 0.0}},))
    kinds = {item.kind for item in plan_arrivals(plan, seed=1) if item.at_s >= 50.0}
    assert kinds == {"b"}


def test_wrong_plan_names_the_field(tmp_path):
    path = tmp_path / "load.toml"
    path.write_text("duration_s = 1.0\nrate_per_s = -1.0\nkinds = []\n")
    with pytest.raises(UserError, match="load.rate_per_s"):
        read_plan(path)


def test_shift_to_an_unknown_kind_is_refused(tmp_path):
    path = tmp_path / "load.toml"
    path.write_text(EXAMPLE.read_text().replace("note = 4.0", "notes = 4.0"))
    with pytest.raises(UserError, match="'notes'"):
        read_plan(path)
