"""Queued and granted requests of the dispatcher, and the order in which they are served.

Requests that are not late come before late ones, whose answers have little value. Within both
groups the priority of the route decides, then the earliest due time.

Owns no state; built from the queries of :mod:`limeshelf.dispatch.messages`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.dispatch.messages import DispatchQuery
    from limeshelf.replicas.replica import Replica

#: Sort key of the service order, lowest first: whether the request is late, the priority of its
#: route (0 is the most urgent), and its due time. A plain tuple for speed, because each query
#: compares it with the whole queue of a busy model.
Urgency = tuple[bool, int, float]


@attrs.define(eq=False)
class QueuedRequest:
    """A request that waits for a replica; times are on the boot clock.

    :ivar requester: peer address of its gateway; empty for this process.
    :ivar last_query_s: time of the last query for it.
    :ivar due_s: time after which its first event is late.
    :ivar deadline_s: time at which its caller gives up.
    """

    query: DispatchQuery
    requester: str
    last_query_s: float
    due_s: float
    deadline_s: float

    @classmethod
    def from_query(cls, query: DispatchQuery, requester: str, now_s: float) -> QueuedRequest:
        """Return the request of a query that arrived at *now_s*."""
        late_s = now_s + query.objective_ms / 1000
        return cls(query, requester, now_s, late_s, now_s + query.left_ms / 1000)

    @property
    def request_id(self) -> str:
        """Return the id chosen by the gateway."""
        return self.query.ticket_id

    def urgency(self, now_s: float) -> Urgency:
        """Return the position in the order of service at *now_s*."""
        return (now_s > self.due_s, self.query.priority, self.due_s)


@attrs.define(eq=False)
class GrantedRequest:
    """A request that was granted a replica and has not ended.

    :ivar uncached_tokens: prompt tokens that the replica had to prefill.
    :ivar prefill_ms: estimated time that this takes.
    :ivar granted_s: time of the grant on the boot clock.
    :ivar prefilled_alone: no other prefill was in progress there at the same time.
    :ivar has_permit: the grant includes a rate permit of the replica.
    """

    query: DispatchQuery
    requester: str
    deadline_s: float
    replica: Replica
    uncached_tokens: int
    prefill_ms: float
    granted_s: float
    prefilled_alone: bool = True
    has_permit: bool = False

    @property
    def request_id(self) -> str:
        """Return the id chosen by the gateway."""
        return self.query.ticket_id

    @property
    def tokens(self) -> int:
        """Return the estimated tokens that it occupies in the replica's memory."""
        return self.query.prompt_tokens + self.query.likely_tokens

    def elapsed_ms(self, now_s: float) -> float:
        """Return the time since the grant, in milliseconds."""
        return (now_s - self.granted_s) * 1000
