"""Grants the replicas of a data centre to model calls, and queues or refuses other calls.

One gateway grants the replicas of a data centre on behalf of all gateways, because gateways that
choose independently do not see the calls that the others send (under normal load, independent
choice reached 0.61 of the result of one dispatcher).

Owns the queue and the granted requests. After a restart, the queue is rebuilt from the queries
that gateways send again, and granted requests are known from the loads that gateways report. The
rules are in :mod:`limeshelf.dispatch.selector`, :mod:`limeshelf.dispatch.refusal` and
:mod:`limeshelf.dispatch.requests`. Gateways must report the end of each request.
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
from limeshelf.dispatch.queue import RequestQueue
from limeshelf.dispatch.rate_limiter import ReplicaRateLimiters
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

#: A pass over the queue skips the remaining requests for a model or adapter after this many of
#: them found no replica.
MAX_MISSES = 3
#: A queued request is dropped if its gateway does not send it again within this time. Four times
#: the client's ``RESEND_INTERVAL_S``.
QUEUED_TTL_S = 1.0


class Dispatcher:
    """Grants replicas to the requests of all gateways.

    :param config: returns the current configuration, ``None`` before the first.
    :param answer: sends a verdict to the gateway at a peer address; the empty address is this
        process.
    :param owner_of: returns the owner of a data centre's replicas; see
        :class:`~limeshelf.dispatch.owners.OwnerSelector`.
    :param data_centre: of this process.
    :param limiters: rate limiters of the replicas that limit their calls per second.
    :ivar speed: prefill speed of each model, as measured by this process.
    """

    def __init__(
        self,
        directory: ReplicaDirectory,
        config: Callable[[], ServingConfig | None],
        answer: Callable[[str, DispatchVerdict], None],
        owner_of: Callable[[str], str | None],
        data_centre: str,
        limiters: ReplicaRateLimiters | None = None,
    ) -> None:
        self.speed = PrefillSpeed()
        self._config = config
        self._answer = answer
        self._queue = RequestQueue()
        self._granted = GrantedRequests()
        self._limiters = limiters or ReplicaRateLimiters(owner_of)
        self._selector = HolderSelector(
            directory, self.speed, owner_of, data_centre, self._limiters
        )

    @property
    def queue_length(self) -> int:
        """Return the number of queued requests."""
        return len(self._queue)

    def handle_query(self, query: DispatchQuery, requester: str) -> None:
        """Answer a query for a new request, or for one that was sent again."""
        now_s = boottime_s()
        granted = self._granted.get(query.ticket_id)
        if granted is not None:
            self._send_grant(granted)
            return
        request = self._queue.get(query.ticket_id)
        if request is None:
            request = QueuedRequest.from_query(query, requester, now_s)
            self._queue.add(request)
        request.last_query_s = now_s
        if now_s > request.deadline_s:
            # Otherwise an expired request would be granted and hold its slot; see
            # test_expired_request_that_is_sent_again_takes_no_slot in
            # tests/dispatch/test_dispatcher.py.
            self._queue.remove(request.request_id)
            return
        self._expire_grants(now_s)
        self._selector.clear_holder_cache()
        if self._is_next(request, now_s):
            self._try_grant(request, now_s)
        if query.ticket_id in self._queue:
            self._answer_queued(request)

    def handle_progress(self, progress: DispatchProgress) -> None:
        """Record the progress of a request; freed capacity is granted in the next queue pass."""
        if progress.stage is Stage.ENDED:
            self._queue.remove(progress.ticket_id)
            granted = self._granted.finish(progress.ticket_id)
            if granted is not None:
                self._selector.load_of(granted.replica).remove(granted)
        else:
            granted = self._granted.get(progress.ticket_id)
            if granted is not None:
                self._end_prefill(granted)

    def process_queue(self) -> None:
        """Grant what can be granted, the most urgent requests first.

        If the first requests for a model find no replica, the others for it are unlikely to, so
        each pass skips a model after :data:`MAX_MISSES` failures.
        """
        now_s = boottime_s()
        self._queue.drop_stale(now_s, QUEUED_TTL_S)
        self._expire_grants(now_s)
        self._selector.clear_holder_cache()
        misses: dict[ModelKey, int] = {}
        for request in self._queue.in_order(now_s):
            key = request.query.key
            if misses.get(key, 0) >= MAX_MISSES:
                continue
            if not self._try_grant(request, now_s):
                misses[key] = misses.get(key, 0) + 1

    def _is_next(self, request: QueuedRequest, now_s: float) -> bool:
        """Return whether no more urgent request competes for the same replicas."""
        urgency = request.urgency(now_s)
        return not any(
            other.urgency(now_s) < urgency for other in self._competing_requests(request)
        )

    def _competing_requests(self, request: QueuedRequest) -> dict[QueuedRequest, float]:
        """Return the queued requests that compete for the request's holders, itself included.

        The value is the share of a competing request's holders that could also serve this one: a
        call for a model without an adapter may go to any replica of the model, one for an adapter
        only to a few.
        """
        key = request.query.key
        shares: dict[ModelKey, float] = {}
        competing = {}
        for queued in self._queue.of_model(key.model):
            other = queued.query.key
            if other not in shares:
                shares[other] = self._selector.shared_holder_fraction(key, other)
            if shares[other]:
                competing[queued] = shares[other]
        return competing

    def _answer_queued(self, request: QueuedRequest) -> None:
        """Answer a request that was not granted now: absent, refused or queued."""
        self._selector.clear_holder_cache()
        holders = self._selector.holders(request)
        if not holders:
            self._queue.remove(request.request_id)
            self._send(request, VerdictKind.ABSENT)
            return
        wait = self._estimate_wait(request, holders)
        if wait.is_too_long:
            self._queue.remove(request.request_id)
            self._send(request, VerdictKind.REFUSED, int(wait.expected_ms))
            return
        self._send(request, VerdictKind.QUEUED, int(wait.expected_ms))

    def _estimate_wait(self, request: QueuedRequest, holders: list[Replica]) -> WaitEstimate:
        now_s = boottime_s()
        query = request.query
        model, urgency = query.key.model, request.urgency(now_s)
        ahead = {
            queued: share
            for queued, share in self._competing_requests(request).items()
            if queued.urgency(now_s) <= urgency
        }
        ahead_ms = sum(
            share * self.speed.prefill_ms(model, queued.query.prompt_tokens)
            for queued, share in ahead.items()
        )
        position = QueuePosition(
            ahead_ms, len(holders), query.objective_ms, query.left_ms, query.returned
        )
        permit_wait_s = self._limiters.queue_wait_s(holders, math.ceil(sum(ahead.values())), now_s)
        return estimate_wait(position).at_least(permit_wait_s * MS_PER_S)

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
        load = self._selector.load_of(replica)
        uncached_tokens = load.cached_blocks.uncached_tokens(query, boottime_s())
        granted = GrantedRequest(
            query,
            request.requester,
            request.deadline_s,
            replica,
            uncached_tokens,
            prefill_ms=self.speed.prefill_ms(query.key.model, uncached_tokens),
            granted_s=now_s,
            has_permit=self._try_acquire_permit(replica, now_s),
        )
        load.add(granted)
        self._queue.remove(request.request_id)
        self._granted.add(granted)
        self._send_grant(granted)

    def _try_acquire_permit(self, replica: Replica, now_s: float) -> bool:
        """Issue a rate permit with a grant; return whether it was needed and issued here."""
        if replica.backpressure.rate_per_s is None:
            return False
        permit = self._limiters.try_acquire(replica, 0.0, now_s)
        return permit is not None and permit.is_granted

    def _end_prefill(self, granted: GrantedRequest) -> None:
        if granted.prefilled_alone:
            first_event_ms = granted.elapsed_ms(boottime_s())
            self.speed.add_sample(granted.query.key.model, granted.uncached_tokens, first_event_ms)
        self._selector.load_of(granted.replica).end_prefill(granted)

    def _expire_grants(self, now_s: float) -> None:
        """Stop counting expired grants, whose gateways have probably stopped."""
        for granted in self._granted.pop_expired(now_s):
            self._selector.load_of(granted.replica).remove(granted)

    def _send(self, request: QueuedRequest, kind: VerdictKind, wait_ms: int = 0) -> None:
        verdict = DispatchVerdict(request.request_id, kind, '', wait_ms)
        self._answer(request.requester, verdict)

    def _send_grant(self, granted: GrantedRequest) -> None:
        replica_id = granted.replica.replica_id
        verdict = DispatchVerdict(
            granted.request_id, VerdictKind.GRANTED, replica_id, has_turn=granted.has_permit
        )
        self._answer(granted.requester, verdict)
