"""Tests of the log client when its open connections go silent."""

import aiohttp
import pytest

from lacewinglug.backing.log import HttpLogClient
from lacewinglug.connections import make_connector
from lacewinglug.errors import LogUnavailableError
from lacewinglug.standin.platform import PlatformStandin
from lacewinglug.standin.relay import TcpRelay
from tests.entry.local import free_port, serve_standin

PATIENCE_S = 30.0
SHORT_S = 0.2


async def test_silent_connection_is_replaced_by_a_fresh_one(monkeypatch):
    def wait_at_most(wait_s):
        """Bound the next call; a silent connection never answers in any time."""
        log.append_timeout_s = wait_s
        monkeypatch.setattr("lacewinglug.backing.log._TIMEOUT_MARGIN_S", wait_s)

    async with (
        serve_standin(PlatformStandin().app()) as port,
        aiohttp.ClientSession(connector=make_connector()) as session,
    ):
        relay = TcpRelay(port=free_port(), target_port=port)
        await relay.start()
        log = HttpLogClient(
            session=session,
            base_url=f"http://127.0.0.1:{relay.port}",
            append_timeout_s=PATIENCE_S,
        )
        offset = await log.append("control", b"one")
        relay.silence_open_connections()
        wait_at_most(SHORT_S)
        with pytest.raises(LogUnavailableError):
            await log.append("control", b"two")
        wait_at_most(PATIENCE_S)
        reply = await log.read("control", offset, wait_s=0.0)
        assert reply.records[0].data == b"one"
        relay.silence_open_connections()
        wait_at_most(SHORT_S)
        with pytest.raises(LogUnavailableError):
            await log.read("control", offset, wait_s=0.0)
        wait_at_most(PATIENCE_S)
        assert (await log.read("control", offset, wait_s=0.0)).records
        await relay.stop()
