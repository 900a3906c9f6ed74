"""Decides which gateways ask the store, so that few do and none is held back by others.

One gateway follows the store: the first relay of the first data centre by name. It passes
what it learns on to the relays of all data centres, and these to their gateways. When
what is passed on grows older than it should be, others ask the store themselves, in an
order that everybody knows: age decides, not the role, so one that is cut off from the store
holds nobody back. Whoever has begun goes on until what others pass on is new enough again.

All gateways of 71 asking sent 900 calls a second; one relay of each data centre, with copies
that counted as old too soon, 25 a second in a fleet of 20. Decides only;
:class:`limeshelf.membership.row_exchange.RowExchange` applies it.
"""

from __future__ import annotations

from limeshelf.membership.relays import RELAYS_PER_CENTRE

#: Each gateway waits this much longer than the one before it in the order.
OVERDUE_STEP_S = 0.08
#: No gateway waits longer than this.
OVERDUE_LIMIT_S = 1.5
#: Longest further pause after a failure of a gateway that is no relay: while the store is away,
#: a call of each of hundreds of gateways tells no more than those of the relays.
NON_RELAY_RETRY_SPREAD_S = 8.0


def polling_order(rank: int, centre_index: int, centre_count: int) -> int:
    """Return a gateway's place in the order in which gateways ask the store, from 0.

    The first relays of all data centres come first, then the second ones, then the others
    by rank.

    :param place: among the relays of its data centre, or by rank among all there, from 0.
    :param centre: place of its data centre among all by name, from 0.
    :param centres: data centres with gateways.
    """
    return rank * centre_count + centre_index


def overdue_limit_s(order: int, *, is_isolated: bool = False) -> float:
    """Return for how long copies may be overdue, in seconds, before a gateway asks the store.

    :param order: as :func:`polling_order` returns it.
    :param is_alone: whether it has heard no other gateway lately. The order is there so that
        others can pass on what the first one learns; who hears nobody would only wait, late
        in the order for longer than a change may take to be in force.
    """
    return 0.0 if is_isolated else min(OVERDUE_LIMIT_S, OVERDUE_STEP_S * order)


def retry_spread_s(order: int, centre_count: int, *, is_isolated: bool = False) -> float:
    """Return the longest further pause after a call to the store that failed, in seconds.

    :param order: as :func:`polling_order` returns it.
    :param centres: data centres with gateways.
    :param is_alone: as for :func:`overdue_limit_s`.
    """
    is_told_by_relays = order >= RELAYS_PER_CENTRE * centre_count and not is_isolated
    return (
        NON_RELAY_RETRY_SPREAD_S
        if is_told_by_relays
        else overdue_limit_s(order, is_isolated=is_isolated)
    )


def polls_store(*, order: int, overdue_s: float, is_isolated: bool = False) -> bool:
    """Return whether a gateway asks the store now.

    :param order: as :func:`polling_order` returns it.
    :param overdue_s: for how long others have passed on nothing that is new enough, of the
        table where that is longest; negative while they do for all. One table that is old
        is a sign that the others may be, too: a gateway that lost the store passes on no
        changes of any table
        (tests/membership/test_row_exchange.py::test_one_old_table_makes_all_due).
    :param is_alone: as for :func:`overdue_limit_s`.
    """
    return order == 0 or overdue_s > overdue_limit_s(order, is_isolated=is_isolated)
