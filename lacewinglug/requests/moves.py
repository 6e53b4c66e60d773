"""Decides how a stream moves from one engine to another."""

from dataclasses import dataclass
from enum import Enum

from lacewinglug.config.objects import Fleet

_LOCAL_BYTES_PER_S = 1.25e9
_REGION_BYTES_PER_S = 1.25e8
_IMPORT_OVERHEAD_S = 0.02
_PREFILL_TOKENS_PER_S = 2000.0
MIN_MOVE_TOKENS = 64


class Carry(Enum):
    """How the new engine gets the KV cache of a stream."""

    PREFILL = "prefill"
    IMPORT = "import"


@dataclass(frozen=True, kw_only=True, slots=True)
class MoveCosts:
    """What a move of one stream would take.

    :param tokens: tokens of the prompt and of the answer so far.
    :param kv_bytes_per_token: size of the KV cache of one token, in bytes.
    :param prefill_tokens_per_s: tokens that the new engine computes a second.
    :param bytes_per_s: rate between the engines, in bytes a second; 0 where
        they cannot reach one another or transfers are not wanted.
    :param delay_s: one-way delay between the engines, in seconds.
    """

    tokens: int
    kv_bytes_per_token: int
    prefill_tokens_per_s: float
    bytes_per_s: float
    delay_s: float

    @property
    def prefill_s(self) -> float:
        """Seconds to compute the KV cache again."""
        return self.tokens / self.prefill_tokens_per_s

    @property
    def import_s(self) -> float:
        """Seconds to copy the KV cache."""
        if self.bytes_per_s <= 0:
            return float("inf")
        copy_s = self.tokens * self.kv_bytes_per_token / self.bytes_per_s
        return _IMPORT_OVERHEAD_S + 2 * self.delay_s + copy_s


def choose_carry(costs: MoveCosts) -> Carry:
    """Return the cheaper way to bring a stream's KV cache to an engine."""
    if costs.kv_bytes_per_token > 0 and costs.import_s < costs.prefill_s:
        return Carry.IMPORT
    return Carry.PREFILL


def is_worth_moving(remaining_tokens: int) -> bool:
    """Return whether a stream should move instead of ending where it is."""
    return remaining_tokens >= MIN_MOVE_TOKENS


def estimate_move(
    fleet: Fleet, *, source: str, target: str, role: str, tokens: int
) -> MoveCosts:
    """Return what a move between two runners would take.

    :param fleet: the configuration.
    :param source: name of the runner that has the KV cache.
    :param target: name of the runner that needs it.
    :param role: engine role of the target.
    :param tokens: tokens of the prompt and of the answer so far.
    """
    left, right = fleet.runners[source], fleet.runners[target]
    engine_role = fleet.engine_roles.get(role)
    service = fleet.services[right.service]
    version = fleet.versions.get(service.version)
    model = fleet.models.get(version.model) if version else None
    bytes_per_s, delay_s = _path(fleet, left.availability_zone, right.availability_zone)
    return MoveCosts(
        tokens=tokens,
        kv_bytes_per_token=model.kv_bytes_per_token if model else 0,
        prefill_tokens_per_s=(
            engine_role.prefill_tokens_per_s if engine_role else _PREFILL_TOKENS_PER_S
        ),
        bytes_per_s=bytes_per_s,
        delay_s=delay_s,
    )


def _path(fleet: Fleet, source_zone: str, target_zone: str) -> tuple[float, float]:
    """Return rate and one-way delay; regions never send one another KV caches."""
    if source_zone == target_zone:
        return _LOCAL_BYTES_PER_S, 0.0
    if fleet.region_of(source_zone) != fleet.region_of(target_zone):
        return 0.0, 0.0
    delay_s = fleet.availability_zones[target_zone].one_way_delay_s
    return _REGION_BYTES_PER_S, delay_s
