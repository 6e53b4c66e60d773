"""Decides whether to migrate a stream to another runner."""

from dataclasses import dataclass

from lacewinglug.routing.choice import RunnerState
from lacewinglug.routing.profile import RequestProfile

MIN_SLOWNESS = 2.4
MIN_GAIN_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class MigrationEstimate:
    """Predicted remaining time of a stream with and without migration.

    :param source_remaining_s: remaining time on its current runner, in seconds.
    :param target_remaining_s: remaining time on the target runner, in seconds.
    :param transfer_s: pause of the stream during migration, in seconds.
    """

    source_remaining_s: float
    target_remaining_s: float
    transfer_s: float


def should_migrate(estimate: MigrationEstimate) -> bool:
    """Return whether migration saves more than the minimum gain."""
    gain_s = (
        estimate.source_remaining_s - estimate.target_remaining_s - estimate.transfer_s
    )
    return gain_s > MIN_GAIN_S


def predict_remaining_s(
    profile: RequestProfile,
    state: RunnerState,
    prefill_done: bool,
    remaining_tokens: int,
) -> float:
    """Return the predicted remaining time of a request on a runner, in seconds.

    :param profile: the request.
    :param state: state of the runner.
    :param prefill_done: whether the first token has arrived.
    :param remaining_tokens: tokens still to generate.
    """
    rates = state.rates
    remaining_s = (
        remaining_tokens * rates.token_interval_s(state.in_flight) * state.slowness
    )
    if not prefill_done:
        uncached_tokens = profile.uncached_tokens(state.cached_blocks)
        rate = rates.shared_prefill_tokens_per_s(state.in_flight) / state.slowness
        remaining_s += (uncached_tokens + state.prefill_tokens) / rate
    return remaining_s
