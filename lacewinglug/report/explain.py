"""The story of one request, from the logs of any number of processes."""

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from lacewinglug.interference.report import tell_lateness

_CAUSES = {
    "answered": "a runner answered; the client has the whole answer",
    "bad_request": "the request contradicts itself, so it was not passed on",
    "client_left": "the client left before its answer was whole",
    "internal_error": "the host failed; see its line `unexpected error`",
    "no_route": "no route of this configuration version matches",
    "no_runner": "no runner of the service took work",
    "no_time": "the answer was expected too late, so the request was not run",
    "not_configured": "the host had no configuration or no view of runners yet",
    "outdated": "no route or key matches, but other hosts had a later configuration",
    "outcome_unknown": "a runner may have run the request; its answer was lost",
    "host_leaves": "the host was shutting down and could not finish it in time",
    "host_stops": "the host stopped while a runner worked on it",
    "quarantined": "requests with a part of its prompt crash engines; it was not run",
    "pushed_back": "all runners of the service had asked for a pause; it was not run",
    "refused": "the host refused the request before routing",
    "rejected": "the runners that it was sent to rejected it; it was not run",
    "stream_cut": "the stream ended early and could not go on elsewhere",
    "timed_out": "the time of the client or the route was over",
    "unknown_key": "no organisation of this configuration version holds the key",
    "unreachable": "no connection to a runner could be had",
}


@dataclass(frozen=True, kw_only=True, slots=True)
class RequestEnd:
    """The end of one client attempt, as a host logged it.

    :param time: time of the line.
    :param host: host that wrote it.
    :param fields: all fields of the line.
    """

    time: str
    host: str
    fields: dict[str, object] = field(default_factory=dict)


def find_request(lines: Iterable[str], request_id: str) -> list[RequestEnd]:
    """Return the ends of a request in log lines, the first first.

    Text before the JSON object of a line, and lines without one, are passed over.
    """
    found = []
    for line in lines:
        if request_id not in line:
            continue
        start = line.find("{")
        try:
            fields = json.loads(line[start:]) if start >= 0 else None
        except ValueError:
            continue
        if not isinstance(fields, dict) or "outcome" not in fields:
            continue
        if fields.get("request_id") != request_id:
            continue
        time, host = str(fields.get("time", "")), str(fields.get("host", ""))
        found.append(RequestEnd(time=time, host=host, fields=fields))
    return sorted(found, key=lambda item: item.time)


def tell_story(end: RequestEnd) -> list[str]:
    """Return the story of a client attempt, one line for each decision."""
    fields = end.fields
    outcome = str(fields.get("outcome", "?"))
    lines = [
        f"{end.time} {end.host}: {outcome} {fields.get('status')} "
        f"after {fields.get('took_ms')} ms",
        f"  cause: {_CAUSES.get(outcome, 'not known to this version')}",
        f"  route {fields.get('route') or '-'} to service {fields.get('service')}, "
        f"configuration {fields.get('configuration_version')}, view of runners "
        f"{fields.get('view_age_s')} s old",
    ]
    stream = fields.get("stream")
    if isinstance(stream, dict):
        lines += tell_lateness(stream, took_ms=fields.get("took_ms"))
    steps = fields.get("steps")
    for step in steps if isinstance(steps, list) else []:
        if isinstance(step, dict):
            lines.append(_tell_step(step))
    return lines


def _tell_step(step: dict[str, object]) -> str:
    inputs = " ".join(
        f"{name}={value}"
        for name, value in step.items()
        if name not in ("step", "after_ms") and value is not None
    )
    return f"  {step.get('after_ms', 0):>6} ms  {step.get('step')}  {inputs}".rstrip()
