"""Placement policies: which models get more replicas than they must have.

Owns the registry of policies and what each remembers between rounds. A policy only
adds moves to the rules that every placement keeps
(:mod:`limeshelf.standalone.placement.planner`); the ledger and the unload gate judge
them, so it cannot unload an anchor or overcommit.
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
    """Asks for further replicas."""

    @classmethod
    def from_config(cls, policy: Policy) -> PlacementPolicy:
        """Build the policy with the numbers of *policy*."""
        ...

    def propose(self, view: PlacementView) -> list[Move]:
        """Return the moves that it asks for, the most useful first."""
        ...


placement_policies: Registry[PlacementPolicy] = Registry('placement policy')


@placement_policies.register('static')
@attrs.define
class StaticPlacement:
    """Keep the replicas that every model must have, and no others."""

    @classmethod
    def from_config(cls, policy: Policy) -> StaticPlacement:
        """Build the policy; it has no numbers."""
        return cls()

    def propose(self, view: PlacementView) -> list[Move]:
        """Return no moves."""
        return []


@placement_policies.register('least-recently-used')
@attrs.define
class SwapOnDemand:
    """Load a busy model wherever it is missing; evict the longest idle one.

    The naive baseline of the measurements.

    :param busy_load: requests in flight for each replica that call for another.
    """

    busy_load: float

    @classmethod
    def from_config(cls, policy: Policy) -> SwapOnDemand:
        """Build the policy; number ``busy_load``."""
        return cls(policy.number('busy_load', 2.0))

    def propose(self, view: PlacementView) -> list[Move]:
        """Return loads of all busy models, each with the unloads it needs."""
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
    """Even out the load of the engines with as few loads as that takes.

    A replica is added only when the engine that lacks it carries so much less
    load than those that have it that the difference will outlast the move, and
    not again before the last addition has had time to show.

    :param gap_load: least difference of load, in requests in work.
    :param settle_s: pause after an addition of the same model.
    :param idle_s: replicas idle for less are not evicted for others.
    """

    #: Of seven settings tried on three variants, two seeds, these attained most (figures in
    #: docs/design/experiments.rst).
    GAP_LOAD: ClassVar[float] = 8.0
    SETTLE_S: ClassVar[float] = 8.0
    IDLE_S: ClassVar[float] = 30.0

    gap_load: float
    settle_s: float
    idle_s: float
    _added_s: dict[str, float] = attrs.field(factory=dict)

    @classmethod
    def from_config(cls, policy: Policy) -> Spread:
        """Build the policy; numbers ``gap_load``, ``settle_s``, ``idle_s``."""
        return cls(
            policy.number('gap_load', cls.GAP_LOAD),
            policy.number('settle_s', cls.SETTLE_S),
            policy.number('idle_s', cls.IDLE_S),
        )

    def propose(self, view: PlacementView) -> list[Move]:
        """Return at most one addition, with the unloads it needs."""
        least_load = min((engine.load for engine in view.own_engines), default=0.0)
        for unit in sorted(view.units.values(), key=_gain, reverse=True):
            if unit.load <= 0 or self._is_settling(unit, view.now_s):
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

    def _is_settling(self, unit: UnitView, now_s: float) -> bool:
        return now_s - self._added_s.get(unit.model, float('-inf')) < self.settle_s


@placement_policies.register('spread-few-moves')
@attrs.define
class SpreadFewMoves(Spread):
    """Spread with a larger gap and longer pauses, for those who pay for moves.

    A preset that operators name in a configuration (docs/operators/policies.rst).
    """

    #: Of the same seven settings these moved least.
    GAP_LOAD: ClassVar[float] = 24.0
    SETTLE_S: ClassVar[float] = 120.0
    IDLE_S: ClassVar[float] = 120.0


def _gain(unit: UnitView) -> float:
    return unit.load / max(1, unit.total_bytes)


def _least_loaded(unit: UnitView, view: PlacementView) -> EngineView | None:
    """Return the own engine with the least load that lacks the unit."""
    lacking = [r for r in view.own_engines if unit.base.item_id not in r.possible_ids]
    return min(lacking, key=lambda r: (r.load, -r.free_bytes), default=None)


def _load(unit: UnitView, engine: EngineView, reason: str) -> Move:
    return Move(MoveKind.LOAD, unit.model, engine.upstream_id, unit.base, reason)
