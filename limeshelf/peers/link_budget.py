"""What a process may ask of its machine's link for traffic with peers.

The link carries callers' requests and answers, calls to the store and messages to peers, and none
of them can overtake what was written before it. So large messages to peers are sent only as far as
they take a share of the link. A sender of a large message asks first, and sends less or nothing
where there is no room; nothing is queued for the budget.
"""

from __future__ import annotations

import math

import attrs

from limeshelf.util.clock import boottime_s

#: Share of the link that messages to peers may take; the rest is for callers and the store.
PEER_SHARE = 0.4
#: Longest time for which a message to several peers may occupy the link, as a whole...
MAX_BROADCAST_S = 0.1
#: ...and up to which it is small: it is sent in any case.
SMALL_BROADCAST_S = 0.01
#: What was sent may be ahead of the share by this much of its time.
MAX_AHEAD_S = 0.25
BYTES_PER_MBIT = 125_000


@attrs.define
class LinkBudget:
    """Counts the bytes that are sent to peers against their share of the link.

    :param bytes_per_s: width of the link; 0 if it is not known, and then there is room for all.
    """

    bytes_per_s: float = 0.0
    _paid_until_s: float = 0.0

    @classmethod
    def from_mbps(cls, link_mbps: float) -> LinkBudget:
        """Return the budget of a link of *link_mbps* Mbit/s; 0 if its width is not known."""
        return cls(link_mbps * BYTES_PER_MBIT)

    def has_room(self) -> bool:
        """Return whether a large message may be sent, as what was sent lies within the share."""
        return self._paid_until_s - boottime_s() <= MAX_AHEAD_S

    @property
    def broadcast_bytes(self) -> float:
        """Return the most bytes that a message may take now, over all its receivers."""
        occupied_s = MAX_BROADCAST_S if self.has_room() else SMALL_BROADCAST_S
        return occupied_s * (self.bytes_per_s or math.inf)

    def allows_broadcast(self, size_bytes: int) -> bool:
        """Return whether a message may be sent that takes *size_bytes* over all its receivers."""
        return size_bytes <= self.broadcast_bytes

    def charge(self, size_bytes: int) -> None:
        """Count bytes that are sent, whatever they are for."""
        if self.bytes_per_s:
            start_s = max(self._paid_until_s, boottime_s())
            self._paid_until_s = start_s + size_bytes / (PEER_SHARE * self.bytes_per_s)
