"""Finds out whether an engine crashed when a request lost its answer."""

import asyncio
import logging
from collections.abc import Coroutine
from dataclasses import dataclass, field

import xxhash

from lacewinglug.host.context import HostState, RequestContext
from lacewinglug.host.model import RunnerEntry, Service
from lacewinglug.host.quarantine import Crash
from lacewinglug.host.reporting import LogRateLimiter

logger = logging.getLogger(__name__)

ANSWER_START_S = 0.25
"""Time after the first event in which an answer counts as beginning, in seconds."""
CRASH_SETTLE_S = 0.05
"""Time after a lost answer before the engine is checked, in seconds. The ends of all
its connections arrive within about a round trip."""
CRASH_CHECK_TIMEOUT_S = 0.3
"""Timeout of the check, in seconds."""
LOG_LINES_PER_S = 20.0
"""Rate limit of log lines about lost requests, per second."""


@dataclass(kw_only=True)
class CrashMonitor:
    """Checks engines that lost a request, and records crashes with the prompt's parts.

    An engine that crashed refuses connections. One that spoiled an answer or whose
    connections were reset accepts them, and a machine that is cut off does not respond.

    :param state: shared state of the host.
    """

    state: HostState
    _checks: dict[str, asyncio.Task[bool]] = field(default_factory=dict)
    _log_limiter: LogRateLimiter = field(
        default_factory=lambda: LogRateLimiter(rate=LOG_LINES_PER_S)
    )

    async def examine_loss(self, context: RequestContext, entry: RunnerEntry) -> None:
        """Examine a request whose connection ended while its answer was beginning.

        The result is awaited only if the request may crash the next engine, too; then
        it is not sent again in this attempt of the client.
        """
        if not context.part_keys:
            return
        task = self._run(self._record(context, entry, lost_at_s=self.state.now_s()))
        if self.state.quarantine.is_suspicious(context.part_keys):
            context.crashed_engine = await asyncio.shield(task)

    async def _record(
        self, context: RequestContext, entry: RunnerEntry, *, lost_at_s: float
    ) -> bool:
        check = self._checks.get(entry.instance)
        if check is None:
            check = self._run(self._check(context.service, entry))
            self._checks[entry.instance] = check
        if not await check:
            return False
        now_s = self.state.now_s()
        if self._log_limiter.try_acquire(now_s):
            logger.warning(
                "engine crashed while it began an answer",
                extra={
                    "request_id": context.metadata.request_id,
                    "runner": entry.instance,
                    "parts": context.describe_parts(),
                },
            )
        key = xxhash.xxh3_64_intdigest(f"{entry.instance}/{entry.born_ms}".encode())
        self.state.quarantine.record_crash(
            context.part_keys, Crash(engine=key, at_s=lost_at_s), now_s=now_s
        )
        return True

    async def _check(self, service: Service, entry: RunnerEntry) -> bool:
        """Return whether an engine has crashed."""
        try:
            await asyncio.sleep(CRASH_SETTLE_S)
            pool = self.state.upstreams.pool(entry, service)
            crashed = await pool.refuses_connections(timeout_s=CRASH_CHECK_TIMEOUT_S)
        finally:
            del self._checks[entry.instance]
        if crashed:
            self.state.metrics.engine_crashes.labels(service.name).inc()
            self.state.upstreams.health(entry.instance).record_unreachable(
                now_s=self.state.now_s()
            )
        return crashed

    def _run(self, work: Coroutine[None, None, bool]) -> asyncio.Task[bool]:
        task = asyncio.get_running_loop().create_task(work)
        self.state.background_tasks.add(task)
        task.add_done_callback(self.state.background_tasks.discard)
        return task
