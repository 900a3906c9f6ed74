"""When a key was last served, and since when its calls have gone unserved.

Defines how the observations of several gateways are merged. Messages carry the times as state,
not as events, so the next message makes up for a lost one.
"""

from __future__ import annotations

import math

import attrs

from limeshelf.demand.keys import KeyDemand
from limeshelf.util.clock import MS_PER_S


@attrs.define
class ServingState:
    """When a key was last served and first requested after that, in boot-clock time.

    :ivar served_s: when a replica last began to answer a call.
    :ivar unserved_since_s: when the first call after that began; ``None`` without one.
    """

    served_s: float = -math.inf
    unserved_since_s: float | None = None

    def record_request(self, now_s: float) -> None:
        """Record that a call requests the key."""
        if self.unserved_since_s is None:
            self.unserved_since_s = now_s

    def record_served(self, now_s: float) -> None:
        """Record that a replica began to answer a call."""
        self.served_s = max(self.served_s, now_s)
        if self.unserved_since_s is not None and self.unserved_since_s <= self.served_s:
            self.unserved_since_s = None

    def merge(self, other: ServingState, has_new_calls: bool, now_s: float) -> None:
        """Merge the observations of another gateway or data centre.

        :param has_new_calls: whether calls for the key began there since its previous message.
        """
        self.record_served(other.served_s)
        since_s = other.unserved_since_s
        if since_s is not None and since_s <= self.served_s:
            # A later call was served elsewhere; when the first call after that began is unknown.
            since_s = now_s if has_new_calls else None
        if since_s is not None:
            own_s = self.unserved_since_s
            self.unserved_since_s = since_s if own_s is None else min(own_s, since_s)

    def clear_unserved(self) -> None:
        """End the unserved period: no caller waits any more."""
        self.unserved_since_s = None

    def write_ages(self, demand: KeyDemand, now_s: float) -> None:
        """Set the age fields of a message to be sent now."""
        if math.isfinite(self.served_s):
            demand.served_ago_ms = _ms(now_s - self.served_s)
        if self.unserved_since_s is not None:
            demand.unserved_ms = _ms(now_s - self.unserved_since_s)

    @classmethod
    def from_demand(cls, demand: KeyDemand, now_s: float) -> ServingState:
        """Return the state from the ages in a message that has just arrived."""
        state = cls()
        if demand.served_ago_ms is not None:
            state.served_s = now_s - max(0, demand.served_ago_ms) / MS_PER_S
        if demand.unserved_ms is not None:
            state.unserved_since_s = now_s - max(0, demand.unserved_ms) / MS_PER_S
        return state


def _ms(seconds: float) -> int:
    return int(max(0.0, seconds) * MS_PER_S)
