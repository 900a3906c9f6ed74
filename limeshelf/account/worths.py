"""The worth of calls, counted in two ways.

By the plain count, an answer in time earns the worth of the call, and a late one a share of it.
The strict count starts from a caller's first try: a retry that is in time counts as late, a retry
that fails again costs a share of the worth, and so does time for which a call waited without
ever being sent.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.account.calls import Ending
from limeshelf.errors import InvalidDocument, Problem

if TYPE_CHECKING:
    from pathlib import Path

    from limeshelf.account.calls import CallRecord

#: Worth of a call whose route is not listed.
DEFAULT_WORTH = 1.0
#: Default share of its worth that a late answer earns.
LATE_SHARE = 0.1
#: Share of its worth that a retry costs if it fails after an earlier refusal.
FAILED_RETRY_SHARE = 0.3


@attrs.frozen
class RouteWorth:
    """The worth of a call of one route.

    :param worth: worth of an answer in time.
    :param late: worth of a late answer.
    """

    worth: float = DEFAULT_WORTH
    late: float = DEFAULT_WORTH * LATE_SHARE


@attrs.frozen
class Worths:
    """The worth of the calls of each route."""

    by_route: dict[str, RouteWorth] = attrs.field(factory=dict)

    @classmethod
    def from_file(cls, path: Path) -> Worths:
        """Read ``{"ROUTE": {"worth": 2.0, "late": 0.2}}``.

        :raises InvalidDocument: the file has another structure.
        :raises OSError: the file cannot be read.
        """
        try:
            by_route = msgspec.json.decode(path.read_bytes(), type=dict[str, RouteWorth])
        except msgspec.MsgspecError as error:
            raise InvalidDocument([Problem(str(path), str(error))]) from None
        return cls(by_route)

    def of(self, call: CallRecord) -> RouteWorth:
        """Return the worth of a call."""
        return self.by_route.get(call.route, RouteWorth())

    def earned(self, call: CallRecord) -> float:
        """Return the worth that a call earned, by the plain count."""
        worth = self.of(call)
        if call.ending is Ending.IN_TIME:
            return worth.worth
        return worth.late if call.ending is Ending.LATE else 0.0

    def earned_strictly(self, call: CallRecord) -> float:
        """Return the worth that a call earned, by the strict count; may be negative."""
        worth = self.of(call)
        if call.ending is Ending.IN_TIME:
            return worth.late if call.returned else worth.worth
        if call.ending is Ending.LATE:
            return worth.late
        retry_cost = FAILED_RETRY_SHARE * worth.worth if call.returned else 0.0
        return -retry_cost - wasted_wait_share(call) * worth.worth


def wasted_wait_share(call: CallRecord) -> float:
    """Return the share of a call's worth that its wait costs if it was never sent, 0 to 1.

    The share is the ratio of the wait to the objective, or to one second if none is known.
    """
    if call.ending in (Ending.IN_TIME, Ending.LATE) or call.attempts:
        return 0.0
    return min(1.0, call.waited_ms / (call.objective_ms or 1000.0))
