"""Rows of quarantined calls, including those of other writers."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.rows import decode_value, encode_value
from limeshelf.crashes.suspects import CallCrash, ReplicaCrash, SuspectState, Trial


def test_encoded_row_is_decoded() -> None:
    crashes = frozenset({ReplicaCrash('r1', 7), ReplicaCrash('r2')})
    trials = frozenset({Trial('r1', 7), Trial('r3')})
    passed = frozenset({Trial('r3')})
    state = SuspectState(
        Fingerprint('aa'), crashes, frozenset({ReplicaCrash('r2')}), crashes, trials, passed
    )
    assert decode_value('aa', encode_value(state)) == state


def test_recorded_row_is_decoded() -> None:
    """Stored rows have this format, which later versions must still decode."""
    value = b'{"ends":[{"replica_id":"r1","born_ms":7,"cleared":true},{"replica_id":"r2"}]}'
    state = decode_value('aa', value)
    assert state is not None
    assert state.call_crashes() == [
        CallCrash(ReplicaCrash('r1', 7), True),
        CallCrash(ReplicaCrash('r2')),
    ]


@pytest.mark.parametrize('value', [b'', b'{}', b'[]', b'{"ends":[{"replica_id":5}]}', b'\xff'])
def test_row_of_another_writer_is_invalid(value: bytes) -> None:
    assert decode_value('aa', value) is None


@given(st.binary(max_size=40))
def test_any_bytes_are_decoded_or_invalid(value: bytes) -> None:
    decode_value('aa', value)
