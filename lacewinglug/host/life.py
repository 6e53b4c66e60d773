"""The life of one request, and what its state allows."""

from dataclasses import dataclass

from lacewinglug.charts import load_chart

_CHART = load_chart("request")
_NOTHING_RAN = frozenset({"read"})
_MAY_HAVE_RUN = frozenset({"unknown", "broken"})
_CLIENT_HAS_NOTHING = frozenset({"read", "sent", "answered", "unknown", "repeated"})


@dataclass(kw_only=True, slots=True)
class RequestLife:
    """Follows the chart of a request.

    :param idempotent: whether the request may run more than once.
    :param chart_state: state that it is in.
    """

    idempotent: bool
    chart_state: str = _CHART.initial

    def apply(self, event: str) -> None:
        """Apply an event of the chart.

        :raises ChartError: the state does not allow it.
        """
        _CHART.apply(self, event)

    @property
    def nothing_ran(self) -> bool:
        """Whether the client may be told that the request did not run."""
        return self.chart_state in _NOTHING_RAN

    @property
    def may_send(self) -> bool:
        """Whether the request may be given to a runner now."""
        return self.nothing_ran or (
            self.idempotent and self.chart_state in _MAY_HAVE_RUN
        )

    @property
    def client_has_nothing(self) -> bool:
        """Whether a status may still be chosen for the client."""
        return self.chart_state in _CLIENT_HAS_NOTHING
