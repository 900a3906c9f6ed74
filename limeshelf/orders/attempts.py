"""Retry rules for orders: the next step after an outcome, polling intervals and timeouts.

Pure functions of the task and the outcome, applied by :mod:`limeshelf.orders.task_runner`.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

from limeshelf.orders.order import OrderKind, OrderOutcome

if TYPE_CHECKING:
    from limeshelf.orders.task import OrderTask

#: Maximum number of orders for one task. An order is sent again only if its effect is unknown.
MAX_ATTEMPTS = 4
#: Interval between polls while an adapter, or a model, is loaded or unloaded.
ADAPTER_POLL_S = 0.03
MODEL_POLL_S = 0.25
#: After an adapter order with unknown effect, the order number of a report is trusted only once
#: this time has passed, since reports are about 100 ms old.
ADAPTER_REPORT_LAG_S = 0.16
#: The same after a model order.
MODEL_REPORT_LAG_S = 0.25
#: The load or unload of an adapter is given up after this time. Adapters are loaded late while the
#: weight store is overloaded.
ADAPTER_TIMEOUT_S = 4.0
#: The unload of a model waits for its running calls; moves failed with a shorter timeout.
MODEL_UNLOAD_TIMEOUT_S = 20.0
#: A load is given up after this many times the load time in the configuration.
LOAD_TIMEOUT_FACTOR = 4.0
#: Share of the expected load time of a model in which no polls are sent, since they would only
#: cost calls.
UNPOLLED_LOAD_SHARE = 0.8

_REFUSALS = (OrderOutcome.FENCED_OFF, OrderOutcome.GONE, OrderOutcome.REJECTED)


class NextStep(enum.Enum):
    """What to do after an order was sent for a task."""

    #: Start the next task.
    START_NEXT_TASK = enum.auto()
    #: Poll until the replica reports the effect.
    AWAIT_EFFECT = enum.auto()
    #: Check in a current report whether the order took effect; if not, send it again.
    CHECK_EFFECT = enum.auto()
    GIVE_UP = enum.auto()


def next_step(task: OrderTask, outcome: OrderOutcome) -> NextStep:
    """Return the next step after an order that ended with *outcome*.

    An order without an answer counts as ``BUSY_OR_STALE``. After an accepted adapter load the next
    task starts at once, since a replica can load several adapters at the same time; it loads or
    unloads one model at a time.
    """
    if outcome in _REFUSALS:
        return NextStep.GIVE_UP
    if outcome is OrderOutcome.BUSY_OR_STALE:
        return NextStep.CHECK_EFFECT
    if task.adapter and (outcome is OrderOutcome.HOLDS_ALREADY or task.kind is OrderKind.LOAD):
        return NextStep.START_NEXT_TASK
    return NextStep.AWAIT_EFFECT


def task_timeout_s(task: OrderTask) -> float:
    """Return the seconds after which a task without effect is given up."""
    if task.kind is OrderKind.UNLOAD and not task.adapter:
        return MODEL_UNLOAD_TIMEOUT_S
    return max(ADAPTER_TIMEOUT_S, task.load_s * LOAD_TIMEOUT_FACTOR)


def poll_interval_s(task: OrderTask) -> float:
    """Return the seconds between polls while a task waits for its effect."""
    return ADAPTER_POLL_S if task.adapter else MODEL_POLL_S


def report_lag_s(task: OrderTask) -> float:
    """Return the seconds after an order with unknown effect until a report is trusted."""
    return ADAPTER_REPORT_LAG_S if task.adapter else MODEL_REPORT_LAG_S
