"""State of one start of a replica in this process.

Several packages write to it; the class documents which package owns each field.
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
    """Calls in progress at a replica.

    :ivar calls: number of calls.
    :ivar tokens: expected size of these calls in the replica's memory, in tokens.
    """

    calls: int = 0
    tokens: int = 0


@attrs.define(eq=False)
class Replica:
    """One start of a replica; a restart creates another object, even under the same id.

    Written by :class:`~limeshelf.replicas.directory.ReplicaDirectory`:

    :ivar record: its newest row in the store.
    :ivar report: its newest report, received directly or from a peer; ``None`` before the first.
    :ivar reported_s: when that report arrived, on the boot clock.
    :ivar holdings: ready adapters by model.
    :ivar leaving: it announced that it is leaving.
    :ivar superseded: the row of another replica with its address arrived later.
    :ivar gone: its row was deleted, it has restarted, or another replica responded at its
        address; a later row creates a new object.
    :ivar start: key for state that other modules keep of this start.
    :ivar known_start: the start time that the replica states.

    Written by others:

    :ivar order_number: number of orders that it has accepted, ``None`` until the first report;
        increased by :mod:`limeshelf.orders` when it accepts an order.
    :ivar retiring: models that :mod:`limeshelf.orders` is about to unload; they get no new calls.
    :ivar own_load: calls of this process in progress there, counted by
        :mod:`limeshelf.gateway.pipeline`.
    :ivar health: updated with each outcome by :mod:`limeshelf.gateway.pipeline`, and
        with probes by :mod:`limeshelf.replicas.pool`.
    :ivar backpressure: its requests to the gateways, recorded by
        :mod:`limeshelf.replicas.notices`; kept if its row is deleted and written again.
    """

    record: ReplicaRecord
    holdings: dict[str, frozenset[str]]
    order_number: int | None = None
    gone: bool = False
    own_load: Load = attrs.field(factory=Load)
    health: ReplicaHealth = attrs.field(factory=ReplicaHealth)
    report: ReplicaReport | None = None
    reported_s: float = 0.0
    backpressure: Backpressure = attrs.field(factory=Backpressure)
    leaving: bool = False
    superseded: bool = False
    retiring: set[str] = attrs.field(factory=set)
    start: ReplicaStart = attrs.Factory(
        lambda self: ReplicaStart(self.record.replica_id), takes_self=True
    )
    known_start: KnownStart = attrs.Factory(
        lambda self: KnownStart(self.record.born_ms, boottime_s()), takes_self=True
    )

    @property
    def replica_id(self) -> str:
        """Return the id in its row."""
        return self.record.replica_id

    @property
    def takes_calls(self) -> bool:
        """Return whether it may get new calls: it is not gone, leaving or superseded.

        Its backpressure is checked too: a call sent before its row was deleted and written again
        may have received the announcement that it is leaving.
        """
        return not (self.gone or self.leaving or self.superseded or self.backpressure.leaving)

    def holds(self, model: str, adapter: str = '') -> bool:
        """Return whether a model, or an adapter of it, is ready and not about to be unloaded."""
        adapters = self.holdings.get(model)
        if adapters is None or model in self.retiring:
            return False
        return not adapter or adapter in adapters


def holdings_by_model(holdings: tuple[Holding, ...]) -> dict[str, frozenset[str]]:
    """Return the ready adapters by model."""
    return {holding.model: holding.adapters for holding in holdings}
