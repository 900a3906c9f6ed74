"""How long adapters take at replicas that hold their model, as one gateway saw it.

Owns the estimate for each service and the adapters that are missing at the moment. Relies on
its caller to say when an adapter is missed and when it is found.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.demand.keys import ModelKey

#: Estimate before any adapter was seen to come.
FIRST_GUESS_S = 0.15
#: Weight of the newest wait in an estimate.
NEWEST_SHARE = 0.2
#: An adapter that was last missed longer ago than this teaches nothing when it is found, since
#: nobody saw when it came. Waiting calls ask again each 50 ms.
LAST_MISSED_S = 0.3
#: One that is overdue is awaited for this share of the estimate longer.
OVERDUE_SHARE = 0.5


@attrs.define
class _Missing:
    """An adapter that no replica holds; times on the steady clock."""

    since_s: float
    last_s: float


@attrs.define
class AdapterWaits:
    """Learns how long adapters take, and says how long one that is missing still does.

    A fixed 0.25 s refused each call of a 0.4 s objective that missed one, although adapters
    came sooner: 297 calls of one day were lost so, 123 with the learned wait, one play each.
    """

    _estimates_s: dict[str, float] = attrs.field(factory=dict)
    _missing: dict[ModelKey, _Missing] = attrs.field(factory=dict)

    def note_found(self, key: ModelKey, now_s: float) -> None:
        """Note that a replica holds the adapter."""
        missing = self._missing.pop(key, None)
        if missing is None or now_s - missing.last_s > LAST_MISSED_S:
            return
        waited_s = now_s - missing.since_s
        known_s = self._estimates_s.get(key.service, waited_s)
        self._estimates_s[key.service] = known_s + NEWEST_SHARE * (waited_s - known_s)

    def wait_s(self, key: ModelKey, now_s: float) -> float:
        """Return how much longer a missing adapter likely takes, in seconds."""
        missing = self._missing.get(key)
        if missing is None or now_s - missing.last_s > LAST_MISSED_S:
            missing = self._missing[key] = _Missing(now_s, now_s)
        missing.last_s = now_s
        estimate_s = self._estimates_s.get(key.service, FIRST_GUESS_S)
        return max(OVERDUE_SHARE * estimate_s, estimate_s - (now_s - missing.since_s))
