"""At most once: several instances, one key at several of them, every fault of the table."""

from __future__ import annotations

import asyncio

from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from limeshelf.standalone.claims.keeper import (
    Claimed,
    ClaimedBefore,
    ClaimKeeper,
    KeptAnswer,
)
from tests.support.fuzzing import run_machine
from tests.support.table import FakeTable, TableFault

KEYS = st.sampled_from(['k1', 'k2'])
CALLS = st.sampled_from(['book 9', 'book 10'])


class ClaimsMachine(RuleBasedStateMachine):
    """The upstream counts its runs for each key; a call answered as not run never ran."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = asyncio.new_event_loop()
        self.table = FakeTable()
        self.keeper = ClaimKeeper(self.table)
        self.runs: dict[str, list[str]] = {}
        self.held: list[tuple[str, str, Claimed]] = []

    def teardown(self) -> None:
        self.loop.close()

    def run(self, coroutine):
        return self.loop.run_until_complete(coroutine)

    @rule(key=KEYS, call=CALLS)
    def claim(self, key: str, call: str) -> None:
        """A request arrives; whoever gets the claim may send, and may die instead."""
        outcome = self.run(self.keeper.claim('booking/depot', key, call))
        if isinstance(outcome, Claimed):
            self.held.append((key, call, outcome))
        elif isinstance(outcome, ClaimedBefore) and outcome.answer is not None:
            assert self.runs[key] == [call], 'an answer of a call that did not run'
            assert outcome.answer.body == f'answer to {call}'

    @rule(data=st.data(), then=st.sampled_from(['keep', 'die', 'not run']))
    def send(self, data, then: str) -> None:
        if not self.held:
            return
        index = data.draw(st.integers(0, len(self.held) - 1))
        key, call, claim = self.held.pop(index)
        if then == 'not run':
            self.run(self.keeper.give_back(claim))
            return
        self.runs.setdefault(key, []).append(call)
        if then == 'keep':
            answer = KeptAnswer(200, 'text/plain', f'answer to {call}')
            self.run(self.keeper.keep_answer(claim, answer, call))

    @rule()
    def holder_dies(self) -> None:
        if self.held:
            self.held.pop()

    @rule(fault=st.sampled_from(list(TableFault)))
    def strike(self, fault: TableFault) -> None:
        self.table.next_faults.append(fault)

    @rule()
    def late(self) -> None:
        self.table.deliver_late()

    @invariant()
    def at_most_once(self) -> None:
        for key, calls in self.runs.items():
            assert len(calls) <= 1, f'{key} ran {calls}'


def test_a_key_runs_at_most_once() -> None:
    run_machine(ClaimsMachine, examples=400, steps=40)
