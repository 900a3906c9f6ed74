"""What an order is about: a model or an adapter to load or to unload at a replica.

Owns nothing; relies on the replica's holdings, by its last report or answer.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

import attrs

from limeshelf.orders.order import OrderKind

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec
    from limeshelf.replicas.replica import Replica


class Loadable(NamedTuple):
    """A model, or one adapter of it.

    :param adapter: empty where the model itself is meant.
    """

    model: str
    adapter: str = ''


@attrs.frozen
class OrderTask:
    """Something to load or unload at a replica; may take several orders.

    :param adapter: empty where the model itself is meant.
    :param load_s: how long the load of a model likely takes, in seconds; 0 for all else.
    """

    kind: OrderKind
    model: str
    adapter: str = ''
    load_s: float = 0.0

    @property
    def item(self) -> Loadable:
        """Return what is loaded or unloaded."""
        return Loadable(self.model, self.adapter)

    @property
    def loads_model(self) -> bool:
        """Return whether a whole model is loaded."""
        return self.kind is OrderKind.LOAD and not self.adapter

    def is_done(self, replica: Replica) -> bool:
        """Return whether the replica is seen to hold, or not to hold, the item."""
        # Not holds(): a model that retires takes no calls but is still in memory
        # (tests/orders/test_sender.py::test_load_waits_for_late_unload).
        adapters = replica.holdings.get(self.model)
        held = adapters is not None and (not self.adapter or self.adapter in adapters)
        return held if self.kind is OrderKind.LOAD else not held


def claim_task(replica: Replica, engine: EngineSpec) -> OrderTask:
    """Return the order of a claim: the unload of something that a replica does not hold.

    It names something that exists: a replica cannot take an order about what does not, so
    whether it notes the fence of one is open.
    """
    loading = set(replica.report.loading) if replica.report else set()
    for model, spec in engine.models.items():
        held = replica.holdings.get(model, frozenset())
        for adapter in sorted(spec.adapters - held):
            if (model, adapter) not in loading:
                return OrderTask(OrderKind.UNLOAD, model, adapter)
    absent = [model for model in engine.models if model not in replica.holdings]
    return OrderTask(OrderKind.UNLOAD, next(iter(absent), next(iter(engine.models))))
