"""Splits a stream of server-sent events into whole events."""

import re
from dataclasses import dataclass, field

MOST_EVENT_BYTES = 1_048_576
"""Longest event that is kept until it is whole."""
_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)


class EventTooLongError(Exception):
    """An event does not end within the bound."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """A whole event.

    :param data: its bytes with the blank line that ends it.
    :param number: its id, None where it has none.
    """

    data: bytes
    number: int | None


@dataclass(kw_only=True, slots=True)
class EventSplitter:
    """Owns the bytes of an event that is not whole yet."""

    _rest: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> list[Event]:
        """Take bytes and return the events that are whole now.

        :raises EventTooLongError: an event does not end.
        """
        self._rest += data
        events = []
        start = 0
        for end in _END.finditer(self._rest):
            whole = bytes(self._rest[start : end.end()])
            start = end.end()
            found = _ID.search(whole)
            number = int(found.group(1)) if found else None
            events.append(Event(data=whole, number=number))
        del self._rest[:start]
        if len(self._rest) > MOST_EVENT_BYTES:
            raise EventTooLongError("an event is too long")
        return events

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return bytes(self._rest)
