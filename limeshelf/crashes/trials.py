"""Decides when one call of a refused suspect may be sent, to learn whether it is mended.

Most suspects that are refused are innocent: replicas crashed for another reason while calls with
them were running. So the first trial follows soon. A trial runs alone, so one that crashes its
replica shows much more than the crashes before it, and the next one follows much later.

The gateways take turns, so that two of them do not try at the same moment. The turns are counted
from the latest news of the suspect, which all gateways have at about the same time.
"""

from __future__ import annotations

import hashlib
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.suspects import SuspectState

#: Time until the first trial; until the second, after one that failed; and until any later one.
#: The first is longer than news take to reach all gateways.
TRIAL_WAITS_S = (5.0, 600.0, 86_400.0)
#: Time to wait at least while the result of a trial is not known. Its caller may leave, and it may
#: wait at its replica for most of the time that its route allows.
RESULT_WAIT_S = 15.0
#: Factor on that time for each further trial without a result: they may have failed unseen.
RESULT_WAIT_GROWTH = 8.0
#: Length of a gateway's turn. The news of a trial reach all others within a turn.
TURN_S = 0.5


def trial_wait_s(state: SuspectState) -> float:
    """Return for how long a suspect is refused after the latest news of it."""
    wait_s = TRIAL_WAITS_S[min(state.failed_trials, len(TRIAL_WAITS_S) - 1)]
    if not state.open_trials:
        return wait_s
    result_wait_s = RESULT_WAIT_S * RESULT_WAIT_GROWTH ** (state.open_trials - 1)
    return max(wait_s, min(result_wait_s, TRIAL_WAITS_S[-1]))


@attrs.frozen
class TrialTurns:
    """The turns in which this gateway may send trials.

    :param own: id of this gateway.
    :param others: returns the ids of the other gateways that run.
    """

    own: str = ''
    others: Callable[[], Iterable[str]] = tuple

    def left_s(self, state: SuspectState, age_s: float) -> float:
        """Return for how long calls of a refused suspect are refused here; 0 for a trial now.

        :param age_s: time since the latest news of the suspect.
        """
        due_s = age_s - trial_wait_s(state)
        if due_s < 0:
            return -due_s
        return 0.0 if self._is_own_turn(state.fingerprint, due_s) else TURN_S

    def _is_own_turn(self, suspect: Fingerprint, due_s: float) -> bool:
        """Return whether it is this gateway's turn.

        :param due_s: for how long a trial of the suspect has been due.
        """
        own_weight = _weight(suspect, self.own)
        others = list(self.others())
        rank = sum(_weight(suspect, other) < own_weight for other in others)
        return int(due_s / TURN_S) % (len(others) + 1) == rank


def _weight(suspect: Fingerprint, gateway: str) -> bytes:
    return hashlib.blake2b(f'{suspect} {gateway}'.encode(), digest_size=8).digest()
