"""Stand-in of a model engine with continuous batching."""

import asyncio
from collections.abc import AsyncIterator
from dataclasses import dataclass, field

import aiohttp
import msgspec
import xxhash
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response, StreamingResponse
from starlette.routing import Route

from lacewinglug.backing.weights import WeightStoreClient
from lacewinglug.requests.outcomes import FailureBody
from lacewinglug.standin.engine_control import ControlFaults, EngineControl
from lacewinglug.standin.faults import Faults, FaultSwitch, json_response
from lacewinglug.upstream.messages import (
    EndLine,
    EngineOrder,
    EngineTarget,
    GenerateRequest,
    KvImport,
    KvImportReply,
    LoadReport,
    StreamLine,
    TokenLine,
)

_KV_BYTES_PER_TOKEN = 64
_KEPT_KV_REQUESTS = 256


def expected_token(prompt: str, index: int) -> str:
    """Return the token that every engine generates at a place of an answer."""
    return f"{xxhash.xxh32_hexdigest(f'{index}:{prompt}'.encode())} "


@dataclass(kw_only=True)
class EngineStandin:
    """A model engine.

    :param prefill_tokens_per_s: prompt tokens computed a second.
    :param token_interval_s: time between two tokens of a stream, in seconds.
    :param slots: streams that run at the same time.
    :param checks_fencing: refuse orders with an old fencing number.
    :param change_s: time that a change of role takes, in seconds.
    :param target: what the engine runs at the start.
    :param weights: weight store, None when every version is at hand.
    """

    prefill_tokens_per_s: float = 20000.0
    token_interval_s: float = 0.005
    slots: int = 16
    checks_fencing: bool = True
    change_s: float = 0.5
    target: EngineTarget = field(
        default_factory=lambda: EngineTarget(role="", version="")
    )
    weights: WeightStoreClient | None = None
    running: int = 0
    queued: int = 0
    queued_prefill_tokens: int = 0
    prefill_tokens_total: int = 0
    output_tokens_total: int = 0
    prompts: list[str] = field(default_factory=list)
    cancelled: list[str] = field(default_factory=list)
    imported: list[str] = field(default_factory=list)
    kv_tokens: dict[str, int] = field(default_factory=dict)
    switch: FaultSwitch = field(default_factory=lambda: FaultSwitch(faults=Faults()))

    def __post_init__(self) -> None:
        self._slots = asyncio.Semaphore(self.slots)
        self.control = EngineControl(
            running=lambda: self.running + self.queued,
            checks_fencing=self.checks_fencing,
            change_s=self.change_s,
            target=self.target,
            weights=self.weights,
        )

    def report(self) -> LoadReport:
        """Return the load as of now."""
        return LoadReport(
            role=self.control.target.role,
            state=self.control.state,
            running=self.running,
            queued=self.queued,
            queued_prefill_tokens=self.queued_prefill_tokens,
            slots=self.slots,
            fencing_number=self.control.fencing_number,
            version=self.control.target.version,
            prefill_tokens_total=self.prefill_tokens_total,
            output_tokens_total=self.output_tokens_total,
        )

    async def handle_load(self, request: Request) -> Response:
        """Report the load."""
        refusal = await self.switch.before()
        return refusal or json_response(self.report())

    async def handle_generate(self, request: Request) -> Response:
        """Stream the answer to a prompt."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        if self.control.state != "ready":
            return _refuse_work(self.control.state)
        message = msgspec.json.decode(await request.body(), type=GenerateRequest)
        self.prompts.append(message.request_id)
        return StreamingResponse(
            self._generate(message), media_type="application/x-ndjson"
        )

    async def _generate(self, message: GenerateRequest) -> AsyncIterator[bytes]:
        context_tokens = len(message.prompt.split()) + message.resume_from
        known_tokens = self.kv_tokens.get(message.request_id, 0)
        prompt_tokens = max(0, context_tokens - known_tokens)
        self.queued += 1
        self.queued_prefill_tokens += prompt_tokens
        finished = False
        started = False
        try:
            async with self._slots:
                self.queued -= 1
                self.running += 1
                started = True
                await asyncio.sleep(prompt_tokens / self.prefill_tokens_per_s)
                self.queued_prefill_tokens -= prompt_tokens
                self.prefill_tokens_total += prompt_tokens
                prompt_tokens = 0
                for index in range(message.resume_from, message.max_tokens):
                    await asyncio.sleep(self.token_interval_s)
                    self._note_kv(message.request_id, context_tokens + 1)
                    context_tokens += 1
                    self.output_tokens_total += 1
                    yield _encode_line(
                        TokenLine(
                            request_id=message.request_id,
                            index=index,
                            text=expected_token(message.prompt, index),
                        )
                    )
                yield _encode_line(
                    EndLine(request_id=message.request_id, tokens=message.max_tokens)
                )
                finished = True
        finally:
            if started:
                self.running -= 1
            else:
                self.queued -= 1
            self.queued_prefill_tokens -= prompt_tokens
            if not finished:
                self.cancelled.append(message.request_id)

    def _note_kv(self, request_id: str, tokens: int) -> None:
        """Keep the KV cache of a request, forgetting the oldest ones."""
        self.kv_tokens.pop(request_id, None)
        self.kv_tokens[request_id] = tokens
        if len(self.kv_tokens) > _KEPT_KV_REQUESTS:
            del self.kv_tokens[next(iter(self.kv_tokens))]

    async def handle_kv_export(self, request: Request) -> Response:
        """Return the KV cache of a request."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        tokens = self.kv_tokens.get(request.query_params.get("request_id", ""))
        if tokens is None:
            return JSONResponse({"error": "no such KV cache"}, status_code=404)
        return Response(bytes(tokens * _KV_BYTES_PER_TOKEN))

    async def handle_kv_import(self, request: Request) -> Response:
        """Fetch the KV cache of a request from another engine."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        message = msgspec.json.decode(await request.body(), type=KvImport)
        url = f"{message.source_url}/kv"
        params = {"request_id": message.request_id}
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(url, params=params, raise_for_status=True) as response,
            ):
                content = await response.read()
        except (aiohttp.ClientError, TimeoutError) as error:
            return JSONResponse({"error": f"no KV cache: {error!r}"}, status_code=502)
        tokens = len(content) // _KV_BYTES_PER_TOKEN
        self._note_kv(message.request_id, tokens)
        self.imported.append(message.request_id)
        return json_response(KvImportReply(tokens=tokens))

    async def handle_order(self, request: Request) -> Response:
        """Carry out an order, refusing an old fencing number where checked."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        order = msgspec.json.decode(await request.body(), type=EngineOrder)
        reply = self.control.take(order)
        await self.switch.after()
        return json_response(reply, status_code=200 if reply.accepted else 409)

    async def handle_state(self, request: Request) -> Response:
        """Return what the engine runs now."""
        refusal = await self.switch.before()
        return refusal or json_response(self.control.read())

    async def handle_control_faults(self, request: Request) -> Response:
        """Set the faults that show in a change."""
        body = await request.body()
        self.control.faults = msgspec.json.decode(body, type=ControlFaults)
        return JSONResponse({})

    async def handle_journal(self, request: Request) -> Response:
        """Return every order and prompt received."""
        return json_response(
            {
                "orders": self.control.journal,
                "prompts": self.prompts,
                "cancelled": self.cancelled,
                "imported": self.imported,
            }
        )

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/load", self.handle_load, methods=["GET"]),
                Route("/generate", self.handle_generate, methods=["POST"]),
                Route("/kv", self.handle_kv_export, methods=["GET"]),
                Route("/kv", self.handle_kv_import, methods=["POST"]),
                Route("/orders", self.handle_order, methods=["POST"]),
                Route("/state", self.handle_state, methods=["GET"]),
                Route("/journal", self.handle_journal, methods=["GET"]),
                Route("/control-faults", self.handle_control_faults, methods=["PUT"]),
                Route("/faults", self.switch.handle_change, methods=["PUT"]),
            ]
        )


def _refuse_work(state: str) -> Response:
    """Return the refusal of a prompt that the engine did not begin."""
    body = FailureBody(
        outcome="not_run",
        reason=f"the engine is {state}",
        remedy="send the prompt to another runner",
        retry_after_s=1.0,
    )
    return json_response(body, status_code=503)


def _encode_line(line: StreamLine) -> bytes:
    """Return one line of a stream."""
    return msgspec.json.encode(line) + b"\n"
