"""Requests that the dispatcher holds, queued or granted, and in which order they are served.

In time before late, since a late one earns little; then by the priority of the route;
then the one whose first event is due earliest.
Owns nothing; relies on the queries of :mod:`limeshelf.dispatch.messages`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.dispatch.messages import DispatchQuery
    from limeshelf.replicas.replica import Replica

#: Place in the order of service, the lowest first: whether the request is late, the
#: priority of its route (0 is the most urgent), and when it is late. A bare tuple, because
#: each query compares it with the whole queue of a busy model.
Urgency = tuple[bool, int, float]


@attrs.define(eq=False)
class QueuedRequest:
    """A request that waits for a replica; times are on the steady clock.

    :ivar asker: peer address of its gateway; empty for this process.
    :ivar asked_s: when its gateway last asked.
    :ivar late_s: when its first event is late.
    :ivar ends_s: when its caller gives up.
    """

    query: DispatchQuery
    asker: str
    asked_s: float
    late_s: float
    ends_s: float

    @classmethod
    def from_query(cls, query: DispatchQuery, asker: str, now_s: float) -> QueuedRequest:
        """Return the request of a query that arrived at *now_s*."""
        late_s = now_s + query.objective_ms / 1000
        return cls(query, asker, now_s, late_s, now_s + query.left_ms / 1000)

    @property
    def request_id(self) -> str:
        """Return the id that its gateway gave it."""
        return self.query.ticket_id

    def urgency(self, now_s: float) -> Urgency:
        """Return its place in the order of service at a moment."""
        return (now_s > self.late_s, self.query.priority, self.late_s)


@attrs.define(eq=False)
class GrantedRequest:
    """A request that was granted a replica and has not ended.

    :ivar unread_tokens: prompt tokens that the replica had to read.
    :ivar read_ms: how long that likely takes.
    :ivar granted_s: on the steady clock.
    :ivar read_alone: no other prompt was read there at the same time.
    :ivar has_turn: a turn at the replica goes with the grant.
    """

    query: DispatchQuery
    asker: str
    ends_s: float
    replica: Replica
    unread_tokens: int
    read_ms: float
    granted_s: float
    read_alone: bool = True
    has_turn: bool = False

    @property
    def request_id(self) -> str:
        """Return the id that its gateway gave it."""
        return self.query.ticket_id

    @property
    def tokens(self) -> int:
        """Return the tokens of the replica's memory that it likely fills."""
        return self.query.prompt_tokens + self.query.likely_tokens

    def elapsed_ms(self, now_s: float) -> float:
        """Return the time since the grant, in milliseconds."""
        return (now_s - self.granted_s) * 1000
