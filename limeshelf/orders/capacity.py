"""Whether a load fits in a replica's memory: the promise that it is never overcommitted.

Counts everything that may be there at once: what is known to be held, what the last
report lists, what is on its way by that report, and each load that was sent and has
not been seen to arrive or to be void. What is merely planned does not count: its
own load is checked before it goes out.
Owns the rule alone; relies on :mod:`limeshelf.orders.pending` for loads that were sent.
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
    """What may be in the memory of one replica at this moment.

    :param held: models with their ready adapters, by reports and answers of the replica.
    :param reported: the same by the last report. An answer that something is
        missing takes it out of *held* but frees no room
        (tests/orders/test_capacity.py::test_answer_of_a_replica_frees_no_room).
    :param loading: adapters that the last report lists as on their way; also one
        that was given up may still come
        (tests/orders/test_capacity.py::test_adapter_on_its_way_takes_a_place).
    :param unconfirmed: loads that were sent and may arrive.
    """

    held: Mapping[str, frozenset[str]]
    reported: tuple[Holding, ...] = ()
    loading: tuple[tuple[str, str], ...] = ()
    unconfirmed: frozenset[Loadable] = frozenset()

    @classmethod
    def of_replica(cls, replica: Replica, pending: PendingOrders) -> PossibleContents:
        """Return what may be at a replica now."""
        report = replica.report
        return cls(
            replica.holdings,
            report.holdings if report else (),
            report.loading if report else (),
            pending.unconfirmed_loads(),
        )

    def items(self) -> set[Loadable]:
        """Return every model and adapter that may be there."""
        items = set(self.unconfirmed)
        items.update(Loadable(*item) for item in self.loading)
        for model, adapters in self.held.items():
            items |= _with_adapters(model, adapters)
        for holding in self.reported:
            items |= _with_adapters(holding.model, holding.adapters)
        return items


def _with_adapters(model: str, adapters: Iterable[str]) -> set[Loadable]:
    return {Loadable(model), *(Loadable(model, adapter) for adapter in adapters)}


@attrs.frozen
class RoomCheck:
    """What would be in memory with a load, against what the engine bears.

    :param used_mb: weights and adapters together, in megabytes; models that the
        configuration no longer names count as nothing.
    :param capacity_mb: room for weights and adapters together, in megabytes.
    :param adapters: adapters of all models.
    :param adapter_places: adapters that a replica holds at once.
    """

    used_mb: float
    capacity_mb: float
    adapters: int
    adapter_places: int

    @property
    def fits(self) -> bool:
        """Return whether the load may go out."""
        return self.used_mb <= self.capacity_mb and self.adapters <= self.adapter_places


@attrs.frozen
class ModelUnknown:
    """The configuration in force does not name the model, so its size is unknown."""

    @property
    def fits(self) -> bool:
        """Return that the load may not go out."""
        return False


def check_room(
    load: Loadable, contents: PossibleContents, engine: EngineSpec | None
) -> RoomCheck | ModelUnknown:
    """Return whether *load* fits beside all that may be there.

    :param engine: what the replicas of the service bear; ``None`` where no
        configuration in force says so.
    """
    if engine is None or load.model not in engine.models:
        return ModelUnknown()
    items = contents.items() | {load}
    known = engine.models
    adapters = [item for item in items if item.adapter]
    used_mb = sum(
        known[item.model].size_mb for item in items if not item.adapter and item.model in known
    )
    used_mb += sum(known[item.model].adapter_mb for item in adapters if item.model in known)
    return RoomCheck(used_mb, engine.capacity_mb, len(adapters), engine.adapter_places)
