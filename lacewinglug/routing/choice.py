"""Chooses where a request runs by its predicted cost in seconds."""

from collections.abc import Sequence
from dataclasses import dataclass

from lacewinglug.routing.lanes import Lane, choose_priority, has_room
from lacewinglug.routing.profile import RequestProfile
from lacewinglug.routing.rates import EngineRates

CONTENTION_WEIGHT = 0.5
LONG_CONTENTION_WEIGHT = 2.0
LONG_RANK_S = 30.0
BESIDE_LONG_WEIGHT = 0.25
BESIDE_LONG_STREAMS = 2.0
DECODE_WORK_WEIGHT = 0.2
DECODE_BESIDE_PREFILL_WEIGHT = 20.0
_BYTES_PER_GB = 1e9


@dataclass(kw_only=True, slots=True, eq=False)
class RunnerState:
    """What is known of a runner when a request is routed.

    :param name: name of the runner.
    :param rates: rates in its role.
    :param does: ``mixed``, ``prefill`` or ``decode``, or ``plain`` for a service.
    :param slots: requests that run at the same time.
    :param in_flight: requests in progress or queued, own sends included.
    :param low_priority: those of them at low priority.
    :param prefill_tokens: prompt tokens still to compute.
    :param cached_pieces: leading pieces of the prompt that it probably caches.
    :param slowness: how many times slower than its rates it is.
    :param long_rank: place in the order in which all entries fill runners with
        long work.
    :param hold_s: mean time that a request holds a slot, in seconds.
    :param region: region that it stands in.
    :param delay_s: one-way network delay, in seconds.
    :param cost_s: cost of its region by volume, expressed in seconds.
    """

    name: str
    rates: EngineRates
    does: str = "mixed"
    slots: int = 1
    in_flight: float = 0.0
    low_priority: float = 0.0
    prefill_tokens: float = 0.0
    cached_pieces: int = 0
    slowness: float = 1.0
    long_rank: int = 0
    hold_s: float = 2.0
    region: str = ""
    delay_s: float = 0.0
    cost_s: float = 0.0


@dataclass(frozen=True, kw_only=True, slots=True)
class TransferCost:
    """How long the KV cache of a prompt takes from one runner to another.

    :param kv_bytes_per_token: size of the KV cache of a token, in bytes.
    :param bytes_per_s: rate within a region, in bytes a second.
    :param remote_bytes_per_s: rate between regions, in bytes a second.
    """

    kv_bytes_per_token: int
    bytes_per_s: float
    remote_bytes_per_s: float

    def transfer_s(self, tokens: int, *, is_remote: bool) -> float:
        """Return the time that the KV cache of tokens takes, in seconds."""
        rate = self.remote_bytes_per_s if is_remote else self.bytes_per_s
        return tokens * self.kv_bytes_per_token / rate


@dataclass(kw_only=True, slots=True, eq=False)
class Placement:
    """Where a request runs.

    :param runner: state of the runner that computes the prompt.
    :param decode_runner: state of the runner that generates the answer.
    :param lane: lane of the request.
    :param prefill_wait_s: predicted wait before the prompt is computed, in seconds.
    :param slot_wait_s: predicted wait for a slot to generate in, in seconds.
    :param first_token_s: predicted time to the first token, in seconds.
    :param finish_s: predicted time to the whole answer, in seconds.
    :param cost_s: finish with the delay that it causes to others, in seconds.
    :param prefill_tokens: prompt tokens to compute.
    :param priority: priority at the engine; a lower number runs first.
    """

    runner: RunnerState
    decode_runner: RunnerState
    lane: Lane
    prefill_wait_s: float
    slot_wait_s: float
    first_token_s: float
    finish_s: float
    cost_s: float
    prefill_tokens: int
    priority: int


@dataclass(kw_only=True, slots=True, eq=False)
class _Phase:
    """Predicted seconds of one phase on one runner."""

    runner: RunnerState
    wait_s: float
    own_s: float
    contention_s: float

    @property
    def cost_s(self) -> float:
        return self.wait_s + self.own_s + self.contention_s


def choose_placement(
    profile: RequestProfile,
    lane: Lane,
    candidates: Sequence[RunnerState],
    *,
    transfer: TransferCost | None = None,
    ahead_share: float = 1.0,
) -> Placement | None:
    """Return the placement of the lowest cost, or None without a candidate.

    :param profile: the request.
    :param lane: its lane.
    :param candidates: runners that accept work.
    :param transfer: cost of moving a KV cache, None when it cannot move.
    :param ahead_share: share of queued prompt tokens that engines run before it.
    """
    open_runners = [
        item
        for item in candidates
        if has_room(lane, low_priority=item.low_priority, slots=item.slots)
    ]
    if not open_runners:
        return None
    prefills = [
        _predict_prefill(profile, lane, item, ahead_share) for item in open_runners
    ]
    decodes = [_predict_decode(profile, item, lane) for item in open_runners]
    best = min(
        range(len(open_runners)),
        key=lambda index: prefills[index].cost_s + decodes[index].cost_s,
    )
    placement = _join(profile, lane, prefills[best], decodes[best], 0.0)
    if transfer is None or len(open_runners) == 1:
        return placement
    first = min(prefills, key=lambda phase: phase.cost_s)
    second = min(decodes, key=lambda phase: phase.cost_s)
    if first.runner is second.runner:
        return placement
    is_remote = first.runner.region != second.runner.region
    moved_s = second.runner.delay_s
    moved_s += transfer.transfer_s(profile.prompt_tokens, is_remote=is_remote)
    split = _join(profile, lane, first, second, moved_s)
    return split if split.cost_s < placement.cost_s else placement


