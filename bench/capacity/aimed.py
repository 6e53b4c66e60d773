"""The size that the system is built for."""

from dataclasses import dataclass

SECONDS_PER_DAY = 86400.0


@dataclass(frozen=True, kw_only=True, slots=True)
class AimedSize:
    """Numbers of the users' aim, two years ahead."""

    nodes: int = 370
    runners: int = 1300
    requests_per_s: float = 2400.0
    tokens_per_s: float = 630_000.0
    token_interval_s: float = 0.042
    organisations: int = 3700
    models: int = 10
    regions: int = 3
    availability_zones: int = 11
    config_changes_per_day: float = 1400.0
    host_failures_per_day: float = 18.0
    host_restarts_per_day: float = 85.0
    objectives: int = 30

    @property
    def requests_per_node_s(self) -> float:
        """Requests that one entry takes a second."""
        return self.requests_per_s / self.nodes

    @property
    def tokens_per_node_s(self) -> float:
        """Tokens that one entry relays a second."""
        return self.tokens_per_s / self.nodes

    @property
    def streams_per_node(self) -> float:
        """Streams that are open at one entry."""
        return self.tokens_per_node_s * self.token_interval_s

    @property
    def order_domains(self) -> int:
        """Order domains, the runners of one service in one region each."""
        return self.models * self.regions


@dataclass(frozen=True, kw_only=True, slots=True)
class ControlBudget:
    """What a node may spend on control."""

    cpu_ratio: float = 0.032
    memory_mb: float = 64.0
    bytes_per_s: float = 3000.0
    appends_per_s: float = 200.0
    in_force_s: float = 4.0
