"""The splitter returns complete events, however the stream is split into chunks."""

from __future__ import annotations

import itertools

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from limeshelf.gateway.events import MAX_EVENT_BYTES, EventSplitter, EventTooLong

STREAM = b''.join(f'id: {n}\ndata: t{n}\n\n'.encode() for n in range(1, 9))


@settings(max_examples=200, derandomize=True, deadline=None)
@given(cuts=st.lists(st.integers(0, len(STREAM)), max_size=8), end=st.integers(0, len(STREAM)))
def test_any_chunking_gives_complete_events_in_order(cuts: list[int], end: int) -> None:
    splitter = EventSplitter()
    places = sorted({0, end, *(cut for cut in cuts if cut < end)})
    out = b''
    for start, stop in itertools.pairwise(places):
        piece = splitter.feed(STREAM[start:stop])
        assert not piece or piece.endswith(b'\n\n')
        out += piece
    assert STREAM.startswith(out)
    assert splitter.events == out.count(b'\n\n')
    assert splitter.last_id == (str(splitter.events) if splitter.events else None)
    assert splitter.has_partial_event == (len(out) != end)


def test_stream_continues_after_a_discarded_partial_event() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\nid: 2\nda') == b'id: 1\ndata: a\n\n'
    splitter.discard_partial_event()
    assert splitter.feed(b'id: 2\ndata: b\r\n\r\n') == b'id: 2\ndata: b\r\n\r\n'
    assert splitter.last_id == '2'


def test_incomplete_event_fails_at_its_size_limit() -> None:
    splitter = EventSplitter()
    assert splitter.feed(b'id: 1\ndata: a\n\n') == b'id: 1\ndata: a\n\n'
    assert splitter.feed(b'x' * MAX_EVENT_BYTES) == b''
    with pytest.raises(EventTooLong):
        splitter.feed(b'x')


def test_events_before_a_too_long_one_are_not_counted() -> None:
    splitter = EventSplitter()
    with pytest.raises(EventTooLong):
        splitter.feed(b'id: 1\ndata: a\n\n' + b'x' * (MAX_EVENT_BYTES + 1))
    assert (splitter.last_id, splitter.events) == (None, 0)
