"""Logs of a host: JSON lines on standard output that never block the program."""

import logging
import logging.handlers
import queue
import sys

from lacewinglug.logging import ProcessIdentity, StructuredFormatter

MOST_WAITING_LINES = 2_000
"""Lines that wait to be written before more are left out."""


class _DroppingQueueHandler(logging.handlers.QueueHandler):
    """Queues records, and counts those for which there is no room."""

    def __init__(self, lines: "queue.Queue[logging.LogRecord]") -> None:
        super().__init__(lines)
        self.left_out = 0

    def enqueue(self, record: logging.LogRecord) -> None:
        """Queue a record, or count it."""
        try:
            self.queue.put_nowait(record)
        except queue.Full:
            self.left_out += 1


def start_logging(
    identity: ProcessIdentity, *, level: str = "INFO"
) -> logging.handlers.QueueListener:
    """Write the log of this process; stop the result to write what waits."""
    lines: queue.Queue[logging.LogRecord] = queue.Queue(MOST_WAITING_LINES)
    output = logging.StreamHandler(sys.stdout)
    output.setFormatter(StructuredFormatter(identity=identity, as_json=True))
    root = logging.getLogger()
    root.handlers[:] = [_DroppingQueueHandler(lines)]
    root.setLevel(level)
    listener = logging.handlers.QueueListener(lines, output)
    listener.start()
    return listener
