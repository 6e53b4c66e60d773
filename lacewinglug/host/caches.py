"""What engines keep in their caches, learned anew after a start."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from lacewinglug.host.context import HostState
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.model import RunnerEntry, Service
from lacewinglug.host.residency import key_part
from lacewinglug.platform.calls import CACHE_LIST_TARGET, decode_cache_list
from lacewinglug.wire.client import UpstreamError

logger = logging.getLogger(__name__)

PEERS_TELL_WITHIN_S = 0.5
"""Time in which a host that is up tells a new one what engines keep, in s; after
it no other host knows, and the engines are asked."""
_LAST_RANK = 9


@dataclass(kw_only=True)
class CacheLearner:
    """Owns the questions to engines after a start of all hosts.

    :param state: the host.
    :param table: the other hosts.
    :param tell: tells some hosts, or all, what engines keep.
    :param done: whether this host knows it.
    """

    state: HostState
    table: HostTable
    tell: Callable[[list[EngineWork], list[HostIdentity] | None], None]
    done: bool = False

    async def run(self) -> None:
        """Learn what the engines keep, once."""
        if not self.state.settings.first_start:
            await self._learn()
        self.done = True

    async def _learn(self) -> None:
        while not self.state.fleet.known or self.state.routes.configuration is None:
            await asyncio.sleep(PEERS_TELL_WITHIN_S / 10)
        self._open_accounts()
        await asyncio.sleep(PEERS_TELL_WITHIN_S)
        if self.table.any_peer_knows_cache_contents(now_s=self.state.now_s()):
            return
        for service, entry in self._open_accounts():
            if self._is_asker(entry):
                await self._ask(service, entry)

    def welcome(self, host: HostIdentity) -> None:
        """Tell a new host what engines keep, if this host is the one to do so."""
        now_s = self.state.now_s()
        others = [
            item.name for item in self.table.serving_peers(now_s=now_s) if item != host
        ]
        if self.done and all(name > self.table.own.name for name in others):
            self.tell(self.state.engines.known_work(), [host])

    def _open_accounts(self) -> list[tuple[Service, RunnerEntry]]:
        """Return the engines; what others tell is kept from now on."""
        found = []
        configuration = self.state.routes.configuration
        for service in configuration.services.values() if configuration else ():
            if service.engine is not None:
                entries = self.state.fleet.ready(service.name)
                self.state.engines.accounts(entries, service.engine)
                found += [(service, entry) for entry in entries]
        return found

    def _is_asker(self, entry: RunnerEntry) -> bool:
        """Return whether this host asks an engine on behalf of all."""
        now_s = self.state.now_s()
        names = [item.name for item in self.table.serving_peers(now_s=now_s)]
        names.append(self.table.own.name)
        return self.table.own.name == max(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{entry.instance}/{name}".encode()
            ),
        )

    async def _ask(self, service: Service, entry: RunnerEntry) -> None:
        try:
            response = await self.state.call_engine(
                service, entry, target=CACHE_LIST_TARGET
            )
        except (UpstreamError, TimeoutError) as error:
            logger.info(
                "cached parts not learned",
                extra={"runner": entry.instance, "reason": str(error) or "timeout"},
            )
            return
        parts = tuple(
            key_part(item.model, item.part) for item in decode_cache_list(response.body)
        )
        logger.info(
            "cached parts learned",
            extra={"runner": entry.instance, "parts": len(parts)},
        )
        work = EngineWork(
            instance=entry.instance, priority=_LAST_RANK, work_s=0.0, parts=parts
        )
        self.state.engines.note_work(work, now_s=self.state.now_s())
        self.tell([work], None)
