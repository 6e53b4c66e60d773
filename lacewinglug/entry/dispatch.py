"""Places requests on runners and keeps account of them while they run."""

from collections import Counter
from collections.abc import Collection
from dataclasses import dataclass, field

from returns.result import Failure, Result, Success

from lacewinglug.clock import Clock
from lacewinglug.entry.view import EntryView
from lacewinglug.metrics import Metrics
from lacewinglug.requests.outcomes import NotRun
from lacewinglug.routing.choice import RunnerState, choose_runner
from lacewinglug.routing.profile import RequestProfile


@dataclass(kw_only=True)
class Dispatch:
    """One request on one runner.

    :param runner: name of the runner.
    :param url: base URL of the runner.
    :param profile: the request.
    """

    runner: str
    url: str
    profile: RequestProfile
    _dispatcher: "Dispatcher"

    def note_token(self) -> None:
        """Note that a token of the answer arrived."""

    def close(self, *, succeeded: bool) -> None:
        """Note that the runner no longer works on the request."""
        self._dispatcher.release(self.runner)


@dataclass(kw_only=True)
class Dispatcher:
    """Owns the entry's own account of the work that it gave to runners.

    :param view: what is known of the fleet.
    :param clock: source of time.
    :param metrics: counters.
    """

    view: EntryView
    clock: Clock
    metrics: Metrics
    _in_flight: Counter[str] = field(default_factory=Counter)

    async def place(
        self, profile: RequestProfile, *, excluded: Collection[str] = ()
    ) -> Result[Dispatch, NotRun]:
        """Choose the runner of a request, or refuse it as not run.

        :param profile: the request.
        :param excluded: runners that failed at this request already.
        """
        runner = choose_runner(self._candidates(profile.service, excluded))
        if runner is None:
            self.metrics.count("dispatch.no_runner")
            return Failure(
                NotRun(
                    reason=f"no runner of service {profile.service!r} accepts work",
                    remedy="send the request again after the retry time",
                )
            )
        self._in_flight[runner.name] += 1
        return Success(
            Dispatch(
                runner=runner.name,
                url=self.view.fleet.runners[runner.name].url,
                profile=profile,
                _dispatcher=self,
            )
        )

    def release(self, runner: str) -> None:
        """Take a finished request off a runner's account."""
        self._in_flight[runner] -= 1

    def _candidates(self, service: str, excluded: Collection[str]) -> list[RunnerState]:
        unavailable = self.view.unavailable().union(excluded)
        return [
            self._runner_state(name, name not in unavailable)
            for name in self.view.fleet.runners_of(service)
        ]

    def _runner_state(self, name: str, available: bool) -> RunnerState:
        status = self.view.runners.get(name)
        report = status.report if status else None
        reported = report.running + report.queued if report else 0
        return RunnerState(
            name=name,
            in_flight=max(reported, self._in_flight[name]),
            slots=max(1, report.slots) if report else 1,
            delay_s=self.view.delay_s(name),
            accepts_work=available and report is not None and report.state == "ready",
        )
