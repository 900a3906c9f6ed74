"""Detects whether a replica at which a call was interrupted has crashed.

A call may be interrupted by a reset, a network partition or an invalid response. A crash is
detected by a new connection that is refused or times out right after another connection to the
replica broke. If a connection succeeds at once, a crash still shows within seconds by a later
start of the replica, or by another replica at its address. A connection on which nothing arrives
any more does not show a crash, since it may be due to a partition. A partition that resets
connections looks like a crash of several replicas at once, so such crashes are marked as
coincident.

A call that this gateway gave up, because its caller left or its time was over, may still run at
its replica, and its connection shows nothing any more. For a while, a crash that another call,
another gateway or a refused connection shows counts against such a call too.

Owns the recently interrupted calls, and whether each start of a replica is known to have crashed.
The directory provides starts and addresses.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.suspects import ReplicaCrash, UpdateSource
from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.connections import CONNECT_TIMEOUT_S
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.suspects import Suspects, SuspectState
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart
    from limeshelf.util.tasks import TaskSet

#: A start of a replica is watched for this long after its last interrupted call. The row of a
#: later start arrives about 3 s after the crash.
WATCH_DURATION_S = 8.0
#: A call that was given up may crash its replica for this long. Replicas are to end such a call
#: at once, but may begin it before they read that its connection was closed.
ABANDONED_WATCH_S = 5.0
#: Crashes of a call, or of a part of its prompt, from which its replica is probed while it is held
#: against it: nothing else may show the crash.
PROBED_SUSPECT_CRASHES = 2
#: Interval between these probes.
PROBE_INTERVAL_S = 0.5
#: Interval between checks for later starts.
RESTART_CHECK_INTERVAL_S = 0.25
#: Crashes that are detected within this time of each other are coincident. With nine gateways, a
#: gateway detected all apparent crashes of one partition within 0.4 s; calls that crash replicas
#: arrive at 0.6 per second in the simulation of :mod:`~limeshelf.crashes.quarantine`.
COINCIDENCE_WINDOW_S = 0.5
#: Attempts to connect after an interruption. A process that exits closes its sockets one by one,
#: so its listener may still accept connections when the first call is interrupted.
CONNECT_ATTEMPTS = 2
#: Delay between these attempts.
CONNECT_RETRY_DELAY_S = 0.15


class _ConnectResult(enum.Enum):
    """Outcome of an attempt to connect."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    #: Timed out.
    SILENT = enum.auto()


@attrs.define
class _WatchedStart:
    """A start of a replica at which calls or loads were interrupted.

    :ivar interrupted: these calls and loads.
    :ivar interrupted_parts: parts of the prompts of these calls that may have caused a crash.
    :ivar abandoned_s: calls that were given up, and parts of their prompts, with the time at which
        they were, on the boot clock.
    :ivar first_interrupted_s: time of the first interruption, on the boot clock.
    :ivar interrupted_s: time of the latest interruption, on the boot clock.
    :ivar has_lost_connection: whether a connection broke. A lost load does not show that, since
        the replica may be behind a partition that drops packets.
    :ivar has_crashed: whether a crash of the start has been detected.
    :ivar crash_detected_s: when it was detected, on the boot clock.
    :ivar is_coincident: whether a crash of another replica was detected at about the same time.
    :ivar check: task that tries to connect; ``None`` when it has ended.
    :ivar is_probed: whether a task probes the replica for calls that were given up.
    """

    replica: Replica
    first_interrupted_s: float
    interrupted_s: float = 0.0
    interrupted: set[Fingerprint] = attrs.field(factory=set)
    interrupted_parts: set[Fingerprint] = attrs.field(factory=set)
    abandoned_s: dict[Fingerprint, float] = attrs.field(factory=dict)
    has_lost_connection: bool = False
    has_crashed: bool = False
    crash_detected_s: float = 0.0
    is_coincident: bool = False
    check: asyncio.Task[None] | None = None
    is_probed: bool = False

    @property
    def last_event_s(self) -> float:
        """Return when a call was last interrupted or given up, on the boot clock."""
        return max(self.interrupted_s, *self.abandoned_s.values(), 0.0)

    def drop_old_abandoned(self) -> None:
        """Forget the calls that were given up long ago."""
        oldest_s = boottime_s() - ABANDONED_WATCH_S
        self.abandoned_s = {
            suspect: at_s for suspect, at_s in self.abandoned_s.items() if at_s >= oldest_s
        }

    def forget_interruptions(self) -> None:
        """Forget all but the calls that were given up, because the replica has responded."""
        self.interrupted.clear()
        self.interrupted_parts.clear()
        self.interrupted_s = 0.0
        self.first_interrupted_s = boottime_s()
        self.has_lost_connection = self.has_crashed = self.is_coincident = False

    def suspects(self) -> list[Fingerprint]:
        """Return the calls, loads and parts that may have caused a crash now."""
        self.drop_old_abandoned()
        return sorted({*self.interrupted, *self.interrupted_parts, *self.abandoned_s})

    def may_coincide_with(self, other: _WatchedStart) -> bool:
        """Return whether both starts may have crashed at the same time.

        They have not if one of them was detected only after the other had been interrupted: it
        was running at that time.
        """
        detected_apart_s = abs(other.crash_detected_s - self.crash_detected_s)
        return (
            other.has_crashed
            and detected_apart_s <= COINCIDENCE_WINDOW_S
            and self.replica.known_start.known_since_s <= other.first_interrupted_s
            and other.replica.known_start.known_since_s <= self.first_interrupted_s
        )


