"""Forwards keyed calls to other entries over HTTP."""

from dataclasses import dataclass

import aiohttp
import msgspec
import xxhash
from returns.result import Failure, Success

from lacewinglug.clock import Clock
from lacewinglug.entry.authentication import AUTHORIZATION_HEADER
from lacewinglug.entry.intake import CALLER_HEADER, INCARNATION_HEADER
from lacewinglug.entry.view import EntryView
from lacewinglug.requests.calls import Call
from lacewinglug.requests.intents import SHARD_COUNT
from lacewinglug.requests.ledger import CallResult
from lacewinglug.requests.outcomes import (
    FailureBody,
    failure_body,
    failure_status,
    parse_failure,
)
from lacewinglug.requests.peers import ForwardTarget, NotOwnerError, PeerError
from lacewinglug.upstream.client import KEY_HEADER
from lacewinglug.upstream.messages import CallReply

CALLER_AUTHORIZATION_HEADER = "X-Caller-Authorization"
_CONNECT_TIMEOUT_S = 2.0
_ANSWER_MARGIN_S = 1.0
# Statuses with which an entry refuses a forwarded call before it runs.
_NOT_RUN_STATUSES = frozenset({401, 403, 404, 408, 413, 429, 503})


class PeerAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Response of another entry to a forwarded call.

    :param key: idempotency key of the call.
    :param reply: reply of the service, None for a failure.
    :param failure: the failure, None for a reply.
    :param status: HTTP status of the failure.
    :param is_owner: whether the responding process is the incarnation that the
        request names.
    """

    key: str
    reply: CallReply | None = None
    failure: FailureBody | None = None
    status: int = 200
    is_owner: bool = True


def encode_result(key: str, result: CallResult) -> PeerAnswer:
    """Return the response that carries the result of a call."""
    match result:
        case Success(reply):
            return PeerAnswer(key=key, reply=reply)
        case Failure(failure):
            return PeerAnswer(
                key=key, failure=failure_body(failure), status=failure_status(failure)
            )
    raise AssertionError("a result is a success or a failure")


def decode_result(answer: PeerAnswer, *, key: str) -> CallResult:
    """Return the result that a response carries.

    :raises PeerError: the response belongs to another call or has no content.
    :raises NotOwnerError: another incarnation of the entry responded.
    """
    if answer.key != key:
        raise PeerError("the answer to another call", sent=True)
    if not answer.is_owner:
        raise NotOwnerError
    if answer.reply is not None:
        return Success(answer.reply)
    if answer.failure is not None:
        return Failure(parse_failure(answer.failure, status=answer.status))
    raise PeerError("an empty answer", sent=True)


@dataclass(kw_only=True)
class HttpPeerClient:
    """Forwards calls to the entries in the configuration.

    :param session: HTTP client session that opens a connection for each request.
    :param view: configuration and status of the fleet.
    :param admin_key: key that authenticates entries to each other, empty for none.
    :param clock: source of time.
    """

    session: aiohttp.ClientSession
    view: EntryView
    admin_key: str
    clock: Clock

    async def forward(
        self, host: str, incarnation: str, step: ForwardTarget, call: Call
    ) -> CallResult:
        """Forward a call to another entry and return its result."""
        peer = self.view.fleet.hosts.get(host)
        if peer is None:
            raise NotOwnerError
        profile = call.profile
        url = (
            f"http://{peer.address}:{peer.entry_port}/internal/calls/{step.value}"
            f"/{profile.service}/{profile.kind}"
        )
        remaining_s = max(0.0, profile.deadline_s - self.clock.now_s())
        timeout = aiohttp.ClientTimeout(
            total=remaining_s + _ANSWER_MARGIN_S, connect=_CONNECT_TIMEOUT_S
        )
        try:
            async with self.session.post(
                url,
                data=call.body,
                headers=self._headers(call, incarnation),
                timeout=timeout,
                allow_redirects=False,
            ) as response:
                content = await response.read()
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            raise PeerError(f"cannot connect: {error}", sent=False) from None
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PeerError(f"no answer: {error!r}", sent=True) from None
        if response.status != 200:
            raise PeerError(
                f"answered status {response.status}",
                sent=response.status not in _NOT_RUN_STATUSES,
            )
        try:
            answer = msgspec.json.decode(content, type=PeerAnswer)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise PeerError(f"answer not understood: {error}", sent=True) from None
        return decode_result(answer, key=call.key)

    def _headers(self, call: Call, incarnation: str) -> dict[str, str]:
        headers = {
            KEY_HEADER: call.key,
            CALLER_HEADER: call.profile.organisation,
            INCARNATION_HEADER: incarnation,
            CALLER_AUTHORIZATION_HEADER: call.authorization,
        }
        if self.admin_key:
            headers[AUTHORIZATION_HEADER] = f"Bearer {self.admin_key}"
        return headers


@dataclass(kw_only=True)
class ViewPeerDirectory:
    """Entry hosts of the fleet, from the view of this entry.

    :param view: configuration and status of the fleet.
    :param host: name of this host.
    """

    view: EntryView
    host: str

    def is_member(self, host: str) -> bool:
        """Return whether a host is configured and not withdrawn."""
        config = self.view.config
        if config is None:
            return False
        return host in config.fleet.hosts and host not in config.withdrawn

    def claimant_of(self, shard: int) -> str:
        """Return the available host with the highest rendezvous hash."""
        unavailable = self.view.unavailable() - {self.host}
        hosts = [name for name in self.view.fleet.hosts if name not in unavailable]
        return max(hosts, key=lambda host: _rendezvous_hash(shard, host), default="")

    def host_count(self) -> int:
        """Return the number of entry hosts."""
        return len(self.view.fleet.hosts)

    def own_shards(self) -> set[int]:
        """Return the shards whose keys this host claims."""
        return {
            shard
            for shard in range(SHARD_COUNT)
            if self.claimant_of(shard) == self.host
        }


def _rendezvous_hash(shard: int, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{shard}/{host}".encode())
