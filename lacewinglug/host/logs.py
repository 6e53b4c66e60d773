"""Non-blocking JSON logging to standard output."""

import logging
import logging.handlers
import queue
import sys

from lacewinglug.logging import ProcessIdentity, StructuredFormatter

MAX_QUEUED_LINES = 2_000
"""Capacity of the queue of log lines; further lines are dropped."""


class _DroppingQueueHandler(logging.handlers.QueueHandler):
    """Queue handler that counts and drops records when the queue is full."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self.dropped = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it as dropped."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.dropped += 1


def start_logging(
    identity: ProcessIdentity, *, level: str = "INFO"
) -> logging.handlers.QueueListener:
    """Configure logging of this process.

    Stop the returned listener at exit to flush the queued lines.
    """
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MAX_QUEUED_LINES)
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(StructuredFormatter(identity=identity, as_json=True))
    root = logging.getLogger()
    root.handlers[:] = [_DroppingQueueHandler(lines)]
    root.setLevel(level)
    listener = logging.handlers.QueueListener(lines, output)
    listener.start()
    return listener
