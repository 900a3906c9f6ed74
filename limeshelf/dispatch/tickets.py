"""Calls that wait for a replica or have one, and what they take of replicas."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

import attrs

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.dispatch.messages import DispatchQuery
    from limeshelf.replicas.replica import Replica

#: What was granted is remembered this much longer than anybody asks for.
RECENT_KEPT_S = 2.0
#: Prompt parts count as kept by a replica for this long.
WARM_PART_LIFE_S = 12.0
WARM_PARTS_KEPT = 1024


@attrs.define(eq=False)
class Ticket:
    """A call that waits for a replica, or has one.

    :ivar asker: peer address of its gateway; empty for this process.
    :ivar fresh_tokens: prompt tokens that the replica has to read.
    :ivar read_ms: how long that likely takes; 0 once it is done.
    :ivar alone: nothing else was read there at the same time.
    """

    query: DispatchQuery
    asker: str
    asked_s: float
    late_s: float
    ends_s: float
    replica: Replica | None = None
    fresh_tokens: int = 0
    read_ms: float = 0.0
    granted_s: float = 0.0
    alone: bool = True

    def urgency(self, now_s: float) -> tuple[bool, int, float]:
        """Return the order of service: in time before late, then by rank and time."""
        return (now_s > self.late_s, self.query.priority, self.late_s)


@attrs.define
class ReplicaUse:
    """What granted tickets take of a replica.

    :ivar recent: when something was granted lately, and how long it takes to read.
    """

    calls: int = 0
    tokens: int = 0
    reading_ms: float = 0.0
    reading: set[str] = attrs.field(factory=set)
    warm_parts: dict[str, float] = attrs.field(factory=dict)
    recent: deque[tuple[float, float]] = attrs.field(factory=deque)

    def read_since(self, oldest_s: float) -> float:
        """Return the milliseconds of reading that were granted since a moment."""
        while self.recent and self.recent[0][0] < oldest_s - RECENT_KEPT_S:
            self.recent.popleft()
        return sum(read_ms for granted_s, read_ms in self.recent if granted_s >= oldest_s)

    def fresh_tokens(self, query: DispatchQuery) -> int:
        """Return the prompt tokens of a call that the replica has not kept."""
        fresh = query.prompt_tokens
        oldest_s = boottime_s() - WARM_PART_LIFE_S
        for part in query.parts:
            if self.warm_parts.get(_part_key(query, part.part_id), 0.0) < oldest_s:
                break
            fresh -= part.tokens
        return max(1, fresh)

    def note_parts(self, query: DispatchQuery, now_s: float) -> None:
        """Note that the replica reads the parts of a call's prompt now."""
        for part in query.parts:
            key = _part_key(query, part.part_id)
            self.warm_parts.pop(key, None)
            self.warm_parts[key] = now_s
        while len(self.warm_parts) > WARM_PARTS_KEPT:
            del self.warm_parts[next(iter(self.warm_parts))]


def _part_key(query: DispatchQuery, part_id: str) -> str:
    return f'{query.key.model}/{query.key.adapter}/{part_id}'
