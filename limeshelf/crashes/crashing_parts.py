"""Finds parts of prompts that crash the replicas which begin to answer on them.

No two calls with such a part need be alike, so each call is a suspect of one crash only. The parts
of calls are suspects too (:mod:`limeshelf.crashes.suspects`): those of calls that were running at
a crashed replica and had not been answered for long. The last part of a prompt belongs
to one call or session, and is none.

A part that many calls share is a suspect of every crash, with the part that causes them:

* A call whose answer is complete, or goes on for long, clears its parts of the crashes known.
* Crashes that a rarer part explains, which is a suspect of enough crashes itself, do not count
  against a part that occurs in more calls.

Calls with a part that counts are refused, but for trials (:mod:`limeshelf.crashes.trials`).

Owns how often the suspected parts occurred in the calls of this gateway.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.quarantine import Quarantined
from limeshelf.crashes.suspects import count_crashes
from limeshelf.crashes.trials import TrialTurns

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.suspects import ReplicaCrash, Suspects, SuspectState
    from limeshelf.replicas.replica import Replica

#: Crashes from which calls with a part are refused, if as many are isolated as stated below.
QUARANTINE_CRASHES = 3
ISOLATED_CRASHES = 2
#: Crashes from which they are refused in any case: replicas may crash at the same time because
#: several calls have the part.
COINCIDENT_QUARANTINE_CRASHES = 4
#: Largest number of parts whose occurrences are counted.
MAX_COUNTED_PARTS = 1000


@attrs.define
class CrashingParts:
    """Decides which calls are refused because of a part of their prompts."""

    suspects: Suspects
    turns: TrialTurns = attrs.field(factory=TrialTurns)
    _occurrences: dict[Fingerprint, int] = attrs.field(factory=dict)

    def record_call(self, parts: Sequence[Fingerprint]) -> None:
        """Count a call that has arrived here.

        :param parts: fingerprints of the parts of its prompt, without the last one.
        """
        for part in parts:
            if self.suspects.state_of(part) is None:
                self._occurrences.pop(part, None)
            elif part in self._occurrences or len(self._occurrences) < MAX_COUNTED_PARTS:
                self._occurrences[part] = self._occurrences.get(part, 0) + 1

    def check(self, parts: Sequence[Fingerprint]) -> Quarantined | None:
        """Return the refusal of a call by the parts of its prompt; ``None`` if it may be sent."""
        for part in parts:
            state = self.suspects.state_of(part)
            crashes = self._count_against(part)
            if state is not None and crashes:
                left_s = self.turns.left_s(state, self.suspects.age_s(part))
                if left_s > 0:
                    return Quarantined(crashes, left_s)
        return None

    def record_sent(self, parts: Sequence[Fingerprint], replica: Replica) -> None:
        """Record that a call is sent; others with a part that is on trial are then refused."""
        refused = [part for part in parts if self._count_against(part)]
        if not refused:
            return
        # A crash under this call would show only that one of them is to blame.
        rarest = min(refused, key=lambda part: self._occurrences.get(part, 0))
        for part in refused:
            if part == rarest:
                self.suspects.record_trial(part, replica)
            else:
                self.suspects.reset_age(part)

    def _count_against(self, part: Fingerprint) -> int:
        """Return how many crashes a part is quarantined for; 0 if it is not."""
        state = self.suspects.state_of(part)
        if state is None or not _is_enough(state.crashes - state.cleared, state):
            return 0
        unexplained = state.crashes - state.cleared - self._explained(state)
        return count_crashes(unexplained) if _is_enough(unexplained, state) else 0

    def _explained(self, state: SuspectState) -> frozenset[ReplicaCrash]:
        """Return the crashes that suspects explain which occur in fewer calls."""
        occurrences = self._occurrences.get(state.fingerprint, 0)
        explained: set[ReplicaCrash] = set()
        for other in self.suspects.states():
            open_crashes = other.crashes - other.cleared
            if self._occurrences.get(other.fingerprint, 0) < occurrences and _is_enough(
                open_crashes, other
            ):
                explained |= open_crashes
        return frozenset(explained)


def _is_enough(crashes: Iterable[ReplicaCrash], state: SuspectState) -> bool:
    """Return whether calls are refused for some of the crashes of a suspect."""
    open_crashes = frozenset(crashes)
    total = count_crashes(open_crashes)
    isolated = count_crashes(open_crashes - state.coincident)
    return total >= COINCIDENT_QUARANTINE_CRASHES or (
        total >= QUARANTINE_CRASHES and isolated >= ISOLATED_CRASHES
    )
