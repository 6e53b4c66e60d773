"""Clients that keep their connections to hosts until these are gone."""

import asyncio
import contextlib
import itertools

from tests.platform.scene import ClientResponse, connect, encode_request, read_response
from tests.soak.records import Kind, Sent

CLIENTS = 8
PATIENCE_S = 6.0
"""Time after which a client gives an answer up, in s; three times its deadline."""
PROVED_BY = 10
"""Answers in a row that show that a host serves again."""
RECOVERY_S = 25.0
"""Time in which every host serves again after the last fault, in s. Only patience:
the hosts' own bound is half of it, and the machine may be busy."""


class ClientGroup:
    """Owns the clients of a soak."""

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopping = False
        self._numbers = itertools.count(1)

    async def run(self):
        """Send requests until stopped."""
        async with asyncio.TaskGroup() as group:
            for _ in range(CLIENTS):
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
            try:
                while not self.stopping:
                    sent = await self._exchange(host, reader, writer)
                    if not sent.whole or writer.is_closing() or rng.random() < 0.05:
                        break
                    await asyncio.sleep(rng.expovariate(8.0))
            finally:
                writer.close()

    async def _exchange(self, host, reader, writer):
        """Send one request and note how it ended."""
        rng = self.fleet.rng
        kind = rng.choice(list(Kind))
        request_id = f"{next(self._numbers):012x}"
        method = "GET" if kind is Kind.SAFE else "POST"
        target = f"/{kind.value}/{rng.randrange(1000)}"
        body = b"" if method == "GET" else rng.randbytes(rng.randrange(1, 4000))
        headers = {"X-Lacewinglug-Request-Id": request_id}
        answer = ClientResponse(status=None, headers={}, body=b"", complete=False)
        with contextlib.suppress(OSError, EOFError, TimeoutError):
            writer.write(encode_request(target, method, body, headers))
            async with asyncio.timeout(PATIENCE_S):
                answer = await read_response(reader)
        sent = Sent(
            request_id=request_id,
            kind=kind,
            host=host.name,
            target=target,
            body=body,
            ended_s=self.fleet.now_s(),
            status=answer.status,
            signature=answer.headers.get("x-lacewinglug-response-signature", ""),
            answer=answer.body,
            whole=answer.complete,
        )
        self.fleet.evidence.sent.append(sent)
        if answer.headers.get("connection") == "close":
            writer.close()
        return sent

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
        good = 0
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECOVERY_S):
                while good < PROVED_BY:
                    good = good + 1 if await self._is_served(host) else 0
                    await asyncio.sleep(0.05)
        return good >= PROVED_BY

    async def _is_served(self, host):
        try:
            reader, writer = await connect(host.client_address)
        except OSError:
            return False
        try:
            sent = await self._exchange(host, reader, writer)
        finally:
            writer.close()
        return sent.status == 200 and sent.whole
