"""What calls are worth, and how that is counted.

Owns two ways of counting. The plain one: in time earns the worth, late a share of it. The
strict one counts from a caller's first try: a later try that is in time counts as late, one
that fails again costs, and time for which a call was held in vain costs by its length.
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

#: Worth of a call whose route is not named.
PLAIN_WORTH = 1.0
#: Share of its worth that a late answer earns where nothing else is said.
LATE_SHARE = 0.1
#: Share of its worth that a try costs which fails after an earlier refusal.
FAILED_AGAIN_SHARE = 0.3


@attrs.frozen
class RouteWorth:
    """What a call of a route is worth.

    :param worth: of an answer in time.
    :param late: of a late one.
    """

    worth: float = PLAIN_WORTH
    late: float = PLAIN_WORTH * LATE_SHARE


@attrs.frozen
class Worths:
    """The worth of the calls of each route."""

    by_route: dict[str, RouteWorth] = attrs.field(factory=dict)

    @classmethod
    def from_file(cls, path: Path) -> Worths:
        """Read ``{"ROUTE": {"worth": 2.0, "late": 0.2}}``.

        :raises InvalidDocument: it is no such document.
        :raises OSError: it cannot be read.
        """
        try:
            by_route = msgspec.json.decode(path.read_bytes(), type=dict[str, RouteWorth])
        except msgspec.MsgspecError as error:
            raise InvalidDocument([Problem(str(path), str(error))]) from None
        return cls(by_route)

    def of(self, call: CallRecord) -> RouteWorth:
        """Return what a call is worth."""
        return self.by_route.get(call.route, RouteWorth())

    def earned(self, call: CallRecord) -> float:
        """Return what a call earned by the plain count."""
        worth = self.of(call)
        if call.ending is Ending.IN_TIME:
            return worth.worth
        return worth.late if call.ending is Ending.LATE else 0.0

    def earned_strictly(self, call: CallRecord) -> float:
        """Return what a call earned by the strict count; below zero where it cost more."""
        worth = self.of(call)
        if call.ending is Ending.IN_TIME:
            return worth.late if call.returned else worth.worth
        if call.ending is Ending.LATE:
            return worth.late
        lost = FAILED_AGAIN_SHARE * worth.worth if call.returned else 0.0
        return -lost - held_in_vain_share(call) * worth.worth


def held_in_vain_share(call: CallRecord) -> float:
    """Return the share of a call's worth that its time held in vain costs, 0 to 1.

    Without steps: in proportion to the objective, or to a second where none is known.
    """
    if call.ending in (Ending.IN_TIME, Ending.LATE) or call.attempts:
        return 0.0
    return min(1.0, call.waited_ms / (call.objective_ms or 1000.0))
