"""Stand-in of a plain service, such as the locker app."""

import asyncio
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import Response
from starlette.routing import Route

from lacewinglug.standin.faults import Faults, FaultSwitch, json_response
from lacewinglug.upstream.messages import CallReply, CallRequest, LoadReport

KEY_HEADER = "idempotency-key"


@dataclass(frozen=True, kw_only=True, slots=True)
class SwappedReply:
    """A reply that waits for another one to be exchanged with.

    :param reply: the reply.
    :param answer: becomes the other reply.
    """

    reply: CallReply
    answer: asyncio.Future[CallReply]


@dataclass(kw_only=True)
class ServiceStandin:
    """A plain service that writes every call into a journal.

    :param service_time_s: time that a call takes, in seconds.
    """

    service_time_s: float = 0.01
    running: int = 0
    journal: list[CallRequest] = field(default_factory=list)
    switch: FaultSwitch = field(default_factory=lambda: FaultSwitch(faults=Faults()))
    _swapping: SwappedReply | None = None

    async def handle_load(self, request: Request) -> Response:
        """Report the load."""
        refusal = await self.switch.before()
        return refusal or json_response(LoadReport(running=self.running, slots=64))

    async def handle_call(self, request: Request) -> Response:
        """Run a call once more each time that it arrives."""
        refusal = await self.switch.before()
        if refusal is not None:
            return refusal
        body = (await request.body()).decode()
        key = request.headers.get(KEY_HEADER, "")
        call = CallRequest(key=key, path=request.url.path, body=body)
        self.journal.append(call)
        self.running += 1
        try:
            await asyncio.sleep(self.service_time_s)
        finally:
            self.running -= 1
        reply = CallReply(key=key, result=f"done {call.path} {body}")
        await self.switch.after()
        return json_response(await self._swap(reply))

    async def _swap(self, reply: CallReply) -> CallReply:
        """Exchange a reply with the next one, where the fault switch says so."""
        faults = self.switch.faults
        if self._swapping is not None:
            other, self._swapping = self._swapping, None
            other.answer.set_result(reply)
            return other.reply
        if faults.swap_replies <= 0:
            return reply
        faults.swap_replies -= 1
        waiting = SwappedReply(
            reply=reply, answer=asyncio.get_running_loop().create_future()
        )
        self._swapping = waiting
        return await waiting.answer

    async def handle_journal(self, request: Request) -> Response:
        """Return every call received."""
        return json_response({"calls": self.journal})

    def app(self) -> Starlette:
        """Return the HTTP application."""
        return Starlette(
            routes=[
                Route("/load", self.handle_load, methods=["GET"]),
                Route("/journal", self.handle_journal, methods=["GET"]),
                Route("/faults", self.switch.handle_change, methods=["PUT"]),
                Route("/{path:path}", self.handle_call, methods=["POST"]),
            ]
        )
