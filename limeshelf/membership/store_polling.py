"""Decides which gateways poll the store, so that few do and none depends on a failed one.

Normally one gateway polls the store: the first relay of the first data centre by name. It sends
the rows to the relays of all data centres, and these forward them to their gateways. Rows that are
large for the link are only announced, and each gateway reads them from the store once. When the
copies of other gateways become overdue, those gateways poll the store themselves, one after the
other in a polling order that all gateways derive alike. Because this depends on the age of the
copies and not on a role, a polling gateway that is cut off from the store blocks no other one.
A gateway that has started polling continues until its peers send rows that are new enough.

When all of 71 gateways polled, they sent 900 calls per second; when one relay per data centre
polled and copies became overdue too soon, 20 gateways sent 25 calls per second.

:class:`limeshelf.membership.row_exchange.RowExchange` applies the decisions.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.relays import RELAYS_PER_CENTRE

if TYPE_CHECKING:
    from limeshelf.feeds.change_budget import ChangeBudget

#: Each gateway waits this much longer than the one before it in the polling order.
OVERDUE_STEP_S = 0.08


@attrs.frozen
class PollingDelays:
    """Longest delays of a gateway for the sake of others that poll the store.

    :param turn_limit_s: for those before it in the polling order, in seconds.
    :param retry_spread_s: additional pause after a failed call if it is not a relay, in seconds.
    """

    turn_limit_s: float
    retry_spread_s: float

    @classmethod
    def from_budget(cls, budget: ChangeBudget) -> PollingDelays:
        """Return the delays with which a change reaches every gateway in time."""
        return cls(budget.polling_delay_s, budget.retry_spread_s)


def polling_order(rank: int, centre_index: int, centre_count: int) -> int:
    """Return a gateway's position in the polling order, from 0.

    The first relays of all data centres come first, then the second relays, then the other
    gateways by rank.

    :param rank: position among the relays of its data centre, or, if it is not a relay, rank
        among all gateways there; from 0.
    :param centre_index: position of its data centre when sorted by name, from 0.
    :param centre_count: number of data centres with gateways.
    """
    return rank * centre_count + centre_index


def overdue_limit_s(order: int, delays: PollingDelays, *, is_isolated: bool = False) -> float:
    """Return how long copies may be overdue, in seconds, before a gateway polls the store.

    :param order: the gateway's position in the polling order.
    :param delays: the longest delay of any gateway, among others.
    :param is_isolated: whether it has recently received no message from any other gateway. The
        delays exist so that rows polled by the first gateway can arrive. An isolated gateway
        would wait in vain: if it is late in the order, for longer than a change may take to become
        active.
    """
    return 0.0 if is_isolated else min(delays.turn_limit_s, OVERDUE_STEP_S * order)


def retry_spread_s(
    order: int, centre_count: int, delays: PollingDelays, *, is_isolated: bool = False
) -> float:
    """Return the longest additional pause after a failed call to the store, in seconds.

    :param order: the gateway's position in the polling order.
    :param centre_count: number of data centres with gateways.
    :param delays: as for :func:`overdue_limit_s`.
    :param is_isolated: as for :func:`overdue_limit_s`.
    """
    depends_on_relays = order >= RELAYS_PER_CENTRE * centre_count and not is_isolated
    return (
        delays.retry_spread_s
        if depends_on_relays
        else overdue_limit_s(order, delays, is_isolated=is_isolated)
    )


def polls_store(
    *, order: int, overdue_s: float, delays: PollingDelays, is_isolated: bool = False
) -> bool:
    """Return whether a gateway polls the store now.

    :param order: the gateway's position in the polling order.
    :param overdue_s: how long updates from peers have been overdue, for the table that is most
        overdue; negative if none is. One overdue table suffices for polling all, because a peer
        that lost the store sends no changes of any table
        (tests/membership/test_row_exchange.py::test_one_overdue_table_makes_all_due).
    :param delays: as for :func:`overdue_limit_s`.
    :param is_isolated: as for :func:`overdue_limit_s`.
    """
    return order == 0 or overdue_s > overdue_limit_s(order, delays, is_isolated=is_isolated)
