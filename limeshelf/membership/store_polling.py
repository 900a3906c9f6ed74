"""Decides which gateways ask the store, so that few do and none is held back by others.

The first relay of a data centre follows the store; the others go by its updates. When a
copy is older than it should be, the others ask the store themselves, the next by rank
first: age decides, not the role, so a relay that is cut from the store holds nobody back.
All gateways of 71 asking sent 900 calls a second. Decides only;
:class:`limeshelf.membership.row_exchange.RowExchange` applies it.
"""

from __future__ import annotations

#: Each gateway waits this much longer than the one before it by rank. Chosen, not measured.
OVERDUE_STEP_S = 0.08
#: No gateway waits longer than this. Chosen, not measured.
OVERDUE_LIMIT_S = 1.5


def overdue_limit_s(rank: int) -> float:
    """Return for how long copies may be overdue, in seconds, before a gateway asks the store.

    :param rank: of the gateway in its data centre, from 0.
    """
    return min(OVERDUE_LIMIT_S, OVERDUE_STEP_S * rank)


def polls_store(*, is_first_relay: bool, rank: int, overdue_s: float) -> bool:
    """Return whether a gateway asks the store now.

    :param overdue_s: for how long the oldest of its copies has been older than it should
        be; negative while none is. One table that is old is a sign that the others may
        be, too: a relay that lost the store sends no changes of any table
        (tests/membership/test_row_exchange.py::test_one_old_table_makes_all_due).
    """
    return is_first_relay or overdue_s > overdue_limit_s(rank)
