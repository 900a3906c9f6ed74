"""Format of the rows of quarantined calls in the platform's store.

The store keeps them when all gateways fail at once, and passes them between gateways that a
partition separates from each other.
"""

from __future__ import annotations

import msgspec

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.suspects import CallCrash, ReplicaCrash, SuspectState
from limeshelf.util.decoding import DECODE_ERRORS, Count

#: The keys of its rows are the fingerprints of calls.
QUARANTINE_TABLE = 'quarantine'


class CrashValue(msgspec.Struct):
    """One crash in a row; see :class:`~limeshelf.crashes.suspects.CallCrash`."""

    replica_id: str
    born_ms: Count = 0
    cleared: bool = False
    coincident: bool = False


class SuspectValue(msgspec.Struct):
    """Value of the row of a call."""

    ends: list[CrashValue]


_values = msgspec.json.Decoder(SuspectValue)


def encode_value(state: SuspectState) -> bytes:
    """Encode the row of a suspect."""
    crashes = [
        CrashValue(
            known.crash.replica_id, known.crash.born_ms, known.is_cleared, known.is_coincident
        )
        for known in state.call_crashes()
    ]
    return msgspec.json.encode(SuspectValue(crashes))


def decode_value(key: str, value: bytes) -> SuspectState | None:
    """Decode the row of a suspect; ``None`` if it is invalid."""
    try:
        decoded = _values.decode(value)
    except DECODE_ERRORS:
        return None
    crashes = (
        CallCrash(ReplicaCrash(row.replica_id, row.born_ms), row.cleared, row.coincident)
        for row in decoded.ends
    )
    return SuspectState.from_crashes(Fingerprint(key), crashes)
