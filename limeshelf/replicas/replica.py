"""One start of a replica, with the state that this process keeps of it.

Several packages write to it, each its own fields; the class names the owner of each.
"""

from __future__ import annotations

import attrs

from limeshelf.replicas.backpressure import Backpressure
from limeshelf.replicas.health import ReplicaHealth
from limeshelf.replicas.record import Holding, ReplicaRecord, ReplicaReport
from limeshelf.replicas.starts import KnownStart, ReplicaStart
from limeshelf.util.clock import boottime_s


@attrs.define
class Load:
    """What is under way at a replica.

    :ivar calls: calls under way.
    :ivar tokens: tokens of its memory that they likely fill.
    """

    calls: int = 0
    tokens: int = 0


@attrs.define(eq=False)
class Replica:
    """One start of a replica; its restart begins another, also under the same id.

    Written by :class:`~limeshelf.replicas.directory.ReplicaDirectory`:

    :ivar record: its newest row in the store.
    :ivar report: its newest report, its own or a peer's copy; ``None`` before the first.
    :ivar reported_s: arrival of that report here, on the steady clock.
    :ivar holdings: model to its ready adapters.
    :ivar leaving: it said so, or another replica has its address.
    :ivar gone: its row was deleted, it has started again, or another replica answered at its
        address; a later row begins a new object.
    :ivar start: what is kept of it elsewhere is kept by this.
    :ivar known_start: what it says of that start.

    Written by others:

    :ivar order_number: orders that it has taken, ``None`` until the first report;
        raised by :mod:`limeshelf.orders` when it takes an order.
    :ivar retiring: models that :mod:`limeshelf.orders` is about to unload; they
        take no new calls.
    :ivar own: calls of this process under way there, counted by
        :mod:`limeshelf.gateway.pipeline`.
    :ivar health: updated with each outcome by :mod:`limeshelf.gateway.pipeline`, and
        with probes by :mod:`limeshelf.replicas.pool`.
    :ivar backpressure: what it asks the gateways for, taken by
        :mod:`limeshelf.replicas.notices`; that of its start, also where its row went and
        came back.
    """

    record: ReplicaRecord
    holdings: dict[str, frozenset[str]]
    order_number: int | None = None
    gone: bool = False
    own: Load = attrs.field(factory=Load)
    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    report: ReplicaReport | None = None
    reported_s: float = 0.0
    backpressure: Backpressure = attrs.field(factory=Backpressure)
    leaving: bool = False
    retiring: set[str] = attrs.field(factory=set)
    start: ReplicaStart = attrs.Factory(
        lambda self: ReplicaStart(self.record.replica_id), takes_self=True
    )
    known_start: KnownStart = attrs.Factory(
        lambda self: KnownStart(self.record.born_ms, boottime_s()), takes_self=True
    )

    @property
    def replica_id(self) -> str:
        """Return its id."""
        return self.record.replica_id

    @property
    def takes_calls(self) -> bool:
        """Return whether it is there and does not leave.

        That its start leaves may have been heard by a call that was sent before its row lapsed and
        came back.
        """
        return not (self.gone or self.leaving or self.backpressure.leaving)

    def holds(self, model: str, adapter: str = '') -> bool:
        """Return whether a model, or an adapter of it, is ready there."""
        adapters = self.holdings.get(model)
        if adapters is None or model in self.retiring:
            return False
        return not adapter or adapter in adapters


def by_model(holdings: tuple[Holding, ...]) -> dict[str, frozenset[str]]:
    """Return models with their ready adapters."""
    return {holding.model: holding.adapters for holding in holdings}
