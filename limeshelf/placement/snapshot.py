"""The state of replicas and model copies that one planning round works on.

Copies and free capacity are counted once per snapshot, since the planner queries them several
times a second over tens of replicas and models.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.model_demand import NO_DEMAND

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec, ModelSpec
    from limeshelf.demand.model_demand import ModelDemand

#: A replica whose running load takes longer than this cannot load its local weights in time.
LONG_LOAD_S = 2.0
#: Minimum share of a replica that counts as available to a copy, however busy other copies keep
#: it.
MIN_CAPACITY_SHARE = 0.15


class WeightsTier(enum.StrEnum):
    """Where a load finds the weights; the values appear in log lines."""

    MEMORY = 'memory'
    DISK = 'disk'
    STORE = 'store'


@attrs.define
class ReplicaView:
    """The planner's view of a replica.

    :ivar ready: models that it holds and that are not about to be unloaded.
    :ivar loading: models that are being loaded.
    :ivar is_idle: whether it can accept an order for a whole model now.
    :ivar in_memory: models whose weights are in the memory of its machine.
    :ivar on_disk: models whose weights are on the disk of its machine.
    :ivar free_in_s: estimated seconds until the running load is done.
    """

    replica_id: str
    ready: set[str]
    loading: set[str]
    is_idle: bool
    data_centre: str = ''
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    free_in_s: float = 0.0

    def has_copy(self, model: str) -> bool:
        """Return whether the replica holds a model or is loading it."""
        return model in self.ready or model in self.loading

    def has_unloaded_local_weights(self) -> bool:
        """Return whether it has local weights of a model that it neither holds nor is loading."""
        return bool((self.in_memory | self.on_disk) - self.ready - self.loading)

    def tier(self, model: str) -> WeightsTier:
        """Return where a load on this replica finds the weights of a model."""
        if model in self.in_memory:
            return WeightsTier.MEMORY
        return WeightsTier.DISK if model in self.on_disk else WeightsTier.STORE

    def needs_store(self, model: str) -> bool:
        """Return whether a load has to fetch the weights from the weight store."""
        return self.tier(model) is WeightsTier.STORE

    def load_s(self, spec: ModelSpec) -> float:
        """Return how long a load of a model takes on this replica, in seconds."""
        match self.tier(spec.name):
            case WeightsTier.MEMORY:
                return spec.warm_load_s
            case WeightsTier.DISK:
                return spec.disk_load_s
            case WeightsTier.STORE:
                return spec.load_s

    def apply_move(self, model: str, evicted: tuple[str, ...], load_s: float = 0.0) -> None:
        """Apply a move that was ordered on this replica.

        :param load_s: estimated duration of its load, in seconds.
        """
        self.is_idle = False
        self.ready -= set(evicted)
        self.loading.add(model)
        self.free_in_s = load_s


@attrs.define
class ModelCopies:
    """The copies of one model.

    :ivar ready: copies that serve calls.
    :ivar total: copies that serve calls or are being loaded.
    :ivar by_centre: *total* by data centre; only data centres with a copy are listed.
    :ivar capacity: replicas available to all its copies, as a sum of shares.
    :ivar ready_capacity: the same for the ready copies alone.
    """

    ready: int = 0
    total: int = 0
    by_centre: dict[str, int] = attrs.field(factory=dict)
    capacity: float = 0.0
    ready_capacity: float = 0.0


_NO_COPIES = ModelCopies()


@attrs.frozen
class PlacementSnapshot:
    """The replicas and copies at one moment; created by :meth:`capture`.

    :ivar engine: the service's models and the capacity of each replica.
    :ivar idle: the replicas that can accept an order for a whole model now.
    :ivar loading: number of replicas that are loading a whole model.
    :ivar adapters_mb: memory reserved for adapters on each replica: the most that they can
        occupy, whatever models they belong to.
    """

    engine: EngineSpec
    demands: dict[str, ModelDemand]
    replicas: list[ReplicaView]
    idle: list[ReplicaView]
    loading: int
    adapters_mb: float
    _copies: dict[str, ModelCopies]
    _busy_share: dict[str, float]
    _free_mb: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def capture(
        cls,
        engine: EngineSpec,
        demands: dict[str, ModelDemand],
        replicas: list[ReplicaView],
    ) -> PlacementSnapshot:
        """Count the copies on *replicas*.

        :param demands: by model; a missing model has no demand.
        """
        largest_mb = max((spec.adapter_mb for spec in engine.models.values()), default=0.0)
        adapters_mb = largest_mb * engine.adapter_places
        copies = {name: ModelCopies() for name in engine.models}
        idle = [replica for replica in replicas if replica.is_idle]
        loading = sum(1 for replica in replicas if replica.loading)
        snapshot = cls(engine, demands, replicas, idle, loading, adapters_mb, copies, {})
        snapshot._count_copies()
        snapshot._sum_shares()
        return snapshot

    def _count_copies(self) -> None:
        known = self.engine.models.keys()
        for replica in self.replicas:
            for model in replica.ready & known:
                self._copies[model].ready += 1
            for model in (replica.ready | replica.loading) & known:
                copies = self._copies[model]
                copies.total += 1
                centre = replica.data_centre
                copies.by_centre[centre] = copies.by_centre.get(centre, 0) + 1

    def _sum_shares(self) -> None:
        for replica in self.replicas:
            shares = map(self.copy_share, replica.ready | replica.loading)
            self._busy_share[replica.replica_id] = sum(shares)
        known = self.engine.models.keys()
        for replica in self.replicas:
            for model in (replica.ready | replica.loading) & known:
                capacity = self.capacity_share(model, replica)
                copies = self._copies[model]
                copies.capacity += capacity
                if model in replica.ready:
                    copies.ready_capacity += capacity

    def copies(self, model: str) -> ModelCopies:
        """Return the copies of a model; none if the configuration does not list it."""
        return self._copies.get(model, _NO_COPIES)

    def demand(self, model: str) -> ModelDemand:
        """Return the demand for a model; :data:`NO_DEMAND` if it has none."""
        return self.demands.get(model, NO_DEMAND)

    def running_calls(self, model: str) -> float:
        """Return the mean number of running calls per ready copy of a model."""
        return self.demand(model).running / max(1, self.copies(model).ready)

    def copy_share(self, model: str) -> float:
        """Return the share of a replica that each copy of a model keeps busy."""
        return self.demand(model).busy_replicas / max(1, self.copies(model).total)

    def capacity_share(self, model: str, replica: ReplicaView) -> float:
        """Return the share of a replica that its other copies leave to a model."""
        busy_share = self._busy_share[replica.replica_id]
        if replica.has_copy(model):
            busy_share -= self.copy_share(model)
        return min(1.0, max(MIN_CAPACITY_SHARE, 1.0 - busy_share))

    def count_long_loads(self) -> int:
        """Return how many replicas with unloaded local weights stay busy with a load for long."""
        return sum(
            1
            for one in self.replicas
            if one.free_in_s > LONG_LOAD_S and one.has_unloaded_local_weights()
        )

    def size_mb(self, model: str) -> float:
        """Return the size of a model's weights; 0 if the configuration does not list it."""
        spec = self.engine.models.get(model)
        return spec.size_mb if spec else 0.0

    def free_mb(self, replica: ReplicaView) -> float:
        """Return the memory free for weights on a replica; negative if it holds too much."""
        known_mb = self._free_mb.get(replica.replica_id)
        if known_mb is None:
            used_mb = sum(self.size_mb(name) for name in replica.ready | replica.loading)
            known_mb = self.engine.capacity_mb - self.adapters_mb - used_mb
            self._free_mb[replica.replica_id] = known_mb
        return known_mb
