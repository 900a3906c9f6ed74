"""Blocks loads that are suspected of crashing replicas.

A load that crashes its replica would be ordered at the next one, for as long as the model is
requested: four replicas that restarted within 0.6 s crashed 15 times in 12 s
(tests/placement/test_deadly_load.py). Loads are suspects like calls
(:mod:`limeshelf.crashes.suspects`), and are blocked after three crashes, of which two coincident
ones count as one. Two crashes are not enough, because a load takes seconds in which its replica
may crash for other reasons. A load that completes is cleared.

Stateless; the suspects are shared by all gateways, so the next leader knows them too.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.fingerprint import load_fingerprint
from limeshelf.crashes.quarantine import PERMANENT_QUARANTINE_CRASHES

if TYPE_CHECKING:
    from limeshelf.crashes.crash_detector import CrashDetector
    from limeshelf.crashes.suspects import Suspects
    from limeshelf.replicas.replica import Replica


@attrs.frozen
class LostLoads:
    """Records the outcomes of loads, and decides which are blocked."""

    suspects: Suspects
    detector: CrashDetector

    def record_loaded(self, service: str, model: str, adapter: str) -> None:
        """Record that a load completed."""
        self.suspects.record_completion(load_fingerprint(service, model, adapter))

    def record_lost(self, replica: Replica, model: str, adapter: str) -> None:
        """Record that a replica does not respond after a load was ordered, or lacks its model."""
        fingerprint = load_fingerprint(replica.record.service, model, adapter)
        self.detector.record_lost_load(fingerprint, replica)

    def is_blocked(self, service: str, model: str, adapter: str = '') -> bool:
        """Return whether a load may not be ordered."""
        state = self.suspects.state_of(load_fingerprint(service, model, adapter))
        return (
            state is not None
            and state.crash_count + state.isolated_crash_count >= 2 * PERMANENT_QUARANTINE_CRASHES
        )
