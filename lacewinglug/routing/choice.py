"""Chooses the runner of a request by predicted cost.

The cost is in seconds: predicted latency of the request plus the weighted delay that
it adds to other requests.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from lacewinglug.routing.lanes import LengthClass, choose_priority, fits_slot_quota
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import EngineRates

# Weight of the time for which a prefill stalls running streams.
PREFILL_CONTENTION_WEIGHT = 0.5
LONG_PREFILL_CONTENTION_WEIGHT = 2.0
# Concentrates long requests on the same runners at all entries.
LONG_RANK_PENALTY_S = 30.0
# Steers short requests away from runners with long ones.
SHORT_WITH_LONG_WEIGHT = 0.25
# Long streams on a runner at which that penalty reaches its maximum.
SHORT_WITH_LONG_FULL_STREAMS = 2.0
DECODE_CONTENTION_WEIGHT = 0.2
# Keeps decode off prefill engines while another engine can take it.
PREFILL_ROLE_DECODE_WEIGHT = 20.0
_BYTES_PER_GB = 1e9


@dataclass(kw_only=True, slots=True, eq=False)
class RunnerState:
    """State of a runner at the time of a routing decision.

    :param name: name of the runner.
    :param rates: nominal rates in its current role.
    :param serving_mode: ``mixed``, ``prefill`` or ``decode`` for an engine, ``plain``
        for a service that is not a model.
    :param slots: maximum number of concurrent requests.
    :param in_flight: requests running or queued, including those sent by this entry
        since the last report.
    :param low_priority: low-priority requests among them.
    :param prefill_tokens: prompt tokens waiting for prefill.
    :param cached_blocks: leading blocks of the prompt that are probably in its prefix
        cache.
    :param slowness: ratio of observed to nominal latency.
    :param long_request_rank: rank of the runner for long requests; all entries fill
        runners in this order.
    :param mean_slot_time_s: mean time that a request occupies a slot, in seconds.
    :param region: region of the runner.
    :param delay_s: one-way network delay, in seconds.
    :param region_cost_s: data transfer cost to its region, expressed in seconds.
    """

    name: str
    rates: EngineRates
    serving_mode: str = "mixed"
    slots: int = 1
    in_flight: float = 0.0
    low_priority: float = 0.0
    prefill_tokens: float = 0.0
    cached_blocks: int = 0
    slowness: float = 1.0
    long_request_rank: int = 0
    mean_slot_time_s: float = 2.0
    region: str = ""
    delay_s: float = 0.0
    region_cost_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class KvTransferCost:
    """Cost of transferring a KV cache between runners.

    :param kv_bytes_per_token: KV cache size of one token, in bytes.
    :param local_bytes_per_s: bandwidth within a region, in bytes per second.
    :param remote_bytes_per_s: bandwidth between regions, in bytes per second.
    """

    kv_bytes_per_token: int
    local_bytes_per_s: float
    remote_bytes_per_s: float

    def transfer_s(self, tokens: int, *, is_remote: bool) -> float:
        """Return the transfer time of the KV cache of ``tokens``, in seconds."""
        rate = self.remote_bytes_per_s if is_remote else self.local_bytes_per_s
        return tokens * self.kv_bytes_per_token / rate


@dataclass(kw_only=True, slots=True, eq=False)
class Placement:
    """The chosen runners of a request, with the predicted latency.

    :param runner: runner for prefill, or for the whole request.
    :param decode_runner: runner for decode.
    :param length_class: length class of the request.
    :param prefill_wait_s: predicted queueing time before prefill, in seconds.
    :param slot_wait_s: predicted queueing time for a decode slot, in seconds.
    :param first_token_s: predicted time to first token, in seconds.
    :param completion_s: predicted time to the complete response, in seconds.
    :param cost_s: completion time plus the weighted delay of other requests, in
        seconds.
    :param prefill_tokens: prompt tokens that miss the prefix cache.
    :param priority: scheduling priority at the engine; a lower number runs first.
    """

    runner: RunnerState
    decode_runner: RunnerState
    length_class: LengthClass
    prefill_wait_s: float
    slot_wait_s: float
    first_token_s: float
    completion_s: float
    cost_s: float
    prefill_tokens: int
    priority: int


@dataclass(kw_only=True, slots=True, eq=False)
class _PhaseCost:
    """Predicted cost of one phase on one runner.

    :param runner: the runner.
    :param wait_s: queueing time, in seconds.
    :param service_s: time from start to end of the phase, in seconds.
    :param contention_s: weighted delay of other requests, in seconds.
    """

    runner: RunnerState
    wait_s: float
    service_s: float
    contention_s: float

    @property
    def cost_s(self) -> float:
        return self.wait_s + self.service_s + self.contention_s


def choose_placement(
    profile: RequestProfile,
    length_class: LengthClass,
    candidates: Sequence[RunnerState],
    *,
    transfer: KvTransferCost | None = None,
    queue_ahead_share: float = 1.0,
) -> Placement | None:
    """Return the placement with the lowest cost.

    Both phases run on one runner, unless prefill and decode on separate runners cost
    less with the KV transfer included.

    :param profile: the request.
    :param length_class: length class of the request.
    :param candidates: runners that accept work.
    :param transfer: KV transfer cost, None if the KV cache cannot be transferred.
    :param queue_ahead_share: share of the queued prompt tokens that engines prefill
        before this request.
    :returns: the placement, None if no candidate has room.
    """
    eligible = [
        item
        for item in candidates
        if fits_slot_quota(
            length_class, low_priority=item.low_priority, slots=item.slots
        )
    ]
    if not eligible:
        return None
    prefills = [
        _predict_prefill(profile, length_class, item, queue_ahead_share)
        for item in eligible
    ]
    decodes = [_predict_decode(profile, item, length_class) for item in eligible]
    best_index = min(
        range(len(eligible)),
        key=lambda index: prefills[index].cost_s + decodes[index].cost_s,
    )
    placement = _combine_phases(
        profile, length_class, prefills[best_index], decodes[best_index], 0.0
    )
    if transfer is None or len(eligible) == 1:
        return placement
    best_prefill = min(prefills, key=lambda phase: phase.cost_s)
    best_decode = min(decodes, key=lambda phase: phase.cost_s)
    if best_prefill.runner is best_decode.runner:
        return placement
    is_remote = best_prefill.runner.region != best_decode.runner.region
    transfer_s = best_decode.runner.delay_s
    transfer_s += transfer.transfer_s(profile.prompt_tokens, is_remote=is_remote)
    split = _combine_phases(
        profile, length_class, best_prefill, best_decode, transfer_s
    )
    return split if split.cost_s < placement.cost_s else placement


def choose_decode_runner(
    profile: RequestProfile,
    length_class: LengthClass,
    candidates: Sequence[RunnerState],
    *,
    source_region: str = "",
    transfer: KvTransferCost | None = None,
) -> RunnerState | None:
    """Return the best runner to continue decoding a migrated stream.

    :param profile: the request.
    :param length_class: length class of the request.
    :param candidates: runners that accept work.
    :param source_region: region of the runner that the stream leaves.
    :param transfer: KV transfer cost, None if the KV cache is recomputed.
    :returns: the runner, None if there is no candidate.
    """
    if not candidates:
        return None
    eligible = [
        item
        for item in candidates
        if fits_slot_quota(
            length_class, low_priority=item.low_priority, slots=item.slots
        )
    ]
    phases = [
        _predict_decode(profile, item, length_class) for item in eligible or candidates
    ]

    def cost_s(phase: _PhaseCost) -> float:
        if transfer is None:
            return phase.cost_s
        is_remote = phase.runner.region != source_region
        tokens = profile.prompt_tokens
        return phase.cost_s + transfer.transfer_s(tokens, is_remote=is_remote)

    return min(phases, key=cost_s).runner


def _predict_prefill(
    profile: RequestProfile,
    length_class: LengthClass,
    state: RunnerState,
    queue_ahead_share: float,
) -> _PhaseCost:
    """Return the predicted cost of prefill on a runner."""
    rates = state.rates
    streams = (
        0.0 if state.serving_mode == "prefill" else min(state.in_flight, state.slots)
    )
    rate = rates.shared_prefill_tokens_per_s(streams) / state.slowness
    tokens = profile.uncached_tokens(state.cached_blocks)
    service_s = tokens / rate + state.delay_s + state.region_cost_s
    stall_s = tokens / rates.prefill_tokens_per_s * state.slowness
    weight = PREFILL_CONTENTION_WEIGHT
    if length_class is LengthClass.LONG:
        streams = max(0.0, streams - state.low_priority)
        weight = LONG_PREFILL_CONTENTION_WEIGHT
    return _PhaseCost(
        runner=state,
        wait_s=state.prefill_tokens * queue_ahead_share / rate,
        service_s=service_s,
        contention_s=weight * stall_s * streams,
    )


def _predict_decode(
    profile: RequestProfile, state: RunnerState, length_class: LengthClass
) -> _PhaseCost:
    """Return the predicted cost of decode on a runner."""
    if state.serving_mode == "plain":
        return _predict_plain_call(state)
    rates = state.rates
    streams = min(state.in_flight, state.slots)
    interval_s = rates.token_interval_s(streams + 1) * state.slowness
    service_s = profile.output_tokens * interval_s + _prefill_stall_s(state)
    work_s = profile.output_tokens / rates.decode_tokens_per_s * state.slowness
    contention_s = DECODE_CONTENTION_WEIGHT * work_s * streams
    if state.serving_mode == "prefill":
        contention_s += PREFILL_ROLE_DECODE_WEIGHT * service_s
    if length_class is LengthClass.LONG:
        contention_s += LONG_RANK_PENALTY_S * state.long_request_rank
    else:
        long_fraction = min(1.0, state.low_priority / SHORT_WITH_LONG_FULL_STREAMS)
        contention_s += SHORT_WITH_LONG_WEIGHT * service_s * long_fraction
    return _PhaseCost(
        runner=state,
        wait_s=_slot_wait_s(state),
        service_s=service_s,
        contention_s=contention_s,
    )


def _prefill_stall_s(state: RunnerState) -> float:
    """Return how long queued prefills stall a stream, in seconds."""
    if state.serving_mode == "prefill" or state.prefill_tokens <= 0:
        return 0.0
    return state.prefill_tokens / state.rates.prefill_tokens_per_s * state.slowness


def _predict_plain_call(state: RunnerState) -> _PhaseCost:
    """Return the predicted cost of a call to a plain service."""
    service_s = state.mean_slot_time_s * state.slowness
    return _PhaseCost(
        runner=state,
        wait_s=_slot_wait_s(state),
        service_s=service_s,
        contention_s=service_s * state.in_flight / state.slots,
    )


def _slot_wait_s(state: RunnerState) -> float:
    """Return the predicted wait for a free slot, in seconds."""
    excess = state.in_flight + 1 - state.slots
    if excess <= 0 or state.serving_mode == "prefill":
        return 0.0
    return excess * state.mean_slot_time_s / state.slots


def _combine_phases(
    profile: RequestProfile,
    length_class: LengthClass,
    prefill: _PhaseCost,
    decode: _PhaseCost,
    transfer_s: float,
) -> Placement:
    """Return the placement made of a prefill and a decode phase."""
    completion_s = (
        prefill.wait_s
        + decode.wait_s
        + prefill.service_s
        + decode.service_s
        + transfer_s
    )
    same_runner = prefill.runner is decode.runner
    prefill_tokens = profile.uncached_tokens(prefill.runner.cached_blocks)
    return Placement(
        runner=prefill.runner,
        decode_runner=decode.runner,
        length_class=length_class,
        prefill_wait_s=prefill.wait_s,
        slot_wait_s=decode.wait_s,
        first_token_s=prefill.wait_s
        + prefill.service_s
        + (decode.wait_s if same_runner else 0.0),
        completion_s=completion_s,
        cost_s=completion_s + prefill.contention_s + decode.contention_s,
        prefill_tokens=prefill_tokens,
        priority=choose_priority(
            length_class, value=profile.weight, prefill_tokens=prefill_tokens
        ),
    )
