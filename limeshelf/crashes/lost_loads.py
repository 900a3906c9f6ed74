"""Which loads are ordered no more because replicas ended under them.

A load that ends the replica that begins it would be ordered at the next one, for as long as
somebody asks for the model: 15 of four replicas that were back after 0.6 s ended in 12 s
(tests/placement/test_deadly_load.py). Loads are suspects like calls
(:mod:`limeshelf.crashes.suspects`), and are ordered no more after three ends; of ends that came
together with others, two count as one. A load lasts for seconds, in which its replica may end for
other reasons, so two ends are not enough. One that comes to its end clears it.

Owns nothing; relies on the suspects, which all gateways share, so that the next leader knows.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.fingerprint import load_fingerprint
from limeshelf.crashes.quarantine import LAST_ENDS

if TYPE_CHECKING:
    from limeshelf.crashes.end_watch import EndWatch
    from limeshelf.crashes.suspects import Suspects
    from limeshelf.replicas.replica import Replica


@attrs.frozen
class LostLoads:
    """Learns how loads ended, and says which are ordered no more."""

    suspects: Suspects
    watch: EndWatch

    def note_came(self, service: str, model: str, adapter: str) -> None:
        """Note that a replica holds what was loaded."""
        self.suspects.note_finished(load_fingerprint(service, model, adapter))

    def note_lost(self, replica: Replica, model: str, adapter: str) -> None:
        """Note that a replica was ordered to load something, and is silent or lacks it."""
        fingerprint = load_fingerprint(replica.record.service, model, adapter)
        self.watch.note_lost_load(fingerprint, replica)

    def is_barred(self, service: str, model: str, adapter: str = '') -> bool:
        """Return whether a load is ordered no more."""
        state = self.suspects.state_of(load_fingerprint(service, model, adapter))
        return state is not None and state.open_count + state.lone_count >= 2 * LAST_ENDS
