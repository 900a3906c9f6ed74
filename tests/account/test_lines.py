"""Events are read despite prefixes and other lines, and lines without an event are counted."""

from __future__ import annotations

import io
import json

from hypothesis import given
from hypothesis import strategies as st

from limeshelf.account.lines import MAX_LINE_BYTES, LogEvent, LogReader, parse_line

LINE = b'{"at_s":12.5,"instance":"g-1","event":"refused","request":"c-1","status":503}'
EVENT = LogEvent(12.5, 'g-1', 'refused', {'request': 'c-1', 'status': 503})


def read(data: bytes) -> tuple[list[LogEvent], LogReader]:
    reader = LogReader()
    return list(reader.read(io.BytesIO(data))), reader


def test_line_is_read_with_and_without_a_prefix() -> None:
    assert parse_line(LINE) == EVENT
    assert parse_line(b'   41.0 pod/g-1 ' + LINE + b'\n') == EVENT


def test_lines_without_an_event_are_counted_and_skipped() -> None:
    data = b'Traceback\n\n{"at_s": "soon"}\n' + LINE[:30] + b'\n' + LINE + b'\n{"a":1}\n'
    events, reader = read(data)
    assert events == [EVENT]
    assert (reader.events, reader.unreadable) == (1, 4)


def test_overlong_line_is_skipped_and_the_next_is_read() -> None:
    data = b'{"' + b'x' * (3 * MAX_LINE_BYTES) + b'\n' + LINE
    events, reader = read(data)
    assert events == [EVENT]
    assert reader.unreadable == 1


@given(st.lists(st.binary(max_size=80), max_size=8))
def test_no_input_is_fatal(noise: list[bytes]) -> None:
    """Each complete line is found between arbitrary bytes."""
    lines = [piece.replace(b'\n', b' ').replace(b'{', b'(') for piece in noise]
    data = b'\n'.join(part for piece in lines for part in (piece, LINE))
    events, _ = read(data)
    assert events == [EVENT] * len(lines)


@given(
    st.recursive(
        st.none() | st.booleans() | st.floats(allow_nan=False) | st.text(max_size=5),
        lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=5), inner),
        max_leaves=6,
    )
)
def test_any_json_is_an_event_or_none(value: object) -> None:
    event = parse_line(json.dumps(value).encode())
    assert event is None or isinstance(event, LogEvent)


def test_progress_covers_every_byte() -> None:
    sizes: list[int] = []
    data = LINE + b'\nnoise\n' + LINE
    list(LogReader(sizes.append).read(io.BytesIO(data)))
    assert sum(sizes) == len(data)
