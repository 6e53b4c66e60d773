"""Takes a client's request to its final answer."""

import asyncio
import logging
from dataclasses import dataclass, field

from lacewinglug.host.answers import Reason, Refusal, not_run
from lacewinglug.host.calls import CallRelay
from lacewinglug.host.context import HostState, RequestContext
from lacewinglug.host.life import RequestLife
from lacewinglug.host.model import IncomingRequest, Repeat, Route
from lacewinglug.host.placing import PromptPlacer
from lacewinglug.host.prefills import Prefiller
from lacewinglug.host.reporting import Reporter, RequestStory
from lacewinglug.host.routes import choose_service
from lacewinglug.host.streams import StreamRelay
from lacewinglug.platform.headers import ConflictingHeadersError, decode_request
from lacewinglug.wire.messages import Request, Response
from lacewinglug.wire.server import Exchange

logger = logging.getLogger(__name__)

TIMEOUT_MARGIN_S = 0.03
"""Time before a client's own end of waiting at which its answer is given, in s;
longer than its way to the client."""


@dataclass(kw_only=True)
class Dispatcher:
    """Owns the way of each request from its head to its final answer.

    :param state: the host.
    :param reporter: counts and logs the ends of requests.
    """

    state: HostState
    reporter: Reporter
    _calls: CallRelay = field(init=False)
    _streams: StreamRelay = field(init=False)

    def __post_init__(self) -> None:
        self._calls = CallRelay(state=self.state)
        placer = PromptPlacer(state=self.state)
        self._streams = StreamRelay(
            state=self.state,
            placer=placer,
            prefiller=Prefiller(state=self.state, placer=placer),
        )

    async def handle(self, request: Request, exchange: Exchange) -> None:
        """Answer one request; cancelled where the client leaves."""
        story = RequestStory(request_id="", started_s=request.received_s)
        prepared = self._prepare(request, story)
        if isinstance(prepared, Response):
            await exchange.respond(prepared)
            self._note_end(story, outcome="refused", status=prepared.status)
            return
        try:
            await self._serve(prepared, exchange)
        except asyncio.CancelledError:
            prepared.life.apply("leave")
            self._note_end(story, outcome="client_left", status=0)
            raise
        except Exception:
            exchange.abort()
            self._note_end(story, outcome="internal_error", status=0)
            raise

    def _prepare(
        self, request: Request, story: RequestStory
    ) -> RequestContext | Response:
        """Find the route and service of a request, or its refusal."""
        now_s = self.state.now_s()
        try:
            facts = decode_request(request)
        except ConflictingHeadersError as error:
            return _refuse(story, Refusal(status=400, reason=Reason.BAD_REQUEST), error)
        story.request_id = facts.request_id
        story.configuration_version = self.state.routes.version
        story.view_age_s = self.state.fleet.age_s(now_s)
        if self.state.routes.configuration is None or not self.state.fleet.known:
            return _refuse(story, not_run(Reason.NOT_CONFIGURED))
        route = self.state.routes.match(host=facts.host, path=facts.path)
        if route is None:
            return _refuse(story, Refusal(status=404, reason=Reason.NO_ROUTE))
        story.route = route.name
        story.service = choose_service(route, facts.request_id)
        service = self.state.routes.service(story.service)
        if service is None:
            return _refuse(story, not_run(Reason.NO_RUNNER))
        self.state.budget(service.name).note_request(now_s=now_s)
        return RequestContext(
            request=request,
            facts=facts,
            route=route,
            service=service,
            expires_s=_expiry_s(request, facts, route),
            life=RequestLife(idempotent=route.idempotent),
            story=story,
        )

    async def _serve(self, context: RequestContext, exchange: Exchange) -> None:
        try:
            async with asyncio.timeout(context.left_s(self.state.now_s())):
                answer = await self._relay(context, exchange)
        except TimeoutError:
            answer = self._late_answer(context)
        match answer:
            case None:
                context.life.apply("end")
                self._note_end(context.story, outcome="answered", status=200)
            case Response():
                await self._respond(context, exchange, answer, outcome="answered")
            case Refusal(reason=reason):
                response = answer.to_response()
                await self._respond(context, exchange, response, outcome=reason.value)

    async def _relay(
        self, context: RequestContext, exchange: Exchange
    ) -> Response | Refusal | None:
        match context.route.repeat:
            case Repeat.STREAM:
                return await self._streams.relay(context, exchange)
            case Repeat.SAFE | Repeat.UNSAFE:
                return await self._calls.relay(context)

    async def _respond(
        self,
        context: RequestContext,
        exchange: Exchange,
        response: Response,
        *,
        outcome: str,
    ) -> None:
        if context.life.client_has_nothing:
            await exchange.respond(response)
        else:
            # A part was sent, so only a cut connection tells that it is not whole.
            exchange.abort()
        context.life.apply("end")
        self._note_end(context.story, outcome=outcome, status=response.status)

    def _late_answer(self, context: RequestContext) -> Refusal:
        if context.life.nothing_ran:
            return not_run(Reason.NO_TIME)
        return Refusal(status=504, reason=Reason.TIMED_OUT)

    def _note_end(self, story: RequestStory, *, outcome: str, status: int) -> None:
        self.reporter.note_end(
            story, outcome=outcome, status=status, now_s=self.state.now_s()
        )


def _expiry_s(request: Request, facts: IncomingRequest, route: Route) -> float:
    expires_s = request.received_s + route.timeout_s
    if facts.deadline_s is None:
        return expires_s
    client_s = request.received_s + facts.deadline_s - TIMEOUT_MARGIN_S
    return min(expires_s, client_s)


def _refuse(
    story: RequestStory, refusal: Refusal, error: Exception | None = None
) -> Response:
    story.service = story.service or "-"
    story.steps.append({"step": "refuse", "reason": refusal.reason.value})
    return refusal.to_response(str(error) if error is not None else "")
