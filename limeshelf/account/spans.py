"""Periods of a deployment in which calls may have been lost, such as model loads.

Owns the spans: loads of models, periods without a leader, instances that start, suspended or
removed replicas, and periods in which the store was unreachable or had just been restored.
"""

from __future__ import annotations

import bisect
import enum
import itertools
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.account.calls import CallRecord
    from limeshelf.account.lines import LogEvent

#: Duration for which an instance counts as starting.
STARTING_S = 3.0
#: Duration for which a replica counts as suspended after an answer that reports it.
SUSPENDED_S = 1.0
#: Duration after a restore of the store from an older copy, in which lost rows are rewritten.
RESTORED_S = 5.0
#: A leader's term counts as ended this long after the last event that shows it.
TERM_TIMEOUT_S = 3.0


class SpanKind(enum.StrEnum):
    """The kind of a span."""

    STORE_LOAD = 'load from the weight store'
    MACHINE_LOAD = 'load from a machine'
    NO_LEADER = 'no leader'
    STARTING = 'instance started'
    SUSPENDED = 'replica suspended'
    STORE_UNREACHABLE = 'store away'
    STORE_RESTORED = 'store back from an older copy'
    REPLICA_GONE = 'replica gone'


@attrs.frozen
class Span:
    """A period of a certain kind.

    :param subject: affected model, replica or instance; empty if the span affects all.
    """

    kind: SpanKind
    begin_s: float
    end_s: float
    subject: str = ''


@attrs.define
class Spans:
    """Collects spans from events, in any order, and finds those that affect a call."""

    _spans: list[Span] = attrs.field(factory=list)
    _leader_events_s: list[float] = attrs.field(factory=list)
    _store_lost_s: dict[str, float] = attrs.field(factory=dict)
    _sorted: list[Span] = attrs.field(factory=list)
    _longest_s: float = 0.0

    def add_event(self, event: LogEvent) -> None:
        """Add the span that an event reports, if any."""
        fields = event.fields
        if event.name == 'move':
            kind = SpanKind.STORE_LOAD if fields.get('from_store') else SpanKind.MACHINE_LOAD
            self._add_span(kind, event.at_s, fields.get('load_s') or 1.0, fields.get('model'))
            self._leader_events_s.append(event.at_s)
        elif event.name in ('term_begun', 'order', 'claim'):
            self._leader_events_s.append(event.at_s)
        elif event.name == 'started':
            self._add_span(SpanKind.STARTING, event.at_s, STARTING_S, event.instance)
        elif event.name == 'replica_gone':
            self._add_span(SpanKind.REPLICA_GONE, event.at_s, STARTING_S, fields.get('replica'))
        elif event.name == 'attempt' and fields.get('suspended'):
            self._add_span(SpanKind.SUSPENDED, event.at_s, SUSPENDED_S, fields.get('replica'))
        elif event.name == 'table_returned':
            self._add_span(SpanKind.STORE_RESTORED, event.at_s, RESTORED_S, event.instance)
        elif event.name == 'lease_store_lost':
            self._store_lost_s[event.instance] = event.at_s
        elif event.name == 'lease_store_reached':
            lost_s = self._store_lost_s.pop(event.instance, event.at_s)
            self._add_span(SpanKind.STORE_UNREACHABLE, lost_s, event.at_s - lost_s, event.instance)

    def _add_span(self, kind: SpanKind, begin_s: float, length_s: float, subject: object) -> None:
        end_s = begin_s + max(0.0, length_s)
        self._spans.append(Span(kind, begin_s, end_s, str(subject or '')))

    def close(self) -> list[Span]:
        """Return all spans in order of their begin, after all events were added."""
        spans = list(self._spans)
        events_s = sorted(self._leader_events_s)
        for event_s, next_s in itertools.pairwise(events_s):
            if next_s - event_s > TERM_TIMEOUT_S:
                spans.append(Span(SpanKind.NO_LEADER, event_s + TERM_TIMEOUT_S, next_s))
        self._sorted = sorted(spans, key=lambda span: span.begin_s)
        self._longest_s = max((span.end_s - span.begin_s for span in spans), default=0.0)
        return self._sorted

    def kinds_affecting(self, call: CallRecord) -> list[SpanKind]:
        """Return the kinds of the spans that contain a call and affect it.

        Requires a previous call of :meth:`close`.
        """
        first = bisect.bisect_left(
            self._sorted, call.at_s - self._longest_s, key=lambda span: span.begin_s
        )
        last = bisect.bisect_right(self._sorted, call.at_s, key=lambda span: span.begin_s)
        kinds = {
            span.kind
            for span in self._sorted[first:last]
            if span.end_s >= call.at_s and _affects(span, call)
        }
        return sorted(kinds)


def _affects(span: Span, call: CallRecord) -> bool:
    if span.kind in (SpanKind.STORE_LOAD, SpanKind.MACHINE_LOAD):
        return span.subject == call.model
    if span.kind in (SpanKind.STARTING, SpanKind.STORE_UNREACHABLE, SpanKind.STORE_RESTORED):
        return span.subject == call.instance
    if span.kind is SpanKind.SUSPENDED:
        return span.subject == call.replica
    return bool(call.model) or span.kind is not SpanKind.NO_LEADER
