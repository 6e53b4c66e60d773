"""Lets an engine read a prompt whose stream runs at another one."""

import asyncio
from dataclasses import dataclass

from lacewinglug.host.calls import MOST_ANSWER_BYTES
from lacewinglug.host.context import Attempt, HostState, RequestContext
from lacewinglug.host.engines import EngineAccount
from lacewinglug.host.placing import PromptPlacer
from lacewinglug.host.plans import SplitPlan, learn_reading
from lacewinglug.platform.calls import decode_prefill_response, release_handle_target
from lacewinglug.wire.client import UpstreamError

FIRST_EVENT_PATIENCE = 3.0
"""Multiple of the expected time to the first event after which a stream that may
be resumed is tried elsewhere."""
SHORTEST_PATIENCE_S = 2.0
"""Bound of that time, in s; a shorter one breaks off work that merely waits and
adds to the load that it waits for."""
_OK = 200


@dataclass(kw_only=True)
class Prefiller:
    """Gives prompts to engines that read them.

    :param state: the host.
    :param placer: notes the work.
    """

    state: HostState
    placer: PromptPlacer

    async def read(
        self, context: RequestContext, plan: SplitPlan, *, rank: int
    ) -> str | None:
        """Let an engine read the prompt; return the handle of its KV cache."""
        reader = plan.reader
        self.placer.book(context, reader, rank=rank, work_s=plan.work_s)
        attempt = Attempt(state=self.state, context=context, entry=reader.entry)
        wait_s = max(SHORTEST_PATIENCE_S, plan.expected_s * FIRST_EVENT_PATIENCE)
        fetch_from = plan.fetch_from
        try:
            await attempt.connect()
            attempt.send(
                context.make_call(
                    reader.entry,
                    now_s=self.state.now_s(),
                    priority=rank,
                    prefill_only=True,
                    fetch_from=None if fetch_from is None else fetch_from.entry.address,
                )
            )
            async with asyncio.timeout(wait_s):
                head = await attempt.read_head()
                response = await attempt.read_whole(head, most_bytes=MOST_ANSWER_BYTES)
        except (UpstreamError, TimeoutError) as error:
            attempt.health.note_loss(
                silent=isinstance(error, TimeoutError), now_s=self.state.now_s()
            )
            # A reader that could not be reached has got nothing, so it is no attempt.
            context.sends += isinstance(error, TimeoutError) or error.sent
            context.story.add(
                "prefill", now_s=self.state.now_s(), result=str(error) or "timeout"
            )
            context.tried.add(reader.entry.instance)
            return None
        finally:
            attempt.drop()
        answer = (
            decode_prefill_response(response.body) if response.status == _OK else None
        )
        now_s = self.state.now_s()
        context.story.add("prefill", now_s=now_s, result=response.status)
        attempt.health.note_answer(failed=answer is None, now_s=now_s)
        if answer is None:
            context.sends += 1
            context.tried.add(reader.entry.instance)
            return None
        learn_reading(plan, took_s=now_s - attempt.started_s)
        return answer.handle

    def free(self, context: RequestContext, reader: EngineAccount, handle: str) -> None:
        """Let an engine drop a KV cache that nobody fetches, in the background."""
        task = asyncio.get_running_loop().create_task(
            self._send_free(context, reader, handle)
        )
        self.state.background.add(task)
        task.add_done_callback(self.state.background.discard)

    async def _send_free(
        self, context: RequestContext, reader: EngineAccount, handle: str
    ) -> None:
        try:
            await self.state.call_engine(
                context.service,
                reader.entry,
                method=b"DELETE",
                target=release_handle_target(handle),
            )
        except (UpstreamError, TimeoutError) as error:
            # The engine frees it by itself after the handle's time to live.
            self.state.metrics.attempts.labels(
                context.service.name, "handle_not_freed"
            ).inc()
            context.story.add("free", now_s=self.state.now_s(), result=str(error))
