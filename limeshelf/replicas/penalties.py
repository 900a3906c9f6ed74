"""What adds to a replica's cost whatever its load: another data centre, and failures.

Shared by both rules that choose a replica, :mod:`limeshelf.routing.plain_selector` for plain
calls and :mod:`limeshelf.dispatch.selector` for model calls, so that a replica that
fails is avoided alike by both.
Relies on the health that :mod:`limeshelf.replicas.health` keeps.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.replicas.replica import Replica

#: Cost of a hop to another data centre, in whole replicas.
OTHER_CENTRE_COST = 0.03
#: Cost of failing always, in whole replicas.
FAILING_COST = 2.0
#: Share of failures that costs nothing yet: one failure moves the average to 0.15
#: (``NEWEST_SHARE`` of the health), so it takes two close together.
TOLERATED_FAILING_SHARE = 0.2


def with_penalties(load_cost: float, replica: Replica, data_centre: str) -> float:
    """Return the cost of a replica's load plus what it costs at any load.

    :param load_cost: in units of one replica's whole capacity, as is the result.
    :param data_centre: of the gateway that the call came to.
    """
    cost = load_cost
    if replica.record.data_centre != data_centre:
        cost += OTHER_CENTRE_COST
    return cost + FAILING_COST * max(0.0, replica.health.failing_share - TOLERATED_FAILING_SHARE)
