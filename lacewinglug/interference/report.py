"""Tells why a stream was late, from the log line of its request."""

from collections.abc import Mapping


def tell_lateness(stream: Mapping[str, object], *, took_ms: object) -> list[str]:
    """Return one line for each target that a stream missed.

    :param stream: fields of the stream in the log line.
    :param took_ms: time from the request to its end.
    """
    causes = stream.get("late_by")
    lines = []
    for cause in causes if isinstance(causes, list) else []:
        told = _tell_cause(cause, stream, took_ms)
        lines.append(f"  late: {told}")
    return lines


def _tell_cause(cause: object, stream: Mapping[str, object], took_ms: object) -> str:
    match cause:
        case "first_event":
            after_ms = stream.get("first_event_ms")
            told = (
                "no event" if after_ms is None else f"first event after {after_ms} ms"
            )
            return f"{told}, target {stream.get('target_ms')} ms"
        case "gap":
            return (
                f"gap of {stream.get('longest_gap_ms')} ms between events, target "
                f"{stream.get('target_gap_ms')} ms; it ended "
                f"{stream.get('longest_gap_end_ms')} ms after the request with an "
                f"event of {stream.get('longest_gap_runner') or '?'}"
            )
        case "end":
            return (
                f"its end after {took_ms} ms, incomplete or over the route's timeout "
                f"of {stream.get('timeout_ms')} ms"
            )
        case _:
            return f"{cause}, not known to this version"
