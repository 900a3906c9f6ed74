"""Finds out whether a replica that broke off a call has ended.

An exchange breaks off for many reasons: a reset, a cut, a faulty answer. That the replica ended
shows in a new connection: it is refused, or gets no answer, right after a connection to it broke.
Where one can be made again at once, a later start of the replica, or another replica at its
address, shows it within some seconds. A connection that just falls silent is no end: so do cuts.
A cut with resets looks like the end of several replicas together, which is noted.

Owns the calls that were broken off lately and whether each start of a replica was found to have
ended. Relies on the directory for starts and addresses.
"""

from __future__ import annotations

import asyncio
import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.suspects import ReplicaEnd
from limeshelf.metrics.event_log import log_change
from limeshelf.replicas.connections import CONNECT_S
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.calls.fingerprint import Fingerprint
    from limeshelf.crashes.suspects import Suspects
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart
    from limeshelf.util.tasks import TaskSet

#: A start of a replica that broke off calls is watched for this long after the last, in
#: seconds. A later start is known within some 3 s of the end by its row.
WATCHED_S = 8.0
#: Time between two looks at whether a later start is known.
LOOK_S = 0.25
#: Ends that are found within this of each other, in seconds, came together. A gateway of nine
#: found those of one cut within 0.4 s; calls that end replicas come 0.6 a second in the play of
#: :mod:`~limeshelf.crashes.quarantine`.
TOGETHER_S = 0.5
#: Connections that are tried after a break: a process that ends closes one after the other, so
#: that its listener may still be there when the first call breaks off.
TRIES = 2
#: Between these, in seconds.
TRY_AGAIN_S = 0.15


class _Reached(enum.Enum):
    """What came of an attempt to connect."""

    ACCEPTED = enum.auto()
    REFUSED = enum.auto()
    #: No answer in time.
    SILENT = enum.auto()


@attrs.define
class _Watched:
    """A start of a replica that broke off calls, or lost a load.

    :ivar broken: these calls and loads.
    :ivar broken_s: when the latest broke off, on the boot clock.
    :ivar broke_connection: whether a connection ended; a load that is lost may be one behind a
        silent cut.
    :ivar has_ended: whether the start was found to have ended.
    :ivar ended_s: when it was found, on the boot clock.
    :ivar is_coincident: whether another replica was found to have ended at about that time.
    :ivar check: tries to connect; ``None`` when that is over.
    """

    replica: Replica
    broken_s: float
    broken: set[Fingerprint] = attrs.field(factory=set)
    broke_connection: bool = False
    has_ended: bool = False
    ended_s: float = 0.0
    is_coincident: bool = False
    check: asyncio.Task[None] | None = None


