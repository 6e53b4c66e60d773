"""Runs prefill on one engine for a stream that another engine decodes."""

import asyncio
from dataclasses import dataclass

from lacewinglug.host.calls import MAX_RESPONSE_BYTES
from lacewinglug.host.context import Attempt, HostState, RequestContext
from lacewinglug.host.engines import TrackedEngine
from lacewinglug.host.placing import PromptPlacer
from lacewinglug.host.plans import DisaggregatedPlan
from lacewinglug.platform.calls import decode_prefill_response, release_handle_target
from lacewinglug.wire.client import UpstreamError

FIRST_EVENT_TIMEOUT_FACTOR = 3.0
"""Multiple of the expected time to the first event after which a resumable stream
is tried on another engine."""
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
"""Lower bound of that timeout, in s; a shorter one cancels requests that are only
queued, and their retries add to the load that delays them."""
_OK = 200


@dataclass(kw_only=True)
class PrefillClient:
    """Sends prefill requests to engines and frees unused KV cache handles.

    :param state: shared state of the host.
    :param placer: records the work given to engines.
    """

    state: HostState
    placer: PromptPlacer

    async def prefill(
        self, context: RequestContext, plan: DisaggregatedPlan, *, priority: int
    ) -> str | None:
        """Run prefill on the plan's prefill engine.

        :returns: handle of the KV cache on that engine, None if prefill failed.
        """
        engine = plan.prefill.engine
        number = self.placer.record_prefill(context, plan.prefill, priority=priority)
        attempt = Attempt(state=self.state, context=context, entry=engine.entry)
        timeout_s = max(
            MIN_FIRST_EVENT_TIMEOUT_S, plan.expected_ttft_s * FIRST_EVENT_TIMEOUT_FACTOR
        )
        fetch_from = plan.prefill.fetch_from
        try:
            await attempt.connect()
            attempt.send(
                context.make_forwarding_fields(
                    engine.entry,
                    now_s=self.state.now_s(),
                    priority=priority,
                    prefill_only=True,
                    fetch_from=None if fetch_from is None else fetch_from.entry.address,
                )
            )
            async with asyncio.timeout(timeout_s):
                head = await attempt.read_head_in_time(timeout_s)
                response = await attempt.read_response(
                    head, max_bytes=MAX_RESPONSE_BYTES
                )
        except (UpstreamError, TimeoutError) as error:
            attempt.health.record_incomplete(
                silent=isinstance(error, TimeoutError), now_s=self.state.now_s()
            )
            # A request that was never sent does not count as an attempt.
            context.attempt_count += isinstance(error, TimeoutError) or error.sent
            context.trace.add_step(
                "prefill", now_s=self.state.now_s(), result=str(error) or "timeout"
            )
            context.tried_instances.add(engine.entry.instance)
            engine.withdraw(number, now_s=self.state.now_s())
            return None
        except BaseException:
            engine.withdraw(number, now_s=self.state.now_s())
            raise
        finally:
            attempt.close()
        answer = (
            decode_prefill_response(bytes(response.body))
            if response.status == _OK
            else None
        )
        now_s = self.state.now_s()
        context.trace.add_step("prefill", now_s=now_s, result=response.status)
        attempt.health.record_result(failed=answer is None, now_s=now_s)
        if answer is None:
            context.attempt_count += 1
            context.tried_instances.add(engine.entry.instance)
            engine.withdraw(number, now_s=now_s)
            return None
        plan.prefill.record_time(took_s=now_s - attempt.started_s, now_s=now_s)
        engine.complete(number, now_s=now_s)
        return answer.handle

    def free_handle(
        self, context: RequestContext, engine: TrackedEngine, handle: str
    ) -> None:
        """Delete a KV cache that no engine will fetch, in the background."""
        task = asyncio.get_running_loop().create_task(
            self._delete_handle(context, engine, handle)
        )
        self.state.background_tasks.add(task)
        task.add_done_callback(self.state.background_tasks.discard)

    async def _delete_handle(
        self, context: RequestContext, engine: TrackedEngine, handle: str
    ) -> None:
        try:
            await self.state.call_engine(
                context.service,
                engine.entry,
                method=b"DELETE",
                target=release_handle_target(handle),
            )
        except (UpstreamError, TimeoutError) as error:
            # The engine deletes the KV cache itself when the handle's TTL expires.
            self.state.metrics.attempts.labels(
                context.service.name, "handle_not_freed"
            ).inc()
            context.trace.add_step("free", now_s=self.state.now_s(), result=str(error))
