"""Performance model of an engine in one role."""

from dataclasses import dataclass

from lacewinglug.config.objects import EngineRole

# Share of a full-batch step that does not depend on the number of streams.
FIXED_STEP_TIME_SHARE = 0.75
PREFILL_CHUNK_S = 0.02


@dataclass(frozen=True, kw_only=True, slots=True)
class EngineRates:
    """Throughput of an engine with continuous batching and chunked prefill.

    Each step decodes one token of every stream and prefills one chunk of a prompt. A
    step of a full batch takes ``slots / decode_tokens_per_s``, of which a fixed share
    does not depend on the number of streams.

    :param prefill_tokens_per_s: prefill throughput, in tokens per second.
    :param decode_tokens_per_s: decode throughput of a full batch, in tokens per second.
    :param slots: maximum number of concurrent streams.
    """

    prefill_tokens_per_s: float
    decode_tokens_per_s: float
    slots: int

    def token_interval_s(self, streams: float) -> float:
        """Return the inter-token latency for a batch of ``streams``, in seconds."""
        full_step_s = self.slots / self.decode_tokens_per_s
        batch_fill = min(1.0, streams / self.slots)
        return full_step_s * (
            FIXED_STEP_TIME_SHARE + (1 - FIXED_STEP_TIME_SHARE) * batch_fill
        )

    def shared_prefill_tokens_per_s(self, streams: float) -> float:
        """Return the prefill rate while ``streams`` are decoding."""
        if streams <= 0:
            return self.prefill_tokens_per_s
        step_s = PREFILL_CHUNK_S + self.token_interval_s(streams)
        return self.prefill_tokens_per_s * PREFILL_CHUNK_S / step_s

    def work_s(self, *, prefill_tokens: float, output_tokens: float) -> float:
        """Return the engine time for prefill and full-batch decode, in seconds."""
        return (
            prefill_tokens / self.prefill_tokens_per_s
            + output_tokens / self.decode_tokens_per_s
        )


def rates_of(role: EngineRole) -> EngineRates:
    """Return the rates configured for an engine role."""
    return EngineRates(
        prefill_tokens_per_s=role.prefill_tokens_per_s,
        decode_tokens_per_s=role.decode_tokens_per_s,
        slots=role.slots,
    )


PLAIN_RATES = EngineRates(prefill_tokens_per_s=1e9, decode_tokens_per_s=1e9, slots=64)
