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


@dataclass(kw_only=True)
class ServiceStandin:
    """A plain service that writes every call into a journal.

    :param service_time_s: time that a call takes, in seconds.
    """

    service_time_s: float = 0.01
    running: int = 0
    journal: list[CallRequest] = field(default_factory=list)
    switch: FaultSwitch = field(default_factory=lambda: FaultSwitch(faults=Faults()))

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
        await self.switch.after()
        return json_response(CallReply(key=key, result=f"done {call.path} {body}"))

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