class CrashDetector:
    """Watches replicas at which calls were interrupted, and detects crashes.

    :param suspects: receives each call that was running at a crashed replica.
    :param tasks: runs the attempts to connect.
    """

    def __init__(self, directory: ReplicaDirectory, suspects: Suspects, tasks: TaskSet) -> None:
        self._directory = directory
        self._suspects = suspects
        self._tasks = tasks
        self._watched: dict[ReplicaStart, _WatchedStart] = {}
        suspects.add_listener(self._on_suspect)

    def record_interrupted_call(
        self, fingerprint: Fingerprint, replica: Replica, parts: Iterable[Fingerprint] = ()
    ) -> None:
        """Record that a call lost its connection before its response was complete.

        Ignored for a replica that has announced that it is leaving, because it exits anyway.

        :param parts: parts of its prompt that may have crashed the replica.
        """
        if not _has_announced_leaving(replica):
            watched = self._watched_start_of(replica)
            watched.has_lost_connection = True
            watched.interrupted_parts.update(parts)
            self._record_interrupted(fingerprint, replica)

    def record_abandoned_call(
        self, fingerprint: Fingerprint, replica: Replica, parts: Iterable[Fingerprint] = ()
    ) -> None:
        """Record that this gateway gave a call up, which may still run at its replica.

        :param parts: parts of its prompt that may crash the replica.
        """
        if _has_announced_leaving(replica):
            return
        watched = self._watched_start_of(replica)
        given_up = [fingerprint, *parts]
        watched.abandoned_s.update(dict.fromkeys(given_up, boottime_s()))
        if watched.has_crashed:
            self._record_crash(watched, given_up)
        elif not watched.is_probed and any(map(self._is_probed_for, given_up)):
            watched.is_probed = True
            self._tasks.spawn(self._probe(watched), 'probe-abandoned')

    def _is_probed_for(self, suspect: Fingerprint) -> bool:
        state = self._suspects.state_of(suspect)
        return state is not None and state.crash_count >= PROBED_SUSPECT_CRASHES

    async def _probe(self, watched: _WatchedStart) -> None:
        """Connect to a replica until it refuses, or until no call is held against it any more."""
        while not watched.has_crashed:
            await asyncio.sleep(PROBE_INTERVAL_S)
            watched.drop_old_abandoned()
            if not watched.abandoned_s:
                break
            if await _connect(watched.replica.record.address) is _ConnectResult.REFUSED:
                self._confirm_crash(watched, 'probe')
        watched.is_probed = False

    def record_refused_connection(self, replica: Replica) -> None:
        """Record that no connection to a replica could be opened."""
        watched = self._watched.get(replica.start)
        if watched is None or watched.has_crashed or watched.check is not None:
            return
        watched.drop_old_abandoned()
        if watched.abandoned_s:
            watched.check = self._tasks.spawn(self._check(watched), 'replica-end')

    def _on_suspect(self, state: SuspectState, source: UpdateSource) -> None:
        """Count a crash that another gateway detected against the calls given up there."""
        if source is UpdateSource.OWN:
            return
        crashes = state.crashes - state.cleared
        for watched in list(self._watched.values()):
            is_known = watched.has_crashed or not watched.abandoned_s
            if not is_known and _crash_of(watched.replica) in crashes:
                self._confirm_crash(watched, source)

    def record_lost_load(self, fingerprint: Fingerprint, replica: Replica) -> None:
        """Record that a replica does not respond during a load, or lacks the item afterwards."""
        if not _has_announced_leaving(replica):
            self._record_interrupted(fingerprint, replica)

    def _watched_start_of(self, replica: Replica) -> _WatchedStart:
        return self._watched.setdefault(replica.start, _WatchedStart(replica, boottime_s()))

    def _record_interrupted(self, fingerprint: Fingerprint, replica: Replica) -> None:
        now_s = boottime_s()
        watched = self._watched_start_of(replica)
        watched.interrupted_s = now_s
        watched.interrupted.add(fingerprint)
        if watched.has_crashed:
            self._record_crash(watched, sorted(watched.interrupted_parts | {fingerprint}))
        elif watched.check is None:
            watched.check = self._tasks.spawn(self._check(watched), 'replica-end')

    def _record_crash(self, watched: _WatchedStart, suspects: Iterable[Fingerprint]) -> None:
        crash = _crash_of(watched.replica)
        for suspect in suspects:
            self._suspects.record_crash(suspect, crash)
        if watched.is_coincident:
            self._suspects.mark_coincident(crash)

    def record_response(self, replica: Replica, sent_s: float) -> None:
        """Record a response of a replica; withdraw a crash that the response disproves.

        :param sent_s: when the call was sent. A call sent before the latest interruption does not
            show that the replica still runs.
        """
        watched = self._watched.get(replica.start)
        if watched is None or sent_s <= watched.interrupted_s:
            return
        if watched.has_crashed and replica.known_start.born_ms is None:
            # May be a later start, which cannot be distinguished without a start time.
            return
        has_crashed = watched.has_crashed
        watched.drop_old_abandoned()
        if watched.abandoned_s:
            # The response shows that the replica runs, not that it has ended these calls.
            watched.forget_interruptions()
        else:
            del self._watched[replica.start]
        if has_crashed:
            self._suspects.withdraw_crash(_crash_of(replica))

    def unconfirmed_crashes(self, fingerprint: Fingerprint) -> int:
        """Return at how many replicas under check a call was interrupted."""
        return len(self._checks_of(fingerprint))

    async def wait_until_checked(self, fingerprint: Fingerprint) -> None:
        """Wait until the replicas at which a call was interrupted have been checked."""
        checks = self._checks_of(fingerprint)
        if checks:
            await asyncio.wait(checks)

    def _checks_of(self, fingerprint: Fingerprint) -> list[asyncio.Task[None]]:
        return [
            watched.check
            for watched in self._watched.values()
            if watched.check is not None and fingerprint in watched.interrupted
        ]

    async def _check(self, watched: _WatchedStart) -> None:
        try:
            for attempt in range(CONNECT_ATTEMPTS):
                if attempt:
                    await asyncio.sleep(CONNECT_RETRY_DELAY_S)
                result = await _connect(watched.replica.record.address)
                timed_out = result is _ConnectResult.SILENT and watched.has_lost_connection
                if result is _ConnectResult.REFUSED or timed_out:
                    self._confirm_crash(watched, result.name.lower())
                    return
        finally:
            watched.check = None

    def _confirm_crash(self, watched: _WatchedStart, learned_by: str) -> None:
        if watched.has_crashed:
            return
        watched.has_crashed = True
        watched.crash_detected_s = boottime_s()
        crash = _crash_of(watched.replica)
        log_change(
            'replica_ended',
            replica=crash.replica_id,
            born_ms=crash.born_ms,
            learned_by=learned_by,
            calls=len(watched.interrupted),
            abandoned=len(watched.abandoned_s),
        )
        self._record_crash(watched, watched.suspects())
        self._mark_coincident(watched)

    def _mark_coincident(self, watched: _WatchedStart) -> None:
        """Mark recently detected crashes as coincident if there are several.

        Gateways may detect different crashes; the mark of one gateway applies to all of them.
        """
        found = [other for other in self._watched.values() if other.may_coincide_with(watched)]
        if len(found) > 1:
            for other in found:
                other.is_coincident = True
                self._suspects.mark_coincident(_crash_of(other.replica))

    async def run(self) -> None:
        """Detect crashes by later starts; runs until cancelled."""
        while True:
            await asyncio.sleep(RESTART_CHECK_INTERVAL_S)
            self._check_restarts()

    def _check_restarts(self) -> None:
        oldest_s = boottime_s() - WATCH_DURATION_S
        for start, watched in list(self._watched.items()):
            if not watched.has_crashed and self._is_replaced(watched.replica):
                self._confirm_crash(watched, 'replaced')
            if watched.last_event_s < oldest_s and watched.check is None:
                del self._watched[start]

    def _is_replaced(self, replica: Replica) -> bool:
        """Return whether the replica has restarted, or another one has its address."""
        current = self._directory.get(replica.replica_id)
        if current is None or current.start != replica.start:
            return current is not None
        address = replica.record.address
        return any(
            other.record.address == address and other.start != replica.start
            for other in self._directory.all()
        )


def _has_announced_leaving(replica: Replica) -> bool:
    return replica.backpressure.leaving


def _crash_of(replica: Replica) -> ReplicaCrash:
    return ReplicaCrash(replica.replica_id, replica.known_start.born_ms or 0)


async def _connect(address: str) -> _ConnectResult:
    """Open a connection, and close it."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        # Neither this nor a refusal is logged here: the caller logs the crash it confirms.
        return _ConnectResult.SILENT
    except OSError:
        return _ConnectResult.REFUSED
    writer.close()
    return _ConnectResult.ACCEPTED
