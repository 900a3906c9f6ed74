"""Finds models and adapters that were requested but never served, or only after a long time.

Owns, for each model and adapter, the times at which it was requested and served, the failures of
its calls, and the leader's actions for it. Calls for an adapter also count for its model. Lines
may come in any order. Refusals do not state the service, so models of the same name in different
services are counted as one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.account.lines import LogEvent

#: Minimum number of calls for a model or adapter to be reported.
MIN_CALLS = 4
#: Minimum time between its first and its last call for it to be reported.
MIN_SPAN_S = 8.0
#: Time without a request after which no caller is assumed to wait any longer; equal to the time
#: that the leader uses (:data:`limeshelf.demand.meter.UNSERVED_EXPIRY_S`).
UNSERVED_EXPIRY_S = 30.0
#: Lowest status of answers that do not prove that the model was served.
STATUS_CLIENT_ERROR = 400

REFUSALS = frozenset({'refused_no_replica', 'refused_overloaded'})
#: Events of the leader's actions for a model or an adapter.
LEADER_ACTIONS = frozenset({'move', 'adapter_move', 'order', 'order_withheld', 'move_failed'})
#: Those actions for a model that also concern its adapters.
MODEL_ACTIONS_FOR_ADAPTERS = frozenset({'move', 'move_failed'})


class DemandKey(NamedTuple):
    """A model or one of its adapters; the adapter is empty for the model itself."""

    model: str
    adapter: str = ''

    def __str__(self) -> str:
        """Return the key in the form used in log lines."""
        return f'{self.model}/{self.adapter}' if self.adapter else self.model


@attrs.define
class FailureCount:
    """The failures of calls that one kind of log line reports.

    :ivar waits_s: expected waits, from the lines that state one.
    """

    lines: int = 0
    waits_s: list[float] = attrs.field(factory=list)


@attrs.define
class KeyHistory:
    """What became of the calls for one key, from the log lines.

    :ivar calls: ids of the calls; each try of a caller has its own.
    :ivar asked_s: arrival times of the calls, one for each line, on the wall clock.
    :ivar served_s: times at which a replica began an answer, on the wall clock.
    :ivar failures: failures of calls, by kind of log line.
    :ivar refused_with_model: number of refusals for an adapter while a replica held its model.
    """

    calls: set[str] = attrs.field(factory=set)
    asked_s: list[float] = attrs.field(factory=list)
    served_s: list[float] = attrs.field(factory=list)
    failures: dict[str, FailureCount] = attrs.field(factory=dict)
    refused_with_model: int = 0

    @property
    def is_reportable(self) -> bool:
        """Return whether there were enough calls over enough time for the key to be reported."""
        span_s = max(self.asked_s) - min(self.asked_s)
        return len(self.calls) >= MIN_CALLS and span_s >= MIN_SPAN_S

    @property
    def longest_wait_s(self) -> float:
        """Return the longest time for which calls came but none was served."""
        times = [(at_s, False) for at_s in self.asked_s]
        times += [(at_s, True) for at_s in self.served_s]
        wait = _Wait()
        for at_s, served in sorted(times):
            wait.add_event(at_s, served)
        return wait.longest_s


@attrs.define
class _Wait:
    """Measures the longest time without an answer.

    A wait ends with an answer, or after :data:`UNSERVED_EXPIRY_S` without a call.
    """

    longest_s: float = 0.0
    _began_s: float | None = None
    _latest_s: float = 0.0

    def add_event(self, at_s: float, served: bool) -> None:
        if self._began_s is not None and at_s - self._latest_s > UNSERVED_EXPIRY_S:
            self._began_s = None
        if self._began_s is not None:
            self.longest_s = max(self.longest_s, at_s - self._began_s)
        elif not served:
            self._began_s = at_s
        self._latest_s = at_s
        if served:
            self._began_s = None


@attrs.define
class StarvedKeys:
    """Collects the demand for all keys; to be queried after all events were added.

    :ivar began_s: wall clock time of the earliest line.
    :ivar dropped_lines: number of lines that gateways dropped.
    """

    began_s: float = float('inf')
    dropped_lines: int = 0
    _keys: dict[DemandKey, KeyHistory] = attrs.field(factory=dict)
    _actions: dict[DemandKey, list[LogEvent]] = attrs.field(factory=dict)

    def add_all(self, events: Iterable[LogEvent]) -> None:
        """Add all events."""
        for event in events:
            self.add_event(event)

    def add_event(self, event: LogEvent) -> None:
        """Add one event."""
        self.began_s = min(self.began_s, event.at_s)
        if event.name == 'lines_dropped':
            self.dropped_lines += int(event.fields.get('count') or 0)
        key = _key_of(event)
        if not key.model:
            return
        if event.name in LEADER_ACTIONS:
            for affected in {key, *_evicted_by(event)}:
                self._actions.setdefault(affected, []).append(event)
        elif event.name == 'attempt' or event.name in REFUSALS:
            for requested in {key, DemandKey(key.model)}:
                _add_call(self._keys.setdefault(requested, KeyHistory()), event)

    def never_served(self) -> list[tuple[DemandKey, KeyHistory]]:
        """Return the keys that were never served, those with the most calls first."""
        found = [(key, one) for key, one in self._reportable() if not one.served_s]
        return sorted(found, key=lambda item: (-len(item[1].calls), item[0]))

    def served_late(self) -> list[tuple[DemandKey, KeyHistory]]:
        """Return the keys that were served, those with the longest wait first."""
        found = [(key, one) for key, one in self._reportable() if one.served_s]
        return sorted(found, key=lambda item: (-item[1].longest_wait_s, item[0]))

    def _reportable(self) -> list[tuple[DemandKey, KeyHistory]]:
        return [(key, one) for key, one in self._keys.items() if one.is_reportable]

    def actions_for(self, key: DemandKey) -> list[LogEvent]:
        """Return the leader's actions for a key, including its evictions, in order of time.

        For an adapter, includes the moves and failed moves of its model.
        """
        actions = list(self._actions.get(key, ()))
        if key.adapter:
            of_model = self._actions.get(DemandKey(key.model), ())
            actions += [event for event in of_model if event.name in MODEL_ACTIONS_FOR_ADAPTERS]
        return sorted(actions, key=lambda event: (event.at_s, event.name))


def _key_of(event: LogEvent) -> DemandKey:
    fields = event.fields
    return DemandKey(str(fields.get('model') or ''), str(fields.get('adapter') or ''))


def _evicted_by(event: LogEvent) -> list[DemandKey]:
    evicted = event.fields.get('evicted') or ()
    names = [evicted] if isinstance(evicted, str) else evicted
    return [DemandKey(*str(name).split('/', 1)) for name in names]


def is_evicted(key: DemandKey, event: LogEvent) -> bool:
    """Return whether an event evicts a key, or the model of an adapter."""
    return bool({key, DemandKey(key.model)} & set(_evicted_by(event)))


def _add_call(demand: KeyHistory, event: LogEvent) -> None:
    fields = event.fields
    took_s = (fields.get('took_ms') or 0) / 1000
    waited_s = (fields.get('waited_ms') or 0) / 1000
    demand.calls.add(str(fields.get('request')))
    demand.asked_s.append(event.at_s - took_s - waited_s)
    if _is_served(event):
        first_s = (fields.get('first_ms') or 0) / 1000
        demand.served_s.append(event.at_s - max(0.0, took_s - first_s))
        return
    failures = demand.failures.setdefault(_failure_kind(event), FailureCount())
    failures.lines += 1
    if fields.get('expected_wait_ms') is not None:
        failures.waits_s.append(fields['expected_wait_ms'] / 1000)
    demand.refused_with_model += bool(fields.get('model_held'))


def _is_served(event: LogEvent) -> bool:
    if event.fields.get('result') == 'WholeAnswer':
        return int(event.fields.get('status') or 0) < STATUS_CLIENT_ERROR
    return event.fields.get('result') == 'Delivered'


def _failure_kind(event: LogEvent) -> str:
    if event.name != 'attempt':
        return event.name
    fields = event.fields
    parts = (event.name, fields.get('result'), fields.get('detail') or fields.get('status'))
    return ' '.join(str(part) for part in parts if part)
