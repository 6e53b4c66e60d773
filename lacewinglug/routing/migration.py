"""Decides when a stream moves to another runner."""

from dataclasses import dataclass

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
