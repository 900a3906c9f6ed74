"""How often an order is tried, and when its task is given up.

Owns these rules and their figures; relies on the task and the outcome alone.
:mod:`limeshelf.orders.task_runner` applies them.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from limeshelf.orders.order import OrderKind, OrderOutcome

if TYPE_CHECKING:
    from limeshelf.orders.task import OrderTask

#: Orders that are sent for one task; only an answer that leaves its effect open leads to
#: another one.
MAX_ATTEMPTS = 4
#: Time between polls while an adapter, or a whole model, is on its way.
ADAPTER_POLL_S = 0.03
MODEL_POLL_S = 0.25
#: After an order about an adapter whose effect is open, the number of orders in a report counts
#: from this time on; reports are some 100 ms old.
ADAPTER_SETTLE_S = 0.16
#: The same after an order about a whole model.
MODEL_SETTLE_S = 0.25
#: A load of an adapter that has not come after this time is given up, and the unload of one.
#: It comes late while the weight store is overloaded.
ADAPTER_LIMIT_S = 4.0
#: An unload of a model waits for the calls that run on it; with a shorter wait, moves failed.
MODEL_UNLOAD_LIMIT_S = 20.0
#: A load may take this many times what the configuration says before it is given up.
LOAD_LIMIT_FACTOR = 4.0
#: Before this share of the likely time of a load, polls would only cost.
UNPOLLED_LOAD_SHARE = 0.8

_REFUSALS = (OrderOutcome.FENCED_OFF, OrderOutcome.GONE, OrderOutcome.REJECTED)


class NextStep(enum.Enum):
    """What follows an attempt."""

    #: The next task may go out.
    GO_ON = enum.auto()
    #: Poll until the replica shows the effect.
    AWAIT_EFFECT = enum.auto()
    #: Learn from a settled report whether the order took effect; if not, send again.
    SETTLE = enum.auto()
    GIVE_UP = enum.auto()


def next_step(task: OrderTask, outcome: OrderOutcome) -> NextStep:
    """Return what follows an attempt that ended with *outcome*.

    An order without an answer counts as ``BUSY_OR_STALE``. The load of an adapter
    that was taken lets the next task go out at once, since adapters may be on their
    way together; a whole model occupies the replica until it has come or gone.
    """
    if outcome in _REFUSALS:
        return NextStep.GIVE_UP
    if outcome is OrderOutcome.BUSY_OR_STALE:
        return NextStep.SETTLE
    if task.adapter and (outcome is OrderOutcome.HOLDS_ALREADY or task.kind is OrderKind.LOAD):
        return NextStep.GO_ON
    return NextStep.AWAIT_EFFECT


def time_limit_s(task: OrderTask) -> float:
    """Return after how many seconds without effect a task is given up."""
    if task.kind is OrderKind.UNLOAD and not task.adapter:
        return MODEL_UNLOAD_LIMIT_S
    return max(ADAPTER_LIMIT_S, task.load_s * LOAD_LIMIT_FACTOR)


def poll_interval_s(task: OrderTask) -> float:
    """Return the seconds between polls while a task's effect is awaited."""
    return ADAPTER_POLL_S if task.adapter else MODEL_POLL_S


def settle_interval_s(task: OrderTask) -> float:
    """Return the seconds after an open order from which a report counts."""
    return ADAPTER_SETTLE_S if task.adapter else MODEL_SETTLE_S
