"""Refuses calls under which replicas ended, and learns from each attempt which these are.

Owns nothing; relies on :mod:`limeshelf.crashes` for the rule and for what is known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.quarantine import TEMPORARY_QUARANTINE_CRASHES
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.learning import CallLesson, call_lesson_of
from limeshelf.gateway.settling import STATUS_UNAVAILABLE, Refuse

if TYPE_CHECKING:
    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.crash_detector import CrashDetector
    from limeshelf.crashes.quarantine import Quarantine, Quarantined
    from limeshelf.gateway.exchange import Result
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.replica import Replica


@attrs.frozen
class QuarantineGuard:
    """Checks calls before each send, and notes what became of them."""

    quarantine: Quarantine
    detector: CrashDetector

    def check(self, fingerprint: Fingerprint) -> Refuse | None:
        """Return how a call is refused by what is known now; ``None`` if it may be sent."""
        quarantined = self.quarantine.check(fingerprint)
        return _refusal_of(quarantined) if quarantined is not None else None

    async def check_when_known(self, state: CallState) -> Refuse | None:
        """Return the same once it is known whether replicas that broke the call off have ended.

        Waited for only where the call would be refused if they had.
        """
        fingerprint = state.fingerprint
        broken_twice = state.runs >= TEMPORARY_QUARANTINE_CRASHES
        unconfirmed = self.detector.unconfirmed_crashes(fingerprint)
        if self.quarantine.check(fingerprint, unconfirmed, broken_twice=broken_twice):
            await self.detector.wait_until_checked(fingerprint)
        quarantined = self.quarantine.check(fingerprint, broken_twice=broken_twice)
        return _refusal_of(quarantined) if quarantined is not None else None

    def note_sent(self, fingerprint: Fingerprint) -> None:
        """Note that a call is sent."""
        self.quarantine.record_sent(fingerprint)

    def note_result(
        self, state: CallState, replica: Replica, result: Result, sent_s: float
    ) -> None:
        """Learn from what an attempt gave.

        :param sent_s: when it began, on the boot clock.
        """
        lesson = call_lesson_of(result)
        if lesson is CallLesson.BROKEN_OFF:
            self.detector.record_interrupted_call(state.fingerprint, replica)
        elif lesson is not CallLesson.NOTHING:
            self.detector.record_response(replica, sent_s)
        if lesson is CallLesson.FINISHED:
            self.quarantine.suspects.record_completion(state.fingerprint)


def _refusal_of(quarantined: Quarantined) -> Refuse:
    # Not a 4xx, though only another content would help: nothing shows that the caller is wrong,
    # and this attempt has surely not run.
    outcome = NotRun(RefusalReason.QUARANTINED, quarantined.retry_after_s)
    return Refuse(STATUS_UNAVAILABLE, outcome)
