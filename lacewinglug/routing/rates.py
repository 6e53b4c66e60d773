"""How fast an engine works in its role."""

from dataclasses import dataclass

from lacewinglug.config.objects import EngineRole

FIXED_STEP_SHARE = 0.75
PREFILL_CHUNK_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRates:
    """Rates of an engine with continuous batching.

    A step computes one token of each stream and one chunk of a prompt. The step
    of a full batch takes ``slots / decode_tokens_per_s``, of which a fixed share
    does not depend on the number of streams.

    :param prefill_tokens_per_s: prompt tokens computed a second.
    :param decode_tokens_per_s: tokens generated a second by a full batch.
    :param slots: streams that run at the same time.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: int

    def token_interval_s(self, streams: float) -> float:
        """Return the time between two tokens of a stream, in seconds."""
        full_step_s = self.slots / self.decode_tokens_per_s
        filled = min(1.0, streams / self.slots)
        return full_step_s * (FIXED_STEP_SHARE + (1 - FIXED_STEP_SHARE) * filled)

    def shared_prefill_tokens_per_s(self, streams: float) -> float:
        """Return the prefill rate beside streams that generate tokens."""
        if streams <= 0:
            return self.prefill_tokens_per_s
        step_s = PREFILL_CHUNK_S + self.token_interval_s(streams)
        return self.prefill_tokens_per_s * PREFILL_CHUNK_S / step_s

    def work_s(self, *, prefill_tokens: float, output_tokens: float) -> float:
        """Return the engine time that tokens take at a full batch, in seconds."""
        return (
            prefill_tokens / self.prefill_tokens_per_s
            + output_tokens / self.decode_tokens_per_s
        )


def rates_of(role: EngineRole) -> EngineRates:
    """Return the rates of an engine role."""
    return EngineRates(
        prefill_tokens_per_s=role.prefill_tokens_per_s,
        decode_tokens_per_s=role.decode_tokens_per_s,
        slots=role.slots,
    )


PLAIN_RATES = EngineRates(prefill_tokens_per_s=1e9, decode_tokens_per_s=1e9, slots=64)
