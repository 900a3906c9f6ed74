"""Never two valid leases, with clocks of different rates, pauses and table faults."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limeshelf.standalone.lease.keeper import LeaderLease
from tests.support.fuzzing import run_machine
from tests.support.table import FakeTable, TableFault

LEASE_S = 3.0
#: Rate of each contender's clock.
RATES = (1.0, 1.1)
KEEPERS = st.integers(0, 1)


class LeaseMachine(RuleBasedStateMachine):
    """At most one contender considers its lease valid at any time."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.now_s = 0.0
        self.keepers = [
            LeaderLease(
                self.table, 'x', f'k{n}', LEASE_S, clock=lambda rate=rate: self.now_s * rate
            )
            for n, rate in enumerate(RATES)
        ]

    def teardown(self) -> None:
        self.loop.close()

    @rule(number=KEEPERS, seconds=st.sampled_from([0.0, 0.1, 1.0, 2.9, 4.6]))
    def step(self, number: int, seconds: float) -> None:
        self.now_s += seconds
        self.loop.run_until_complete(self.keepers[number].step())

    @rule(number=KEEPERS)
    def release(self, number: int) -> None:
        self.loop.run_until_complete(self.keepers[number].release())

    @rule(fault=st.sampled_from(list(TableFault)))
    def inject_table_fault(self, fault: TableFault) -> None:
        self.table.next_faults.append(fault)

    @rule()
    def deliver_late_writes(self) -> None:
        self.table.deliver_late()

    @rule(seconds=st.sampled_from([0.5, 3.0, 10.0]))
    def wait(self, seconds: float) -> None:
        self.now_s += seconds

    @invariant()
    def one_at_a_time(self) -> None:
        valid = [keeper.epoch for keeper in self.keepers if keeper.is_valid()]
        assert len(valid) <= 1, valid
        epochs = [keeper.epoch for keeper in self.keepers if keeper.epoch is not None]
        assert len(epochs) == len(set(epochs)), 'two holders of one epoch'


def test_never_two_valid_leases() -> None:
    run_machine(LeaseMachine, examples=500, steps=50)


def test_released_lease_is_acquired_at_once() -> None:
    machine = LeaseMachine()
    machine.step(0, 0.0)
    machine.release(0)
    machine.step(1, 0.0)
    assert machine.keepers[1].is_valid()
    machine.teardown()
