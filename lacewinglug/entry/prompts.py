"""HTTP handler of prompts."""

import asyncio
from contextlib import aclosing
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import Response
from starlette.types import Message, Receive, Scope, Send

from lacewinglug.entry.connection import CONNECTION_KEY, CallerConnection
from lacewinglug.entry.intake import REQUEST_ID_HEADER, HandlerContext
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
    """Handles prompts and streams the answers.

    :param context: state that the request handlers share.
    :param relay: relays prompts to engines.
    :param watch: enforces the timeouts of open streams.
    """

    context: HandlerContext
    relay: PromptRelay
    watch: StreamMonitor

    async def handle(self, request: Request) -> Response:
        """Validate a prompt and return the streaming response."""
        refusal = self.context.check_caller(request)
        if refusal is not None:
            return failure_response(refusal)
        service = request.path_params["service"]
        try:
            body = msgspec.json.decode(await request.body(), type=PromptBody)
        except (msgspec.DecodeError, msgspec.ValidationError, RecursionError) as error:
            return failure_response(bad_request(str(error)))
        kind_name = body.kind or self.context.default_kind(service)
        kind = self.context.find_kind(service, "model", kind_name)
        if kind is None:
            return failure_response(unknown_kind(service))
        if not self.context.has_load_reports():
            return failure_response(no_load_report())
        profile = self.context.make_profile(
            request,
            kind,
            kind_name=kind_name,
            prompt_tokens=body.prompt.split(),
            output_tokens=body.max_tokens,
        )
        return _AnswerResponse(handler=self, profile=profile, body=body)


class _AnswerResponse(Response):
    """Streams one answer; stops when the caller disconnects.

    :param handler: the handler that created it.
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
        self.prompt_body = body

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Stream the answer."""
        context = self.handler.context
        connection = scope.get("state", {}).get(CONNECTION_KEY)
        writer = _AnswerWriter(response=self, send=send, connection=connection)
        stream = OpenStream(
            profile=self.profile,
            task=asyncio.current_task(),
            send_heartbeat=writer.send_heartbeat,
        )
        started_s = context.clock.now_s()
        context.running_requests += 1
        self.handler.watch.add(stream)
        listener = asyncio.create_task(_watch_for_disconnect(receive, stream))
        try:
            await self._relay(stream, writer)
        except asyncio.CancelledError:
            if not stream.consume_cancellation(*Interruption):
                raise
            await self._send_interruption(stream, writer, connection)
        finally:
            self.handler.watch.remove(stream)
            context.running_requests -= 1
            listener.cancel()
            if writer.outcome:
                context.record_outcome(
                    self.profile, writer.outcome, started_s, runner=stream.runner
                )
            else:
                context.metrics.count("prompts.caller_left")

    async def _relay(self, stream: OpenStream, writer: "_AnswerWriter") -> None:
        """Write the batches of the answer as they arrive."""
        async with aclosing(
            self.handler.relay.relay(stream, self.prompt_body)
        ) as batches:
            async for batch in batches:
                stream.record_progress(BlockedOn.CALLER)
                await writer.write(batch)

    async def _send_interruption(
        self,
        stream: OpenStream,
        writer: "_AnswerWriter",
        connection: CallerConnection | None,
    ) -> None:
        """Send the reason of an interruption to the caller."""
        if writer.outcome or stream.interruption is Interruption.CALLER_LEFT:
            return
        if connection is None or not connection.is_blocked:
            await writer.write(stream.interruption_failure())
            return
        connection.resume_writing()
        await writer.write(stream.interruption_failure())
        connection.close()


@dataclass(kw_only=True)
class _AnswerWriter:
    """Writes the lines of an answer to the caller.

    :param response: the response.
    :param send: ASGI send function of the server.
    :param connection: connection of the caller, None outside of the server.
    :param headers_sent: whether the response headers were sent.
    :param outcome: outcome of the request, empty until the last line is written.
    """

    response: _AnswerResponse
    send: Send
    connection: CallerConnection | None
    headers_sent: bool = False
    outcome: str = ""

    async def write(self, batch: AnswerBatch) -> None:
        """Write a batch; an end or a failure completes the response."""
        if not isinstance(batch, list):
            await self._write_failure(batch)
            return
        if not self.headers_sent:
            await self._send_headers()
        ended = isinstance(batch[-1], AnswerEnd)
        if ended:
            self.outcome = ANSWERED
        await self._send_body(_encoder.encode_lines(batch), more=not ended)

    async def _write_failure(self, failure: RequestFailure) -> None:
        self.outcome = outcome_name(failure)
        if self.headers_sent:
            line = _encoder.encode(failure_body(failure)) + b"\n"
            await self._send_body(line, more=False)
            return
        self.headers_sent = True
        response = failure_response(failure)
        await response({"type": "http"}, _receive_disconnect, self.send)

    async def _send_headers(self) -> None:
        self.headers_sent = True
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
        """Send a heartbeat unless the caller still has unread data.

        Does not suspend, so no other line of the answer can be interleaved.
        """
        if self.connection is None or self.connection.is_blocked:
            return
        if self.outcome or stream.interruption is not None:
            return
        if not self.headers_sent:
            await self._send_headers()
        await self._send_body(_HEARTBEAT_LINE, more=True)


async def _watch_for_disconnect(receive: Receive, stream: OpenStream) -> None:
    """Interrupt a stream when its caller disconnects."""
    while (await receive())["type"] != "http.disconnect":
        pass
    stream.interrupt(Interruption.CALLER_LEFT)


async def _receive_disconnect() -> Message:
    return {"type": "http.disconnect"}
