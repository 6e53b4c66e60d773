"""Messages between the system and its runners."""

import msgspec


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """What a runner reports of its load.

    :param role: engine role in force, empty at a plain service.
    :param state: ``ready``, ``changing`` or ``draining``.
    :param running: requests in progress.
    :param queued: requests that wait.
    :param queued_prefill_tokens: prompt tokens still to compute.
    :param slots: streams that can run at the same time.
    :param cached_pieces: pieces in the prefix cache.
    :param fencing_number: highest fencing number seen.
    :param version: version of the weights in force.
    :param low_priority: requests in progress or queued at low priority.
    :param prefill_tokens_total: prompt tokens computed since the start.
    :param output_tokens_total: tokens generated since the start.
    """

    role: str = ""
    state: str = "ready"
    running: int = 0
    queued: int = 0
    queued_prefill_tokens: int = 0
    slots: int = 1
    cached_pieces: int = 0
    fencing_number: int = -1
    version: str = ""
    low_priority: int = 0
    prefill_tokens_total: int = 0
    output_tokens_total: int = 0


class GenerateRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A prompt for an engine.

    :param request_id: id that the engine echoes in every line.
    :param prompt: text of the prompt.
    :param max_tokens: tokens to generate.
    :param priority: lower runs first.
    :param resume_from: index of the first token wanted.
    """

    request_id: str
    prompt: str
    max_tokens: int
    priority: int = 0
    resume_from: int = 0


class TokenLine(msgspec.Struct, frozen=True, kw_only=True, tag="token"):
    """One generated token.

    :param request_id: id of the request that it belongs to.
    :param index: place in the answer, from 0.
    :param text: text of the token.
    """

    request_id: str
    index: int
    text: str


class EndLine(msgspec.Struct, frozen=True, kw_only=True, tag="end"):
    """The end of a whole answer.

    :param request_id: id of the request.
    :param tokens: number of tokens of the whole answer.
    """

    request_id: str
    tokens: int


StreamLine = TokenLine | EndLine


class KvImport(msgspec.Struct, frozen=True, kw_only=True):
    """Asks an engine to fetch the KV cache of a request from another engine.

    :param request_id: id of the request.
    :param source_url: base URL of the engine that has the KV cache.
    """

    request_id: str
    source_url: str


class KvImportReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an import.

    :param tokens: tokens whose KV cache the engine has now.
    """

    tokens: int


class EngineTarget(msgspec.Struct, frozen=True, kw_only=True):
    """The whole state that an engine is told to be in.

    :param role: engine role.
    :param version: version of the weights.
    :param adapters: adapters to load, in order of name.
    :param accepts_work: whether the engine takes new prompts; without it the
        running ones go on and new ones are refused as not run.
    :param weight_key: name of the weights in the weight store.
    """

    role: str
    version: str
    adapters: tuple[str, ...] = ()
    accepts_work: bool = True
    weight_key: str = ""

    def same_load(self, other: "EngineTarget") -> bool:
        """Return whether the other target runs the same role and weights."""
        return (self.role, self.version, self.adapters) == (
            other.role,
            other.version,
            other.adapters,
        )

    def is_met_by(self, other: "EngineTarget") -> bool:
        """Return whether an engine in the other state needs no order."""
        return self.same_load(other) and self.accepts_work == other.accepts_work


class EngineOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to an engine.

    :param fencing_number: number of the order; an engine that checks it refuses
        every lower one from then on.
    :param order_id: id of the order, the same in every copy.
    :param sender: host and incarnation of the sender.
    :param target: the wanted state, None to raise the fencing number only.
    """

    fencing_number: int
    order_id: str
    sender: str
    target: EngineTarget | None = None


class OrderReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer to an order.

    :param accepted: whether the engine carries it out.
    :param fencing_number: highest fencing number seen by the engine.
    :param state: ``ready``, ``changing`` or ``draining``.
    """

    accepted: bool
    fencing_number: int
    state: str


class EngineState(msgspec.Struct, frozen=True, kw_only=True):
    """What an engine runs now, for reading an order back.

    :param role: engine role in force.
    :param version: version of the weights in force.
    :param adapters: adapters loaded.
    :param state: ``ready``, ``changing`` or ``draining``.
    :param fencing_number: highest fencing number seen.
    :param order_id: last order that was accepted.
    :param accepts_work: whether the engine takes new prompts.
    :param running: prompts that run or wait in the engine.
    :param error: why the last order failed, empty when it did not.
    """

    role: str
    version: str
    adapters: tuple[str, ...]
    state: str
    fencing_number: int
    order_id: str
    accepts_work: bool = True
    running: int = 0
    error: str = ""

    def as_target(self) -> EngineTarget:
        """Return the state as a target that the engine already meets."""
        return EngineTarget(
            role=self.role,
            version=self.version,
            adapters=tuple(sorted(self.adapters)),
            accepts_work=self.accepts_work,
        )


class CallRequest(msgspec.Struct, frozen=True, kw_only=True):
    """A call to a plain service, as written in its journal.

    :param key: key of the call.
    :param path: path at the service.
    :param body: body of the call.
    """

    key: str
    path: str
    body: str


class CallReply(msgspec.Struct, frozen=True, kw_only=True):
    """Answer of a plain service.

    :param key: key of the call that it answers.
    :param result: text of the answer.
    """

    key: str
    result: str
