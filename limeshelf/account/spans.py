"""Events of a deployment that last, and within which calls were lost.

Owns the spans: loads of models, times without a leader that may order, instances that start,
suspended replicas, times without the store and after its returns. Relies on the events of
gateways.
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

#: An instance counts as starting for this long, in seconds.
START_S = 3.0
#: A replica that was suspended counts so for this long, in seconds.
SUSPENDED_S = 1.0
#: After the store has come back from an older copy, what was lost is written again within this
#: time, in seconds.
RETURNED_S = 5.0
#: A term whose end no line tells is over this long after its last sign, in seconds.
TERM_LIFE_S = 3.0


class SpanKind(enum.StrEnum):
    """What lasted."""

    STORE_LOAD = 'load from the weight store'
    NEAR_LOAD = 'load from a machine'
    NO_LEADER = 'no leader'
    STARTING = 'instance started'
    SUSPENDED = 'replica suspended'
    STORE_AWAY = 'store away'
    STORE_RETURNED = 'store back from an older copy'
    REPLICA_GONE = 'replica gone'


@attrs.frozen
class Span:
    """Something that lasted.

    :param subject: model, replica or instance; empty where it concerns all.
    """

    kind: SpanKind
    begin_s: float
    end_s: float
    subject: str = ''


@attrs.define
class Spans:
    """Collects spans from events, in any order, and finds those around a moment."""

    _spans: list[Span] = attrs.field(factory=list)
    _term_signs_s: list[float] = attrs.field(factory=list)
    _store_lost_s: dict[str, float] = attrs.field(factory=dict)
    _sorted: list[Span] = attrs.field(factory=list)
    _longest_s: float = 0.0

    def take(self, event: LogEvent) -> None:
        """Add what an event says of a span."""
        fields = event.fields
        if event.name == 'move':
            kind = SpanKind.STORE_LOAD if fields.get('from_store') else SpanKind.NEAR_LOAD
            self._add(kind, event.at_s, fields.get('load_s') or 1.0, fields.get('model'))
            self._term_signs_s.append(event.at_s)
        elif event.name in ('term_begun', 'order', 'claim'):
            self._term_signs_s.append(event.at_s)
        elif event.name == 'started':
            self._add(SpanKind.STARTING, event.at_s, START_S, event.instance)
        elif event.name == 'replica_gone':
            self._add(SpanKind.REPLICA_GONE, event.at_s, START_S, fields.get('replica'))
        elif event.name == 'attempt' and fields.get('suspended'):
            self._add(SpanKind.SUSPENDED, event.at_s, SUSPENDED_S, fields.get('replica'))
        elif event.name == 'table_returned':
            self._add(SpanKind.STORE_RETURNED, event.at_s, RETURNED_S, event.instance)
        elif event.name == 'lease_store_lost':
            self._store_lost_s[event.instance] = event.at_s
        elif event.name == 'lease_store_reached':
            lost_s = self._store_lost_s.pop(event.instance, event.at_s)
            self._add(SpanKind.STORE_AWAY, lost_s, event.at_s - lost_s, event.instance)

    def _add(self, kind: SpanKind, begin_s: float, length_s: float, subject: object) -> None:
        end_s = begin_s + max(0.0, length_s)
        self._spans.append(Span(kind, begin_s, end_s, str(subject or '')))

    def close(self) -> list[Span]:
        """Return all spans by their begin, once all events were taken."""
        spans = list(self._spans)
        signs_s = sorted(self._term_signs_s)
        for sign_s, next_s in itertools.pairwise(signs_s):
            if next_s - sign_s > TERM_LIFE_S:
                spans.append(Span(SpanKind.NO_LEADER, sign_s + TERM_LIFE_S, next_s))
        self._sorted = sorted(spans, key=lambda span: span.begin_s)
        self._longest_s = max((span.end_s - span.begin_s for span in spans), default=0.0)
        return self._sorted

    def around(self, call: CallRecord) -> list[SpanKind]:
        """Return the kinds of spans in which a call lies and that concern it.

        To be asked after :meth:`close`.
        """
        first = bisect.bisect_left(
            self._sorted, call.at_s - self._longest_s, key=lambda span: span.begin_s
        )
        last = bisect.bisect_right(self._sorted, call.at_s, key=lambda span: span.begin_s)
        kinds = {
            span.kind
            for span in self._sorted[first:last]
            if span.end_s >= call.at_s and _concerns(span, call)
        }
        return sorted(kinds)


def _concerns(span: Span, call: CallRecord) -> bool:
    if span.kind in (SpanKind.STORE_LOAD, SpanKind.NEAR_LOAD):
        return span.subject == call.model
    if span.kind in (SpanKind.STARTING, SpanKind.STORE_AWAY, SpanKind.STORE_RETURNED):
        return span.subject == call.instance
    if span.kind is SpanKind.SUSPENDED:
        return span.subject == call.replica
    return bool(call.model) or span.kind is not SpanKind.NO_LEADER
