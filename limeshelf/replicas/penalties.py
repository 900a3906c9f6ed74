"""Cost added to a replica's load for failures and for being in another data centre.

Used by both selectors, :mod:`limeshelf.routing.plain_selector` for plain calls and
:mod:`limeshelf.dispatch.selector` for model calls, so that both avoid a failing replica equally.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.replicas.replica import Replica

#: Cost of a replica in another data centre, as a fraction of a replica's capacity.
OTHER_DATA_CENTRE_COST = 0.03
#: Cost of a failure ratio of 1, as a multiple of a replica's capacity.
FAILURE_COST = 2.0
#: Failure ratio that adds no cost. A single failure raises the moving average to 0.15
#: (``FAILURE_RATIO_WEIGHT`` in :mod:`limeshelf.replicas.health`), so only a second one soon after
#: it adds cost.
TOLERATED_FAILURE_RATIO = 0.2


def with_penalties(load_cost: float, replica: Replica, data_centre: str) -> float:
    """Return the cost of a replica's load plus the penalties.

    :param load_cost: as a fraction of a replica's capacity, as is the result.
    :param data_centre: of the gateway that received the call.
    """
    cost = load_cost
    if replica.record.data_centre != data_centre:
        cost += OTHER_DATA_CENTRE_COST
    return cost + FAILURE_COST * max(0.0, replica.health.failure_ratio - TOLERATED_FAILURE_RATIO)
