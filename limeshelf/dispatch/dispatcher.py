"""Grants replicas to calls so that no replica reads too much between two events.

Reading a prompt holds up every stream of the replica's batch. An event takes as
long as its steps and what is read between them, whichever step that falls in. So
the dispatcher keeps what each replica reads in any window as long as the
bearable pause below that pause less the steps, and lets the other calls wait
here, most urgent first.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    Stage,
    VerdictKind,
)
from limeshelf.dispatch.room import Room
from limeshelf.dispatch.speed import ReadSpeed
from limeshelf.dispatch.tickets import ReplicaUse, Ticket
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ServingConfig
    from limeshelf.demand.keys import ModelKey
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Between two prompts at a replica, in milliseconds: a step, and the way there.
STEP_MS = 20.0
#: A prompt counts as read after its likely time and this much of it.
READ_MARGIN = 1.2
#: Part of the time that replicas read while calls wait; the rest goes to steps.
READING_DUTY = 0.65
#: Part of the objective that a wait may take; the rest is reading and the way.
IN_TIME_SHARE = 0.8
#: Calls for a model or adapter that are tried in vain before the rest is left.
MOST_FAILURES = 3
#: A waiting ticket whose gateway does not ask again is dropped.
UNASKED_LIFE_S = 1.0
#: A granted ticket lives this much longer than its call had left.
GRANT_SLACK_S = 1.0


class Dispatcher:
    """Grants replicas to the tickets of all gateways.

    :param answer: sends a verdict to a gateway, or to this process.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        config: Callable[[], ServingConfig | None],
        answer: Callable[[str, DispatchVerdict], None],
    ) -> None:
        self.speed = ReadSpeed()
        self._config = config
        self._answer = answer
        self._waiting: dict[str, Ticket] = {}
        self._granted: dict[str, Ticket] = {}
        self._room = Room(directory, self.speed)

    def set_reading_share(self, share: float) -> None:
        """Set the part of a replica's reading, 0 to 1, that may be granted here."""
        self._room.share = share

    @property
    def waiting(self) -> int:
        """Return how many calls wait for a replica."""
        return len(self._waiting)

    def take_query(self, query: DispatchQuery, asker: str) -> None:
        """Take a new ticket, or one that is asked for again."""
        now_s = boottime_s()
        granted = self._granted.get(query.ticket_id)
        if granted is not None and granted.replica is not None:
            self._tell(granted, VerdictKind.GRANTED)
            return
        ticket = self._waiting.get(query.ticket_id)
        if ticket is None:
            ticket = Ticket(
                query,
                asker,
                now_s,
                now_s + query.objective_ms / 1000,
                now_s + query.left_ms / 1000,
            )
            self._waiting[query.ticket_id] = ticket
        ticket.asked_s = now_s
        self._drop_stale(now_s)
        if self._is_next(ticket, now_s):
            self._room.survey()
            self._count_reading(now_s)
            self._try_grant(ticket, now_s)
        if query.ticket_id in self._waiting:
            self._answer_waiting(ticket)

    def _is_next(self, ticket: Ticket, now_s: float) -> bool:
        """Return whether no more urgent call waits for the same model."""
        key, urgency = ticket.query.key, ticket.urgency(now_s)
        return not any(
            other.query.key.model == key.model and other.urgency(now_s) < urgency
            for other in self._waiting.values()
        )

    def _answer_waiting(self, ticket: Ticket) -> None:
        self._room.survey()
        holders = self._room.holders(ticket.query)
        if not holders:
            del self._waiting[ticket.query.ticket_id]
            self._tell(ticket, VerdictKind.ABSENT)
            return
        wait_ms = self._expected_wait_ms(ticket, len(holders))
        if wait_ms > self._bearable_ms(ticket.query):
            del self._waiting[ticket.query.ticket_id]
            self._tell(ticket, VerdictKind.REFUSED, int(wait_ms))
            return
        self._tell(ticket, VerdictKind.QUEUED)

    def _bearable_ms(self, query: DispatchQuery) -> float:
        """Return the wait beyond which a call is better refused at once.

        Who was refused before is let wait as long as the caller does.
        """
        return query.left_ms if query.returned else query.objective_ms * IN_TIME_SHARE

    def _expected_wait_ms(self, ticket: Ticket, holders: int) -> float:
        """Return how long the reading that goes before the ticket likely takes."""
        now_s = boottime_s()
        urgency = ticket.urgency(now_s)
        model = ticket.query.key.model
        ahead_ms = sum(
            self.speed.read_ms(model, other.query.prompt_tokens)
            for other in self._waiting.values()
            if other.query.key.model == model and other.urgency(now_s) <= urgency
        )
        return ahead_ms / (holders * READING_DUTY)

    def take_progress(self, progress: DispatchProgress) -> None:
        """Take how far a call has come; the next pump lets others in."""
        if progress.stage is Stage.ENDED:
            self._waiting.pop(progress.ticket_id, None)
            ticket = self._granted.pop(progress.ticket_id, None)
            if ticket is not None:
                self._release(ticket)
        else:
            ticket = self._granted.get(progress.ticket_id)
            if ticket is not None:
                self._note_read(ticket)

    def pump(self) -> None:
        """Grant what can be granted, the most urgent first.

        Where the first calls for a model found no room, the others that wait for it
        hardly will.
        """
        now_s = boottime_s()
        self._drop_stale(now_s)
        self._count_reading(now_s)
        self._room.survey()
        failures: dict[ModelKey, int] = {}
        for ticket in sorted(self._waiting.values(), key=lambda one: one.urgency(now_s)):
            key = ticket.query.key
            if failures.get(key, 0) >= MOST_FAILURES:
                continue
            if not self._try_grant(ticket, now_s):
                failures[key] = failures.get(key, 0) + 1

    def _try_grant(self, ticket: Ticket, now_s: float) -> bool:
        config = self._config()
        service = config.services.get(ticket.query.key.service) if config else None
        if service is None or service.engine is None:
            return False
        replica = self._room.choose(ticket.query, service.engine)
        if replica is None:
            return False
        self._grant(ticket, replica, now_s)
        return True

    def _count_reading(self, now_s: float) -> None:
        """Take out what must have been read by now.

        The first event comes a step and the way after the prompt was read; the
        next prompt need not wait for the news.
        """
        for use in self._room.uses.values():
            for ticket_id in list(use.reading):
                ticket = self._granted.get(ticket_id)
                if ticket is None:
                    use.reading.discard(ticket_id)
                elif (now_s - ticket.granted_s) * 1000 > READ_MARGIN * use.reading_ms + STEP_MS:
                    self._end_reading(use, ticket)

    def _end_reading(self, use: ReplicaUse, ticket: Ticket) -> None:
        use.reading.discard(ticket.query.ticket_id)
        use.reading_ms = max(0.0, use.reading_ms - ticket.read_ms) if use.reading else 0.0

    def _drop_stale(self, now_s: float) -> None:
        for ticket_id, ticket in list(self._waiting.items()):
            if now_s > ticket.ends_s or now_s - ticket.asked_s > UNASKED_LIFE_S:
                del self._waiting[ticket_id]
        for ticket_id, ticket in list(self._granted.items()):
            if now_s > ticket.ends_s + GRANT_SLACK_S:
                del self._granted[ticket_id]
                self._release(ticket)

    def _grant(self, ticket: Ticket, replica: Replica, now_s: float) -> None:
        query = ticket.query
        use = self._room.use(replica)
        ticket.replica = replica
        ticket.fresh_tokens = use.fresh_tokens(query)
        ticket.read_ms = self.speed.read_ms(query.key.model, ticket.fresh_tokens)
        ticket.granted_s = now_s
        self._mark_company(use, ticket)
        use.calls += 1
        use.tokens += query.prompt_tokens + query.likely_tokens
        use.reading_ms += ticket.read_ms
        use.reading.add(query.ticket_id)
        use.recent.append((now_s, ticket.read_ms))
        use.note_parts(query, now_s)
        del self._waiting[query.ticket_id]
        self._granted[query.ticket_id] = ticket
        self._tell(ticket, VerdictKind.GRANTED)

    def _mark_company(self, use: ReplicaUse, ticket: Ticket) -> None:
        for other_id in use.reading:
            other = self._granted.get(other_id)
            if other is not None:
                other.alone = False
            ticket.alone = False

    def _note_read(self, ticket: Ticket) -> None:
        assert ticket.replica is not None
        use = self._room.use(ticket.replica)
        if ticket.alone:
            first_ms = (boottime_s() - ticket.granted_s) * 1000
            self.speed.learn(ticket.query.key.model, ticket.fresh_tokens, first_ms)
        if ticket.query.ticket_id in use.reading:
            self._end_reading(use, ticket)

    def _release(self, ticket: Ticket) -> None:
        if ticket.replica is None:
            return
        use = self._room.use(ticket.replica)
        use.calls -= 1
        use.tokens -= ticket.query.prompt_tokens + ticket.query.likely_tokens
        if ticket.query.ticket_id in use.reading:
            self._end_reading(use, ticket)

    def _tell(self, ticket: Ticket, kind: VerdictKind, wait_ms: int = 0) -> None:
        replica_id = ''
        if kind is VerdictKind.GRANTED and ticket.replica is not None:
            replica_id = ticket.replica.replica_id
        verdict = DispatchVerdict(ticket.query.ticket_id, kind, replica_id, wait_ms)
        self._answer(ticket.asker, verdict)
