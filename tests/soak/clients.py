"""Clients that keep their connections to hosts until these are gone."""

import asyncio
import contextlib
import itertools
from dataclasses import dataclass

from tests.platform.scene import ClientResponse, connect, encode_request, read_response
from tests.soak.records import Kind, Sent, count_events

PROVED_BY = 10
"""Answers in a row that show that a host serves again."""
RECOVERY_S = 25.0
"""Time in which every host serves again after the last fault, in s. Only patience:
the hosts' own bound is half of it, and the machine may be busy."""
BODY_PAUSE_S = 0.4
"""Longest pause between the parts of a body, in s."""
READ_PAUSE_S = (0.2, 1.5)
"""Shortest and longest time before a slow reader reads, in s."""


@dataclass(frozen=True, kw_only=True)
class Habits:
    """How clients use a host; shares are those of their requests.

    :param count: number of clients.
    :param patience_s: time past the deadline after which an answer is given up.
    :param requests_per_s: requests that a client sends while none is answered slowly.
    :param chunked_share: bodies without a length.
    :param pause_share: bodies in parts with pauses.
    :param slow_share: answers that are read late.
    :param repeat_share: repeats among requests that were refused or cut.
    :param new_route_share: requests on a route that has come or gone last.
    """

    count: int = 8
    deadlines_s: tuple[float, ...] = (2.0,)
    patience_s: float = 4.0
    requests_per_s: float = 8.0
    body_sizes: tuple[int, ...] = (1, 300, 4000)
    chunked_share: float = 0.0
    pause_share: float = 0.0
    slow_share: float = 0.0
    repeat_share: float = 0.0
    new_route_share: float = 0.0


CALM_HABITS = Habits(
    count=40,
    deadlines_s=(3.0, 6.0, 10.0),
    patience_s=0.5,
    requests_per_s=3.0,
    body_sizes=(2, 200, 60_000),
    chunked_share=0.5,
    pause_share=0.2,
    slow_share=0.2,
    repeat_share=0.5,
    new_route_share=0.2,
)


class ClientGroup:
    """Owns the clients of a soak."""

    def __init__(self, fleet, habits):
        self.fleet = fleet
        self.habits = habits
        self.stopping = False
        self._numbers = itertools.count(1)

    async def run(self):
        """Send requests until stopped."""
        async with asyncio.TaskGroup() as group:
            for _ in range(self.habits.count):
                group.create_task(self._run_client())

    async def _run_client(self):
        rng = self.fleet.rng
        while not self.stopping:
            host = rng.choice(self.fleet.hosts)
            try:
                reader, writer = await connect(host.client_address)
            except OSError:
                await asyncio.sleep(0.1)
                continue
            given = None
            try:
                while not self.stopping:
                    given = given or self._draw_request()
                    sent = await self._exchange(host, reader, writer, *given)
                    failed = not sent.whole or sent.status == 503
                    if not failed or rng.random() >= self.habits.repeat_share:
                        given = None
                    if not sent.whole or writer.is_closing() or rng.random() < 0.05:
                        break
                    await asyncio.sleep(rng.expovariate(self.habits.requests_per_s))
            finally:
                writer.close()

    def _draw_request(self, *, short=False):
        """Return the kind, path and body of a request.

        :param short: whether its stream is one of the shortest.
        """
        rng = self.fleet.rng
        kind, route = rng.choice(list(Kind)), None
        if self.fleet.new_route and rng.random() < self.habits.new_route_share:
            kind, route = Kind.UNSAFE, self.fleet.new_route
        number = 0 if short else rng.randrange(1000)
        target = f"/{route or kind.value}/{number}"
        size = 0 if kind is Kind.SAFE else rng.choice(self.habits.body_sizes)
        return kind, target, rng.randbytes(size)

    async def _exchange(self, host, reader, writer, kind, target, body):
        """Send one request and note how it ended."""
        rng = self.fleet.rng
        request_id = f"{next(self._numbers):012x}"
        deadline_s = rng.choice(self.habits.deadlines_s)
        sent_s, all_sent_s, paused_s = self.fleet.now_s(), None, 0.0
        answer = ClientResponse(status=None, headers={}, body=b"", complete=False)
        patience = asyncio.timeout(deadline_s + self.habits.patience_s)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            async with patience:
                headers = {
                    "X-Lacewinglug-Request-Id": request_id,
                    "X-Lacewinglug-Deadline-Ms": str(round(1000 * deadline_s)),
                }
                await self._send(writer, kind, target, body, headers)
                all_sent_s = self.fleet.now_s()
                if rng.random() < self.habits.slow_share:
                    writer.transport.pause_reading()
                    await asyncio.sleep(rng.uniform(*READ_PAUSE_S))
                    writer.transport.resume_reading()
                    paused_s = self.fleet.now_s() - all_sent_s
                answer = await read_response(reader)
        sent = Sent(
            request_id=request_id,
            kind=kind,
            host=host.name,
            target=target,
            body=body,
            ended_s=self.fleet.now_s(),
            sent_s=sent_s,
            all_sent_s=all_sent_s,
            paused_s=paused_s,
            deadline_s=deadline_s,
            gave_up=patience.expired(),
            events=count_events(target, self.fleet.shape.most_events),
            status=answer.status,
            signature=answer.headers.get("x-lacewinglug-response-signature", ""),
            answer=answer.body,
            whole=answer.complete,
        )
        self.fleet.evidence.sent.append(sent)
        if answer.headers.get("connection") == "close":
            writer.close()
        return sent

    async def _send(self, writer, kind, target, body, headers):
        """Send a request, its body in parts where the habits say so."""
        rng, habits = self.fleet.rng, self.habits
        method = "GET" if kind is Kind.SAFE else "POST"
        chunked = bool(body) and rng.random() < habits.chunked_share
        pauses = rng.random() < habits.pause_share
        if chunked:
            headers["Transfer-Encoding"] = "chunked"
        elif body:
            headers["Content-Length"] = str(len(body))
        writer.write(encode_request(target, method, b"", headers))
        size = max(1, len(body) // rng.choice([1, 3]))
        for start in range(0, len(body), size):
            part = body[start : start + size]
            writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
            if pauses:
                await asyncio.sleep(rng.uniform(0, BODY_PAUSE_S))
        if chunked:
            writer.write(b"0\r\n\r\n")
        await writer.drain()

    async def find_unrecovered(self):
        """Return the hosts that do not serve again in time."""
        checks = [self._serves_again(host) for host in self.fleet.hosts]
        found = await asyncio.gather(*checks)
        return [
            host.name
            for host, good in zip(self.fleet.hosts, found, strict=True)
            if not good
        ]

    async def _serves_again(self, host):
        good, end_s = 0, self.fleet.now_s() + RECOVERY_S
        while good < PROVED_BY and self.fleet.now_s() < end_s:
            good = good + 1 if await self._is_served(host) else 0
            await asyncio.sleep(0.05)
        return good >= PROVED_BY

    async def _is_served(self, host):
        try:
            reader, writer = await connect(host.client_address)
        except OSError:
            return False
        try:
            request = self._draw_request(short=True)
            sent = await self._exchange(host, reader, writer, *request)
        finally:
            writer.close()
        return sent.status == 200 and sent.whole
