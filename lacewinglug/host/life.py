"""Lifecycle of a request, and what is allowed in each of its states."""

from dataclasses import dataclass

from lacewinglug.charts import load_chart

_CHART = load_chart("request")
_NOT_EXECUTED_STATES = frozenset({"read"})
_RETRYABLE_STATES = frozenset({"unknown", "broken"})
_RESPONSE_NOT_STARTED_STATES = frozenset(
    {"read", "sent", "answered", "unknown", "repeated"}
)


@dataclass(kw_only=True, slots=True)
class RequestLifecycle:
    """Tracks the state of a request by the state chart ``request``.

    :param idempotent: whether the request may run more than once.
    :param chart_state: current state.
    """

    idempotent: bool
    chart_state: str = _CHART.initial

    def apply(self, event: str) -> None:
        """Apply an event of the chart.

        :raises ChartError: the event is not allowed in the current state.
        """
        _CHART.apply(self, event)

    @property
    def not_executed(self) -> bool:
        """Whether it is certain that the request did not run."""
        return self.chart_state in _NOT_EXECUTED_STATES

    @property
    def may_send(self) -> bool:
        """Whether the request may be sent to a runner now."""
        return self.not_executed or (
            self.idempotent and self.chart_state in _RETRYABLE_STATES
        )

    @property
    def response_not_started(self) -> bool:
        """Whether no part of a response was sent, so that any status can follow."""
        return self.chart_state in _RESPONSE_NOT_STARTED_STATES
