"""Estimates the offset between the store's clock and this machine's boot clock.

Owns the bounds of the offset, which follow from calls to the store and from answers of gateways
that know the store's clock. Assumes that both clocks are steady and run at the same rate.
"""

from __future__ import annotations

import math

import attrs

from limeshelf.util.clock import MS_PER_S, boottime_s


@attrs.define
class StoreClock:
    """Bounds of the offset of the boot clock from the store's clock (boot time minus store time).

    The two bounds have different uses:

    * :meth:`answered_s` estimates when the store answered, which gives the staleness of a copy.
      The store holds a call for changes for up to a second. If an answer counted as given when
      the call was sent, it would seem that much too old: with copies that become stale after
      1.2 s, gateways that rely on another one's answers polled the store themselves all the time
      (1,822 to 1,958 calls from 20 gateways in each of three runs).
    * :meth:`greatest_age_s` returns an upper bound of the age of a confirmation. It relies only
      on calls that were sent before the store answered, so neither a message delayed in a buffer
      nor a suspended process makes a confirmation seem newer than it is.

    :ivar least_local_s: lower bound of the offset, in seconds; minus infinity until the first
        exchange.
    :ivar era: store era to which the bounds belong; ``None`` until one is known.
    :ivar returned_s: when this process last observed a change to a later era, on the boot clock.
    """

    least_local_s: float = -math.inf
    era: int | None = None
    returned_s: float = -math.inf
    _max_offset_s: float = math.inf

    def answered_s(self, asked_s: float, arrived_s: float, store_s: float) -> float:
        """Return an estimate of when the store answered, on the boot clock.

        :param asked_s: when the call was sent, on the boot clock.
        :param arrived_s: when its answer arrived, on the boot clock.
        :param store_s: time stated in the answer, on the store's clock.
        """
        self.note_answer(asked_s, store_s)
        self._max_offset_s = min(self._max_offset_s, arrived_s - store_s)
        return min(arrived_s, max(asked_s, store_s + self._max_offset_s))

    def note_answer(self, asked_s: float, store_s: float) -> None:
        """Update the lower bound of the offset from a call and its answer.

        :param asked_s: when the call was sent, on the boot clock; the answer was given later.
        :param store_s: upper bound of the store's clock when it answered.
        """
        self.least_local_s = max(self.least_local_s, asked_s - store_s)

    def enter(self, era: int) -> None:
        """Switch to *era* if it is later; the store's clock may start anew with it."""
        if self.era is None:
            self.era = era
        if era <= self.era:
            return
        self.era = era
        self.returned_s = boottime_s()
        self.least_local_s = -math.inf
        self.forget_ways()

    def forget_ways(self) -> None:
        """Reset the upper bound of the offset, which depends on the latency of answers.

        Called when the address of the store changes.
        """
        self._max_offset_s = math.inf

    @property
    def is_known(self) -> bool:
        """Return whether the offset has a lower bound."""
        return math.isfinite(self.least_local_s)

    def greatest_age_s(self, store_ms: int) -> float:
        """Return an upper bound of the age of a time on the store's clock, in seconds.

        Infinite while the offset is unknown, and for a time of 0.
        """
        if not store_ms:
            return math.inf
        return boottime_s() - (store_ms / MS_PER_S + self.least_local_s)

    def latest_ms(self) -> int:
        """Return an upper bound of the store's current clock; 0 while the offset is unknown."""
        if not self.is_known:
            return 0
        return math.ceil((boottime_s() - self.least_local_s) * MS_PER_S)
