"""Tests for turns of holders that change engines of the same service."""

from pathlib import Path

import pytest

from lacewinglug.authority.state import ControlState
from lacewinglug.config.loading import load_config
from lacewinglug.steward.turns import MAX_SILENCE_S, MAX_UNAVAILABLE_S, ServiceTurns
from lacewinglug.upstream.messages import LoadReport

EXAMPLE = Path(__file__).parents[2] / "examples" / "volt-trottoir"
OWN, OTHER = "assistant-6", "assistant-3"
STEP_S = 0.5
MARGIN_S = 30.0


@pytest.fixture(scope="module")
def fleet():
    return load_config(EXAMPLE).fleet


class TurnSimulation:
    """One holder with one engine, and another engine under another holder."""

    def __init__(self, fleet):
        self.reports = {OWN: LoadReport(), OTHER: LoadReport()}
        state = ControlState(fleet=fleet, revision=1)
        self.turns = ServiceTurns(state=state, reports=lambda: self.reports)
        self.now_s = 0.0

    def run(self, time_s):
        end_s = self.now_s + time_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.turns.update_from_reports([OWN], now_s=self.now_s)

    def has_turn(self):
        return self.turns.has_turn(OWN, f"runner:{OWN}", now_s=self.now_s)

    def report(self, state):
        self.reports[OTHER] = LoadReport(state=state)


@pytest.mark.parametrize("state", ["draining", "changing"])
def test_unavailable_engine_blocks_other_changes(fleet, state):
    simulation = TurnSimulation(fleet)
    simulation.report(state)
    simulation.run(MAX_UNAVAILABLE_S)
    assert not simulation.has_turn()
    simulation.run(MARGIN_S)
    assert simulation.has_turn()


@pytest.mark.parametrize("state", ["draining", "changing"])
def test_unreachable_engine_stops_blocking_other_changes(fleet, state):
    simulation = TurnSimulation(fleet)
    simulation.report(state)
    simulation.run(2.0)
    del simulation.reports[OTHER]
    simulation.run(MAX_SILENCE_S)
    assert not simulation.has_turn()
    simulation.run(MARGIN_S)
    assert simulation.has_turn()


def test_engine_that_reports_again_blocks_other_changes(fleet):
    simulation = TurnSimulation(fleet)
    simulation.report("changing")
    simulation.run(2.0)
    del simulation.reports[OTHER]
    simulation.run(MAX_SILENCE_S + MARGIN_S)
    simulation.report("changing")
    simulation.run(2.0)
    assert not simulation.has_turn()
    simulation.report("ready")
    simulation.run(MARGIN_S)
    assert simulation.has_turn()
