"""State and checks that the handlers of prompts and calls share."""

from collections.abc import Sequence
from dataclasses import dataclass

import xxhash
from starlette.requests import Request

from lacewinglug.clock import Clock
from lacewinglug.config.objects import RequestKind, ServiceKind
from lacewinglug.entry.authentication import AUTHORIZATION_HEADER, Authenticator
from lacewinglug.entry.view import EntryView
from lacewinglug.ids import IdFactory
from lacewinglug.metrics import Metrics
from lacewinglug.report.recorder import OutcomeRecorder, RequestOutcome
from lacewinglug.requests.outcomes import NotRun
from lacewinglug.routing.prefix import hash_prefix_blocks
from lacewinglug.routing.profile import RequestProfile

CALLER_HEADER = "X-Caller"
REGION_HEADER = "X-Region"
INCARNATION_HEADER = "X-Incarnation"
REQUEST_ID_HEADER = "X-Request-Id"


@dataclass(kw_only=True)
class HandlerContext:
    """Checks requests, counts the running ones and records their outcomes.

    :param view: configuration and status of the fleet.
    :param ids: generates request ids.
    :param recorder: counts outcomes for the service-level report.
    :param clock: source of time.
    :param metrics: counters.
    :param authenticator: authenticates callers, operators and other entries.
    :param running_requests: number of prompts and calls in progress.
    :param leaving: whether the shutdown of this entry has started.
    """

    view: EntryView
    ids: IdFactory
    recorder: OutcomeRecorder
    clock: Clock
    metrics: Metrics
    authenticator: Authenticator
    running_requests: int = 0
    leaving: bool = False

    def check_caller(self, request: Request) -> NotRun | None:
        """Return the refusal of a caller that cannot be served, or None."""
        if self.view.config is None:
            return NotRun(
                reason="this entry has no configuration yet",
                remedy="send the request again after the retry time",
                repeat_with="same_key",
            )
        return self.authenticator.check_organisation(
            request.headers.get(CALLER_HEADER, ""),
            request.headers.get(AUTHORIZATION_HEADER, ""),
        )

    def check_peer(self, request: Request, authorization: str) -> NotRun | None:
        """Return the refusal of a request that another entry did not forward, or None.

        :param request: the request.
        :param authorization: ``Authorization`` header of the original caller.
        """
        refusal = self.check_admin(request)
        if refusal is not None:
            return refusal
        organisation = request.headers.get(CALLER_HEADER, "")
        return self.authenticator.check_organisation(organisation, authorization)

    def check_admin(self, request: Request) -> NotRun | None:
        """Return the refusal of a request without the admin key, or None.

        Operators and other entries send that key.
        """
        return self.authenticator.check_admin(
            request.headers.get(AUTHORIZATION_HEADER, "")
        )

    def find_kind(
        self, service_name: str, service_kind: ServiceKind, kind_name: str
    ) -> RequestKind | None:
        """Return a request kind of a service, or None if it is not declared."""
        service = self.view.fleet.services.get(service_name)
        if service is None or service.kind != service_kind:
            return None
        return service.kinds.get(kind_name)

    def has_load_reports(self) -> bool:
        """Return whether the steward has sent a load report of any runner.

        A fleet without runners needs none.
        """
        return bool(self.view.runners) or not self.view.fleet.runners

    def default_kind(self, service_name: str) -> str:
        """Return the name of the first request kind of a service."""
        service = self.view.fleet.services.get(service_name)
        return next(iter(service.kinds), "") if service else ""

    def make_profile(
        self,
        request: Request,
        kind: RequestKind,
        *,
        kind_name: str,
        prompt_tokens: Sequence[str] = (),
        output_tokens: int = 0,
    ) -> RequestProfile:
        """Return the profile of a request for admission and routing."""
        service = request.path_params["service"]
        return RequestProfile(
            request_id=self.ids.make(),
            service=service,
            kind=kind_name,
            organisation=request.headers.get(CALLER_HEADER, ""),
            weight=kind.weight,
            deadline_s=self.clock.now_s() + kind.timeout_s,
            idempotent=kind.idempotent,
            prompt_tokens=len(prompt_tokens),
            output_tokens=output_tokens,
            prefix_hashes=hash_prefix_blocks(
                prompt_tokens, seed=self._prefix_hash_seed(service)
            ),
        )

    def _prefix_hash_seed(self, service_name: str) -> int:
        """Return the seed of prefix hashes; prompts share KV cache within a version."""
        version = self.view.fleet.services[service_name].version
        return xxhash.xxh3_64_intdigest(version.encode())

    def record_outcome(
        self,
        profile: RequestProfile,
        outcome: str,
        started_s: float,
        *,
        runner: str = "",
    ) -> None:
        """Record the outcome and latency of a request.

        :param profile: the request.
        :param outcome: ``answered``, or the name of the failure.
        :param started_s: monotonic time of its arrival, in seconds.
        :param runner: last runner that received it, empty for none.
        """
        latency_s = self.clock.now_s() - started_s
        self.metrics.count(f"requests.{outcome}")
        self.metrics.timing("requests.latency", latency_s)
        self.recorder.note(
            RequestOutcome(
                service=profile.service,
                kind=profile.kind,
                runner=runner,
                outcome=outcome,
                latency_s=latency_s,
            )
        )
