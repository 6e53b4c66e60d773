"""Log output as key=value pairs or JSON lines."""

import json
import logging
import sys
from dataclasses import dataclass

_STANDARD_FIELDS = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


@dataclass(frozen=True, kw_only=True, slots=True)
class ProcessIdentity:
    """What every log line says of the process that wrote it.

    :param program: name of the program.
    :param host: name of the host.
    :param incarnation: name of this run of the process.
    """

    program: str
    host: str
    incarnation: str


class StructuredFormatter(logging.Formatter):
    """Formats a record as key=value pairs or as one JSON object.

    :param identity: the process that writes the log.
    :param as_json: write JSON in place of key=value pairs.
    """

    def __init__(self, *, identity: ProcessIdentity, as_json: bool) -> None:
        super().__init__()
        self._identity = identity
        self._as_json = as_json

    def format(self, record: logging.LogRecord) -> str:
        """Format one record."""
        fields: dict[str, object] = {
            "time": self.formatTime(record, "%Y-%m-%dT%H:%M:%S%z"),
            "level": record.levelname.lower(),
            "program": self._identity.program,
            "host": self._identity.host,
            "incarnation": self._identity.incarnation,
            "request_id": getattr(record, "request_id", "-"),
            "message": record.getMessage(),
        }
        for name, value in vars(record).items():
            if name not in _STANDARD_FIELDS and name not in fields:
                fields[name] = value
        if record.exc_info:
            fields["exception"] = self.formatException(record.exc_info)
        if self._as_json:
            return json.dumps(fields, default=str)
        return " ".join(f"{name}={_quote(value)}" for name, value in fields.items())


def _quote(value: object) -> str:
    """Return the value, in quotes where it holds blanks or quotes."""
    text = str(value)
    if text and not any(char in text for char in ' "=\n'):
        return text
    return json.dumps(text)


def configure_logging(
    *, identity: ProcessIdentity, as_json: bool, level: str = "INFO"
) -> None:
    """Send the log of this process to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(StructuredFormatter(identity=identity, as_json=as_json))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
