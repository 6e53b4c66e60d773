"""Cost model for migrating a stream from one engine to another."""

from dataclasses import dataclass
from enum import Enum

from lacewinglug.config.objects import Fleet

_SAME_ZONE_BYTES_PER_S = 1.25e9
_SAME_REGION_BYTES_PER_S = 1.25e8
_IMPORT_OVERHEAD_S = 0.02
_DEFAULT_PREFILL_TOKENS_PER_S = 2000.0
MIN_MIGRATION_TOKENS = 64


class KvCacheMethod(Enum):
    """How the target engine of a migration obtains the KV cache."""

    PREFILL = "prefill"
    IMPORT = "import"


@dataclass(frozen=True, kw_only=True, slots=True)
class MigrationCosts:
    """Inputs for the cost of migrating one stream.

    :param context_tokens: number of tokens of the prompt and of the answer so far.
    :param kv_bytes_per_token: size of the KV cache per token, in bytes.
    :param prefill_tokens_per_s: prefill throughput of the target engine.
    :param bandwidth_bytes_per_s: bandwidth between the engines, in bytes per second;
        0 if they cannot reach each other or must not transfer KV caches.
    :param one_way_delay_s: one-way network delay between the engines, in seconds.
    """

    context_tokens: int
    kv_bytes_per_token: int
    prefill_tokens_per_s: float
    bandwidth_bytes_per_s: float
    one_way_delay_s: float

    @property
    def prefill_s(self) -> float:
        """Time to recompute the KV cache, in seconds."""
        return self.context_tokens / self.prefill_tokens_per_s

    @property
    def import_s(self) -> float:
        """Time to import the KV cache, in seconds; infinite if it is not possible."""
        if self.bandwidth_bytes_per_s <= 0:
            return float("inf")
        copy_s = (
            self.context_tokens * self.kv_bytes_per_token / self.bandwidth_bytes_per_s
        )
        return _IMPORT_OVERHEAD_S + 2 * self.one_way_delay_s + copy_s


def choose_kv_cache_method(costs: MigrationCosts) -> KvCacheMethod:
    """Return the faster way for the target engine to obtain the KV cache."""
    if costs.kv_bytes_per_token > 0 and costs.import_s < costs.prefill_s:
        return KvCacheMethod.IMPORT
    return KvCacheMethod.PREFILL


def is_migration_worthwhile(remaining_tokens: int) -> bool:
    """Return whether a stream should migrate rather than finish on its engine."""
    return remaining_tokens >= MIN_MIGRATION_TOKENS


def estimate_migration(
    fleet: Fleet, *, source: str, target: str, role: str, context_tokens: int
) -> MigrationCosts:
    """Return the costs of a migration between two runners.

    :param fleet: configuration of the fleet.
    :param source: name of the runner that has the KV cache.
    :param target: name of the runner that needs the KV cache.
    :param role: engine role of the target; if it is not configured, a default
        prefill throughput is assumed.
    :param context_tokens: number of tokens of the prompt and of the answer so far.
    """
    source_runner, target_runner = fleet.runners[source], fleet.runners[target]
    engine_role = fleet.engine_roles.get(role)
    service = fleet.services[target_runner.service]
    version = fleet.versions.get(service.version)
    model = fleet.models.get(version.model) if version else None
    bandwidth, delay_s = _network_path(
        fleet, source_runner.availability_zone, target_runner.availability_zone
    )
    return MigrationCosts(
        context_tokens=context_tokens,
        kv_bytes_per_token=model.kv_bytes_per_token if model else 0,
        prefill_tokens_per_s=(
            engine_role.prefill_tokens_per_s
            if engine_role
            else _DEFAULT_PREFILL_TOKENS_PER_S
        ),
        bandwidth_bytes_per_s=bandwidth,
        one_way_delay_s=delay_s,
    )


def _network_path(
    fleet: Fleet, source_zone: str, target_zone: str
) -> tuple[float, float]:
    """Return the bandwidth in bytes per second and the one-way delay in seconds.

    The bandwidth is 0 between regions, as KV caches never cross a region boundary.
    """
    if source_zone == target_zone:
        return _SAME_ZONE_BYTES_PER_S, 0.0
    if fleet.region_of(source_zone) != fleet.region_of(target_zone):
        return 0.0, 0.0
    delay_s = fleet.availability_zones[target_zone].one_way_delay_s
    return _SAME_REGION_BYTES_PER_S, delay_s
