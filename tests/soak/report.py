"""What a soak has seen: its log lines, its record and its figures."""

import json
import time
from collections import Counter
from dataclasses import dataclass, field
from datetime import UTC, datetime

from tests.soak.cuts import find_excuse, reached_limit
from tests.soak.records import Trace

ERRORS = ("Traceback", "unexpected error", "Event loop is closed")
"""Texts that no log line of a host should have."""


@dataclass(kw_only=True)
class Summary:
    """Figures of a soak.

    :param cuts: requests without a complete answer that nothing excuses.
    :param excused: the other ones, by reason.
    :param streams: requests for a stream that were sent whole.
    :param timed_out: those of them that ended at their timeout, by cause.
    """

    requests: int = 0
    refused: int = 0
    cuts: int = 0
    excused: Counter = field(default_factory=Counter)
    streams: int = 0
    timed_out: Counter = field(default_factory=Counter)

    def add(self, other):
        """Add the figures of another soak."""
        for name, value in vars(other).items():
            setattr(self, name, getattr(self, name) + value)

    def __str__(self):
        excused = ", ".join(f"{n} {name}" for name, n in self.excused.most_common())
        share = 100 * self.timed_out.total() / max(1, self.streams)
        causes = ", ".join(f"{n} {name}" for name, n in self.timed_out.most_common())
        return (
            f"{self.requests} requests, {self.refused} refused, {self.cuts} cut;"
            f" excused: {excused or 'none'}; {share:.1f}% of {self.streams} streams"
            f" ended at their timeout: {causes or 'none'}"
        )


def summarize(evidence):
    """Return the figures of a soak of planned work."""
    summary = Summary(requests=len(evidence.sent))
    for item in evidence.sent:
        summary.refused += item.status in (429, 503) and item.whole
        if not item.whole:
            excuse = find_excuse(item, evidence)
            summary.cuts += excuse is None
            if excuse is not None:
                summary.excused[excuse.value] += 1
        if not item.kind.streams or item.all_sent_s is None:
            continue
        summary.streams += 1
        ended = not item.whole or item.status == 504
        if ended and reached_limit(item, evidence):
            trace = evidence.traces.get(item.request_id)
            cause = "not in the log"
            if trace is not None:
                cause = "engine given up" if trace.gave_up else "silences alone"
            summary.timed_out[cause] += 1
    return summary


def read_logs(hosts, evidence):
    """Read from the hosts' logs how requests ended, and what should not be there."""
    taken_by = {item.request_id: item.host for item in evidence.sent}
    for host in hosts:
        for line in host.log_path.open(errors="replace"):
            if any(text in line for text in ERRORS):
                evidence.errors.append(f"{host.name} logged {line.strip()[:200]}")
            if '"request ended"' not in line:
                continue
            ended = json.loads(line)
            request_id = ended["request_id"]
            if taken_by.get(request_id) == host.name:
                evidence.traces[request_id] = Trace(
                    took_s=ended["took_ms"] / 1000,
                    route=ended["route"],
                    version=ended["configuration_version"],
                    gave_up=any(
                        step.get("reason") == "silent" for step in ended["steps"]
                    ),
                )


def write_record(path, evidence, now_s):
    """Write what was done, and each request without a complete answer, by time.

    :param now_s: time of the event loop.
    """
    offset_s = time.time() - now_s
    lines = []

    def add(at_s, text):
        at = datetime.fromtimestamp(at_s + offset_s, UTC)
        lines.append(f"{at:%H:%M:%S.%f} {text}\n")

    for fault in evidence.faults:
        add(fault.start_s, f"{fault.name} for {fault.end_s - fault.start_s:.2f} s")
    for item in evidence.sent:
        if item.whole:
            continue
        excuse = find_excuse(item, evidence)
        runs = [run for run in evidence.runs if run.request_id == item.request_id]
        add(
            item.sent_s,
            f"{excuse.value if excuse else 'CUT'}: {item.request_id} {item.target} at"
            f" {item.host}, status {item.status}, {len(item.answer)} bytes after"
            f" {item.ended_s - item.sent_s:.2f} s, {item.paused_s:.2f} s of them not"
            f" reading, run by {[run.instance for run in runs]}",
        )
    path.write_text("".join(sorted(lines)))
