"""Tests of the differences between two configurations."""

from pathlib import Path

from lacewinglug.config.changes import apply_change, diff_fleets, digest_fleet
from lacewinglug.config.loading import load_config
from lacewinglug.config.objects import Fleet, Region

EXAMPLES = Path(__file__).parent.parent.parent / "examples"


def test_change_turns_one_fleet_into_the_other():
    volt = load_config(EXAMPLES / "volt-trottoir").fleet
    fjeld = load_config(EXAMPLES / "fjeldrute").fleet
    change = diff_fleets(volt, fjeld)
    assert digest_fleet(apply_change(volt, change)) == digest_fleet(fjeld)


def test_equal_fleets_have_an_empty_change():
    volt = load_config(EXAMPLES / "volt-trottoir").fleet
    assert diff_fleets(volt, volt).is_empty()


def test_digest_does_not_depend_on_order():
    first = {"a": Region(one_way_delay_s=0.1), "b": Region(one_way_delay_s=0.2)}
    second = dict(reversed(first.items()))
    assert digest_fleet(Fleet(regions=first)) == digest_fleet(Fleet(regions=second))
