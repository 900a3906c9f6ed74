"""Which copies stand where, counted once for a plan.

Owns the view of replicas that planning works on, and the counts over it; each question of
the planner then reads one count, since the planner runs several times a second over tens of
replicas and models. Relies on the demand for each model.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.model_demand import NO_DEMAND

if TYPE_CHECKING:
    from limeshelf.calls.routes import EngineSpec, ModelSpec
    from limeshelf.demand.model_demand import ModelDemand

#: A load that takes longer yet keeps its replica from bringing what lies near there in time.
LONG_LOAD_S = 2.0
#: Share of a replica that a copy gets there at the least, however busy others keep it.
MIN_CAPACITY_SHARE = 0.15


class WeightsTier(enum.StrEnum):
    """Where a load finds the weights; the values stand in log lines."""

    MEMORY = 'memory'
    DISK = 'disk'
    STORE = 'store'


@attrs.define
class ReplicaCopies:
    """A replica as the planner of copies sees it.

    :ivar ready: models that it holds and that are not about to be unloaded.
    :ivar loading: models on their way to it.
    :ivar is_idle: whether it can take an order for a whole model now.
    :ivar in_memory: models whose weights lie in the memory of the machine.
    :ivar on_disk: models whose weights lie on its disk.
    :ivar free_in_s: until the load under way there is likely done, in seconds.
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
        """Return whether a copy is there or on its way."""
        return model in self.ready or model in self.loading

    def has_unloaded_local_weights(self) -> bool:
        """Return whether weights lie near here of a model that is neither ready nor coming."""
        return bool((self.in_memory | self.on_disk) - self.ready - self.loading)

    def tier(self, model: str) -> WeightsTier:
        """Return where a load here finds the weights of a model."""
        if model in self.in_memory:
            return WeightsTier.MEMORY
        return WeightsTier.DISK if model in self.on_disk else WeightsTier.STORE

    def needs_store(self, model: str) -> bool:
        """Return whether a load has to fetch the weights from the weight store."""
        return self.tier(model) is WeightsTier.STORE

    def load_s(self, spec: ModelSpec) -> float:
        """Return the time that a load of a model takes here, in seconds."""
        match self.tier(spec.name):
            case WeightsTier.MEMORY:
                return spec.warm_load_s
            case WeightsTier.DISK:
                return spec.disk_load_s
            case WeightsTier.STORE:
                return spec.load_s

    def begin_move(self, model: str, evicted: tuple[str, ...], load_s: float = 0.0) -> None:
        """Count a move that was ordered here.

        :param load_s: time that its load likely takes, in seconds.
        """
        self.is_idle = False
        self.ready -= set(evicted)
        self.loading.add(model)
        self.free_in_s = load_s


@attrs.define
class ModelCopies:
    """The copies of one model.

    :ivar ready: copies that serve.
    :ivar total: copies that serve or are on their way.
    :ivar by_centre: the same as *total*, by data centre; only centres with a copy are in it.
    :ivar capacity: replicas that others leave to all its copies, as a sum of shares.
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
    """What stands where at one moment; made by :meth:`take`.

    :ivar engine: what a replica of the service can hold.
    :ivar idle: the replicas that can take an order for a whole model now.
    :ivar loading: how many replicas load a whole model.
    :ivar adapters_mb: room kept free for adapters at each replica: the most that they may
        take, whatever models they belong to.
    """

    engine: EngineSpec
    demands: dict[str, ModelDemand]
    replicas: list[ReplicaCopies]
    idle: list[ReplicaCopies]
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
        replicas: list[ReplicaCopies],
    ) -> PlacementSnapshot:
        """Count the copies at *replicas*.

        :param demands: by model; a model that is not in it has none.
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
        """Return the copies of a model; none of one that the configuration lacks."""
        return self._copies.get(model, _NO_COPIES)

    def demand(self, model: str) -> ModelDemand:
        """Return the demand for a model."""
        return self.demands.get(model, NO_DEMAND)

    def running_calls(self, model: str) -> float:
        """Return the calls under way at each ready copy of a model, in the mean."""
        return self.demand(model).running / max(1, self.copies(model).ready)

    def copy_share(self, model: str) -> float:
        """Return the share of a replica that each copy of a model keeps busy."""
        return self.demand(model).busy_replicas / max(1, self.copies(model).total)

    def capacity_share(self, model: str, replica: ReplicaCopies) -> float:
        """Return the share of a replica that others there leave for a model."""
        busy_share = self._busy_share[replica.replica_id]
        if replica.has_copy(model):
            busy_share -= self.copy_share(model)
        return min(1.0, max(MIN_CAPACITY_SHARE, 1.0 - busy_share))

    def count_long_loads(self) -> int:
        """Return how many replicas a load keeps for long yet from what lies near there."""
        return sum(
            1
            for one in self.replicas
            if one.free_in_s > LONG_LOAD_S and one.has_unloaded_local_weights()
        )

    def size_mb(self, model: str) -> float:
        """Return the size of a model's weights; 0 if the configuration lacks it."""
        spec = self.engine.models.get(model)
        return spec.size_mb if spec else 0.0

    def free_mb(self, replica: ReplicaCopies) -> float:
        """Return the room for weights at a replica; below zero if it holds too much."""
        known_mb = self._free_mb.get(replica.replica_id)
        if known_mb is None:
            used_mb = sum(self.size_mb(name) for name in replica.ready | replica.loading)
            known_mb = self.engine.capacity_mb - self.adapters_mb - used_mb
            self._free_mb[replica.replica_id] = known_mb
        return known_mb
