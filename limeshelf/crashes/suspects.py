"""Which calls were at work at replicas as these ended; what several gateways know, merged.

A replica that ends takes all calls at work there with it, and one of them may be the cause. So
each is a suspect; one that comes to the end of a run elsewhere is none any more. What is known of
a suspect is sets that only grow: ends, those that came together with ends of other replicas, and
those that were cleared. Merged in any sequence, late, or twice, they give the same result; a
counter would count one end twice that two gateways saw.

Owns the suspects that this gateway knows. Relies on the clock alone; who tells other gateways is
:mod:`limeshelf.membership.crash_exchange`.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.calls.fingerprint import Fingerprint

    Listener = Callable[['SuspectState', 'NewsSource'], None]

#: Suspects that are remembered; beyond, those with the fewest ends go first, of these the oldest.
#: Some ten crashes of replicas with 50 calls each; 0.4 MB of memory with one end each, 0.83 MB
#: with six (tests/crashes/test_suspects.py).
MAX_SUSPECTS = 500
#: Share of the suspects that stays when there are too many.
KEPT_SHARE = 0.9
#: Ends that are remembered of one suspect. It is refused after three that are not cleared.
MAX_ENDS = 6


@attrs.frozen
class ReplicaEnd:
    """The end of one start of a replica.

    :param born_ms: when it had started, as it stated; 0 where it did not.
    """

    replica_id: str
    born_ms: int = 0


def count_ends(ends: Iterable[ReplicaEnd]) -> int:
    """Return how many ends these are at the least.

    Where a gateway did not know yet when a replica had started, its end may be that of any start.
    """
    births: dict[str, set[int]] = {}
    for end in ends:
        births.setdefault(end.replica_id, set()).add(end.born_ms)
    return sum(max(1, len(known - {0})) for known in births.values())


@attrs.frozen
class ToldEnd:
    """One end as it is told of a call; see :class:`SuspectState`."""

    end: ReplicaEnd
    is_cleared: bool = False
    is_coincident: bool = False


@attrs.frozen
class SuspectState:
    """What is known of a suspect, as gateways tell it one another.

    :param ends: of replicas at which it was at work, all of them.
    :param cleared: ends that it is no longer suspected for.
    :param coincident: ends that came together with those of other replicas, so that one cut, or
        one loss of power, may explain them all.
    """

    fingerprint: Fingerprint
    ends: frozenset[ReplicaEnd]
    cleared: frozenset[ReplicaEnd] = frozenset()
    coincident: frozenset[ReplicaEnd] = frozenset()

    @classmethod
    def from_ends(cls, fingerprint: Fingerprint, told: Iterable[ToldEnd]) -> SuspectState:
        """Return what is told of a call end by end."""
        told = list(told)
        return cls(
            fingerprint,
            frozenset(one.end for one in told),
            frozenset(one.end for one in told if one.is_cleared),
            frozenset(one.end for one in told if one.is_coincident),
        )

    def told_ends(self) -> list[ToldEnd]:
        """Return the same end by end, in an order that is the same everywhere."""
        ranked = sorted(self.ends, key=lambda end: (end.replica_id, end.born_ms))
        return [ToldEnd(end, end in self.cleared, end in self.coincident) for end in ranked]

    @property
    def open_count(self) -> int:
        """Return how many ends it is suspected for."""
        return count_ends(self.ends - self.cleared)

    @property
    def lone_count(self) -> int:
        """Return how many of these came alone."""
        return count_ends(self.ends - self.cleared - self.coincident)

    def merged(self, other: SuspectState) -> SuspectState:
        """Return what both know together."""
        return attrs.evolve(
            self,
            ends=self.ends | other.ends,
            cleared=self.cleared | other.cleared,
            coincident=self.coincident | other.coincident,
        )


class NewsSource(enum.StrEnum):
    """Who learned what is new of a suspect."""

    #: This gateway, by a call of its own.
    OWN = 'own'
    PEER = 'peer'
    #: A row of the store.
    ROW = 'row'


@attrs.define
class _Suspect:
    """A suspect.

    :ivar changed_s: when an end was last added here, on the boot clock.
    :ivar is_witnessed: whether this gateway saw one of the ends itself.
    """

    state: SuspectState
    changed_s: float
    is_witnessed: bool = False


class Suspects:
    """The suspects that one gateway knows."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[Fingerprint, _Suspect] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call *listener* with what is known of a suspect, and whence, whenever it has grown."""
        self._listeners.append(listener)

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def state_of(self, fingerprint: Fingerprint) -> SuspectState | None:
        """Return what is known of a call; ``None`` for nothing."""
        suspect = self._by_fingerprint.get(fingerprint)
        return suspect.state if suspect is not None else None

    def is_witnessed(self, fingerprint: Fingerprint) -> bool:
        """Return whether this gateway saw a replica end with the call at work there."""
        suspect = self._by_fingerprint.get(fingerprint)
        return suspect is not None and suspect.is_witnessed

    def age_s(self, fingerprint: Fingerprint) -> float:
        """Return how long ago, in seconds, an end of a suspect was last added here."""
        return boottime_s() - self._by_fingerprint[fingerprint].changed_s

    def renew(self, fingerprint: Fingerprint) -> None:
        """Let the age of a suspect begin anew."""
        self._by_fingerprint[fingerprint].changed_s = boottime_s()

    def states(self) -> list[SuspectState]:
        """Return what is known of every suspect."""
        return [suspect.state for suspect in self._by_fingerprint.values()]

    def note_end(self, fingerprint: Fingerprint, end: ReplicaEnd) -> None:
        """Note that a replica ended with a call at work there."""
        state = SuspectState(fingerprint, frozenset({end}))
        self.merge(state, NewsSource.OWN, is_witnessed=True)

    def note_finished(self, fingerprint: Fingerprint) -> None:
        """Note that a run of a call came to its end, good or bad, and its replica lives."""
        state = self.state_of(fingerprint)
        if state is not None:
            self.merge(attrs.evolve(state, cleared=state.ends), NewsSource.OWN)

    def withdraw_end(self, end: ReplicaEnd) -> None:
        """Note that a replica that was taken for ended has answered."""
        for state in self.states():
            if end in state.ends:
                cleared = state.cleared | {end}
                self.merge(attrs.evolve(state, cleared=cleared), NewsSource.OWN)

    def note_coincident(self, end: ReplicaEnd) -> None:
        """Note that the end of a replica came together with that of another."""
        for state in self.states():
            if end in state.ends:
                coincident = state.coincident | {end}
                self.merge(attrs.evolve(state, coincident=coincident), NewsSource.OWN)

    def merge(self, told: SuspectState, source: NewsSource, *, is_witnessed: bool = False) -> None:
        """Take what is told of a suspect."""
        suspect = self._by_fingerprint.get(told.fingerprint)
        if suspect is None:
            suspect = _Suspect(SuspectState(told.fingerprint, frozenset()), boottime_s())
        suspect.is_witnessed |= is_witnessed
        before = suspect.state
        suspect.state = _bounded(before.merged(told))
        if suspect.state == before:
            return
        if suspect.state.open_count > before.open_count:
            suspect.changed_s = boottime_s()
        self._by_fingerprint[told.fingerprint] = suspect
        self._drop_least()
        _log_change(before, suspect.state, source)
        for listener in self._listeners:
            listener(suspect.state, source)

    def _drop_least(self) -> None:
        if len(self._by_fingerprint) <= MAX_SUSPECTS:
            return
        ranked = sorted(
            self._by_fingerprint.values(),
            key=lambda suspect: (suspect.state.open_count, suspect.changed_s),
        )
        for suspect in ranked[: len(ranked) - int(MAX_SUSPECTS * KEPT_SHARE)]:
            del self._by_fingerprint[suspect.state.fingerprint]


def _log_change(before: SuspectState, after: SuspectState, source: NewsSource) -> None:
    """Log a second end and any further, and that a call is no suspect any more.

    Of a first end there is no line: each crash would write one for every call at work there.
    """
    if max(before.open_count, after.open_count) > 1 and before.open_count != after.open_count:
        log_change(
            'suspected',
            content=after.fingerprint,
            ends=sorted(end.replica_id for end in after.ends - after.cleared),
            lone=after.lone_count,
            learned_by=source,
        )


def _bounded(state: SuspectState) -> SuspectState:
    """Leave out ends beyond those that are remembered, the cleared ones first.

    Which of them stay is the same on all gateways.
    """
    if len(state.ends) <= MAX_ENDS:
        return state
    ranked = sorted(state.told_ends(), key=lambda told: told.is_cleared)
    return SuspectState.from_ends(state.fingerprint, ranked[:MAX_ENDS])
