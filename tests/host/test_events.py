"""Events are complete regardless of how the bytes of a stream are split."""

import time

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


def measure_split(piece, total_bytes):
    """Return the processor time for bytes that come in equal pieces, in s."""
    splitter = EventSplitter()
    started_s = time.process_time()
    for _ in range(total_bytes // len(piece)):
        splitter.feed(piece)
    return time.process_time() - started_s


# Guards against an event without end whose bytes are searched again with each piece,
# which stopped a host for seconds.
@pytest.mark.parametrize("piece", [b"xxxxx", b" \n", b"a\r\n", b"\n\n", b"x" * 80])
def test_the_time_for_an_event_grows_no_faster_than_its_bytes(piece):
    few, many = 4_000, 32_000
    few_s = min(measure_split(piece, few) for _ in range(3))
    many_s = min(measure_split(piece, many) for _ in range(3))
    # Twice the ratio of the bytes allows for noise; the square would be 64.
    assert many_s / few_s < 2 * many / few
