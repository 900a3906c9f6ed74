"""Finds what was asked for and served to nobody, or to nobody for long.

Owns for each model and adapter the times at which it was asked for and served, what its
callers were told, and what the leader did for it. A model counts as asked for and served by
the calls for its adapters too. Lines may come in any order; those of a refusal name no
service, so models of one name count as one.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.account.lines import LogEvent

#: Asked for less often than this, a key tells nothing.
LEAST_CALLS = 4
#: Nor if all its calls came within this time, in seconds.
LEAST_SPAN_S = 8.0
#: A key that was not asked for within this time is waited for by nobody, in seconds; as the
#: leader counts it (:data:`limeshelf.demand.meter.UNSERVED_EXPIRY_S`).
UNSERVED_LIFE_S = 30.0
#: Answers from this status on show no model that serves.
STATUS_CLIENT_ERROR = 400

REFUSALS = frozenset({'refused_no_replica', 'refused_overloaded'})
#: What the leader does for a model or an adapter.
DEEDS = frozenset({'move', 'adapter_move', 'order', 'order_withheld', 'move_failed'})
#: What it does for a model that its adapters depend on.
DEEDS_FOR_ADAPTERS = frozenset({'move', 'move_failed'})


class AskedKey(NamedTuple):
    """A model, or an adapter of it; the adapter of the model by itself is empty."""

    model: str
    adapter: str = ''

    def __str__(self) -> str:
        """Return the key as it stands in log lines."""
        return f'{self.model}/{self.adapter}' if self.adapter else self.model


@attrs.define
class Told:
    """What callers were told by one kind of line.

    :ivar waits_s: waits that the lines stated, where they did.
    """

    lines: int = 0
    waits_s: list[float] = attrs.field(factory=list)


@attrs.define
class Demanded:
    """What the lines say of one key.

    :ivar calls: ids of the calls; each try of a caller has its own.
    :ivar asked_s: wall clock when each line's call came in.
    :ivar served_s: wall clock when a replica began each answer.
    :ivar held: refusals of an adapter while a replica held its model.
    """

    calls: set[str] = attrs.field(factory=set)
    asked_s: list[float] = attrs.field(factory=list)
    served_s: list[float] = attrs.field(factory=list)
    told: dict[str, Told] = attrs.field(factory=dict)
    held: int = 0

    @property
    def is_lasting(self) -> bool:
        """Return whether the key was asked for often enough, and for long enough."""
        span_s = max(self.asked_s) - min(self.asked_s)
        return len(self.calls) >= LEAST_CALLS and span_s >= LEAST_SPAN_S

    @property
    def longest_wait_s(self) -> float:
        """Return the longest time for which it was asked for and served to nobody."""
        moments = [(at_s, False) for at_s in self.asked_s]
        moments += [(at_s, True) for at_s in self.served_s]
        wait = _Wait()
        for at_s, served in sorted(moments):
            wait.take(at_s, served)
        return wait.longest_s


@attrs.define
class _Wait:
    """The times without an answer, one after the other.

    A wait is over with an answer, or once nobody has asked for :data:`UNSERVED_LIFE_S`.
    """

    longest_s: float = 0.0
    _since_s: float | None = None
    _seen_s: float = 0.0

    def take(self, at_s: float, served: bool) -> None:
        if self._since_s is not None and at_s - self._seen_s > UNSERVED_LIFE_S:
            self._since_s = None
        if self._since_s is not None:
            self.longest_s = max(self.longest_s, at_s - self._since_s)
        elif not served:
            self._since_s = at_s
        self._seen_s = at_s
        if served:
            self._since_s = None


@attrs.define
class StarvedKeys:
    """Takes events; ask it once all were taken.

    :ivar began_s: wall clock of the earliest line.
    :ivar dropped_lines: lines that gateways left out.
    """

    began_s: float = float('inf')
    dropped_lines: int = 0
    _keys: dict[AskedKey, Demanded] = attrs.field(factory=dict)
    _deeds: dict[AskedKey, list[LogEvent]] = attrs.field(factory=dict)

    def take_all(self, events: Iterable[LogEvent]) -> None:
        """Take all events."""
        for event in events:
            self.take(event)

    def take(self, event: LogEvent) -> None:
        """Take one event."""
        self.began_s = min(self.began_s, event.at_s)
        if event.name == 'lines_dropped':
            self.dropped_lines += int(event.fields.get('count') or 0)
        key = _key_of(event)
        if not key.model:
            return
        if event.name in DEEDS:
            for concerned in {key, *_evicted_by(event)}:
                self._deeds.setdefault(concerned, []).append(event)
        elif event.name == 'attempt' or event.name in REFUSALS:
            for asked in {key, AskedKey(key.model)}:
                _take_call(self._keys.setdefault(asked, Demanded()), event)

    def never_served(self) -> list[tuple[AskedKey, Demanded]]:
        """Return what was asked for and never served, the most calls first."""
        found = [(key, one) for key, one in self._lasting() if not one.served_s]
        return sorted(found, key=lambda item: (-len(item[1].calls), item[0]))

    def served_late(self) -> list[tuple[AskedKey, Demanded]]:
        """Return what was served in the end, the longest time without an answer first."""
        found = [(key, one) for key, one in self._lasting() if one.served_s]
        return sorted(found, key=lambda item: (-item[1].longest_wait_s, item[0]))

    def _lasting(self) -> list[tuple[AskedKey, Demanded]]:
        return [(key, one) for key, one in self._keys.items() if one.is_lasting]

    def deeds_for(self, key: AskedKey) -> list[LogEvent]:
        """Return what the leader did for a key, or took away, in order of time.

        For an adapter, with the moves that concern its model, and those that failed.
        """
        deeds = list(self._deeds.get(key, ()))
        if key.adapter:
            of_model = self._deeds.get(AskedKey(key.model), ())
            deeds += [event for event in of_model if event.name in DEEDS_FOR_ADAPTERS]
        return sorted(deeds, key=lambda event: (event.at_s, event.name))


def _key_of(event: LogEvent) -> AskedKey:
    fields = event.fields
    return AskedKey(str(fields.get('model') or ''), str(fields.get('adapter') or ''))


def _evicted_by(event: LogEvent) -> list[AskedKey]:
    evicted = event.fields.get('evicted') or ()
    names = [evicted] if isinstance(evicted, str) else evicted
    return [AskedKey(*str(name).split('/', 1)) for name in names]


def is_evicted(key: AskedKey, event: LogEvent) -> bool:
    """Return whether a move takes a key, or the model of an adapter, away."""
    return bool({key, AskedKey(key.model)} & set(_evicted_by(event)))


def _take_call(demanded: Demanded, event: LogEvent) -> None:
    fields = event.fields
    took_s = (fields.get('took_ms') or 0) / 1000
    waited_s = (fields.get('waited_ms') or 0) / 1000
    demanded.calls.add(str(fields.get('request')))
    demanded.asked_s.append(event.at_s - took_s - waited_s)
    if _is_served(event):
        first_s = (fields.get('first_ms') or 0) / 1000
        demanded.served_s.append(event.at_s - max(0.0, took_s - first_s))
        return
    told = demanded.told.setdefault(_told_by(event), Told())
    told.lines += 1
    if fields.get('expected_wait_ms') is not None:
        told.waits_s.append(fields['expected_wait_ms'] / 1000)
    demanded.held += bool(fields.get('model_held'))


def _is_served(event: LogEvent) -> bool:
    if event.fields.get('result') == 'WholeAnswer':
        return int(event.fields.get('status') or 0) < STATUS_CLIENT_ERROR
    return event.fields.get('result') == 'Delivered'


def _told_by(event: LogEvent) -> str:
    if event.name != 'attempt':
        return event.name
    fields = event.fields
    parts = (event.name, fields.get('result'), fields.get('detail') or fields.get('status'))
    return ' '.join(str(part) for part in parts if part)
