"""Rule for which calls are refused because they are suspected of crashing replicas.

Stateless; :mod:`limeshelf.crashes.suspects` keeps the crashes. The rule counts the crashes of
replicas at which a call was running and that it is still suspected of, over all gateways:

* One crash: the call runs normally. Most interrupted calls are not the cause: in a simulation
  with a call that crashed nine replicas, 243 other calls were interrupted.
* Two isolated crashes: the call is refused for :data:`TEMPORARY_QUARANTINE_S`; afterwards each
  gateway sends it once per such period. Coincident crashes do not count here, because a single
  partition that resets connections looks the same. While they counted, two of about 13,500 calls
  were refused in six simulations of repeated crashes and partitions without a call that crashes
  replicas.
* Three crashes, two of them isolated: the call is refused permanently. The same call is still
  refused a day later, unless its suspect was evicted to limit memory.
* Three crashes of which fewer are isolated: a single cause may explain them, so the call is
  refused but for trials (:mod:`limeshelf.crashes.trials`).

A call that was interrupted twice within one request of its caller is not sent a third time, also
after coincident crashes: it could crash one replica after the other within 0.1 s. A call
that completes at another replica is cleared, whatever the count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.trials import TrialTurns

if TYPE_CHECKING:
    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.suspects import Suspects, SuspectState
    from limeshelf.replicas.replica import Replica

#: Isolated crashes from which a call is refused for a time. With three, each such call would
#: crash one more replica, and interrupt all calls there (11 to 48 in the simulation above).
TEMPORARY_QUARANTINE_CRASHES = 2
#: Crashes from which a call is refused permanently: the users' limit for one request.
PERMANENT_QUARANTINE_CRASHES = 3
#: How long a call is refused after the second crash. Longer than any caller waits for a
#: response, and short enough for a periodic call that was running at two crashes by chance.
TEMPORARY_QUARANTINE_S = 300.0
#: Retry time sent to the caller of a permanently refused call: one day.
PERMANENT_RETRY_AFTER_S = 86_400.0


def is_quarantined(state: SuspectState) -> bool:
    """Return whether a call is quarantined, for a time or permanently."""
    return (
        state.isolated_crash_count >= TEMPORARY_QUARANTINE_CRASHES
        or state.crash_count >= PERMANENT_QUARANTINE_CRASHES
    )


def _may_be_tried(state: SuspectState) -> bool:
    """Return whether a call is refused for crashes that a single other cause may explain."""
    return (
        state.crash_count >= PERMANENT_QUARANTINE_CRASHES
        and state.isolated_crash_count < TEMPORARY_QUARANTINE_CRASHES
    )


@attrs.frozen
class Quarantined:
    """Refusal of a quarantined call.

    :param crashes: number of crashes that it is suspected of.
    :param retry_after_s: time until it may be sent again.
    """

    crashes: int
    retry_after_s: float


@attrs.frozen
class Quarantine:
    """Decides which calls are refused because of crashes."""

    suspects: Suspects
    turns: TrialTurns = attrs.field(factory=TrialTurns)

    def check(
        self, fingerprint: Fingerprint, unconfirmed_crashes: int = 0, *, broken_twice: bool = False
    ) -> Quarantined | None:
        """Return the refusal of a call; ``None`` if it may be sent now.

        :param unconfirmed_crashes: number of replicas at which the call was interrupted, and which
            may have crashed.
        :param broken_twice: whether it was interrupted at two replicas within this request of its
            caller.
        """
        state = self.suspects.state_of(fingerprint)
        crashes = unconfirmed_crashes + (state.crash_count if state is not None else 0)
        isolated = unconfirmed_crashes + (state.isolated_crash_count if state is not None else 0)
        if state is not None and not unconfirmed_crashes and _may_be_tried(state):
            left_s = self.turns.left_s(state, self.suspects.age_s(fingerprint))
            return Quarantined(crashes, left_s) if left_s else None
        if crashes >= PERMANENT_QUARANTINE_CRASHES:
            return Quarantined(crashes, PERMANENT_RETRY_AFTER_S)
        if (crashes if broken_twice else isolated) < TEMPORARY_QUARANTINE_CRASHES:
            return None
        age_s = self.suspects.age_s(fingerprint) if state is not None else 0.0
        if age_s < TEMPORARY_QUARANTINE_S:
            return Quarantined(crashes, TEMPORARY_QUARANTINE_S - age_s)
        return None

    def record_sent(self, fingerprint: Fingerprint, replica: Replica) -> None:
        """Record that a call is sent; a call in temporary quarantine is then refused again."""
        state = self.suspects.state_of(fingerprint)
        if state is None:
            return
        if _may_be_tried(state):
            self.suspects.record_trial(fingerprint, replica)
        elif state.isolated_crash_count >= TEMPORARY_QUARANTINE_CRASHES:
            self.suspects.reset_age(fingerprint)
