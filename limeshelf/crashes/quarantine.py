"""The rule for which calls are refused because replicas ended under them.

Owns nothing; relies on :mod:`limeshelf.crashes.suspects`. The rule counts the ends of replicas
at which a call was at work and that it is still suspected for, over all gateways:

* One end: the call runs as any other. Most that are struck are innocent: in a play with a call
  that ended nine replicas, 243 calls broke off with these.
* Two that each came alone: it rests for :data:`PAUSE_S`; then each gateway lets it run once a
  pause. Ends that came together with those of other replicas do not count here: one cut with
  resets looks like that. In six plays of crashes and cuts in series, without a call that ends
  replicas, two of some 13,500 calls were refused while they counted.
* Three, however they came: it is refused for good. Whoever asks again a day later is still
  refused, unless it was forgotten for want of room.

A call that was broken off twice within one try is sent no third time, however the ends came: it
would end replica after replica within 0.1 s. A run elsewhere that comes to its end clears the
call, whatever the count.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.suspects import Suspects, SuspectState

#: Lone ends from which a call rests. With three, one replica more ends under each such call,
#: and all calls at work there with it (11 to 48 in the play above).
REST_ENDS = 2
#: Ends from which a call is refused for good: the users' bound for one request.
LAST_ENDS = 3
#: How long a call rests after the second end, in seconds. Longer than any caller waits for one
#: answer, and short enough for a periodic call that met two crashes by chance.
PAUSE_S = 300.0
#: When to come back that a caller is told of a call that is refused for good: a day, in
#: seconds.
FOR_GOOD_S = 86_400.0


def is_quarantined(state: SuspectState) -> bool:
    """Return whether a call rests, or is refused for good."""
    return state.lone_count >= REST_ENDS or state.open_count >= LAST_ENDS


@attrs.frozen
class Quarantined:
    """A call is refused.

    :param ends: of replicas that it is suspected for.
    :param retry_after_s: when it may run again, in seconds.
    """

    ends: int
    retry_after_s: float


@attrs.frozen
class Quarantine:
    """Decides which calls are refused for the ends of replicas."""

    suspects: Suspects

    def check(
        self, fingerprint: Fingerprint, unconfirmed_ends: int = 0, *, broken_twice: bool = False
    ) -> Quarantined | None:
        """Return how a call is refused; ``None`` if it may be sent now.

        :param unconfirmed_ends: of replicas that broke the call off, and may have ended.
        :param broken_twice: whether two replicas broke it off within this try of its caller.
        """
        state = self.suspects.state_of(fingerprint)
        ends = unconfirmed_ends + (state.open_count if state is not None else 0)
        if ends >= LAST_ENDS:
            return Quarantined(ends, FOR_GOOD_S)
        lone_ends = unconfirmed_ends + (state.lone_count if state is not None else 0)
        if (ends if broken_twice else lone_ends) < REST_ENDS:
            return None
        age_s = self.suspects.age_s(fingerprint) if state is not None else 0.0
        if age_s < PAUSE_S:
            return Quarantined(ends, PAUSE_S - age_s)
        return None

    def note_sent(self, fingerprint: Fingerprint) -> None:
        """Note that a call is sent; one that has rested has had its chance for a pause."""
        state = self.suspects.state_of(fingerprint)
        if state is not None and state.lone_count >= REST_ENDS:
            self.suspects.renew(fingerprint)
