"""How soon a model is ready when demand moves to it, on simulated replicas.

The planner runs every 0.2 s. A load takes 6 s from the store and 1.3 s from disk, and an unload
waits 2 s for running calls. Each time is compared with the one measured with its limit disabled.
"""

from __future__ import annotations

import attrs
import pytest

from limeshelf.calls.routes import EngineSpec, ModelSpec
from limeshelf.demand.model_demand import ModelDemand
from limeshelf.placement import load_limits
from limeshelf.placement.planner import CopyMove, CopyPlanner
from limeshelf.placement.snapshot import ReplicaView

STEP_S = 0.2
LIMIT_S = 20.0
TOLERANT = [f'patient-{n}' for n in range(8)]
CRITICAL = ['now', 'next', 'other-1', 'other-2', 'other-3']
MODELS = {
    name: ModelSpec(name, 70.0, 6.0, 0.6, frozenset(), 0.0, 1.3) for name in [*CRITICAL, *TOLERANT]
}
ENGINE = EngineSpec(48, 100_000, 230.0, 8, 1.6, MODELS)


def critical(calls_per_s: float = 0.0, recently_missing: bool = False) -> ModelDemand:
    return ModelDemand(
        calls_per_s,
        calls_per_s,
        busy_replicas=calls_per_s / 20,
        running=calls_per_s * 2,
        recently_missing=recently_missing,
        objective_s=0.4,
    )


def tolerant() -> ModelDemand:
    return ModelDemand(0.3, 0.3, 0.03, recently_missing=True, objective_s=5.0)


@attrs.define
class Fleet:
    """Six replicas with three models each, and the moves running on them.

    :ivar moves: by replica, when its move ends, and the move.
    """

    now_s: float = 0.0
    replicas: list[ReplicaView] = attrs.field(factory=list)
    moves: dict[str, tuple[float, CopyMove]] = attrs.field(factory=dict)

    @classmethod
    def create(cls, disks: dict[str, tuple[str, ...]], *held: tuple[str, ...]) -> Fleet:
        replicas = []
        for number, models in enumerate(held):
            name = f'r{number}'
            one = ReplicaView(name, set(models), set(), True, f'c{number % 3}')
            one.on_disk = frozenset((*models, *disks.get(name, ())))
            replicas.append(one)
        return cls(replicas=replicas)

    def step(self, demands: dict[str, ModelDemand]) -> None:
        for one in self.replicas:
            running_move = self.moves.get(one.replica_id)
            if running_move is not None and running_move[0] <= self.now_s:
                del self.moves[one.replica_id]
                one.loading.discard(running_move[1].model)
                one.ready.add(running_move[1].model)
                one.on_disk |= {running_move[1].model}
                one.is_idle = True
            one.free_in_s = max(0.0, running_move[0] - self.now_s) if running_move else 0.0
        planner = CopyPlanner(ENGINE, demands, {})
        while (move := planner.next_move(self.replicas)) is not None:
            target = next(one for one in self.replicas if one.replica_id == move.replica_id)
            runs = any(demands[name].running for name in move.evicted if name in demands)
            self.moves[target.replica_id] = (self.now_s + move.load_s + 2.0 * runs, move)
            target.apply_move(move.model, move.evicted, move.load_s + 2.0 * runs)
        self.now_s += STEP_S

    def seconds_until_copies(
        self, model: str, copies: int, demands: dict[str, ModelDemand]
    ) -> float:
        """Return the seconds until that many copies of a model are ready."""
        start_s = self.now_s
        while sum(model in one.ready for one in self.replicas) < copies:
            self.step(demands)
            if self.now_s - start_s > LIMIT_S:
                break
        return self.now_s - start_s


def copy_delay_s(copies: int) -> float:
    """Return the seconds until the model that demand moves to has that many copies."""
    fleet = Fleet.create(
        {'r4': ('next',), 'r5': ('next',)},
        ('now', 'other-1', 'patient-0'),
        ('now', 'other-2', 'patient-1'),
        ('now', 'other-3', 'patient-2'),
        ('other-1', 'patient-3', 'patient-4'),
        ('other-2', 'patient-0', 'patient-3'),
        ('other-3', 'patient-1', 'patient-4'),
    )
    others = {name: critical() for name in CRITICAL if name.startswith('other')}
    before = {'now': critical(20), **others, **{name: tolerant() for name in TOLERANT}}
    for _ in range(10):
        fleet.step(before)
    after = {**before, 'now': critical(5), 'next': critical(30, recently_missing=True)}
    return fleet.seconds_until_copies('next', copies, after)


def test_latency_critical_model_is_loaded_before_demand_moves_to_it() -> None:
    """Without the limits, replicas were loading latency-tolerant models: 4.2 and 6.2 s."""
    assert copy_delay_s(copies=1) == 0.0


@pytest.mark.parametrize(
    ('constant', 'off', 'seconds'),
    [
        ('LONG_STARVED_S', 0.0, 4.2),
        ('LATENCY_TOLERANT_LOADING_SHARE', 9.0, 5.6),
    ],
)
def test_without_a_limit_calls_wait_for_it(
    monkeypatch: pytest.MonkeyPatch, constant: str, off: float, seconds: float
) -> None:
    """All replicas that could load it are busy with latency-tolerant models."""
    monkeypatch.setattr(load_limits, constant, off)
    monkeypatch.setattr(load_limits, 'LONG_LOADS_SHARE', 9.0)
    assert copy_delay_s(copies=1) == pytest.approx(seconds)
