"""Grants the replicas of a data centre to model calls, and queues or refuses the others.

One gateway of a data centre grants its replicas for all, because gateways that choose on
their own do not see what the others send (score of a quiet day: 0.61 before, 1.00 after).
Owns the queue and the granted requests; a dispatcher that starts anew learns of the
queued ones as they are asked for again, and of the granted ones by the loads that the
gateways report. Relies on the rules in :mod:`limeshelf.dispatch.selector`,
:mod:`limeshelf.dispatch.refusal` and :mod:`limeshelf.dispatch.requests`, and on gateways
to report the end of each request.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from limeshelf.demand.prefill_speed import PrefillSpeed
from limeshelf.dispatch.granted import GrantedRequests
from limeshelf.dispatch.messages import (
    DispatchProgress,
    DispatchQuery,
    DispatchVerdict,
    Stage,
    VerdictKind,
)
from limeshelf.dispatch.pace import ReplicaPaces
from limeshelf.dispatch.queue import RequestQueue
from limeshelf.dispatch.refusal import QueuePosition, WaitEstimate, estimate_wait
from limeshelf.dispatch.requests import GrantedRequest, QueuedRequest
from limeshelf.dispatch.selector import HolderSelector
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.routes import ServingConfig
    from limeshelf.demand.keys import ModelKey
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Requests for a model or adapter that find no replica in one pass over the queue before the
#: rest are skipped.
MAX_MISSES = 3
#: A queued request whose gateway does not ask again within this time is dropped. Four times the
#: client's ``ASK_AGAIN_S``.
UNASKED_LIFE_S = 1.0


class Dispatcher:
    """Grants replicas to the requests of gateways.

    :param config: returns the configuration in force, ``None`` before the first.
    :param answer: sends a verdict to the gateway at a peer address, or to this process
        where that is empty.
    :param owner_of: returns the owner of a data centre's replicas, as
        :class:`~limeshelf.dispatch.owners.OwnerChooser` takes it.
    :param data_centre: of this process.
    :param paces: the turns at replicas that take only so many calls a second.
    :ivar speed: how fast prompts are read, as this process has seen it.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        config: Callable[[], ServingConfig | None],
        answer: Callable[[str, DispatchVerdict], None],
        owner_of: Callable[[str], str | None],
        data_centre: str,
        paces: ReplicaPaces | None = None,
    ) -> None:
        self.speed = PrefillSpeed()
        self._config = config
        self._answer = answer
        self._queue = RequestQueue()
        self._granted = GrantedRequests()
        self._paces = paces or ReplicaPaces(owner_of)
        self._selector = HolderSelector(directory, self.speed, owner_of, data_centre, self._paces)

    @property
    def waiting(self) -> int:
        """Return how many requests are queued."""
        return len(self._queue)

    def take_query(self, query: DispatchQuery, asker: str) -> None:
        """Take a new request, or one that is asked for again, and answer it."""
        now_s = boottime_s()
        granted = self._granted.get(query.ticket_id)
        if granted is not None:
            self._send_grant(granted)
            return
        request = self._queue.get(query.ticket_id)
        if request is None:
            request = QueuedRequest.from_query(query, asker, now_s)
            self._queue.add(request)
        request.asked_s = now_s
        if now_s > request.ends_s:
            # tests/dispatch/test_dispatcher.py::
            # test_request_asked_for_again_after_its_time_takes_no_room
            self._queue.remove(request.request_id)
            return
        self._end_overdue(now_s)
        self._selector.forget_holders()
        if self._is_next(request, now_s):
            self._try_grant(request, now_s)
        if query.ticket_id in self._queue:
            self._answer_queued(request)

    def take_progress(self, progress: DispatchProgress) -> None:
        """Take how far a request has come; the next pump lets others in."""
        if progress.stage is Stage.ENDED:
            self._queue.remove(progress.ticket_id)
            granted = self._granted.end(progress.ticket_id)
            if granted is not None:
                self._selector.load(granted.replica).remove(granted)
        else:
            granted = self._granted.get(progress.ticket_id)
            if granted is not None:
                self._note_read(granted)

    def pump(self) -> None:
        """Grant what can be granted, the most urgent first.

        Where the first requests for a model found no room, the others for it hardly will;
        so each pass gives up on a model after :data:`MAX_MISSES`.
        """
        now_s = boottime_s()
        self._queue.drop_stale(now_s, UNASKED_LIFE_S)
        self._end_overdue(now_s)
        self._selector.forget_holders()
        misses: dict[ModelKey, int] = {}
        for request in self._queue.in_order(now_s):
            key = request.query.key
            if misses.get(key, 0) >= MAX_MISSES:
                continue
            if not self._try_grant(request, now_s):
                misses[key] = misses.get(key, 0) + 1

    def _is_next(self, request: QueuedRequest, now_s: float) -> bool:
        """Return whether no more urgent request is queued that its holders could take."""
        urgency = request.urgency(now_s)
        return not any(one.urgency(now_s) < urgency for one in self._rival_shares(request))

    def _rival_shares(self, request: QueuedRequest) -> dict[QueuedRequest, float]:
        """Return the queued requests that holders of this one could take, itself included.

        With each goes the share of its own holders that these are: a call for a model without
        an adapter may go to any of its replicas, one for an adapter to few.
        """
        key = request.query.key
        shares: dict[ModelKey, float] = {}
        rivals = {}
        for one in self._queue.of_model(key.model):
            other = one.query.key
            if other not in shares:
                shares[other] = self._selector.common_share(key, other)
            if shares[other]:
                rivals[one] = shares[other]
        return rivals

    def _answer_queued(self, request: QueuedRequest) -> None:
        """Answer a request that got no replica now: absent, refused or queued."""
        self._selector.forget_holders()
        holders = self._selector.holders(request)
        if not holders:
            self._queue.remove(request.request_id)
            self._send(request, VerdictKind.ABSENT)
            return
        wait = self._estimate(request, holders)
        if wait.is_too_long:
            self._queue.remove(request.request_id)
            self._send(request, VerdictKind.REFUSED, int(wait.expected_ms))
            return
        self._send(request, VerdictKind.QUEUED, int(wait.expected_ms))

    def _estimate(self, request: QueuedRequest, holders: list[Replica]) -> WaitEstimate:
        now_s = boottime_s()
        query = request.query
        model, urgency = query.key.model, request.urgency(now_s)
        ahead = {
            one: share
            for one, share in self._rival_shares(request).items()
            if one.urgency(now_s) <= urgency
        }
        ahead_ms = sum(
            share * self.speed.prefill_ms(model, one.query.prompt_tokens)
            for one, share in ahead.items()
        )
        position = QueuePosition(
            ahead_ms, len(holders), query.objective_ms, query.left_ms, query.returned
        )
        turn_s = self._paces.queue_wait_s(holders, math.ceil(sum(ahead.values())), now_s)
        return estimate_wait(position).at_least(turn_s * MS_PER_S)

    def _try_grant(self, request: QueuedRequest, now_s: float) -> bool:
        config = self._config()
        service = config.services.get(request.query.key.service) if config else None
        if service is None or service.engine is None:
            return False
        replica = self._selector.choose(request, service.engine)
        if replica is None:
            return False
        self._grant(request, replica, now_s)
        return True

    def _grant(self, request: QueuedRequest, replica: Replica, now_s: float) -> None:
        query = request.query
        load = self._selector.load(replica)
        unread_tokens = load.blocks.unread_tokens(query, boottime_s())
        granted = GrantedRequest(
            query,
            request.asker,
            request.ends_s,
            replica,
            unread_tokens,
            read_ms=self.speed.prefill_ms(query.key.model, unread_tokens),
            granted_s=now_s,
            has_turn=self._takes_turn(replica, now_s),
        )
        load.add(granted)
        self._queue.remove(request.request_id)
        self._granted.add(granted)
        self._send_grant(granted)

    def _takes_turn(self, replica: Replica, now_s: float) -> bool:
        """Take the turn that a grant needs; return whether one was needed and taken here."""
        if replica.backpressure.rate_per_s is None:
            return False
        turn = self._paces.try_take(replica, 0.0, now_s)
        return turn is not None and turn.is_granted

    def _note_read(self, granted: GrantedRequest) -> None:
        if granted.read_alone:
            first_event_ms = granted.elapsed_ms(boottime_s())
            self.speed.add_sample(granted.query.key.model, granted.unread_tokens, first_event_ms)
        self._selector.load(granted.replica).end_reading(granted)

    def _end_overdue(self, now_s: float) -> None:
        """Count no longer what was granted to gateways that have likely gone."""
        for granted in self._granted.end_overdue(now_s):
            self._selector.load(granted.replica).remove(granted)

    def _send(self, request: QueuedRequest, kind: VerdictKind, wait_ms: int = 0) -> None:
        verdict = DispatchVerdict(request.request_id, kind, '', wait_ms)
        self._answer(request.asker, verdict)

    def _send_grant(self, granted: GrantedRequest) -> None:
        replica_id = granted.replica.replica_id
        verdict = DispatchVerdict(
            granted.request_id, VerdictKind.GRANTED, replica_id, has_turn=granted.has_turn
        )
        self._answer(granted.asker, verdict)
