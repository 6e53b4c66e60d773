"""Works out the cost of each role at the aimed size from measured slopes."""

from collections.abc import Mapping
from dataclasses import dataclass

import msgspec

from bench.capacity.aimed import SECONDS_PER_DAY, AimedSize, ControlBudget
from bench.capacity.slopes import Slope
from lacewinglug.report.windows import FOLD_S, WINDOW_S
from lacewinglug.steward.burn_fold import RETAINED_HOURS

POLL_INTERVAL_S = 0.5
POLLED_SHARE = 16
POLLED_SHARE_INTERVAL_S = 10.0
SNAPSHOT_INTERVAL_S = 7200.0
OWN_KEY_CALLS_PER_S = 471.0
_BYTES_PER_MB = 1024.0 * 1024.0
_HEADER_BYTES = 224.0


class CapacityRow(msgspec.Struct, frozen=True, kw_only=True):
    """One resource of one role at the aimed size.

    :param role: name of the role.
    :param resource: what is used, with its unit.
    :param value: predicted use.
    :param budget: what may be used, 0 where none is stated.
    :param carried_by: the mechanism that carries it.
    :param within: whether the use is within the budget.
    """

    role: str
    resource: str
    value: float
    budget: float
    carried_by: str
    within: bool


class CapacityData(msgspec.Struct, frozen=True, kw_only=True):
    """All figures of the capacity page.

    :param slopes: measured slopes.
    :param rows: use of each role at the aimed size.
    """

    slopes: tuple[Slope, ...]
    rows: tuple[CapacityRow, ...]


