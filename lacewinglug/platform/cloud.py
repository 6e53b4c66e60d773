"""Calls to the platform's interface: usage reports and orders of runners."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from enum import Enum

import msgspec

from lacewinglug.errors import PlatformError
from lacewinglug.wire.client import UpstreamError
from lacewinglug.wire.pool import ConnectionPool, loop_time_s

CALL_TIMEOUT_S = 2.0
"""Timeout of a call, in s. Answers usually take a few ms; a slow interface is still
heard, so that its calls need not be repeated."""
DELIVERY_TIMEOUT_S = 0.8
"""Timeout for connecting, and for the acknowledgement of a call by the machine of the
interface, in s. A call that arrives later could follow those of the next holder."""
MAX_RESPONSE_BYTES = 65_536
"""Maximum size of a response body, in bytes; it is not used."""
MAX_CONNECTIONS = 2
"""Maximum number of concurrent calls of a host."""
_USAGE_TARGET = b"/usage"
_SCALE_TARGET = b"/scale"
_SUCCESS_STATUSES = range(200, 300)
_CONFLICT = 409
_TOO_MANY_REQUESTS = 429


class DutyReply(Enum):
    """Reply of the platform's interface to a call.

    ``UNAVAILABLE``: there are no such runners now. ``FENCED``: a higher fencing number
    was seen. ``FAILED``: another status, or nothing was sent since no connection could
    be made. ``UNKNOWN``: no answer; the call may be executed seconds later.
    """

    DONE = "done"
    UNAVAILABLE = "unavailable"
    FENCED = "fenced"
    RATE_LIMITED = "rate_limited"
    FAILED = "failed"
    UNKNOWN = "unknown"


class CallWithdrawnError(PlatformError):
    """A call was not sent, since the host may no longer make it."""


@dataclass(kw_only=True)
class PlatformCalls:
    """Client of the platform's interface; it decides and repeats nothing.

    :param address: ``IP:PORT`` of the interface.
    :param may_send: returns whether calls with a fencing number may be sent; checked
        once a connection is available, right before sending.
    """

    address: str
    may_send: Callable[[int], bool] = lambda _: True
    _pool: ConnectionPool = field(init=False)

    def __post_init__(self) -> None:
        self._pool = ConnectionPool(
            address=self.address, max_connections=MAX_CONNECTIONS, now_s=loop_time_s
        )

    async def report_usage(
        self, *, window: int, counts: dict[str, int], holder: str, fencing_number: int
    ) -> DutyReply:
        """Report the requests of each organisation in a window.

        :raises CallWithdrawnError: it was not sent.
        """
        return await self._post(
            _USAGE_TARGET,
            {"WindowNumber": window, "Counts": counts},
            holder=holder,
            fencing_number=fencing_number,
        )

    async def order_runners(
        self,
        *,
        service: str,
        zone: str,
        count: int,
        reclaimable: bool,
        holder: str,
        fencing_number: int,
    ) -> DutyReply:
        """Order the whole number of runners of one kind in a zone.

        :param reclaimable: whether the platform may take the runners away.
        :raises CallWithdrawnError: it was not sent.
        """
        body: dict[str, object] = {
            "Service": service,
            "Zone": zone,
            "DesiredCount": count,
        }
        if reclaimable:
            body["Spot"] = True
        return await self._post(
            _SCALE_TARGET,
            body,
            holder=holder,
            fencing_number=fencing_number,
            conflict=DutyReply.UNAVAILABLE,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._pool.close()

    async def _post(
        self,
        target: bytes,
        body: dict[str, object],
        *,
        holder: str,
        fencing_number: int,
        conflict: DutyReply = DutyReply.FENCED,
    ) -> DutyReply:
        headers = (
            (b"Host", self.address.encode()),
            (b"Content-Type", b"application/json"),
            (b"X-Lacewinglug-Lease-Holder", holder.encode()),
            (b"X-Lacewinglug-Fencing-Token", b"%d" % fencing_number),
        )
        try:
            connection = await self._pool.acquire(timeout_s=DELIVERY_TIMEOUT_S)
        except UpstreamError:
            return DutyReply.FAILED
        # A call that the kernel still tried to deliver after its timeout could follow
        # the calls of the next holder.
        connection.discard_unsent_on_abort(user_timeout_s=DELIVERY_TIMEOUT_S)
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                if not self.may_send(fencing_number):
                    raise CallWithdrawnError("call withdrawn before it was sent")
                connection.send_request(
                    method=b"POST",
                    target=target,
                    headers=headers,
                    body=msgspec.json.encode(body),
                )
                response = await connection.read_response(
                    max_body_bytes=MAX_RESPONSE_BYTES
                )
        except (TimeoutError, UpstreamError) as error:
            self._pool.abort(connection)
            unsent = isinstance(error, UpstreamError) and not error.sent
            return DutyReply.FAILED if unsent else DutyReply.UNKNOWN
        except BaseException:
            self._pool.abort(connection)
            raise
        self._pool.release(connection, response.headers)
        return _judge_status(response.status, conflict=conflict)


def _judge_status(status: int, *, conflict: DutyReply) -> DutyReply:
    if status in _SUCCESS_STATUSES:
        return DutyReply.DONE
    if status == _CONFLICT:
        return conflict
    return DutyReply.RATE_LIMITED if status == _TOO_MANY_REQUESTS else DutyReply.FAILED
