"""Memory is never overcommitted: sequences that random testing rarely reaches."""

from __future__ import annotations

import contextlib

import pytest

from tests.standalone.placement.test_memory_machine import (
    CAPACITY_BYTES,
    MemoryMachine,
    UnfencedMemoryMachine,
)


@contextlib.contextmanager
def machine(kind):
    made = kind()
    try:
        made.first_leader()
        made.work(0)
        yield made
    finally:
        made.teardown()


def test_restarted_engine_is_fenced_anew() -> None:
    """A restarted engine has lost its fence and would accept orders of a former leader."""
    with machine(MemoryMachine) as made:
        made.take_over(1, 'e', 'lost')
        made.work(1)
        made.engine.restart()
        made.work(1)
        made.work(0)
        made.load(0, ['b'])
        made.load(1, ['a'])
        assert made.engine.used_bytes <= CAPACITY_BYTES


def test_old_holder_is_stopped_by_the_fence() -> None:
    """A former leader sends orders after a pause because it has not seen its lease expire."""
    with machine(MemoryMachine) as made:
        made.work(1)
        made.take_over(1, 'e', 'lost')
        made.load(1, ['a'])
        made.load(0, ['b'])
        made.load(0, ['c'])
        assert made.engine.used_bytes <= CAPACITY_BYTES
        assert made.placers[0].lease.epoch is None


def test_intent_of_the_predecessor_counts_where_no_fence_is_checked() -> None:
    """The last order of the former leader is in transit while the new leader plans."""
    with machine(UnfencedMemoryMachine) as made:
        made.work(1)
        made.take_over(1, 'a', 'transit')
        assert made.engine.transit
        made.work(1)
        made.load(1, ['b'])
        made.engine.take(made.engine.transit.pop())
        assert made.engine.used_bytes <= CAPACITY_BYTES


def test_unfenced_order_counts_until_it_has_expired() -> None:
    """If the engine checks no numbers, a later order does not resolve an earlier one."""
    with machine(UnfencedMemoryMachine) as made:
        made.engine.next_order = 'transit'
        made.load(0, ['a'])
        made.load(0, ['e'])
        made.work(0)
        made.load(0, ['b'])
        made.engine.take(made.engine.transit.pop())
        assert made.engine.used_bytes <= CAPACITY_BYTES


def test_unfenced_order_is_settled_in_the_end() -> None:
    with machine(UnfencedMemoryMachine) as made:
        made.engine.next_order = 'lost'
        made.load(0, ['a'])
        assert made.placers[0].ledger.free_bytes == 4
        for _ in range(4):
            made.clock.advance(2.0)
            made.lead(0)
            made.work(0)
        assert made.placers[0].ledger.free_bytes == CAPACITY_BYTES


def test_lost_order_is_settled_by_a_fence_order() -> None:
    with machine(MemoryMachine) as made:
        made.engine.next_order = 'lost'
        made.load(0, ['a'])
        assert made.placers[0].ledger.free_bytes == 4
        made.clock.advance(6.0)
        made.lead(0)
        made.work(0)
        made.work(0)
        assert made.placers[0].ledger.free_bytes == CAPACITY_BYTES


def test_late_load_after_its_unload_is_refused() -> None:
    with machine(MemoryMachine) as made:
        made.engine.next_order = 'doubled'
        made.load(0, ['a'])
        made.engine.finish()
        made.work(0)
        made.unload(0, 'a')
        made.engine.finish()
        made.work(0)
        made.load(0, ['b'])
        made.engine.take(made.engine.transit.pop())
        assert made.engine.used_bytes <= CAPACITY_BYTES


@pytest.mark.parametrize('kind', [MemoryMachine, UnfencedMemoryMachine])
def test_plain_load_and_unload(kind) -> None:
    with machine(kind) as made:
        made.load(0, ['a', 'c'])
        made.engine.finish()
        assert made.engine.ready() == {'a', 'c'}
