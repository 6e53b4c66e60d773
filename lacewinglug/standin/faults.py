"""Fault switches shared by all stand-ins."""

import asyncio
import os
from dataclasses import dataclass

import msgspec
from starlette.requests import Request
from starlette.responses import JSONResponse, Response

_SILENCE_S = 3600.0


class Faults(msgspec.Struct, kw_only=True):
    """The faults that a stand-in shows.

    :param delay_s: delay before each answer, in seconds.
    :param silent: take requests and never answer.
    :param lose_replies: number of next replies lost after the effect.
    :param refuse: refuse every request with status 503.
    :param crash_after: requests until the process ends, 0 for never.
    :param late_replies: number of next replies that come late.
    :param late_s: delay of a late reply, in seconds.
    :param swap_replies: number of next replies exchanged with one another; each
        waits for the next one.
    """

    delay_s: float = 0.0
    silent: bool = False
    lose_replies: int = 0
    refuse: bool = False
    crash_after: int = 0
    late_replies: int = 0
    late_s: float = 0.0
    swap_replies: int = 0


@dataclass(kw_only=True)
class FaultSwitch:
    """Shows the faults that an operator of the stand-in asked for."""

    faults: Faults

    async def before(self) -> Response | None:
        """Delay, refuse or crash before the effect of a request."""
        if self.faults.crash_after > 0:
            self.faults.crash_after -= 1
            if self.faults.crash_after == 0:
                os._exit(1)
        if self.faults.silent:
            await asyncio.sleep(_SILENCE_S)
        if self.faults.delay_s > 0:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.refuse:
            return JSONResponse({"error": "refused by a fault switch"}, status_code=503)
        return None

    async def after(self) -> None:
        """Lose or delay the reply after the effect of a request."""
        if self.faults.late_replies > 0:
            self.faults.late_replies -= 1
            await asyncio.sleep(self.faults.late_s)
        if self.faults.lose_replies > 0:
            self.faults.lose_replies -= 1
            await asyncio.sleep(_SILENCE_S)

    async def handle_change(self, request: Request) -> Response:
        """Set the faults from the body of a request."""
        self.faults = msgspec.json.decode(await request.body(), type=Faults)
        return JSONResponse({})


def json_response(message: object, *, status_code: int = 200) -> Response:
    """Return a message as a JSON response."""
    return Response(
        msgspec.json.encode(message),
        status_code=status_code,
        media_type="application/json",
    )
