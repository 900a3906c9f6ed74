"""Acquires rate permits for calls to replicas that limit their calls per second.

Sends permit queries to the pacer of a replica (:mod:`limeshelf.dispatch.rate_limiter`), and
answers them if this process is the pacer. There is no permit if the pacer is unknown or does not
answer, because permits issued by every gateway on its own would add up to a multiple of the rate.

Owns the times of the next permits, as reported by pacers. Messages are sent through
:mod:`limeshelf.peers.query_client`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.messages import PermitQuery, PermitVerdict
from limeshelf.dispatch.rate_limiter import RatePermit
from limeshelf.membership.member import LOCAL
from limeshelf.metrics.event_log import log_change
from limeshelf.peers.query_client import AVOID_S, QueryClient
from limeshelf.util.clock import MS_PER_S, boottime_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from limeshelf.dispatch.rate_limiter import ReplicaRateLimiters
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.notices import NoticeHandler
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart

#: Result if no pacer is known or the pacer does not answer.
_NO_PACER = RatePermit(False, AVOID_S)


@attrs.frozen
class _NextPermit:
    """When the next permit for a replica is available, as its pacer reported.

    :ivar rate_per_s: rate limit of the replica at that time; the entry is void at another rate.
    :ivar at_s: on the boot clock.
    """

    rate_per_s: float | None
    at_s: float


class PermitExchange:
    """Requests rate permits, and issues them to other gateways."""

    def __init__(
        self,
        node: PeerNode,
        directory: ReplicaDirectory,
        notices: NoticeHandler,
        limiters: ReplicaRateLimiters,
    ) -> None:
        self._node = node
        self._directory = directory
        self._notices = notices
        self._limiters = limiters
        self._query_client: QueryClient[RatePermit] = QueryClient(node, _log_timeout)
        self._next_permits: dict[ReplicaStart, _NextPermit] = {}

    def start(self) -> None:
        """Register the message handlers."""
        self._node.add_handler(PermitQuery, self._on_query)
        self._node.add_handler(PermitVerdict, self._on_verdict)

    async def acquire(self, replica: Replica, max_wait_s: float) -> RatePermit:
        """Wait for a permit and return it, or return that none is available in time.

        :param max_wait_s: longest time that the call can wait for it, in seconds.
        """
        rate_per_s = replica.backpressure.rate_per_s
        known = self._next_permits.get(replica.start)
        if known is not None and known.rate_per_s == rate_per_s:
            wait_s = known.at_s - boottime_s()
            if wait_s > max_wait_s:
                return RatePermit(False, wait_s)
        permit = await self._request(replica, max_wait_s)
        if not permit.is_granted:
            self._next_permits[replica.start] = _NextPermit(
                rate_per_s, boottime_s() + permit.wait_s
            )
        elif permit.wait_s:
            await asyncio.sleep(permit.wait_s)
        return permit

    async def _request(self, replica: Replica, max_wait_s: float) -> RatePermit:
        pacer = self._limiters.pacer_of(replica)
        if pacer is None or self._query_client.is_avoided(pacer):
            return _NO_PACER
        if pacer == LOCAL:
            return self._limiters.try_acquire(replica, max_wait_s, boottime_s()) or _NO_PACER
        query = _query_of(replica, max_wait_s)
        return await self._query_client.send_query(pacer, query.query_id, query) or _NO_PACER

    def _on_query(self, envelope: Envelope) -> None:
        query: PermitQuery = envelope.message
        permit = self._issue(query)
        verdict = PermitVerdict(query.query_id, permit.is_granted, int(permit.wait_s * MS_PER_S))
        self._node.send(envelope.sender, verdict)

    def _issue(self, query: PermitQuery) -> RatePermit:
        replica = self._directory.get(query.replica_id)
        if replica is None or replica.known_start.born_ms != query.born_ms:
            return _NO_PACER
        # The requesting gateway may know a newer rate than this process.
        heard_s = boottime_s() - query.heard_ms_ago / MS_PER_S
        self._notices.handle_peer_rate(replica, query.rate_per_s, heard_s)
        max_wait_s = query.patience_ms / MS_PER_S
        return self._limiters.try_acquire(replica, max_wait_s, boottime_s()) or _NO_PACER

    def _on_verdict(self, envelope: Envelope) -> None:
        verdict: PermitVerdict = envelope.message
        permit = RatePermit(verdict.granted, verdict.wait_ms / MS_PER_S)
        self._query_client.handle_answer(verdict.query_id, permit)


def _query_of(replica: Replica, max_wait_s: float) -> PermitQuery:
    backpressure = replica.backpressure
    return PermitQuery(
        query_id=new_id('u'),
        replica_id=replica.replica_id,
        born_ms=replica.known_start.born_ms,
        rate_per_s=backpressure.rate_per_s or 0.0,
        heard_ms_ago=int((boottime_s() - backpressure.rate.received_s) * MS_PER_S),
        patience_ms=int(max_wait_s * MS_PER_S),
    )


def _log_timeout(address: str) -> None:
    log_change('pacer_silent', pacer=address, avoided_s=AVOID_S)