def choose_decode_runner(
    profile: RequestProfile,
    lane: Lane,
    candidates: Sequence[RunnerState],
    *,
    region: str = "",
    transfer: TransferCost | None = None,
) -> RunnerState | None:
    """Return the runner on which a moved stream goes on best.

    :param region: region that it leaves.
    :param transfer: cost of moving its KV cache, None when it is computed again.
    """
    if not candidates:
        return None
    roomy = [
        item
        for item in candidates
        if has_room(lane, low_priority=item.low_priority, slots=item.slots)
    ]
    phases = [_predict_decode(profile, item, lane) for item in roomy or candidates]

    def cost_s(phase: _Phase) -> float:
        if transfer is None:
            return phase.cost_s
        is_remote = phase.runner.region != region
        tokens = profile.prompt_tokens
        return phase.cost_s + transfer.transfer_s(tokens, is_remote=is_remote)

    return min(phases, key=cost_s).runner


def _predict_prefill(
    profile: RequestProfile, lane: Lane, state: RunnerState, ahead_share: float
) -> _Phase:
    """Predict the seconds of computing the prompt."""
    rates = state.rates
    streams = 0.0 if state.does == "prefill" else min(state.in_flight, state.slots)
    rate = rates.shared_prefill_tokens_per_s(streams) / state.slowness
    tokens = profile.missing_tokens(state.cached_pieces)
    own_s = tokens / rate + state.delay_s + state.cost_s
    stalled_s = tokens / rates.prefill_tokens_per_s * state.slowness
    weight = CONTENTION_WEIGHT
    if lane is Lane.LONG:
        streams = max(0.0, streams - state.low_priority)
        weight = LONG_CONTENTION_WEIGHT
    return _Phase(
        runner=state,
        wait_s=state.prefill_tokens * ahead_share / rate,
        own_s=own_s,
        contention_s=weight * stalled_s * streams,
    )


def _predict_decode(profile: RequestProfile, state: RunnerState, lane: Lane) -> _Phase:
    """Predict the seconds of generating the answer."""
    if state.does == "plain":
        return _predict_call(state)
    rates = state.rates
    streams = min(state.in_flight, state.slots)
    interval_s = rates.token_interval_s(streams + 1) * state.slowness
    own_s = profile.output_tokens * interval_s + _stalled_s(state)
    work_s = profile.output_tokens / rates.decode_tokens_per_s * state.slowness
    contention_s = DECODE_WORK_WEIGHT * work_s * streams
    if state.does == "prefill":
        contention_s += DECODE_BESIDE_PREFILL_WEIGHT * own_s
    if lane is Lane.LONG:
        contention_s += LONG_RANK_S * state.long_rank
    else:
        beside_long = min(1.0, state.low_priority / BESIDE_LONG_STREAMS)
        contention_s += BESIDE_LONG_WEIGHT * own_s * beside_long
    return _Phase(
        runner=state,
        wait_s=_slot_wait_s(state),
        own_s=own_s,
        contention_s=contention_s,
    )


def _stalled_s(state: RunnerState) -> float:
    """Return how much queued prompts slow a stream down, in seconds."""
    if state.does == "prefill" or state.prefill_tokens <= 0:
        return 0.0
    return state.prefill_tokens / state.rates.prefill_tokens_per_s * state.slowness


def _predict_call(state: RunnerState) -> _Phase:
    """Predict the seconds of a call to a plain service."""
    own_s = state.hold_s * state.slowness
    return _Phase(
        runner=state,
        wait_s=_slot_wait_s(state),
        own_s=own_s,
        contention_s=own_s * state.in_flight / state.slots,
    )


def _slot_wait_s(state: RunnerState) -> float:
    """Return the wait for a free slot, in seconds."""
    excess = state.in_flight + 1 - state.slots
    if excess <= 0 or state.does == "prefill":
        return 0.0
    return excess * state.hold_s / state.slots


def _join(
    profile: RequestProfile, lane: Lane, first: _Phase, second: _Phase, moved_s: float
) -> Placement:
    """Put the two phases of a request together."""
    finish_s = first.wait_s + second.wait_s + first.own_s + second.own_s + moved_s
    same = first.runner is second.runner
    prefill_tokens = profile.missing_tokens(first.runner.cached_pieces)
    return Placement(
        runner=first.runner,
        decode_runner=second.runner,
        lane=lane,
        prefill_wait_s=first.wait_s,
        slot_wait_s=second.wait_s,
        first_token_s=first.wait_s + first.own_s + (second.wait_s if same else 0.0),
        finish_s=finish_s,
        cost_s=finish_s + first.contention_s + second.contention_s,
        prefill_tokens=prefill_tokens,
        priority=choose_priority(
            lane, value=profile.weight, prefill_tokens=prefill_tokens
        ),
    )
