"""Tests of planning roles under several holders."""

from pathlib import Path

import pytest

from lacewinglug.authority.state import ControlState
from lacewinglug.config.loading import load_config
from lacewinglug.steward.planned_roles import PlannedRoleSource
from lacewinglug.steward.role_source import RoleInputs
from lacewinglug.upstream.messages import LoadReport

EXAMPLE = Path(__file__).parents[2] / "examples" / "volt-trottoir"
ENGINES = tuple(f"assistant-{index}" for index in range(1, 7))
HALVES = (ENGINES[:3], ENGINES[3:])
SECONDS = 90


@pytest.fixture(scope="module")
def fleet():
    return load_config(EXAMPLE).fleet


class Scene:
    """Two holders, each with half of the engines of one service."""

    def __init__(self, fleet, *, withdrawn=()):
        self.fleet = fleet
        self.withdrawn = set(withdrawn)
        self.roles = dict.fromkeys(ENGINES, "mixed")
        self.reports = {}
        self.changes = 0
        self.sources = [self.make_source(), self.make_source()]

    def make_source(self):
        state = ControlState(fleet=self.fleet, withdrawn=self.withdrawn)
        return PlannedRoleSource(state=state, fresh_reports=lambda: self.reports)

    def run(self, *, prefill_per_s, output_per_s, start_s=0):
        live = [name for name in ENGINES if name not in self.withdrawn]
        for now_s in range(start_s, start_s + SECONDS):
            self.reports = {
                name: LoadReport(
                    role=self.roles[name],
                    prefill_tokens_total=prefill_per_s * now_s // len(live),
                    output_tokens_total=output_per_s * now_s // len(live),
                )
                for name in live
            }
            for source, half in zip(self.sources, HALVES, strict=True):
                own = tuple(name for name in half if name in live)
                wanted = source.wanted_roles(
                    RoleInputs(
                        fleet=self.fleet,
                        reports=self.reports,
                        runners=own,
                        now_s=float(now_s),
                    )
                )
                assert set(wanted) <= set(own)
                for name, role in wanted.items():
                    self.changes += self.roles[name] != role
                    self.roles[name] = role


@pytest.mark.parametrize("withdrawn", [(), ("assistant-6",)])
def test_holders_of_a_service_change_roles_for_its_whole_demand(fleet, withdrawn):
    scene = Scene(fleet, withdrawn=withdrawn)
    scene.run(prefill_per_s=60_000, output_per_s=5_000)
    assert 1 <= scene.changes <= len(ENGINES)
    before = scene.changes
    scene.run(prefill_per_s=60_000, output_per_s=5_000, start_s=SECONDS)
    assert scene.changes == before


def test_new_holder_keeps_the_roles_that_engines_report(fleet):
    scene = Scene(fleet)
    scene.run(prefill_per_s=60_000, output_per_s=5_000)
    before = dict(scene.roles)
    scene.sources = [scene.make_source(), scene.make_source()]
    scene.run(prefill_per_s=60_000, output_per_s=5_000, start_s=SECONDS)
    assert scene.roles == before


def test_engines_that_have_not_reported_are_left_as_they_are(fleet):
    scene = Scene(fleet)
    inputs = RoleInputs(fleet=fleet, reports={}, runners=ENGINES, now_s=0.0)
    assert scene.sources[0].wanted_roles(inputs) == {}
