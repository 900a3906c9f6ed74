"""Final check before a load is ordered, independent of the planner.

Reads the ledger of the engine; holds no state.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.standalone.config.items import Item
    from limeshelf.standalone.placement.ledger import Ledger


class LoadCheck(enum.StrEnum):
    """Whether a load may be ordered, and if not, why."""

    ALLOWED = 'allowed'
    ALREADY_THERE = 'already_there'
    NO_MEMORY = 'no_memory'
    BASE_NOT_READY = 'base_not_ready'
    TOO_MANY_LOADS = 'too_many_loads'


def check_load(item: Item, ledger: Ledger, running_loads: int, max_loads: int) -> LoadCheck:
    """Return whether *item* may be loaded on the engine of *ledger*.

    :param running_loads: loads that may be running on all own engines.
    :param max_loads: maximum number of concurrent loads (setting ``placer.max_loads``).
    """
    if item.item_id in ledger.possible_ids():
        return LoadCheck.ALREADY_THERE
    if not ledger.may_load(item.item_id, item.total_bytes):
        return LoadCheck.NO_MEMORY
    if item.base_id and item.base_id not in ledger.sure_ids():
        return LoadCheck.BASE_NOT_READY
    if running_loads >= max_loads:
        return LoadCheck.TOO_MANY_LOADS
    return LoadCheck.ALLOWED
