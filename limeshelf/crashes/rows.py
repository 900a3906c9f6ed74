"""The row of a call that rests or is refused for good, in the platform's store.

Only the store outlives an end of all gateways at once, and reaches gateways that a cut keeps from
each other. Owns the form of the row alone.
"""

from __future__ import annotations

import msgspec

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.suspects import ReplicaEnd, SuspectState, ToldEnd
from limeshelf.util.decoding import DECODE_ERRORS

#: Its rows are called by the fingerprints of calls.
QUARANTINE_TABLE = 'quarantine'


class EndValue(msgspec.Struct):
    """The end of a replica in a row; see :class:`~limeshelf.crashes.suspects.ToldEnd`."""

    replica_id: str
    born_ms: int = 0
    cleared: bool = False
    coincident: bool = False


class SuspectValue(msgspec.Struct):
    """What a row says of a call."""

    ends: list[EndValue]


_values = msgspec.json.Decoder(SuspectValue)


def write_value(state: SuspectState) -> bytes:
    """Return the value of a suspect's row."""
    ends = [
        EndValue(told.end.replica_id, told.end.born_ms, told.is_cleared, told.is_coincident)
        for told in state.told_ends()
    ]
    return msgspec.json.encode(SuspectValue(ends))


def read_value(key: str, value: bytes) -> SuspectState | None:
    """Return what a row says; ``None`` if it is not a gateway's."""
    try:
        said = _values.decode(value)
    except DECODE_ERRORS:
        return None
    told = (
        ToldEnd(ReplicaEnd(end.replica_id, end.born_ms), end.cleared, end.coincident)
        for end in said.ends
    )
    return SuspectState.from_ends(Fingerprint(key), told)
