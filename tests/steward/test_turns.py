"""Tests of turns between holders that change engines of one service."""

from pathlib import Path

import pytest

from lacewinglug.authority.state import ControlState
from lacewinglug.config.loading import load_config
from lacewinglug.steward.turns import BUSY_LIMIT_S, SILENT_LIMIT_S, ServiceTurns
from lacewinglug.upstream.messages import LoadReport

EXAMPLE = Path(__file__).parents[2] / "examples" / "volt-trottoir"
OWN, OTHER = "assistant-6", "assistant-3"
STEP_S = 0.5
PATIENCE_S = 30.0


@pytest.fixture(scope="module")
def fleet():
    return load_config(EXAMPLE).fleet


class Scene:
    """A holder of one engine, while another engine is under another holder."""

    def __init__(self, fleet):
        self.reports = {OWN: LoadReport(), OTHER: LoadReport()}
        state = ControlState(fleet=fleet, revision=1)
        self.turns = ServiceTurns(state=state, reports=lambda: self.reports)
        self.now_s = 0.0

    def run(self, time_s):
        end_s = self.now_s + time_s
        while self.now_s < end_s:
            self.now_s += STEP_S
            self.turns.note_reports([OWN], now_s=self.now_s)

    def has_turn(self):
        return self.turns.has_turn(OWN, f"runner:{OWN}", now_s=self.now_s)

    def report(self, state):
        self.reports[OTHER] = LoadReport(state=state)


@pytest.mark.parametrize("state", ["draining", "changing"])
def test_engine_that_is_away_keeps_others_waiting(fleet, state):
    scene = Scene(fleet)
    scene.report(state)
    scene.run(BUSY_LIMIT_S)
    assert not scene.has_turn()
    scene.run(PATIENCE_S)
    assert scene.has_turn()


@pytest.mark.parametrize("state", ["draining", "changing"])
def test_engine_cut_off_in_a_change_keeps_others_waiting_no_more(fleet, state):
    scene = Scene(fleet)
    scene.report(state)
    scene.run(2.0)
    del scene.reports[OTHER]
    scene.run(SILENT_LIMIT_S)
    assert not scene.has_turn()
    scene.run(PATIENCE_S)
    assert scene.has_turn()


def test_engine_that_reports_again_keeps_others_waiting(fleet):
    scene = Scene(fleet)
    scene.report("changing")
    scene.run(2.0)
    del scene.reports[OTHER]
    scene.run(SILENT_LIMIT_S + PATIENCE_S)
    scene.report("changing")
    scene.run(2.0)
    assert not scene.has_turn()
    scene.report("ready")
    scene.run(PATIENCE_S)
    assert scene.has_turn()
