"""Refuses calls that are suspected of crashing replicas, and records results of attempts for it.

Stateless; :mod:`limeshelf.crashes` has the rule and the recorded crashes.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.quarantine import TEMPORARY_QUARANTINE_CRASHES
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import STATUS_UNAVAILABLE, Refuse
from limeshelf.gateway.result_rules import CallFinding, classify_for_call
from limeshelf.gateway.state import BegunAnswer
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.crash_detector import CrashDetector
    from limeshelf.crashes.crashing_parts import CrashingParts
    from limeshelf.crashes.quarantine import Quarantine, Quarantined
    from limeshelf.gateway.results import ReplicaResult
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.replica import Replica


#: An answer that has gone on for this long after its first event did not crash its replica.
BEGUN_PROOF_S = 3.0
#: Largest delay of the timer for it at which the events of connections have been read in time.
MAX_PROOF_DELAY_S = 0.25


@attrs.frozen
class QuarantineGuard:
    """Checks calls before each send, and records their results."""

    quarantine: Quarantine
    detector: CrashDetector
    parts: CrashingParts

    def record_call(self, state: CallState) -> None:
        """Record that a call has arrived here."""
        self.parts.record_call(state.parts)

    def check(self, state: CallState) -> Refuse | None:
        """Return the refusal of a call by the crashes known now; ``None`` if it may be sent."""
        quarantined = self.quarantine.check(state.fingerprint) or self.parts.check(state.parts)
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
        quarantined = self.quarantine.check(
            fingerprint, broken_twice=broken_twice
        ) or self.parts.check(state.parts)
        return _refusal_of(quarantined) if quarantined is not None else None

    def record_send(self, state: CallState, replica: Replica) -> None:
        """Record that a call is sent to a replica."""
        self.quarantine.record_sent(state.fingerprint, replica)
        self.parts.record_sent(state.parts, replica)

    def record_first_event(self, state: CallState) -> None:
        """Record that the first event of an answer has arrived.

        A part of a prompt that crashes replicas does so at some point of the answer, so the parts
        of this prompt are cleared once the answer is complete, or has gone on for long.
        """
        state.begun = BegunAnswer()
        if state.parts:
            self._wait_for_proof(state.begun, state.parts)

    def _wait_for_proof(self, begun: BegunAnswer, parts: tuple[Fingerprint, ...]) -> None:
        begun.timer = asyncio.get_running_loop().call_later(
            BEGUN_PROOF_S, self._record_proof, begun, parts, boottime_s() + BEGUN_PROOF_S
        )

    def _record_proof(
        self, begun: BegunAnswer, parts: tuple[Fingerprint, ...], due_s: float
    ) -> None:
        if boottime_s() - due_s > MAX_PROOF_DELAY_S:
            # This process stood still: the end of the connection may not have been read yet.
            self._wait_for_proof(begun, parts)
            return
        begun.is_proof = True
        self._clear_parts(parts)

    def _clear_parts(self, parts: tuple[Fingerprint, ...]) -> None:
        suspects = self.quarantine.suspects
        for part in parts:
            state = suspects.state_of(part)
            if state is not None and state.crash_count:
                log_change('part_cleared', content=part, crashes=state.crash_count)
                suspects.record_completion(part)

    def record_abandoned(self, state: CallState, replica: Replica) -> None:
        """Record that an attempt was given up; the replica may still run the call."""
        if state.begun is not None:
            state.begun.cancel_timer()
        self.detector.record_abandoned_call(state.fingerprint, replica, _suspicious_parts(state))

    def record_result(
        self, state: CallState, replica: Replica, result: ReplicaResult, sent_s: float
    ) -> None:
        """Record the result of an attempt.

        :param sent_s: when the attempt started, on the boot clock.
        """
        finding = classify_for_call(result)
        if state.begun is not None:
            state.begun.cancel_timer()
        if finding is CallFinding.DISCONNECTED:
            parts = _suspicious_parts(state)
            self.detector.record_interrupted_call(state.fingerprint, replica, parts)
        elif finding is CallFinding.ABANDONED:
            self.record_abandoned(state, replica)
        elif finding is CallFinding.NOT_CONNECTED:
            self.detector.record_refused_connection(replica)
        elif finding is not CallFinding.NONE:
            self.detector.record_response(replica, sent_s)
        if finding is CallFinding.FINISHED:
            if state.begun is not None:
                self._clear_parts(state.parts)
            self.quarantine.suspects.record_completion(state.fingerprint)


def _suspicious_parts(state: CallState) -> tuple[Fingerprint, ...]:
    """Return the parts that may have crashed the replica of a call that was interrupted.

    None if the answer had gone on for long: it was not the cause.
    """
    return () if state.begun is not None and state.begun.is_proof else state.parts


def _refusal_of(quarantined: Quarantined) -> Refuse:
    # Not a 4xx, though only other content would help: the caller is not proved to be at fault,
    # and this attempt has surely not run.
    outcome = NotRun(RefusalReason.QUARANTINED, quarantined.retry_after_s)
    return Refuse(STATUS_UNAVAILABLE, outcome)
