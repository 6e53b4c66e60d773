"""HTTP handler of prompts."""

import asyncio
from contextlib import aclosing
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Message, Receive, Scope, Send

from lacewinglug.entry.connection import CONNECTION_KEY, CallerConnection
from lacewinglug.entry.intake import REQUEST_ID_HEADER, Intake
from lacewinglug.entry.responses import (
    bad_request,
    failure_response,
    no_load_report,
    unknown_kind,
)
from lacewinglug.report.recorder import ANSWERED
from lacewinglug.requests.answers import (
    AnswerBatch,
    AnswerEnd,
    AnswerHeartbeat,
    PromptBody,
)
from lacewinglug.requests.outcomes import RequestFailure, failure_body, outcome_name
from lacewinglug.requests.prompts import PromptRelay
from lacewinglug.requests.streams import (
    BlockedOn,
    Interruption,
    OpenStream,
    StreamMonitor,
)
from lacewinglug.routing.profile import RequestProfile

_encoder = msgspec.json.Encoder()
_HEARTBEAT_LINE = _encoder.encode(AnswerHeartbeat()) + b"\n"


@dataclass(kw_only=True)
class PromptHandler:
    """Takes prompts and streams their answers.

    :param intake: what the handlers share.
    :param relay: relays prompts to engines.
    :param watch: bounds of the open streams.
    """

    intake: Intake
    relay: PromptRelay
    watch: StreamMonitor

    async def handle(self, request: Request) -> Response:
        """Relay a prompt and stream the answer."""
        refusal = self.intake.refuse_caller(request)
        if refusal is not None:
            return failure_response(refusal)
        service = request.path_params["service"]
        try:
            body = msgspec.json.decode(await request.body(), type=PromptBody)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
            return failure_response(bad_request(str(error)))
        kind_name = body.kind or self.intake.default_kind(service)
        kind = self.intake.find_kind(service, "model", kind_name)
        if kind is None:
            return failure_response(unknown_kind(service))
        if not self.intake.knows_load():
            return failure_response(no_load_report())
        profile = self.intake.make_profile(
            request,
            kind,
            kind_name=kind_name,
            prompt_tokens=body.prompt.split(),
            output_tokens=body.max_tokens,
        )
        return _AnswerResponse(handler=self, profile=profile, body=body)


class _AnswerResponse(Response):
    """Streams one answer and ends when the caller leaves.

    :param handler: the handler that made it.
    :param profile: the request.
    :param body: the prompt.
    """

    def __init__(
        self, *, handler: PromptHandler, profile: RequestProfile, body: PromptBody
    ) -> None:
        super().__init__(
            media_type="application/x-ndjson",
            headers={REQUEST_ID_HEADER: profile.request_id},
        )
        del self.headers["content-length"]
        self.handler = handler
        self.profile = profile
        self.prompt = body

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Stream the answer."""
        intake = self.handler.intake
        connection = scope.get("state", {}).get(CONNECTION_KEY)
        writer = _AnswerWriter(response=self, send=send, connection=connection)
        stream = OpenStream(
            profile=self.profile,
            task=asyncio.current_task(),
            send_heartbeat=writer.send_heartbeat,
        )
        started_s = intake.clock.now_s()
        intake.running += 1
        self.handler.watch.add(stream)
        listener = asyncio.create_task(_note_disconnect(receive, stream))
        try:
            await self._relay(stream, writer)
        except asyncio.CancelledError:
            if not stream.consume_cancellation(*Interruption):
                raise
            await self._end_early(stream, writer, connection)
        finally:
            self.handler.watch.remove(stream)
            intake.running -= 1
            listener.cancel()
            if writer.outcome:
                intake.note_outcome(
                    self.profile, writer.outcome, started_s, runner=stream.runner
                )
            else:
                intake.metrics.count("prompts.caller_left")

    async def _relay(self, stream: OpenStream, writer: "_AnswerWriter") -> None:
        """Write the batches of the answer as they come."""
        async with aclosing(self.handler.relay.relay(stream, self.prompt)) as batches:
            async for batch in batches:
                stream.record_progress(BlockedOn.CALLER)
                await writer.write(batch)

    async def _end_early(
        self,
        stream: OpenStream,
        writer: "_AnswerWriter",
        connection: CallerConnection | None,
    ) -> None:
        """Tell the caller why the answer ends before its end."""
        if writer.outcome or stream.interruption is Interruption.CALLER_LEFT:
            return
        if connection is None or not connection.is_blocked:
            await writer.write(stream.interruption_failure())
            return
        connection.unblock()
        await writer.write(stream.interruption_failure())
        connection.close()


@dataclass(kw_only=True)
class _AnswerWriter:
    """Writes the lines of an answer to the caller.

    :param response: the response that they belong to.
    :param send: the server's function.
    :param connection: the caller's connection, None outside of the server.
    """

    response: _AnswerResponse
    send: Send
    connection: CallerConnection | None
    started: bool = False
    outcome: str = ""

    async def write(self, batch: AnswerBatch) -> None:
        """Write lines; the last ones with an end or a failure."""
        if not isinstance(batch, list):
            await self._write_failure(batch)
            return
        if not self.started:
            await self._start()
        ended = isinstance(batch[-1], AnswerEnd)
        if ended:
            self.outcome = ANSWERED
        await self._send_body(_encoder.encode_lines(batch), more=not ended)

    async def _write_failure(self, failure: RequestFailure) -> None:
        self.outcome = outcome_name(failure)
        if self.started:
            line = _encoder.encode(failure_body(failure)) + b"\n"
            await self._send_body(line, more=False)
            return
        self.started = True
        response = failure_response(failure)
        await response({"type": "http"}, _receive_nothing, self.send)

    async def _start(self) -> None:
        self.started = True
        await self.send(
            {
                "type": "http.response.start",
                "status": 200,
                "headers": self.response.raw_headers,
            }
        )

    async def _send_body(self, data: bytes, *, more: bool) -> None:
        await self.send({"type": "http.response.body", "body": data, "more_body": more})

    async def send_heartbeat(self, stream: OpenStream) -> None:
        """Send a heartbeat unless the caller has bytes to read already.

        Does not suspend, so no other line of the answer can come in between.
        """
        if self.connection is None or self.connection.is_blocked:
            return
        if self.outcome or stream.interruption is not None:
            return
        if not self.started:
            await self._start()
        await self._send_body(_HEARTBEAT_LINE, more=True)


async def _note_disconnect(receive: Receive, stream: OpenStream) -> None:
    """Interrupt a stream when its caller leaves."""
    while (await receive())["type"] != "http.disconnect":
        pass
    stream.interrupt(Interruption.CALLER_LEFT)


async def _receive_nothing() -> Message:
    return {"type": "http.disconnect"}
