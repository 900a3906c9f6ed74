"""Unit tests of the check before a load."""

from __future__ import annotations

from limeshelf.standalone.config.items import Item
from limeshelf.standalone.placement.ledger import Ledger
from limeshelf.standalone.placement.load_check import LoadCheck, check_load
from limeshelf.standalone.upstreams.messages import EngineReport, HeldItem, ItemState

BASE = Item('m@1', '', 6, 1)
ADAPTER = Item('m@1+a@1', 'm@1', 1, 1)


def ledger(*held: HeldItem) -> Ledger:
    """Return the ledger of an engine of ten bytes after one report."""
    made = Ledger(checks_fence=True)
    used_bytes = sum(item.total_bytes for item in held)
    made.record_report(EngineReport('b', 1, 10, used_bytes, 0, 0, False, 1, 1, list(held)), 0.0)
    return made


def test_load_that_fits_is_allowed() -> None:
    assert check_load(BASE, ledger(), 0, 1) is LoadCheck.ALLOWED


def test_item_that_may_be_there_is_not_loaded_again() -> None:
    loading = HeldItem('m@1', ItemState.LOADING, 6)
    assert check_load(BASE, ledger(loading), 0, 9) is LoadCheck.ALREADY_THERE


def test_load_beyond_the_memory_is_held_back() -> None:
    other = HeldItem('n@1', ItemState.READY, 5)
    assert check_load(BASE, ledger(other), 0, 9) is LoadCheck.NO_MEMORY


def test_nothing_is_loaded_before_the_first_report() -> None:
    assert check_load(BASE, Ledger(checks_fence=True), 0, 9) is LoadCheck.NO_MEMORY


def test_adapter_waits_for_its_base() -> None:
    loading = HeldItem('m@1', ItemState.LOADING, 6)
    assert check_load(ADAPTER, ledger(loading), 0, 9) is LoadCheck.BASE_NOT_READY
    ready = HeldItem('m@1', ItemState.READY, 6)
    assert check_load(ADAPTER, ledger(ready), 0, 9) is LoadCheck.ALLOWED


def test_loads_at_one_time_are_limited() -> None:
    assert check_load(BASE, ledger(), 2, 2) is LoadCheck.TOO_MANY_LOADS
