"""Splits a byte stream of server-sent events into complete events."""

import re
from dataclasses import dataclass, field

MAX_EVENT_BYTES = 1_048_576
"""Size limit of a buffered incomplete event, in bytes."""
_EVENT_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_MAX_EVENT_END_BYTES = 4
_EVENT_ID = re.compile(rb"^id:[ ]?(\d{1,18})\s*$", re.MULTILINE)


class EventTooLongError(Exception):
    """An incomplete event exceeds the size limit."""


@dataclass(frozen=True, kw_only=True, slots=True)
class Event:
    """A complete event.

    :param data: raw bytes, including the blank line at its end.
    :param event_id: numeric id, None if it has none.
    """

    data: bytes
    event_id: int | None


@dataclass(kw_only=True, slots=True)
class EventSplitter:
    """Buffers received bytes until events are complete."""

    _buffer: bytearray = field(default_factory=bytearray)
    # No event ends within this many bytes of the buffer.
    _searched_bytes: int = 0

    def feed(self, data: bytes) -> list[Event]:
        """Add received bytes and return the events that they complete.

        :raises EventTooLongError: the incomplete event exceeds the size limit.
        """
        self._buffer += data
        events = []
        start = 0
        search_from = max(0, self._searched_bytes - _MAX_EVENT_END_BYTES + 1)
        for end in _EVENT_END.finditer(self._buffer, search_from):
            event = bytes(self._buffer[start : end.end()])
            start = end.end()
            match = _EVENT_ID.search(event)
            event_id = int(match.group(1)) if match else None
            events.append(Event(data=event, event_id=event_id))
        del self._buffer[:start]
        self._searched_bytes = len(self._buffer)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise EventTooLongError("event exceeds the size limit")
        return events

    @property
    def remainder(self) -> bytes:
        """Bytes after the last complete event."""
        return bytes(self._buffer)
