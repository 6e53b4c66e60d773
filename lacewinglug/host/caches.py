"""Learns after a start which prompt parts engines have in their KV caches."""

import asyncio
import logging
from collections.abc import Callable
from dataclasses import dataclass

import xxhash

from lacewinglug.host.context import HostState
from lacewinglug.host.engines import EngineWork
from lacewinglug.host.hosts import HostIdentity, HostTable
from lacewinglug.host.model import RunnerEntry, Service
from lacewinglug.host.residency import hash_part
from lacewinglug.platform.calls import CACHE_LIST_TARGET, decode_cache_list
from lacewinglug.wire.client import UpstreamError

logger = logging.getLogger(__name__)

_OK = 200

PEER_UPDATE_TIMEOUT_S = 0.5
"""Time within which a running host sends a new one the cached parts of the engines,
in seconds. If none has done so by then, the engines are queried."""
_LOWEST_PRIORITY = 9


@dataclass(kw_only=True)
class CacheDiscovery:
    """Learns the cached parts of all engines once after this host has started.

    :param state: shared state of this host.
    :param table: the other hosts.
    :param send_parts: sends cached parts to the given hosts, or to all if None.
    :param done: whether this host knows the cached parts.
    """

    state: HostState
    table: HostTable
    send_parts: Callable[[list[EngineWork], list[HostIdentity] | None], None]
    done: bool = False

    async def run(self) -> None:
        """Learn the cached parts, unless the whole system starts the first time."""
        if not self.state.settings.first_start:
            await self._discover()
        self.done = True

    async def _discover(self) -> None:
        while not self.state.fleet.is_loaded or self.state.routes.configuration is None:
            await asyncio.sleep(PEER_UPDATE_TIMEOUT_S / 10)
        self._track_engines()
        await asyncio.sleep(PEER_UPDATE_TIMEOUT_S)
        if self.table.any_peer_knows_cache_contents(now_s=self.state.now_s()):
            return
        for service, entry in self._track_engines():
            if self._is_responsible_for(entry):
                await self._query_engine(service, entry)

    def send_to_new_host(self, host: HostIdentity) -> None:
        """Send the cached parts to a new host if this host is first by name."""
        now_s = self.state.now_s()
        others = [
            item.name for item in self.table.serving_peers(now_s=now_s) if item != host
        ]
        if self.done and all(name > self.table.own.name for name in others):
            self.send_parts(self.state.engines.cached_parts_as_work(), [host])

    def _track_engines(self) -> list[tuple[Service, RunnerEntry]]:
        """Return all engines after tracking them, so that updates of peers are kept."""
        found = []
        configuration = self.state.routes.configuration
        for service in configuration.services.values() if configuration else ():
            if service.engine is not None:
                entries = self.state.fleet.ready(service.name)
                self.state.engines.track(entries, service.engine)
                found += [(service, entry) for entry in entries]
        return found

    def _is_responsible_for(self, entry: RunnerEntry) -> bool:
        """Return whether this host queries an engine on behalf of all hosts.

        Rendezvous hashing picks one host for each engine.
        """
        now_s = self.state.now_s()
        names = [item.name for item in self.table.serving_peers(now_s=now_s)]
        names.append(self.table.own.name)
        return self.table.own.name == max(
            names,
            key=lambda name: xxhash.xxh3_64_intdigest(
                f"{entry.instance}/{name}".encode()
            ),
        )

    async def _query_engine(self, service: Service, entry: RunnerEntry) -> None:
        try:
            response = await self.state.call_engine(
                service, entry, target=CACHE_LIST_TARGET
            )
        except (UpstreamError, TimeoutError) as error:
            logger.info(
                "could not read the cached parts of an engine",
                extra={"runner": entry.instance, "reason": str(error) or "timeout"},
            )
            return
        if response.status != _OK:
            logger.info(
                "could not read the cached parts of an engine",
                extra={"runner": entry.instance, "reason": f"status {response.status}"},
            )
            return
        parts = tuple(
            hash_part(item.model, item.part)
            for item in decode_cache_list(bytes(response.body))
        )
        logger.info(
            "read the cached parts of an engine",
            extra={"runner": entry.instance, "parts": len(parts)},
        )
        work = EngineWork(
            instance=entry.instance, priority=_LOWEST_PRIORITY, work_s=0.0, parts=parts
        )
        self.state.engines.record_work(work, now_s=self.state.now_s())
        self.send_parts([work], None)
