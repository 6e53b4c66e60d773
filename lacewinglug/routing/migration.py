"""Decides when a stream moves to another runner."""

from dataclasses import dataclass

from lacewinglug.routing.choice import RunnerState
from lacewinglug.routing.profile import RequestProfile

MIN_SLOWNESS = 2.4
MIN_GAIN_S = 0.3


@dataclass(frozen=True, kw_only=True, slots=True)
class StreamPrognosis:
    """What is left of a stream where it runs, and elsewhere.

    :param here_s: predicted time to its end on its runner, in seconds.
    :param there_s: predicted time to its end on the other runner, in seconds.
    :param move_s: time without tokens during the move, in seconds.
    """

    here_s: float
    there_s: float
    move_s: float


def is_worth_moving(prognosis: StreamPrognosis) -> bool:
    """Return whether a stream ends clearly sooner on the other runner."""
    gain_s = prognosis.here_s - prognosis.there_s - prognosis.move_s
    return gain_s > MIN_GAIN_S


def remaining_s(
    profile: RequestProfile, state: RunnerState, computed: bool, tokens: int
) -> float:
    """Predict the time to the end of a request on a runner, in seconds."""
    rates = state.rates
    remaining_s = tokens * rates.token_interval_s(state.in_flight) * state.slowness
    if not computed:
        missing = profile.missing_tokens(state.cached_pieces)
        rate = rates.shared_prefill_tokens_per_s(state.in_flight) / state.slowness
        remaining_s += (missing + state.prefill_tokens) / rate
    return remaining_s
