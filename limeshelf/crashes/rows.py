"""Format of the rows of quarantined calls in the platform's store.

The store keeps them when all gateways fail at once, and passes them between gateways that a
partition separates from each other.
"""

from __future__ import annotations

import attrs
import msgspec

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.suspects import CallCrash, ReplicaCrash, SuspectState, Trial
from limeshelf.util.decoding import DECODE_ERRORS, Count

#: The keys of its rows are the fingerprints of calls.
QUARANTINE_TABLE = 'quarantine'


class CrashValue(msgspec.Struct):
    """One crash in a row; see :class:`~limeshelf.crashes.suspects.CallCrash`."""

    replica_id: str
    born_ms: Count = 0
    cleared: bool = False
    coincident: bool = False


class TrialValue(msgspec.Struct):
    """One trial in a row; see :class:`~limeshelf.crashes.suspects.Trial`."""

    replica_id: str
    born_ms: Count = 0
    passed: bool = False


class SuspectValue(msgspec.Struct, omit_defaults=True):
    """Value of the row of a suspect.

    :ivar trials: not known to earlier releases, which ignore and drop them.
    """

    ends: list[CrashValue]
    trials: list[TrialValue] = []


_values = msgspec.json.Decoder(SuspectValue)


def encode_value(state: SuspectState) -> bytes:
    """Encode the row of a suspect."""
    crashes = [
        CrashValue(
            known.crash.replica_id, known.crash.born_ms, known.is_cleared, known.is_coincident
        )
        for known in state.call_crashes()
    ]
    trials = [
        TrialValue(trial.replica_id, trial.born_ms, trial in state.passed_trials)
        for trial in sorted(state.trials, key=lambda trial: (trial.replica_id, trial.born_ms))
    ]
    return msgspec.json.encode(SuspectValue(crashes, trials))


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
    trials = {Trial(row.replica_id, row.born_ms): row.passed for row in decoded.trials}
    return attrs.evolve(
        SuspectState.from_crashes(Fingerprint(key), crashes),
        trials=frozenset(trials),
        passed_trials=frozenset(trial for trial, is_passed in trials.items() if is_passed),
    )
