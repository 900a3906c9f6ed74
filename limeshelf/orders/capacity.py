"""Checks that a load fits in a replica's memory, so that it is never overcommitted.

Counts everything that may be in memory at once: what the replica is known to hold, what its last
report lists as held or loading, and each load that was sent and has not been confirmed as complete
or void (:mod:`limeshelf.orders.pending`). Planned loads do not count: each is checked before it is
sent. Keeps no state.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.orders.task import Loadable

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping

    from limeshelf.calls.routes import EngineSpec
    from limeshelf.orders.pending import PendingOrders
    from limeshelf.replicas.record import Holding
    from limeshelf.replicas.replica import Replica


@attrs.frozen
class PossibleContents:
    """Everything that may be in the memory of one replica at this moment.

    :param held: models with their ready adapters, by the replica's reports and answers to calls.
    :param reported: the same by the last report. An answer that something is missing removes it
        from *held* but frees no room
        (tests/orders/test_capacity.py::test_answer_of_a_replica_frees_no_room).
    :param loading: adapters that the last report lists as loading; one whose load was given up
        may still complete (tests/orders/test_capacity.py::test_loading_adapter_takes_a_place).
    :param unconfirmed: loads that were sent and may still complete.
    """

    held: Mapping[str, frozenset[str]]
    reported: tuple[Holding, ...] = ()
    loading: tuple[tuple[str, str], ...] = ()
    unconfirmed: frozenset[Loadable] = frozenset()

    @classmethod
    def of_replica(cls, replica: Replica, pending: PendingOrders) -> PossibleContents:
        """Return what may be in the memory of *replica* now."""
        report = replica.report
        return cls(
            replica.holdings,
            report.holdings if report else (),
            report.loading if report else (),
            pending.unconfirmed_loads(),
        )

    def items(self) -> set[Loadable]:
        """Return every model and adapter that may be in memory."""
        items = set(self.unconfirmed)
        items.update(Loadable(*item) for item in self.loading)
        for model, adapters in self.held.items():
            items |= _model_and_adapters(model, adapters)
        for holding in self.reported:
            items |= _model_and_adapters(holding.model, holding.adapters)
        return items


def _model_and_adapters(model: str, adapters: Iterable[str]) -> set[Loadable]:
    return {Loadable(model), *(Loadable(model, adapter) for adapter in adapters)}


@attrs.frozen
class RoomCheck:
    """Memory and adapter places used with a load, and the limits of the engine.

    :param used_mb: weights and adapters together, in megabytes; models that the
        configuration no longer names count as 0.
    :param capacity_mb: memory for weights and adapters together, in megabytes.
    :param adapters: number of adapters of all models.
    :param adapter_places: number of adapters that a replica can hold at once.
    """

    used_mb: float
    capacity_mb: float
    adapters: int
    adapter_places: int

    @property
    def fits(self) -> bool:
        """Return whether the load may be sent."""
        return self.used_mb <= self.capacity_mb and self.adapters <= self.adapter_places


@attrs.frozen
class ModelUnknown:
    """The current configuration does not name the model, so its size is unknown."""

    @property
    def fits(self) -> bool:
        """Return false: the load may not be sent."""
        return False


def check_room(
    load: Loadable, contents: PossibleContents, engine: EngineSpec | None
) -> RoomCheck | ModelUnknown:
    """Return whether *load* fits in addition to everything that may be in memory.

    :param engine: limits of the service's replicas; ``None`` if they are not configured.
    """
    if engine is None or load.model not in engine.models:
        return ModelUnknown()
    items = contents.items() | {load}
    specs = engine.models
    adapters = [item for item in items if item.adapter]
    used_mb = sum(
        specs[item.model].size_mb for item in items if not item.adapter and item.model in specs
    )
    used_mb += sum(specs[item.model].adapter_mb for item in adapters if item.model in specs)
    return RoomCheck(used_mb, engine.capacity_mb, len(adapters), engine.adapter_places)
