"""What one gateway has used up of the limits of organisations.

Owns the calls that were sent lately, and what calls that wait will use. A call counts from
the moment at which it may run somewhere, for the length of the window; while it waits for a
replica it is reserved, so that no other call takes its place.
"""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterator

#: A run counts here for this much longer than the window, because it is counted where it is
#: sent and judged where it arrives.
LATE_ARRIVAL_S = 0.2


@attrs.define(eq=False)
class _Run:
    sent_s: float
    amount: int


class UsageWindow:
    """What a gateway sent and reserved for one organisation.

    :param window_s: in which usage is limited, in seconds.
    """

    def __init__(self, window_s: float) -> None:
        self._kept_s = window_s + LATE_ARRIVAL_S
        self._runs: collections.deque[_Run] = collections.deque()
        self._in_runs = 0
        self._reserved = 0

    def used(self) -> int:
        """Return what counts now."""
        oldest_s = boottime_s() - self._kept_s
        while self._runs and self._runs[0].sent_s < oldest_s:
            self._in_runs -= self._runs.popleft().amount
        return self._in_runs + self._reserved

    def reserve(self, amount: int) -> Reservation:
        """Reserve what a call will use."""
        self._reserved += amount
        return Reservation(self, amount)

    def _begin_run(self, amount: int) -> _Run:
        run = _Run(boottime_s(), amount)
        self._runs.append(run)
        self._in_runs += amount
        return run

    def _take_back(self, run: _Run) -> None:
        # The run leaves the window in its time.
        self._in_runs -= run.amount
        run.amount = 0


class Reservation:
    """What one call uses: reserved until it is sent, and again if it surely did not run."""

    def __init__(self, window: UsageWindow, amount: int) -> None:
        self._window = window
        self._amount = amount
        self._is_reserved = True
        self._latest: _Run | None = None

    def note_sent(self) -> None:
        """Count a run from now on; a further one, as of a stream that goes on, counts again."""
        if self._is_reserved:
            self._is_reserved = False
            self._window._reserved -= self._amount
        self._latest = self._window._begin_run(self._amount)

    def note_not_run(self) -> None:
        """Take the latest run back: its replica did not run the call."""
        if self._latest is None:
            return
        self._window._take_back(self._latest)
        self._latest = None
        if not self._is_reserved:
            self._is_reserved = True
            self._window._reserved += self._amount

    def close(self) -> None:
        """Give back what is reserved, since the call is over."""
        if self._is_reserved:
            self._is_reserved = False
            self._window._reserved -= self._amount


class UsageLedger:
    """What a gateway has used of each organisation's limit."""

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._by_name: dict[str, UsageWindow] = {}
        #: What the limiter counts for this gateway at the least, while it hears it.
        self._claims: dict[str, int] = {}

    def of(self, organisation: str) -> UsageWindow:
        """Return what is used of an organisation's limit."""
        window = self._by_name.get(organisation)
        if window is None:
            window = self._by_name[organisation] = UsageWindow(self._window_s)
        return window

    def note_granted(self, organisation: str, amount: int) -> None:
        """Note that the limiter counts a call from now on."""
        self._claims[organisation] = self._claims.get(organisation, 0) + amount

    def may_use(self, organisation: str, amount: int, own_part: float) -> bool:
        """Return whether a call may run that no limiter decides on.

        :param own_part: what this gateway may use without a limiter.
        """
        claim = max(own_part, self._claims.get(organisation, 0))
        return self.of(organisation).used() + amount <= claim

    def report(self, *, holds_claims: bool) -> dict[str, int]:
        """Return what counts for this gateway, by organisation, and claim that much.

        :param holds_claims: no limiter answers, so this gateway goes on with what it last
            claimed. Without that, one that is cut off could use nothing until what it used
            before has left the window.
        """
        used = dict(self._in_use())
        if holds_claims:
            names = {*used, *self._claims}
            used = {name: max(used.get(name, 0), self._claims.get(name, 0)) for name in names}
        self._claims = dict(used)
        return used

    def _in_use(self) -> Iterator[tuple[str, int]]:
        for name, window in list(self._by_name.items()):
            amount = window.used()
            if amount:
                yield name, amount
            elif not window._runs:
                # Organisations come and go with configurations.
                del self._by_name[name]
