"""Calls, and parts of their prompts, that were running at replicas when these crashed.

A crash interrupts all calls at the replica, and one of them may be its cause, so each of them
becomes a suspect, and so do parts of prompts (:mod:`limeshelf.crashes.crashing_parts`) and loads.
A call that later completes at another replica is cleared.
The state of a suspect is sets that only grow: crashes, coincident crashes, cleared crashes and
trials. They can be merged in any order, late or repeatedly, with the same result, while a counter
would count a crash twice that two gateways detected.

Owns the suspects that this gateway knows. :mod:`limeshelf.membership.crash_exchange` exchanges
them with other gateways.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING, TypeVar

import attrs

from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.replicas.replica import Replica

    Listener = Callable[['SuspectState', 'UpdateSource'], None]

ItemT = TypeVar('ItemT')

#: Maximum number of suspects. Above it, those with the fewest crashes are evicted first, and among
#: these the oldest. Enough for about ten crashes of replicas with 50 calls each; takes 0.4 MB of
#: memory with one crash each, and 0.83 MB with six (tests/crashes/test_suspects.py).
MAX_SUSPECTS = 500
#: Fraction of the maximum that is kept when suspects are evicted.
KEPT_FRACTION = 0.9
#: Maximum number of crashes kept per suspect. It is refused after three that are not cleared.
MAX_CRASHES_PER_SUSPECT = 6
#: Maximum number of trials kept per suspect. The waits between them grow, so a day has few.
MAX_TRIALS_PER_SUSPECT = 12


@attrs.frozen
class ReplicaCrash:
    """The crash of one start of a replica.

    :param born_ms: start time that the replica stated; 0 if it stated none.
    """

    replica_id: str
    born_ms: int = 0


def count_crashes(crashes: Iterable[ReplicaCrash]) -> int:
    """Return the minimum number of distinct crashes.

    A crash without a start time may be the same as one of any start of the replica.
    """
    start_times: dict[str, set[int]] = {}
    for crash in crashes:
        start_times.setdefault(crash.replica_id, set()).add(crash.born_ms)
    return sum(max(1, len(known - {0})) for known in start_times.values())


@attrs.frozen
class Trial:
    """A call of a suspect that was sent while others were refused.

    :param replica_id: replica that it was sent to.
    :param born_ms: start time of the replica as known then; 0 if unknown.
    """

    replica_id: str
    born_ms: int = 0

    def may_have_caused(self, crash: ReplicaCrash) -> bool:
        """Return whether a crash is that of the replica that the trial was sent to."""
        is_same_start = self.born_ms == crash.born_ms or not self.born_ms or not crash.born_ms
        return self.replica_id == crash.replica_id and is_same_start


@attrs.frozen
class CallCrash:
    """One crash during a call, with its state for that call; see :class:`SuspectState`."""

    crash: ReplicaCrash
    is_cleared: bool = False
    is_coincident: bool = False


@attrs.frozen
class SuspectState:
    """State of a suspect, as exchanged between gateways.

    :param crashes: all crashes of replicas at which it was running.
    :param cleared: crashes that it is no longer suspected of.
    :param coincident: crashes at the same time as those of other replicas, which a single
        partition or power failure may explain.
    :param trials: trials that were sent.
    :param passed_trials: those of them that crashed no replica.
    """

    fingerprint: Fingerprint
    crashes: frozenset[ReplicaCrash]
    cleared: frozenset[ReplicaCrash] = frozenset()
    coincident: frozenset[ReplicaCrash] = frozenset()
    trials: frozenset[Trial] = frozenset()
    passed_trials: frozenset[Trial] = frozenset()

    @classmethod
    def from_crashes(
        cls, fingerprint: Fingerprint, call_crashes: Iterable[CallCrash]
    ) -> SuspectState:
        """Build the state of a call from its crashes."""
        call_crashes = list(call_crashes)
        return cls(
            fingerprint,
            frozenset(known.crash for known in call_crashes),
            frozenset(known.crash for known in call_crashes if known.is_cleared),
            frozenset(known.crash for known in call_crashes if known.is_coincident),
        )

    def call_crashes(self) -> list[CallCrash]:
        """Return the crashes with their state, in the same order on all gateways."""
        ranked = sorted(self.crashes, key=lambda crash: (crash.replica_id, crash.born_ms))
        return [
            CallCrash(crash, crash in self.cleared, crash in self.coincident) for crash in ranked
        ]

    @property
    def crash_count(self) -> int:
        """Return the number of crashes that it is suspected of."""
        return count_crashes(self.crashes - self.cleared)

    @property
    def isolated_crash_count(self) -> int:
        """Return how many of these are not coincident."""
        return count_crashes(self.crashes - self.cleared - self.coincident)

    @property
    def failed_trials(self) -> int:
        """Return how many trials crashed their replicas, which crashed alone."""
        isolated = self.crashes - self.cleared - self.coincident
        return count_crashes(crash for crash in isolated if self.is_of_trial(crash))

    @property
    def open_trials(self) -> int:
        """Return of how many trials the result is not known."""
        return sum(
            not any(map(trial.may_have_caused, self.crashes))
            for trial in self.trials - self.passed_trials
        )

    def is_of_trial(self, crash: ReplicaCrash) -> bool:
        """Return whether a trial may have caused a crash."""
        return any(trial.may_have_caused(crash) for trial in self.trials - self.passed_trials)

    def merged(self, other: SuspectState) -> SuspectState:
        """Return the union of both states."""
        return attrs.evolve(
            self,
            crashes=_union(self.crashes, other.crashes),
            cleared=_union(self.cleared, other.cleared),
            coincident=_union(self.coincident, other.coincident),
            trials=_union(self.trials, other.trials),
            passed_trials=_union(self.passed_trials, other.passed_trials),
        )


def _union(one: frozenset[ItemT], other: frozenset[ItemT]) -> frozenset[ItemT]:
    """Return the union, without a set of its own where one of them is empty, as most are."""
    return one | other if one and other else one or other


class UpdateSource(enum.StrEnum):
    """Where an update of a suspect was received from."""

    #: A call of this gateway.
    OWN = 'own'
    PEER = 'peer'
    #: A row of the store.
    ROW = 'row'


@attrs.define
class _Suspect:
    """A suspect with the state that is not exchanged.

    :ivar changed_s: when a crash was last added here, or the age was reset, on the boot clock.
    :ivar is_observed_locally: whether this gateway detected one of the crashes itself.
    """

    state: SuspectState
    changed_s: float
    is_observed_locally: bool = False


class Suspects:
    """The suspects that one gateway knows."""

    def __init__(self) -> None:
        self._by_fingerprint: dict[Fingerprint, _Suspect] = {}
        self._listeners: list[Listener] = []

    def add_listener(self, listener: Listener) -> None:
        """Call *listener* with each changed state of a suspect, and the source of the change."""
        self._listeners.append(listener)

    def __len__(self) -> int:
        return len(self._by_fingerprint)

    def state_of(self, fingerprint: Fingerprint) -> SuspectState | None:
        """Return the state of a suspect; ``None`` if the call is not suspected."""
        suspect = self._by_fingerprint.get(fingerprint)
        return suspect.state if suspect is not None else None

    def is_observed_locally(self, fingerprint: Fingerprint) -> bool:
        """Return whether this gateway detected a crash of a replica that was running the call."""
        suspect = self._by_fingerprint.get(fingerprint)
        return suspect is not None and suspect.is_observed_locally

    def age_s(self, fingerprint: Fingerprint) -> float:
        """Return the time since a crash of a suspect was last added, or its age reset."""
        return boottime_s() - self._by_fingerprint[fingerprint].changed_s

    def reset_age(self, fingerprint: Fingerprint) -> None:
        """Reset the age of a suspect to 0."""
        self._by_fingerprint[fingerprint].changed_s = boottime_s()

    def states(self) -> list[SuspectState]:
        """Return the states of all suspects."""
        return [suspect.state for suspect in self._by_fingerprint.values()]

    def record_crash(self, fingerprint: Fingerprint, crash: ReplicaCrash) -> None:
        """Record the crash of a replica that was running a call."""
        state = SuspectState(fingerprint, frozenset({crash}))
        self.merge(state, UpdateSource.OWN, is_observed_locally=True)

    def record_completion(self, fingerprint: Fingerprint) -> None:
        """Clear a call that ran to completion, with or without success, and crashed no replica."""
        state = self.state_of(fingerprint)
        if state is not None:
            cleared = attrs.evolve(state, cleared=state.crashes, passed_trials=state.trials)
            self.merge(cleared, UpdateSource.OWN)

    def record_trial(self, fingerprint: Fingerprint, replica: Replica) -> None:
        """Record that a call is sent as a trial of a suspect; its age is reset at all gateways."""
        known = self._by_fingerprint[fingerprint].state
        log_change(
            'suspect_tried',
            content=fingerprint,
            crashes=known.crash_count,
            failed_trials=known.failed_trials,
            replica=replica.replica_id,
            age_ms=int(self.age_s(fingerprint) * MS_PER_S),
        )
        trial = Trial(replica.replica_id, replica.known_start.born_ms or 0)
        state = SuspectState(fingerprint, frozenset(), trials=frozenset({trial}))
        self.merge(state, UpdateSource.OWN)
        # Also where the same start of a replica is tried again, which changes no state.
        self.reset_age(fingerprint)

    def withdraw_crash(self, crash: ReplicaCrash) -> None:
        """Clear a crash for all calls, because the replica has responded."""
        for state in self.states():
            if crash in state.crashes:
                cleared = state.cleared | {crash}
                self.merge(attrs.evolve(state, cleared=cleared), UpdateSource.OWN)

    def mark_coincident(self, crash: ReplicaCrash) -> None:
        """Mark a crash as coincident with that of another replica."""
        for state in self.states():
            if crash in state.crashes:
                coincident = state.coincident | {crash}
                self.merge(attrs.evolve(state, coincident=coincident), UpdateSource.OWN)

    def merge(
        self, received: SuspectState, source: UpdateSource, *, is_observed_locally: bool = False
    ) -> None:
        """Merge a state into that of the suspect."""
        suspect = self._by_fingerprint.get(received.fingerprint)
        if suspect is None:
            suspect = _Suspect(SuspectState(received.fingerprint, frozenset()), boottime_s())
        suspect.is_observed_locally |= is_observed_locally
        before = suspect.state
        suspect.state = _limit_trials(_limit_crashes(before.merged(received)))
        _log_dropped_crashes(received, suspect.state, source)
        if suspect.state == before:
            return
        is_tried = bool(suspect.state.trials - before.trials)
        if suspect.state.crash_count > before.crash_count or is_tried:
            suspect.changed_s = boottime_s()
        self._by_fingerprint[received.fingerprint] = suspect
        self._evict_least_suspected()
        _log_crash_count(before, suspect.state, source)
        for listener in self._listeners:
            listener(suspect.state, source)

    def _evict_least_suspected(self) -> None:
        if len(self._by_fingerprint) <= MAX_SUSPECTS:
            return
        ranked = sorted(
            self._by_fingerprint.values(),
            key=lambda suspect: (suspect.state.crash_count, suspect.changed_s),
        )
        for suspect in ranked[: len(ranked) - int(MAX_SUSPECTS * KEPT_FRACTION)]:
            del self._by_fingerprint[suspect.state.fingerprint]


def _log_crash_count(before: SuspectState, after: SuspectState, source: UpdateSource) -> None:
    """Log changes of the number of crashes, from the second crash on.

    A first crash is not logged, since there would be a line for every call at the replica.
    """
    if max(before.crash_count, after.crash_count) > 1 and before.crash_count != after.crash_count:
        log_change(
            'suspected',
            content=after.fingerprint,
            ends=sorted(crash.replica_id for crash in after.crashes - after.cleared),
            lone=after.isolated_crash_count,
            learned_by=source,
        )


def _log_dropped_crashes(received: SuspectState, kept: SuspectState, source: UpdateSource) -> None:
    """Log crashes detected here that are not kept because the suspect has too many."""
    dropped = received.crashes - kept.crashes
    if dropped and source is UpdateSource.OWN:
        log_change(
            'crash_not_kept',
            content=kept.fingerprint,
            ends=sorted(crash.replica_id for crash in dropped),
            kept=len(kept.crashes),
        )


def _limit_crashes(state: SuspectState) -> SuspectState:
    """Drop crashes above the maximum, cleared ones first, and those of trials last.

    The choice is the same on all gateways.
    """
    if len(state.crashes) <= MAX_CRASHES_PER_SUSPECT:
        return state
    ranked = sorted(
        state.call_crashes(),
        key=lambda known: (known.is_cleared, not state.is_of_trial(known.crash)),
    )
    kept = frozenset(known.crash for known in ranked[:MAX_CRASHES_PER_SUSPECT])
    return attrs.evolve(
        state,
        crashes=kept,
        cleared=state.cleared & kept,
        coincident=state.coincident & kept,
    )


def _limit_trials(state: SuspectState) -> SuspectState:
    """Drop trials above the maximum, passed ones first, and failed ones last."""
    if len(state.trials) <= MAX_TRIALS_PER_SUSPECT:
        return state
    ranked = sorted(
        state.trials,
        key=lambda trial: (
            trial in state.passed_trials,
            not any(map(trial.may_have_caused, state.crashes)),
            trial.replica_id,
            trial.born_ms,
        ),
    )
    kept = frozenset(ranked[:MAX_TRIALS_PER_SUSPECT])
    return attrs.evolve(state, trials=kept, passed_trials=state.passed_trials & kept)
