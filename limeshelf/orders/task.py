"""Tasks for orders: a model or an adapter to load or unload at a replica.

Keeps no state. Whether a task is done is read from the replica's holdings, by its last report or
answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import attrs

from limeshelf.orders.order import OrderKind

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.replicas.replica import Replica


class Loadable(NamedTuple):
    """A model, or one of its adapters.

    :param adapter: empty for the model itself.
    """

    model: str
    adapter: str = ''


@attrs.frozen
class OrderTask:
    """A load or an unload at a replica; it may need several orders.

    :param adapter: empty for the model itself.
    :param load_s: expected duration of the load of a model, in seconds; 0 for other tasks.
    """

    kind: OrderKind
    model: str
    adapter: str = ''
    load_s: float = 0.0

    @property
    def item(self) -> Loadable:
        """Return the model or adapter to load or unload."""
        return Loadable(self.model, self.adapter)

    @property
    def loads_model(self) -> bool:
        """Return whether the task is the load of a model."""
        return self.kind is OrderKind.LOAD and not self.adapter

    def is_done(self, replica: Replica) -> bool:
        """Return whether the replica's holdings show the effect of the task."""
        # Not replica.holds(): a retiring model gets no calls but is still in memory
        # (tests/orders/test_sender.py::test_load_waits_for_late_unload).
        adapters = replica.holdings.get(self.model)
        held = adapters is not None and (not self.adapter or self.adapter in adapters)
        return held if self.kind is OrderKind.LOAD else not held


def claim_task(replica: Replica, engine: EngineSpec) -> OrderTask:
    """Return the task of a claim: the unload of something that the replica does not hold.

    It names a configured model or adapter. A replica cannot accept an order about an unknown one,
    and may not store the fence of such an order.
    """
    loading = set(replica.report.loading) if replica.report else set()
    for model, spec in engine.models.items():
        held = replica.holdings.get(model, frozenset())
        for adapter in sorted(spec.adapters - held):
            if (model, adapter) not in loading:
                return OrderTask(OrderKind.UNLOAD, model, adapter)
    absent = [model for model in engine.models if model not in replica.holdings]
    return OrderTask(OrderKind.UNLOAD, next(iter(absent), next(iter(engine.models))))
