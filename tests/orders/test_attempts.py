"""The next step after an order, and the timeouts of tasks."""

from __future__ import annotations

import pytest

from limeshelf.orders.attempts import NextStep, next_step, task_timeout_s
from limeshelf.orders.order import OrderKind, OrderOutcome
from limeshelf.orders.task import OrderTask

LOAD_MODEL = OrderTask(OrderKind.LOAD, 'm1', '', 5.0)
UNLOAD_MODEL = OrderTask(OrderKind.UNLOAD, 'm1')
LOAD_ADAPTER = OrderTask(OrderKind.LOAD, 'm1', 'a1')
UNLOAD_ADAPTER = OrderTask(OrderKind.UNLOAD, 'm1', 'a1')
ALL = (LOAD_MODEL, UNLOAD_MODEL, LOAD_ADAPTER, UNLOAD_ADAPTER)


@pytest.mark.parametrize('task', ALL)
@pytest.mark.parametrize(
    'outcome', [OrderOutcome.FENCED_OFF, OrderOutcome.GONE, OrderOutcome.REJECTED]
)
def test_refusal_ends_the_task(task: OrderTask, outcome: OrderOutcome) -> None:
    assert next_step(task, outcome) is NextStep.GIVE_UP


@pytest.mark.parametrize('task', ALL)
def test_unknown_effect_is_checked_before_another_order(task: OrderTask) -> None:
    assert next_step(task, OrderOutcome.BUSY_OR_STALE) is NextStep.CHECK_EFFECT


@pytest.mark.parametrize(
    ('task', 'taken', 'holds_already'),
    [
        (LOAD_MODEL, NextStep.AWAIT_EFFECT, NextStep.AWAIT_EFFECT),
        (UNLOAD_MODEL, NextStep.AWAIT_EFFECT, NextStep.AWAIT_EFFECT),
        (LOAD_ADAPTER, NextStep.START_NEXT_TASK, NextStep.START_NEXT_TASK),
        (UNLOAD_ADAPTER, NextStep.AWAIT_EFFECT, NextStep.START_NEXT_TASK),
    ],
)
def test_only_after_adapter_orders_the_next_task_starts_at_once(
    task: OrderTask, taken: NextStep, holds_already: NextStep
) -> None:
    assert next_step(task, OrderOutcome.TAKEN) is taken
    assert next_step(task, OrderOutcome.HOLDS_ALREADY) is holds_already


@pytest.mark.parametrize(
    ('task', 'timeout_s'),
    [
        (LOAD_MODEL, 20.0),
        (OrderTask(OrderKind.LOAD, 'm1', '', 0.5), 4.0),
        (UNLOAD_MODEL, 20.0),
        (LOAD_ADAPTER, 4.0),
        (UNLOAD_ADAPTER, 4.0),
    ],
)
def test_task_timeout(task: OrderTask, timeout_s: float) -> None:
    assert task_timeout_s(task) == timeout_s
