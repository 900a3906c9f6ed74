"""The load that granted requests put on one replica, and when a prefill counts as finished.

Owns the sums over the granted requests of a replica, its recently granted prefills and the prompt
blocks it has cached. The dispatcher must add and remove each request once.
"""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING, NamedTuple

import attrs

from limeshelf.dispatch.prompt_blocks import PromptBlocks

if TYPE_CHECKING:
    from limeshelf.dispatch.requests import GrantedRequest

#: A prefill counts as finished after this multiple of the estimated duration of all prefills in
#: progress at the replica...
PREFILL_MARGIN = 1.2
#: ...plus this time, for one batch step and the request's transfer to the replica. See
#: ``FIRST_EVENT_OVERHEAD_MS`` in :mod:`limeshelf.demand.prefill_speed` for the other estimates of
#: step time, which measure something else.
PREFILL_GRACE_MS = 20.0
#: Granted prefills are kept this much longer than the window that was asked for, because the next
#: request may ask for a longer one.
GRANT_HISTORY_S = 2.0


class GrantedPrefill(NamedTuple):
    """A granted prefill: the time of the grant on the boot clock, and its estimated duration."""

    granted_s: float
    prefill_ms: float


@attrs.define
class GrantedLoad:
    """The load that granted requests put on a replica.

    :ivar calls: requests that were granted and have not ended.
    :ivar tokens: estimated tokens that these occupy in the replica's memory.
    :ivar total_prefill_ms: estimated duration of all prefills in progress.
    :ivar prefilling: requests whose prefill is probably still in progress.
    :ivar cached_blocks: prompt blocks that the replica has probably cached.
    """

    calls: int = 0
    tokens: int = 0
    total_prefill_ms: float = 0.0
    prefilling: set[GrantedRequest] = attrs.field(factory=set)
    cached_blocks: PromptBlocks = attrs.field(factory=PromptBlocks)
    _history: deque[GrantedPrefill] = attrs.field(factory=deque)

    def prefill_ms_since(self, oldest_s: float) -> float:
        """Return the prefill time granted since *oldest_s*, in milliseconds."""
        while self._history and self._history[0].granted_s < oldest_s - GRANT_HISTORY_S:
            self._history.popleft()
        return sum(recent.prefill_ms for recent in self._history if recent.granted_s >= oldest_s)

    def add(self, granted: GrantedRequest) -> None:
        """Count a request that was just granted."""
        for other in self.prefilling:
            other.prefilled_alone = False
            granted.prefilled_alone = False
        self.calls += 1
        self.tokens += granted.tokens
        self.total_prefill_ms += granted.prefill_ms
        self.prefilling.add(granted)
        self._history.append(GrantedPrefill(granted.granted_s, granted.prefill_ms))
        self.cached_blocks.record_prefill(granted.query, granted.granted_s)

    def end_prefill(self, granted: GrantedRequest) -> None:
        """Stop counting the prefill of a request, if it is still counted."""
        if granted not in self.prefilling:
            return
        self.prefilling.discard(granted)
        # Reset to zero without prefills, which drops accumulated rounding errors.
        self.total_prefill_ms = (
            max(0.0, self.total_prefill_ms - granted.prefill_ms) if self.prefilling else 0.0
        )

    def expire_prefills(self, now_s: float) -> None:
        """Stop counting the prefills that must have finished by now.

        The first event arrives one batch step and one round trip after the end of the prefill; the
        next prompt need not wait for it.
        """
        for granted in list(self.prefilling):
            if (
                granted.elapsed_ms(now_s)
                > PREFILL_MARGIN * self.total_prefill_ms + PREFILL_GRACE_MS
            ):
                self.end_prefill(granted)

    def remove(self, granted: GrantedRequest) -> None:
        """Stop counting a request that has ended."""
        self.calls -= 1
        self.tokens -= granted.tokens
        self.end_prefill(granted)
