"""Reserves the cost of calls from the rate limits of their organisations.

Stateless; :mod:`limeshelf.membership.limit_exchange` decides on each reservation.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.admission import retry_after
from limeshelf.errors import NotRun, RefusalReason
from limeshelf.gateway.endings import STATUS_OVER_LIMIT, STATUS_UNAVAILABLE, Refuse
from limeshelf.organisations.limiter import Decision, Ruling

if TYPE_CHECKING:
    from limeshelf.calls.call import Call
    from limeshelf.membership.limit_exchange import LimitExchange
    from limeshelf.organisations.organisation import Organisation
    from limeshelf.organisations.usage import Reservation


@attrs.frozen
class LimitGuard:
    """Reserves the cost of calls from the limits of their organisations."""

    limits: LimitExchange

    async def reserve(
        self, call: Call, organisation: Organisation | None
    ) -> Reservation | Refuse | None:
        """Return the reservation of a call, its refusal, or ``None`` where it has no limit."""
        if organisation is None or organisation.limit is None:
            return None
        limit = organisation.limit
        amount = limit.cost_of(call.stated_tokens)
        reserved = await self.limits.reserve(organisation.name, limit, amount)
        return _refusal_of(reserved) if isinstance(reserved, Decision) else reserved


def _refusal_of(decision: Decision) -> Refuse:
    if decision.ruling is Ruling.OVER:
        retry_after_s = max(retry_after.MIN_RETRY_AFTER_S, decision.wait_s)
        return Refuse(STATUS_OVER_LIMIT, NotRun(RefusalReason.OVER_LIMIT, retry_after_s))
    outcome = NotRun(RefusalReason.LIMIT_UNKNOWN, retry_after.LIMIT_UNKNOWN_RETRY_AFTER_S)
    return Refuse(STATUS_UNAVAILABLE, outcome)
