"""Memory is never overcommitted: state machine of two placers, one engine and order faults."""

from __future__ import annotations

import asyncio

import attrs
import pytest
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from limeshelf.errors import LimeshelfError
from limeshelf.metrics.statsd import Metrics
from limeshelf.settings.model import MetricsSettings, PlacerSettings
from limeshelf.standalone.lease.keeper import LeaderLease
from limeshelf.standalone.membership.upstreams import Upstream
from limeshelf.standalone.placement.intents import IntentLog
from limeshelf.standalone.placement.ledger import Ledger
from limeshelf.standalone.placement.worker import EngineWorker, UnnumberedOrder
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.standalone.upstreams.messages import OrderAction
from tests.support.clock import fake_time
from tests.support.engine import OracleEngine, OraclePool
from tests.support.fuzzing import run_machine
from tests.support.table import FakeTable, TableFault

CAPACITY_BYTES = 10
SIZES_BYTES = {'a': 6, 'b': 5, 'c': 4, 'd': 3, 'e': 2}
ITEMS = st.sampled_from(sorted(SIZES_BYTES))
PLACERS = st.integers(0, 1)
KINDS = st.sampled_from(['order', 'order', 'order', 'table', 'outage', 'late'])
ORDER_FAULTS = st.sampled_from(['lost', 'transit', 'doubled', 'answer lost'])


@attrs.define
class Contender:
    """One of the two placers that compete for the lease."""

    lease: LeaderLease
    ledger: Ledger
    worker: EngineWorker


class MemoryMachine(RuleBasedStateMachine):
    """The simulated engine counts its memory, which must never exceed its capacity."""

    checks_fence = True

    def __init__(self) -> None:
        super().__init__()
        self.patch = fake_time()
        self.clock = self.patch.__enter__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.engine = OracleEngine('u', CAPACITY_BYTES, self.checks_fence, self.clock)
        self.placers = [self._contender(number) for number in range(2)]

    def _contender(self, number: int) -> Contender:
        listed = Listed(
            'u',
            ListedKind.ENGINE,
            'x',
            capacity_bytes=CAPACITY_BYTES,
            checks_fence=self.checks_fence,
        )
        settings = PlacerSettings()
        lease = LeaderLease(
            self.table,
            'x',
            f'placer{number}',
            settings.lease_s,
            clock=lambda: self.clock.now_s,
        )
        ledger = Ledger(self.checks_fence)
        pool = OraclePool({'u': self.engine})
        intents = IntentLog(self.table, lease, 'u')
        metrics = Metrics(MetricsSettings(), 'test')
        worker = EngineWorker(Upstream(listed), pool, ledger, lease, intents, settings, metrics)
        return Contender(lease, ledger, worker)

    def teardown(self) -> None:
        self.loop.close()
        self.patch.__exit__(None, None, None)

    def run(self, coroutine) -> None:
        self.loop.run_until_complete(coroutine)

    async def _worker_step(self, worker: EngineWorker) -> None:
        try:
            await worker.step()
        except LimeshelfError:
            return

    @initialize()
    def first_leader(self) -> None:
        self.run(self.placers[0].lease.step())
        self.work(0)

    @rule(number=PLACERS)
    def lead(self, number: int) -> None:
        self.run(self.placers[number].lease.step())

    @rule(number=PLACERS)
    def work(self, number: int) -> None:
        self.run(self._worker_step(self.placers[number].worker))

    @rule(number=PLACERS, items=st.lists(ITEMS, min_size=1, max_size=3))
    def load(self, number: int, items: list[str]) -> None:
        placer = self.placers[number]
        for item in items:
            size_bytes = SIZES_BYTES[item]
            if not self._may_decide(placer) or item in placer.ledger.possible_ids():
                continue
            if placer.ledger.may_load(item, size_bytes):
                placer.worker.submit(UnnumberedOrder(OrderAction.LOAD, item, '', size_bytes))
        self.work(number)

    @rule(number=PLACERS, item=ITEMS)
    def unload(self, number: int, item: str) -> None:
        placer = self.placers[number]
        if self._may_decide(placer) and item in placer.ledger.sure_ids():
            placer.worker.submit(UnnumberedOrder(OrderAction.UNLOAD, item, '', 0))
        self.work(number)

    @rule(number=PLACERS, last_item=ITEMS, fault=ORDER_FAULTS)
    def take_over(self, number: int, last_item: str, fault: str) -> None:
        """The other placer sends a last order and pauses; this one acquires the lease."""
        self.lead(1 - number)
        self.lead(number)
        self.clock.advance(2.5)
        self.engine.next_order = fault
        self.load(1 - number, [last_item])
        self.clock.advance(2.5)
        self.lead(number)
        self.work(number)

    def _may_decide(self, placer: Contender) -> bool:
        return placer.worker.is_ready and (self.checks_fence or placer.lease.is_valid())

    @rule(seconds=st.sampled_from([0.2, 1.0, 3.0, 8.0]))
    def wait(self, seconds: float) -> None:
        self.clock.advance(seconds)

    @precondition(lambda self: self.engine.transit)
    @rule(data=st.data(), again=st.booleans())
    def arrive_late(self, data, again: bool) -> None:
        index = data.draw(st.integers(0, len(self.engine.transit) - 1))
        order = self.engine.transit[index] if again else self.engine.transit.pop(index)
        self.engine.take(order)

    @rule(event=st.sampled_from(['finish', 'restart', 'finish']))
    def engine_event(self, event: str) -> None:
        if event == 'restart':
            self.engine.restart()
        else:
            self.engine.finish()

    @rule(order_fault=ORDER_FAULTS, table_fault=st.sampled_from(list(TableFault)), kind=KINDS)
    def inject_fault(self, order_fault: str, table_fault: TableFault, kind: str) -> None:
        """Inject an order or table fault, toggle a table outage or deliver late writes."""
        if kind == 'order':
            self.engine.next_order = order_fault
        elif kind == 'table':
            self.table.next_faults.append(table_fault)
        elif kind == 'outage':
            self.table.down = not self.table.down
        else:
            self.table.deliver_late()

    @rule(number=PLACERS, lag=st.integers(0, 3))
    def lag_reports(self, number: int, lag: int) -> None:
        self.placers[number].worker._pool.clients['u'].lag = lag

    @invariant()
    def never_overcommitted(self) -> None:
        assert self.engine.used_bytes <= CAPACITY_BYTES, self.engine.items


class UnfencedMemoryMachine(MemoryMachine):
    """The same with an engine that checks neither fence nor order numbers."""

    checks_fence = False


@pytest.mark.parametrize('machine', [MemoryMachine, UnfencedMemoryMachine])
def test_memory_is_never_overcommitted(machine) -> None:
    run_machine(machine, examples=400, steps=50)
