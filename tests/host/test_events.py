"""Events are complete regardless of how the bytes of a stream are split."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lacewinglug.host.events import (
    MAX_EVENT_BYTES,
    EventSplitter,
    EventTooLongError,
)

STREAM = b"".join(b"id: %d\ndata: word%d\n\n" % (n, n) for n in range(1, 9))


@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=20), tail=st.binary())
def test_any_split_gives_the_same_events(cuts, tail):
    data = STREAM + tail.replace(b"\n", b"").replace(b"\r", b"")
    places = sorted({0, *cuts, len(data)})
    splitter = EventSplitter()
    events = []
    for start, end in zip(places, places[1:], strict=False):
        events += splitter.feed(data[start:end])
    assert [event.event_id for event in events] == list(range(1, 9))
    assert b"".join(event.data for event in events) + splitter.remainder == data


def test_an_event_without_id_has_no_number():
    (event,) = EventSplitter().feed(b"data: id: 5x\n\n")
    assert event.event_id is None


def test_an_oversized_event_is_rejected():
    with pytest.raises(EventTooLongError):
        EventSplitter().feed(b"x" * (MAX_EVENT_BYTES + 1))


def test_an_id_of_thousands_of_digits_counts_as_none():
    """Regression test: it failed to decode, which cut the stream."""
    (event,) = EventSplitter().feed(b"id: " + b"9" * 5000 + b"\ndata: a\n\n")
    assert event.event_id is None
