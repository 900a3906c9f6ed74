"""One request of this process for a replica, until it has its final verdict.

Owns which owners were asked and what they said, and the verdicts that came and were not taken
yet; :mod:`limeshelf.dispatch.client` asks.
"""

from __future__ import annotations

import asyncio
import math
from typing import TYPE_CHECKING

import attrs

from limeshelf.dispatch.grants import NoHolder, NoRoom
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.dispatch.grants import GrantRequest
    from limeshelf.dispatch.messages import DispatchVerdict
    from limeshelf.dispatch.owners import Grantor


@attrs.define(eq=False)
class PendingRequest:
    """A request without a final verdict.

    :ivar late_s: on the steady clock, when the first event is late.
    :ivar ends_s: when the caller gives up.
    :ivar request_id: by which it is known to the gateway that was asked last. Each has
        another one, so that a late verdict of one is not taken for that of the next.
    :ivar asked: who was asked last; ``None`` if nobody has it in a queue.
    :ivar waits_s: those that refused it, with the time until they likely have room;
        infinite where they hold nothing that the call can use.
    :ivar queued_s: those that were asked and had no room yet, with the wait that they
        expected; forgotten once all have been asked, so that they are asked again.
    :ivar stays: it waits where the wait is shortest, since all were asked.
    """

    request: GrantRequest
    ends_s: float
    late_s: float
    request_id: str = ''
    asked: str | None = None
    waits_s: dict[str, float] = attrs.field(factory=dict)
    queued_s: dict[str, float] = attrs.field(factory=dict)
    stays: bool = False
    verdicts: asyncio.Queue[DispatchVerdict] = attrs.field(factory=asyncio.Queue)

    async def next_verdict(self, limit_s: float) -> DispatchVerdict | None:
        """Return the next verdict on the request, or ``None`` after *limit_s* seconds."""
        try:
            async with boot_timeout(limit_s):
                return await self.verdicts.get()
        except TimeoutError:
            return None

    def not_queued_at(self, candidates: Iterable[Grantor]) -> list[Grantor]:
        """Return those that have not queued the request since all were asked last."""
        return [one for one in candidates if one.address not in self.queued_s]

    def refusal(self) -> NoRoom | NoHolder:
        """Return why nobody grants it: all who may have refused it, or there is none."""
        wait_s = min(self.waits_s.values(), default=math.inf)
        return NoRoom(wait_s) if math.isfinite(wait_s) else NoHolder()
