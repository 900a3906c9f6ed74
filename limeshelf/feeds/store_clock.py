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

    * :meth:`estimate_answer_s` estimates when the store answered, which gives the age of a copy.
      The store holds a call for changes for up to a second. If an answer counted as given when
      the call was sent, it would seem that much too old: with copies that become stale after
      1.2 s, gateways that rely on another one's answers polled the store themselves all the time
      (1,822 to 1,958 calls from 20 gateways, measured three times).
    * :meth:`age_upper_bound_s` returns an upper bound of the age of a confirmation. It relies only
      on calls that were sent before the store answered, so neither a message delayed in a buffer
      nor a suspended process makes a confirmation seem newer than it is.

    :ivar offset_lower_bound_s: lower bound of the offset, in seconds; minus infinity until the
        first exchange.
    :ivar era: store era to which the bounds belong; ``None`` until one is known.
    :ivar era_changed_s: when this process last observed the change to a later era, on the boot
        clock; minus infinity if it never did.
    """

    offset_lower_bound_s: float = -math.inf
    era: int | None = None
    era_changed_s: float = -math.inf
    _offset_upper_bound_s: float = math.inf

    def estimate_answer_s(self, requested_s: float, arrived_s: float, store_s: float) -> float:
        """Return an estimate of when the store answered, on the boot clock.

        :param requested_s: when the call was sent, on the boot clock.
        :param arrived_s: when its answer arrived, on the boot clock.
        :param store_s: time stated in the answer, on the store's clock.
        """
        self.record_answer(requested_s, store_s)
        self._offset_upper_bound_s = min(self._offset_upper_bound_s, arrived_s - store_s)
        return min(arrived_s, max(requested_s, store_s + self._offset_upper_bound_s))

    def record_answer(self, requested_s: float, store_s: float) -> None:
        """Update the lower bound of the offset from a call and its answer.

        :param requested_s: when the call was sent, on the boot clock; the answer was given later.
        :param store_s: upper bound of the store's clock when it answered.
        """
        self.offset_lower_bound_s = max(self.offset_lower_bound_s, requested_s - store_s)

    def advance_era(self, era: int) -> None:
        """Switch to *era* if it is later; the store's clock may then be reset."""
        if self.era is None:
            self.era = era
        if era <= self.era:
            return
        self.era = era
        self.era_changed_s = boottime_s()
        self.offset_lower_bound_s = -math.inf
        self.reset_offset_upper_bound()

    def reset_offset_upper_bound(self) -> None:
        """Reset the upper bound of the offset, which depends on the latency of answers.

        Called when the address of the store changes.
        """
        self._offset_upper_bound_s = math.inf

    @property
    def is_known(self) -> bool:
        """Return whether the offset has a lower bound."""
        return math.isfinite(self.offset_lower_bound_s)

    def age_upper_bound_s(self, store_ms: int) -> float:
        """Return an upper bound of the age of a time on the store's clock, in seconds.

        Infinite while the offset is unknown, and for a time of 0.
        """
        if not store_ms:
            return math.inf
        return boottime_s() - (store_ms / MS_PER_S + self.offset_lower_bound_s)

    def now_upper_bound_ms(self) -> int:
        """Return an upper bound of the store's current clock; 0 while the offset is unknown."""
        if not self.is_known:
            return 0
        return math.ceil((boottime_s() - self.offset_lower_bound_s) * MS_PER_S)
