"""Placement policies: which models get replicas beyond the required ones.

Owns the registry of policies and the state that each keeps between rounds. A policy only
adds moves to those of the planner (:mod:`limeshelf.standalone.placement.planner`); the ledger
and the unload gate check them, so a policy cannot unload an anchor or overcommit memory.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, ClassVar, Protocol

import attrs

from limeshelf.registry import Registry
from limeshelf.standalone.placement.eviction import eviction_moves
from limeshelf.standalone.placement.view import Move, MoveKind

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Policy
    from limeshelf.standalone.placement.view import EngineView, PlacementView, UnitView


class PlacementPolicy(Protocol):
    """Proposes replicas beyond the required ones."""

    @classmethod
    def from_config(cls, policy: Policy) -> PlacementPolicy:
        """Build the policy with the parameters of *policy*."""
        ...

    def propose(self, view: PlacementView) -> list[Move]:
        """Return the proposed moves, the most useful first."""
        ...


placement_policies: Registry[PlacementPolicy] = Registry('placement policy')


@placement_policies.register('static')
@attrs.define
class StaticPlacement:
    """Keeps only the required replicas."""

    @classmethod
    def from_config(cls, policy: Policy) -> StaticPlacement:
        """Build the policy; it has no parameters."""
        return cls()

    def propose(self, view: PlacementView) -> list[Move]:
        """Return no moves."""
        return []


@placement_policies.register('least-recently-used')
@attrs.define
class SwapOnDemand:
    """Loads a busy model on a further engine and evicts the models idle the longest.

    Serves as the simple baseline in experiments.

    :param busy_load: requests in flight per replica above which a replica is added.
    """

    busy_load: float

    @classmethod
    def from_config(cls, policy: Policy) -> SwapOnDemand:
        """Build the policy; parameter ``busy_load``."""
        return cls(policy.number('busy_load', 2.0))

    def propose(self, view: PlacementView) -> list[Move]:
        """Return one load for each busy model, with the unloads that it needs."""
        moves: list[Move] = []
        for unit in sorted(view.units.values(), key=lambda u: -u.load):
            replicas = len(view.replicas(unit.base.item_id))
            if unit.load <= self.busy_load * max(1, replicas):
                continue
            engine = _least_loaded(unit, view)
            if engine is None:
                continue
            moves += eviction_moves(unit, engine, view, unit.base.total_bytes - engine.free_bytes)
            moves.append(_load(unit, engine, 'busy'))
        return moves


@placement_policies.register('spread')
@attrs.define
class Spread:
    """Balances the load of the engines with few model loads.

    A replica is added only if an engine without the model has so much less load than all
    engines with it that the difference will outlast the load, and only after the previous
    replica of the model has had time to take effect.

    :param gap_load: minimum difference of load, in running requests.
    :param settle_s: minimum time between two additions of the same model.
    :param idle_s: replicas idle for less than this are not evicted.
    """

    #: The best of seven settings in experiments on three variants with two seeds
    #: (docs/design/experiments.rst).
    GAP_LOAD: ClassVar[float] = 8.0
    SETTLE_S: ClassVar[float] = 8.0
    IDLE_S: ClassVar[float] = 30.0

    gap_load: float
    settle_s: float
    idle_s: float
    _added_s: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, policy: Policy) -> Spread:
        """Build the policy; parameters ``gap_load``, ``settle_s``, ``idle_s``."""
        return cls(
            policy.number('gap_load', cls.GAP_LOAD),
            policy.number('settle_s', cls.SETTLE_S),
            policy.number('idle_s', cls.IDLE_S),
        )

    def propose(self, view: PlacementView) -> list[Move]:
        """Return at most one load, with the unloads that it needs."""
        least_load = min((engine.load for engine in view.own_engines), default=0.0)
        for unit in sorted(view.units.values(), key=_gain, reverse=True):
            if unit.load <= 0 or self._was_added_recently(unit, view.now_s):
                continue
            holders = view.replicas(unit.base.item_id)
            lightest_load = min((holder.load for holder in holders), default=0.0)
            if lightest_load - least_load < self.gap_load:
                continue
            engine = _least_loaded(unit, view)
            if engine is None or lightest_load - engine.load < self.gap_load:
                continue
            short_bytes = unit.base.total_bytes - engine.free_bytes
            moves = eviction_moves(unit, engine, view, short_bytes, self.idle_s)
            if not moves and short_bytes > 0:
                continue
            self._added_s[unit.model] = view.now_s
            return [*moves, _load(unit, engine, 'spread')]
        return []

    def _was_added_recently(self, unit: UnitView, now_s: float) -> bool:
        return now_s - self._added_s.get(unit.model, float('-inf')) < self.settle_s


@placement_policies.register('spread-few-moves')
@attrs.define
class SpreadFewMoves(Spread):
    """``Spread`` with a larger gap and longer intervals, for systems where loads are costly.

    A preset that operators select in a configuration (docs/operators/policies.rst).
    """

    #: The setting with the fewest moves in the same experiments.
    GAP_LOAD: ClassVar[float] = 24.0
    SETTLE_S: ClassVar[float] = 120.0
    IDLE_S: ClassVar[float] = 120.0


def _gain(unit: UnitView) -> float:
    return unit.load / max(1, unit.total_bytes)


def _least_loaded(unit: UnitView, view: PlacementView) -> EngineView | None:
    """Return the least loaded own engine without the unit's base model."""
    lacking = [r for r in view.own_engines if unit.base.item_id not in r.possible_ids]
    return min(lacking, key=lambda r: (r.load, -r.free_bytes), default=None)


def _load(unit: UnitView, engine: EngineView, reason: str) -> Move:
    return Move(MoveKind.LOAD, unit.model, engine.upstream_id, unit.base, reason)
