"""A request of this process for a replica, until its final verdict.

Owns the record of queried owners and their answers, and the verdicts that were received but not
processed yet. :mod:`limeshelf.dispatch.client` sends the queries.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.grants import NoCapacity, NoHolder
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.dispatch.grants import GrantRequest
    from limeshelf.dispatch.messages import DispatchVerdict
    from limeshelf.dispatch.owners import DispatchTarget


@attrs.define(eq=False)
class PendingRequest:
    """A request without a final verdict.

    :ivar due_s: time on the boot clock after which the first event is late.
    :ivar deadline_s: time on the boot clock at which the caller gives up.
    :ivar request_id: id known to the owner asked last. Each owner gets another id, so that a late
        verdict of one is not mistaken for a verdict of the next.
    :ivar current_owner: address of the owner asked last; ``None`` if no owner has the request.
    :ivar refused_waits_s: by address of the owners that refused, the estimated time until they
        have capacity; infinite if they hold nothing that the call can use.
    :ivar queued_waits_s: by address of the owners that queued the request, the wait that they
        estimated. Cleared once all have been asked, so that they are asked again.
    :ivar is_pinned: all owners were asked, so the request waits at the one with the shortest wait.
    """

    request: GrantRequest
    deadline_s: float
    due_s: float
    request_id: str = ''
    current_owner: str | None = None
    refused_waits_s: dict[str, float] = attrs.field(factory=dict)
    queued_waits_s: dict[str, float] = attrs.field(factory=dict)
    is_pinned: bool = False
    verdicts: asyncio.Queue[DispatchVerdict] = attrs.field(factory=asyncio.Queue)

    async def next_verdict(self, limit_s: float) -> DispatchVerdict | None:
        """Return the next verdict on the request, or ``None`` after *limit_s* seconds."""
        try:
            async with boot_timeout(limit_s):
                return await self.verdicts.get()
        except TimeoutError:
            return None

    def not_queued_at(self, candidates: Iterable[DispatchTarget]) -> list[DispatchTarget]:
        """Return the targets that have not queued the request since all were last asked."""
        return [target for target in candidates if target.address not in self.queued_waits_s]

    def refusal(self) -> NoCapacity | NoHolder:
        """Return why there is no grant: all owners refused, or no replica is available."""
        wait_s = min(self.refused_waits_s.values(), default=math.inf)
        return NoCapacity(wait_s) if math.isfinite(wait_s) else NoHolder()
