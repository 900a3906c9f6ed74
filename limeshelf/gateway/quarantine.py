"""Refuses calls that are suspected of crashing replicas, and records results of attempts for it.

Stateless; :mod:`limeshelf.crashes` has the rule and the recorded crashes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.quarantine import TEMPORARY_QUARANTINE_CRASHES
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import STATUS_UNAVAILABLE, Refuse
from limeshelf.gateway.result_rules import CallFinding, classify_for_call

if TYPE_CHECKING:
    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.crash_detector import CrashDetector
    from limeshelf.crashes.quarantine import Quarantine, Quarantined
    from limeshelf.gateway.exchange import ReplicaResult
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.replica import Replica


@attrs.frozen
class QuarantineGuard:
    """Checks calls before each send, and records their results."""

    quarantine: Quarantine
    detector: CrashDetector

    def check(self, fingerprint: Fingerprint) -> Refuse | None:
        """Return the refusal of a call by the crashes known now; ``None`` if it may be sent."""
        quarantined = self.quarantine.check(fingerprint)
        return _refusal_of(quarantined) if quarantined is not None else None

    async def check_confirmed(self, state: CallState) -> Refuse | None:
        """Return the refusal of a call by confirmed crashes; ``None`` if it may be sent.

        Where unconfirmed crashes would decide on the refusal, waits until they are confirmed or
        ruled out.
        """
        fingerprint = state.fingerprint
        broken_twice = state.runs >= TEMPORARY_QUARANTINE_CRASHES
        unconfirmed = self.detector.unconfirmed_crashes(fingerprint)
        if self.quarantine.check(fingerprint, unconfirmed, broken_twice=broken_twice):
            await self.detector.wait_until_checked(fingerprint)
        quarantined = self.quarantine.check(fingerprint, broken_twice=broken_twice)
        return _refusal_of(quarantined) if quarantined is not None else None

    def record_send(self, fingerprint: Fingerprint) -> None:
        """Record that a call is sent."""
        self.quarantine.record_sent(fingerprint)

    def record_result(
        self, state: CallState, replica: Replica, result: ReplicaResult, sent_s: float
    ) -> None:
        """Record the result of an attempt.

        :param sent_s: when the attempt started, on the boot clock.
        """
        finding = classify_for_call(result)
        if finding is CallFinding.DISCONNECTED:
            self.detector.record_interrupted_call(state.fingerprint, replica)
        elif finding is not CallFinding.NONE:
            self.detector.record_response(replica, sent_s)
        if finding is CallFinding.FINISHED:
            self.quarantine.suspects.record_completion(state.fingerprint)


def _refusal_of(quarantined: Quarantined) -> Refuse:
    # Not a 4xx, though only other content would help: the caller is not proved to be at fault,
    # and this attempt has surely not run.
    outcome = NotRun(RefusalReason.QUARANTINED, quarantined.retry_after_s)
    return Refuse(STATUS_UNAVAILABLE, outcome)