class EndWatch:
    """Watches replicas that broke off calls, and reports those that ended.

    :param suspects: learn of each call at work at a replica that ended.
    :param tasks: where tries to connect run.
    """

    def __init__(self, directory: ReplicaDirectory, suspects: Suspects, tasks: TaskSet) -> None:
        self._directory = directory
        self._suspects = suspects
        self._tasks = tasks
        self._watched: dict[ReplicaStart, _Watched] = {}

    def note_broken(self, fingerprint: Fingerprint, replica: Replica) -> None:
        """Note that the connection of a call ended before its answer was whole.

        A replica that has announced that it leaves ends by itself, whatever it runs.
        """
        if not _said_it_leaves(replica):
            self._watched_of(replica).broke_connection = True
            self._note(fingerprint, replica)

    def note_lost_load(self, fingerprint: Fingerprint, replica: Replica) -> None:
        """Note that a replica does not answer while it loads something, or has not loaded it."""
        if not _said_it_leaves(replica):
            self._note(fingerprint, replica)

    def _watched_of(self, replica: Replica) -> _Watched:
        return self._watched.setdefault(replica.start, _Watched(replica, boottime_s()))

    def _note(self, fingerprint: Fingerprint, replica: Replica) -> None:
        now_s = boottime_s()
        watched = self._watched_of(replica)
        watched.broken_s = now_s
        watched.broken.add(fingerprint)
        if watched.has_ended:
            self._suspects.note_end(fingerprint, _end_of(replica))
            if watched.is_coincident:
                self._suspects.note_coincident(_end_of(replica))
        elif watched.check is None:
            watched.check = self._tasks.spawn(self._try_to_connect(watched), 'replica-end')

    def note_answered(self, replica: Replica, sent_s: float) -> None:
        """Note that a replica answered a call.

        :param sent_s: when the call was sent; one that was sent before others broke off says
            nothing of the time after.
        """
        watched = self._watched.get(replica.start)
        if watched is None or sent_s <= watched.broken_s:
            return
        if watched.has_ended and replica.known_start.born_ms is None:
            # This may be another start, which nothing tells from the one that ended.
            return
        del self._watched[replica.start]
        if watched.has_ended:
            self._suspects.withdraw_end(_end_of(replica))

    def unconfirmed_ends(self, fingerprint: Fingerprint) -> int:
        """Return how many replicas broke a call off that are being checked now."""
        return len(self._checks_of(fingerprint))

    async def until_checked(self, fingerprint: Fingerprint) -> None:
        """Return when the replicas that broke a call off have been checked."""
        checks = self._checks_of(fingerprint)
        if checks:
            await asyncio.wait(checks)

    def _checks_of(self, fingerprint: Fingerprint) -> list[asyncio.Task[None]]:
        return [
            watched.check
            for watched in self._watched.values()
            if watched.check is not None and fingerprint in watched.broken
        ]

    async def _try_to_connect(self, watched: _Watched) -> None:
        try:
            for attempt in range(TRIES):
                if attempt:
                    await asyncio.sleep(TRY_AGAIN_S)
                reached = await _connect(watched.replica.record.address)
                is_silent = reached is _Reached.SILENT and watched.broke_connection
                if reached is _Reached.REFUSED or is_silent:
                    self._confirm(watched, reached.name.lower())
                    return
        finally:
            watched.check = None

    def _confirm(self, watched: _Watched, learned_by: str) -> None:
        if watched.has_ended:
            return
        watched.has_ended = True
        watched.ended_s = boottime_s()
        end = _end_of(watched.replica)
        log_change(
            'replica_ended',
            replica=end.replica_id,
            born_ms=end.born_ms,
            learned_by=learned_by,
            calls=len(watched.broken),
        )
        for fingerprint in sorted(watched.broken):
            self._suspects.note_end(fingerprint, end)
        self._note_coincident(watched)

    def _note_coincident(self, watched: _Watched) -> None:
        """Note of all ends that were found lately, if they are several, that they came together.

        Gateways differ in what they find, and one that finds several is right for all.
        """
        found = [
            other
            for other in self._watched.values()
            if other.has_ended and abs(other.ended_s - watched.ended_s) <= TOGETHER_S
        ]
        if len(found) > 1:
            for other in found:
                other.is_coincident = True
                self._suspects.note_coincident(_end_of(other.replica))

    async def run(self) -> None:
        """Look, again and again, whether a later start shows that one has ended."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._look()

    def _look(self) -> None:
        oldest_s = boottime_s() - WATCHED_S
        for start, watched in list(self._watched.items()):
            if not watched.has_ended and self._is_replaced(watched.replica):
                self._confirm(watched, 'replaced')
            if watched.broken_s < oldest_s and watched.check is None:
                del self._watched[start]

    def _is_replaced(self, replica: Replica) -> bool:
        """Return whether the replica has started again, or another one has its address."""
        current = self._directory.get(replica.replica_id)
        if current is None or current.start != replica.start:
            return current is not None
        address = replica.record.address
        return any(
            other.record.address == address and other.start != replica.start
            for other in self._directory.all()
        )


def _said_it_leaves(replica: Replica) -> bool:
    # Not whether it leaves: that is also so once another replica states its address.
    return replica.backpressure.leaving


def _end_of(replica: Replica) -> ReplicaEnd:
    return ReplicaEnd(replica.replica_id, replica.known_start.born_ms or 0)


async def _connect(address: str) -> _Reached:
    """Make a connection, and close it."""
    host, _, port = address.rpartition(':')
    try:
        async with asyncio.timeout(CONNECT_S):
            _, writer = await asyncio.open_connection(host, int(port))
    except TimeoutError:
        # No line here and below: whoever confirms an end by it logs that.
        return _Reached.SILENT
    except OSError:
        return _Reached.REFUSED
    writer.close()
    return _Reached.ACCEPTED