@dataclass(frozen=True, kw_only=True, slots=True)
class Projection:
    """Turns slopes and benchmark figures into rows.

    :param slopes: measured slopes by name and what they grow with.
    :param figures: figures of ``bench/results.json``.
    :param base_memory_mb: resident memory of a steward without a fleet.
    :param size: the aimed size.
    :param budget: what a node may spend on control.
    """

    slopes: Mapping[tuple[str, str], Slope]
    figures: Mapping[str, float]
    base_memory_mb: float
    size: AimedSize = AimedSize()
    budget: ControlBudget = ControlBudget()

    def rows(self) -> tuple[CapacityRow, ...]:
        """Return the use of each role at the aimed size."""
        return (
            *self._entry_rows(),
            *self._steward_rows(),
            *self._holder_rows(),
            *self._upkeep_rows(),
            *self._log_rows(),
        )

    def _slope(self, name: str, per: str) -> Slope:
        return self.slopes[name, per]

    def _entry_rows(self) -> list[CapacityRow]:
        size = self.size
        prompt = self._slope("prompt.cpu_s", "token")
        stream = self._slope("entry.memory_mb", "stream")
        decision = self._slope("decision.cpu_s", "runner of the service")
        cpu_ratio = (
            prompt.intercept * size.requests_per_node_s
            + prompt.slope * size.tokens_per_node_s
        )
        runners = size.runners / size.models
        return [
            _row(
                "entry",
                "processor, cores",
                cpu_ratio,
                carried_by="one process a host; callers are spread by entry addresses",
            ),
            _row(
                "entry",
                "memory, MB",
                stream.at(size.streams_per_node),
                carried_by="bounded buffer for each stream",
            ),
            _row(
                "entry",
                "routing decision, us",
                decision.at(runners) * 1e6,
                budget=300.0,
                carried_by="a decision looks at few candidates",
            ),
        ]

    def _steward_rows(self) -> list[CapacityRow]:
        size = self.size
        budget = self.budget
        polls = self._slope("steward.cpu_ratio", "runner polled")
        poll_bytes = self._slope("poll.bytes", "runner polled").slope + _HEADER_BYTES
        replay = self._slope("replay.cpu_s", "organisation")
        changes_per_s = size.config_changes_per_day / SECONDS_PER_DAY
        replay_ratio = replay.at(size.organisations) * changes_per_s
        share_ratio = POLL_INTERVAL_S / POLLED_SHARE_INTERVAL_S
        peers = self.figures["control.both_ways_bytes_per_s.nodes_370"]
        memory_mb = self.base_memory_mb + self._fleet_mb()
        return [
            _row(
                "steward",
                "processor with polls of every runner, cores",
                polls.at(size.runners) + replay_ratio,
                budget=budget.cpu_ratio,
                carried_by="what runs today: every steward polls every runner",
            ),
            _row(
                "steward",
                "processor with polls of a share, cores",
                polls.at(POLLED_SHARE * share_ratio) + replay_ratio,
                budget=budget.cpu_ratio,
                carried_by="polls of a share; loads come back with answers (to build)",
            ),
            _row(
                "steward",
                "memory, MB",
                memory_mb,
                budget=budget.memory_mb,
                carried_by="one replayed state, no web framework",
            ),
            _row(
                "steward",
                "peers and log, bytes a second",
                peers,
                budget=budget.bytes_per_s,
                carried_by="three watchers a host, changes as deltas",
            ),
            _row(
                "steward",
                "polls of every runner, bytes a second",
                poll_bytes * size.runners / POLL_INTERVAL_S,
                budget=budget.bytes_per_s - peers,
                carried_by="what runs today: every steward polls every runner",
            ),
            _row(
                "steward",
                "polls of a share, bytes a second",
                poll_bytes * POLLED_SHARE / POLLED_SHARE_INTERVAL_S,
                budget=budget.bytes_per_s - peers,
                carried_by="polls of a share; loads come back with answers (to build)",
            ),
            _row(
                "steward",
                "configuration in force on 64 nodes, s",
                self.figures["control.in_force_s.one_fine_64"],
                budget=budget.in_force_s,
                carried_by="records handed on between peers",
            ),
        ]

    def _fleet_mb(self) -> float:
        """Return the memory of the replayed state at the aimed size."""
        size = self.size
        counts = {
            "organisation": size.organisations,
            "runner": size.runners,
            "host": size.nodes,
        }
        return sum(
            self._slope("fleet.memory_mb", per).at(count)
            for per, count in counts.items()
        )

    def _holder_rows(self) -> list[CapacityRow]:
        size = self.size
        runners = size.runners / size.order_domains
        poll_bytes = self._slope("poll.bytes", "runner polled").slope + _HEADER_BYTES
        return [
            _row(
                "tenure holder",
                "runners of its domain",
                runners,
                carried_by="an order domain for each service and region",
            ),
            _row(
                "tenure holder",
                "polls of its domain, bytes a second",
                poll_bytes * runners / POLLED_SHARE_INTERVAL_S,
                budget=self.budget.bytes_per_s,
                carried_by="30 of 370 nodes hold a domain (to build)",
            ),
            _row(
                "tenure holder",
                "appends for all domains after every steward restarted",
                self.figures["steward_restart.appends.1300_runners"],
                carried_by="one claim a domain",
            ),
        ]

    def _upkeep_rows(self) -> list[CapacityRow]:
        size = self.size
        snapshot = self._slope("publication.bytes", "organisation")
        held = self._slope("burn.memory_mb", "window held")
        windows = size.nodes * FOLD_S / WINDOW_S
        free_mb = self.budget.memory_mb - self.base_memory_mb - self._fleet_mb()
        return [
            _row(
                "upkeep",
                "snapshot, MB",
                snapshot.at(size.organisations) / _BYTES_PER_MB,
                budget=16.0,
                carried_by="one record every two hours",
            ),
            _row(
                "upkeep",
                "burn windows held to be folded, MB",
                held.at((1 + RETAINED_HOURS) * windows),
                budget=free_mb,
                carried_by="three hours of whole windows (sums to build)",
            ),
        ]

    def _log_rows(self) -> list[CapacityRow]:
        size = self.size
        lives = size.host_failures_per_day + size.host_restarts_per_day
        tenures = lives * size.order_domains / size.nodes
        control = (size.config_changes_per_day + tenures) / SECONDS_PER_DAY
        control += 1.0 / SNAPSHOT_INTERVAL_S
        windows = size.nodes / WINDOW_S
        own_keys = f"own_keys_at_{OWN_KEY_CALLS_PER_S:.0f}_calls_per_s"
        intents = self.figures[f"calls.intent_appends_per_s.{own_keys}"]
        outcomes = self.figures[f"calls.outcome_appends_per_s.{own_keys}"]
        return [
            _row(
                "log",
                "appends of control, a second",
                control,
                carried_by="changes only; no heartbeats and no leases in the log",
            ),
            _row(
                "log",
                "appends of burn windows, a second",
                windows,
                carried_by="one record a host a minute",
            ),
            _row(
                "log",
                "appends of intents and results, a second",
                intents + outcomes,
                carried_by="batches; minted keys append nothing",
            ),
            _row(
                "log",
                "all appends, a second",
                control + windows + intents + outcomes,
                budget=self.budget.appends_per_s,
                carried_by="the platform's log",
            ),
        ]


def _row(
    role: str, resource: str, value: float, *, budget: float = 0.0, carried_by: str
) -> CapacityRow:
    return CapacityRow(
        role=role,
        resource=resource,
        value=value,
        budget=budget,
        carried_by=carried_by,
        within=budget <= 0.0 or value <= budget,
    )
