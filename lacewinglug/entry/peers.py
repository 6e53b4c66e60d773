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
_MARGIN_S = 1.0
_REFUSED_STATUSES = frozenset({401, 403, 404, 408, 413, 429, 503})


class PeerAnswer(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Another entry's answer to a forwarded call.

    :param key: key of the call that it answers.
    :param reply: the service's answer, None for a failure.
    :param failure: the failure, None for an answer.
    :param status: HTTP status of the failure.
    :param is_owner: whether the run of the entry that was asked for is there.
    """

    key: str
    reply: CallReply | None = None
    failure: FailureBody | None = None
    status: int = 200
    is_owner: bool = True


def make_answer(key: str, result: CallResult) -> PeerAnswer:
    """Return the answer that carries a result."""
    match result:
        case Success(reply):
            return PeerAnswer(key=key, reply=reply)
        case Failure(failure):
            return PeerAnswer(
                key=key, failure=failure_body(failure), status=failure_status(failure)
            )
    raise AssertionError("a result is a success or a failure")


def read_answer(answer: PeerAnswer, *, key: str) -> CallResult:
    """Return the result that an answer carries.

    :raises PeerError: the answer belongs to another call or says nothing.
    :raises NotOwnerError: another run of the entry answered.
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
    """Forwards calls to the entries that the configuration names.

    :param session: HTTP client session that opens a connection for each request.
    :param view: what is known of the fleet.
    :param admin_key: key that entries show one another, empty for none.
    :param clock: source of time.
    """

    session: aiohttp.ClientSession
    view: EntryView
    admin_key: str
    clock: Clock

    async def forward(
        self, host: str, incarnation: str, step: ForwardTarget, call: Call
    ) -> CallResult:
        """Return another entry's result of a call."""
        item = self.view.fleet.hosts.get(host)
        if item is None:
            raise NotOwnerError
        profile = call.profile
        url = (
            f"http://{item.address}:{item.entry_port}/internal/calls/{step.value}"
            f"/{profile.service}/{profile.kind}"
        )
        remaining_s = max(0.0, profile.deadline_s - self.clock.now_s())
        timeout = aiohttp.ClientTimeout(
            total=remaining_s + _MARGIN_S, connect=_CONNECT_TIMEOUT_S
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
                sent=response.status not in _REFUSED_STATUSES,
            )
        try:
            answer = msgspec.json.decode(content, type=PeerAnswer)
        except (msgspec.DecodeError, msgspec.ValidationError) as error:
            raise PeerError(f"answer not understood: {error}", sent=True) from None
        return read_answer(answer, key=call.key)

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
class ViewDirectory:
    """The entry hosts as the entry's view has them.

    :param view: what is known of the fleet.
    :param host: name of this host.
    """

    view: EntryView
    host: str

    def is_member(self, host: str) -> bool:
        """Return whether a host belongs to the fleet and was not withdrawn."""
        config = self.view.config
        if config is None:
            return False
        return host in config.fleet.hosts and host not in config.withdrawn

    def claimant_of(self, shard: int) -> str:
        """Return the available host with the highest rendezvous hash."""
        unavailable = self.view.unavailable() - {self.host}
        hosts = [name for name in self.view.fleet.hosts if name not in unavailable]
        return max(hosts, key=lambda host: _rank(shard, host), default="")

    def host_count(self) -> int:
        """Return the number of entry hosts."""
        return len(self.view.fleet.hosts)

    def own_shards(self) -> set[int]:
        """Return the shards that this host claims keys in."""
        return {
            shard
            for shard in range(SHARD_COUNT)
            if self.claimant_of(shard) == self.host
        }


def _rank(shard: int, host: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{shard}/{host}".encode())
