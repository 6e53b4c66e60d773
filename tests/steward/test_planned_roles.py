"""Tests for planning the roles of a service with several holders."""

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
DURATION_S = 90


@pytest.fixture(scope="module")
def fleet():
    return load_config(EXAMPLE).fleet


class RoleSimulation:
    """Two holders that each hold half of the engines of a service."""

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
        for now_s in range(start_s, start_s + DURATION_S):
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
                desired = source.desired_roles(
                    RoleInputs(
                        fleet=self.fleet,
                        reports=self.reports,
                        runners=own,
                        now_s=float(now_s),
                    )
                )
                assert set(desired) <= set(own)
                for name, role in desired.items():
                    self.changes += self.roles[name] != role
                    self.roles[name] = role


@pytest.mark.parametrize("withdrawn", [(), ("assistant-6",)])
def test_holders_plan_roles_for_total_service_demand(fleet, withdrawn):
    simulation = RoleSimulation(fleet, withdrawn=withdrawn)
    simulation.run(prefill_per_s=60_000, output_per_s=5_000)
    assert 1 <= simulation.changes <= len(ENGINES)
    before = simulation.changes
    simulation.run(prefill_per_s=60_000, output_per_s=5_000, start_s=DURATION_S)
    assert simulation.changes == before


def test_new_holder_keeps_reported_roles(fleet):
    simulation = RoleSimulation(fleet)
    simulation.run(prefill_per_s=60_000, output_per_s=5_000)
    before = dict(simulation.roles)
    simulation.sources = [simulation.make_source(), simulation.make_source()]
    simulation.run(prefill_per_s=60_000, output_per_s=5_000, start_s=DURATION_S)
    assert simulation.roles == before


def test_engines_without_reports_get_no_planned_role(fleet):
    simulation = RoleSimulation(fleet)
    inputs = RoleInputs(fleet=fleet, reports={}, runners=ENGINES, now_s=0.0)
    assert simulation.sources[0].desired_roles(inputs) == {}
