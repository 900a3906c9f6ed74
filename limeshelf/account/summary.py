"""Sums up what became of all calls, and what the rest was lost to.

Owns the records of the calls that are still open, bounded in number, and the sums of the
closed ones. Relies on :mod:`~limeshelf.account.calls` for a call's ending.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from typing import TYPE_CHECKING

import attrs

from limeshelf.account.calls import CALL_EVENTS, CallRecord, Cause, Ending
from limeshelf.account.spans import SpanKind, Spans
from limeshelf.account.worths import Worths, held_in_vain_share

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.account.lines import LogEvent

#: Calls kept open while their lines come in; beyond, the oldest are closed. A record takes
#: about half a kilobyte.
MAX_OPEN_CALLS = 200_000
#: Lost calls whose surroundings are kept; beyond, only their sums are.
MAX_LOST_CALLS = 100_000


@attrs.define
class Tally:
    """What became of some calls; worths in the units of the routes."""

    asked: int = 0
    endings: Counter[Ending] = attrs.field(factory=Counter)
    returned_lost: int = 0
    held_in_vain_s: float = 0.0
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
            self.returned_lost += 1
        if held_in_vain_share(call):
            self.held_in_vain_s += call.waited_ms / 1000

    def share(self, ending: Ending) -> float:
        """Return the share of the calls that ended so."""
        return self.endings[ending] / self.asked if self.asked else 0.0

    @property
    def worth_share(self) -> float:
        """Return the share of the worth owed that was earned, by the plain count."""
        return self.earned / self.owed if self.owed else 0.0

    @property
    def strict_share(self) -> float:
        """Return the share of the worth owed that was earned, by the strict count."""
        return self.earned_strictly / self.owed if self.owed else 0.0


@attrs.frozen
class LostCall:
    """A call that was not served in time, with what is needed to say why."""

    call: CallRecord
    cause: Cause
    worth: float


@attrs.define
class CauseSum:
    """What one cause took.

    :ivar worth: lost to it, by the plain count.
    :ivar within: calls lost to it by the kind of span they lie in.
    """

    calls: int = 0
    worth: float = 0.0
    within: Counter[SpanKind] = attrs.field(factory=Counter)


@attrs.define
class CallSummary:
    """Takes events and sums them up; ask it only after :meth:`close`.

    :param window_s: length of the moments in which calls are summed up.
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

    def take_all(self, events: Iterable[LogEvent]) -> None:
        """Take all events and close."""
        for event in events:
            self.take(event)
        self.close()

    def take(self, event: LogEvent) -> None:
        """Take one event; those of a call may come in any order."""
        self.spans.take(event)
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
        call.take(event)

    def close(self) -> None:
        """Count the calls that are still open, and find what surrounds the lost ones."""
        while self._open:
            self._count(self._open.popitem(last=False)[1])
        self.spans.close()
        for lost in self._lost:
            self.causes[lost.cause].within.update(self.spans.around(lost.call))

    def _count(self, call: CallRecord) -> None:
        if not call.is_owed:
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
        summed = self.causes.setdefault(cause, CauseSum())
        summed.calls += 1
        summed.worth += worth
        if len(self._lost) < MAX_LOST_CALLS:
            self._lost.append(LostCall(call, cause, worth))

    def ranked_causes(self) -> list[tuple[Cause, CauseSum]]:
        """Return the causes, the one that took most worth first."""
        return sorted(self.causes.items(), key=lambda item: -item[1].worth)
