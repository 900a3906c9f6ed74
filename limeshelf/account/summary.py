"""Sums up how calls ended, and why calls were not served in time.

Owns the records of the open calls, limited in number, and the sums of the closed ones. The
ending of a call is derived by :mod:`~limeshelf.account.calls`.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import attrs

from limeshelf.account.calls import CALL_EVENTS, CallRecord, Cause, Ending
from limeshelf.account.spans import SpanKind, Spans
from limeshelf.account.worths import Worths, wasted_wait_share

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.account.lines import LogEvent

#: Maximum number of open calls, whose lines are still being read; beyond it, the oldest are
#: closed. A record takes about half a kilobyte.
MAX_OPEN_CALLS = 200_000
#: Maximum number of lost calls kept to find the spans that affect them; further ones are only
#: summed up.
MAX_LOST_CALLS = 100_000


@attrs.define
class Tally:
    """Counts of the endings of some calls, and their worth in the units of the routes.

    :ivar lost_retries: calls that were lost although they were retries of refused calls.
    :ivar wasted_wait_s: time that calls waited without ever being sent.
    :ivar owed: worth if all calls had been in time.
    """

    asked: int = 0
    endings: Counter[Ending] = attrs.field(factory=Counter)
    lost_retries: int = 0
    wasted_wait_s: float = 0.0
    owed: float = 0.0
    earned: float = 0.0
    earned_strictly: float = 0.0

    def add(self, call: CallRecord, worths: Worths) -> None:
        """Count a call."""
        self.asked += 1
        ending = call.ending
        self.endings[ending] += 1
        self.owed += worths.of(call).worth
        self.earned += worths.earned(call)
        self.earned_strictly += worths.earned_strictly(call)
        lost = ending in (Ending.REFUSED, Ending.FAILED)
        if lost and call.returned:
            self.lost_retries += 1
        if wasted_wait_share(call):
            self.wasted_wait_s += call.waited_ms / 1000

    def share(self, ending: Ending) -> float:
        """Return the share of the calls with an ending."""
        return self.endings[ending] / self.asked if self.asked else 0.0

    @property
    def worth_share(self) -> float:
        """Return the earned share of the owed worth, by the plain count."""
        return self.earned / self.owed if self.owed else 0.0

    @property
    def strict_share(self) -> float:
        """Return the earned share of the owed worth, by the strict count."""
        return self.earned_strictly / self.owed if self.owed else 0.0


@attrs.frozen
class LostCall:
    """A call that was not served in time, with the cause and the lost worth."""

    call: CallRecord
    cause: Cause
    worth: float


@attrs.define
class CauseSum:
    """The losses due to one cause.

    :ivar worth: lost worth, by the plain count.
    :ivar within: number of lost calls by the kind of span that affected them.
    """

    calls: int = 0
    worth: float = 0.0
    within: Counter[SpanKind] = attrs.field(factory=Counter)


@attrs.define
class CallSummary:
    """Sums up the calls of all events; to be queried only after :meth:`close`.

    :param window_s: length of the time windows in which calls are summed up.
    """

    worths: Worths = attrs.field(factory=Worths)
    window_s: float = 2.0
    total: Tally = attrs.field(factory=Tally)
    by_route: dict[str, Tally] = attrs.field(factory=dict)
    by_model: dict[str, Tally] = attrs.field(factory=dict)
    by_centre: dict[str, Tally] = attrs.field(factory=dict)
    by_window: dict[int, Tally] = attrs.field(factory=dict)
    causes: dict[Cause, CauseSum] = attrs.field(factory=dict)
    waits_s: dict[int, dict[Cause, float]] = attrs.field(factory=dict)
    spans: Spans = attrs.field(factory=Spans)
    _open: OrderedDict[str, CallRecord] = attrs.field(factory=OrderedDict)
    _lost: list[LostCall] = attrs.field(factory=list)
    _centres: dict[str, str] = attrs.field(factory=dict)

    def add_all(self, events: Iterable[LogEvent]) -> None:
        """Add all events and close the summary."""
        for event in events:
            self.add_event(event)
        self.close()

    def add_event(self, event: LogEvent) -> None:
        """Add one event; the events of a call may come in any order."""
        self.spans.add_event(event)
        if event.name == 'started':
            self._centres[event.instance] = str(event.fields.get('data_centre') or '')
        call_id = event.fields.get('request')
        if event.name not in CALL_EVENTS or not call_id:
            return
        call = self._open.get(call_id)
        if call is None:
            call = self._open[call_id] = CallRecord(call_id, event.at_s)
            if len(self._open) > MAX_OPEN_CALLS:
                self._count(self._open.popitem(last=False)[1])
        call.add_event(event)

    def close(self) -> None:
        """Count the open calls, and find the spans that affected the lost ones."""
        while self._open:
            self._count(self._open.popitem(last=False)[1])
        self.spans.close()
        for lost in self._lost:
            self.causes[lost.cause].within.update(self.spans.kinds_affecting(lost.call))

    def _count(self, call: CallRecord) -> None:
        if not call.is_counted:
            return
        window = int(call.at_s // self.window_s)
        centre = self._centres.get(call.instance, '')
        self.total.add(call, self.worths)
        for tallies, key in (
            (self.by_route, call.route),
            (self.by_model, call.model),
            (self.by_centre, centre),
        ):
            tallies.setdefault(key, Tally()).add(call, self.worths)
        self.by_window.setdefault(window, Tally()).add(call, self.worths)
        cause = call.cause
        if cause is Cause.NONE:
            return
        waits_s = self.waits_s.setdefault(window, {})
        waits_s[cause] = waits_s.get(cause, 0.0) + call.waited_ms / 1000
        worth = self.worths.of(call).worth - self.worths.earned(call)
        cause_sum = self.causes.setdefault(cause, CauseSum())
        cause_sum.calls += 1
        cause_sum.worth += worth
        if len(self._lost) < MAX_LOST_CALLS:
            self._lost.append(LostCall(call, cause, worth))

    def ranked_causes(self) -> list[tuple[Cause, CauseSum]]:
        """Return the causes, the one with the largest lost worth first."""
        return sorted(self.causes.items(), key=lambda item: -item[1].worth)
