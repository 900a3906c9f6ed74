"""Tracks what one gateway has used of the limits of organisations.

Owns the calls sent within the window and the reservations of waiting calls. A call is counted
for the length of the window, from the moment at which it is sent and may run. While it waits for
a replica, its cost is reserved, so that no other call can use that part of the limit.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterator

#: A run is counted for this much longer than the window, because it is counted from its send
#: at the gateway whereas the limit applies to its arrival at the replica.
LATE_ARRIVAL_S = 0.2


@attrs.define(eq=False)
class _Run:
    sent_s: float
    amount: int


class UsageWindow:
    """The runs and reservations of one organisation at a gateway.

    :param window_s: length of the window in which usage is limited, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._retention_s = window_s + LATE_ARRIVAL_S
        self._runs: collections.deque[_Run] = collections.deque()
        self._in_runs = 0
        self._reserved = 0

    def used(self) -> int:
        """Return the units counted now: runs within the window and reservations."""
        oldest_s = boottime_s() - self._retention_s
        while self._runs and self._runs[0].sent_s < oldest_s:
            self._in_runs -= self._runs.popleft().amount
        return self._in_runs + self._reserved

    def reserve(self, amount: int) -> Reservation:
        """Reserve the cost of a call."""
        self._reserved += amount
        return Reservation(self, amount)

    def _begin_run(self, amount: int) -> _Run:
        run = _Run(boottime_s(), amount)
        self._runs.append(run)
        self._in_runs += amount
        return run

    def _uncount(self, run: _Run) -> None:
        # The run stays in the deque, with a cost of zero, until it leaves the window.
        self._in_runs -= run.amount
        run.amount = 0


class Reservation:
    """The cost of one call: reserved until the call is sent, and again if it did not run."""

    def __init__(self, window: UsageWindow, amount: int) -> None:
        self._window = window
        self._amount = amount
        self._is_reserved = True
        self._latest: _Run | None = None

    def record_sent(self) -> None:
        """Count a run from now on.

        Each further run of the call, such as the resumption of a stream, is counted again.
        """
        if self._is_reserved:
            self._is_reserved = False
            self._window._reserved -= self._amount
        self._latest = self._window._begin_run(self._amount)

    def record_not_run(self) -> None:
        """Uncount the latest run, because its replica did not run the call."""
        if self._latest is None:
            return
        self._window._uncount(self._latest)
        self._latest = None
        if not self._is_reserved:
            self._is_reserved = True
            self._window._reserved += self._amount

    def close(self) -> None:
        """Release the reservation if one is left, because the call has ended."""
        if self._is_reserved:
            self._is_reserved = False
            self._window._reserved -= self._amount


class GatewayUsage:
    """The usage of all organisations at one gateway."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._by_name: dict[str, UsageWindow] = {}
        #: Lower bound of what the limiter counts for this gateway, by organisation: the latest
        #: report and the grants since.
        self._counted_by_limiter: dict[str, int] = {}

    def window_of(self, organisation: str) -> UsageWindow:
        """Return the usage window of an organisation."""
        window = self._by_name.get(organisation)
        if window is None:
            window = self._by_name[organisation] = UsageWindow(self._window_s)
        return window

    def record_grant(self, organisation: str, amount: int) -> None:
        """Record that the limiter has granted a call and counts it from now on."""
        self._counted_by_limiter[organisation] = (
            self._counted_by_limiter.get(organisation, 0) + amount
        )

    def may_use_without_limiter(self, organisation: str, amount: int, own_quota: float) -> bool:
        """Return whether a call may run without the decision of a limiter.

        :param own_quota: units that this gateway may use without a limiter.
        """
        allowed = max(own_quota, self._counted_by_limiter.get(organisation, 0))
        return self.window_of(organisation).used() + amount <= allowed

    def report(self, *, keeps_previous: bool) -> dict[str, int]:
        """Return the units to report to the limiter, by organisation.

        :param keeps_previous: whether to report at least as much as before, because no limiter
            answers. Otherwise the units that a gateway may use would fall with its usage, and
            once cut off it could use nothing until its earlier usage has left the window.
        """
        used = dict(self._in_use())
        if keeps_previous:
            names = {*used, *self._counted_by_limiter}
            used = {
                name: max(used.get(name, 0), self._counted_by_limiter.get(name, 0))
                for name in names
            }
        self._counted_by_limiter = dict(used)
        return used

    def _in_use(self) -> Iterator[tuple[str, int]]:
        for name, window in list(self._by_name.items()):
            amount = window.used()
            if amount:
                yield name, amount
            elif not window._runs:
                # Organisations can be removed by a new configuration.
                del self._by_name[name]
