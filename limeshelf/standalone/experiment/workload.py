"""Workloads: seeded requests of two kinds of users, in several variants."""

from __future__ import annotations

import enum
import math
import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.document import (
    Adapter,
    Deployment,
    Document,
    Policy,
    PriorityClass,
)

if TYPE_CHECKING:
    from collections.abc import Iterator


class Variant(enum.StrEnum):
    """How the demand moves, or what fails."""

    STEADY = 'steady'
    BURST = 'burst'
    SHIFT = 'shift'
    SKEWED = 'skewed'
    ADVERSARIAL = 'adversarial'
    FAILING = 'failing'


@attrs.frozen
class Profile:
    """One user: models, engines and demand.

    :param engine_bytes: accelerator memory of each engine, in units of the
        smallest adapter; only proportions matter.
    :param rate_per_s: requests a second, over all models.
    :param loads_per_s: loads that the weight store allows each data centre.
    """

    name: str
    models: int
    adapters: int
    data_centres: tuple[str, ...]
    engines_each: int
    engine_bytes: int
    rate_per_s: float
    loads_per_s: float


HINOKUNI = Profile('hinokuni', 15, 75, ('k', 'o', 'f'), 2, 320, 30.0, 0.5)
SLJEME = Profile('sljeme', 20, 110, ('t', 'm', 'd'), 3, 320, 45.0, 0.67)
PROFILES = {profile.name: profile for profile in (HINOKUNI, SLJEME)}

#: Class of each model in turn, with mean prompt and answer length in tokens.
KINDS = (
    (PriorityClass.HIGH, 300, 120),
    (PriorityClass.NORMAL, 100, 80),
    (PriorityClass.LOW, 600, 160),
    (PriorityClass.LOW, 500, 140),
    (PriorityClass.NORMAL, 150, 100),
)
#: Demand of the model that bursts, against its demand before. Chosen, not measured.
BURST_FACTOR = 10.0
#: Exponents of the demand by rank, in the skewed variant and in the others. Chosen, not
#: measured.
SKEW = 1.2
MILD_SKEW = 0.6
#: Times that the demand moves in an adversarial run. Chosen, not measured.
PERIODS = 8


@attrs.frozen
class Arrival:
    """One request of a workload."""

    at_s: float
    model: str
    adapter: str
    data_centre: str
    prompt_tokens: int
    answer_tokens: int
    prefix_key: str


def document(profile: Profile, policies: list[Policy]) -> Document:
    """Return the configuration of *profile*."""
    each = profile.adapters // profile.models
    extra = profile.adapters % profile.models
    return Document(
        deployments=[
            Deployment(
                f'm{n}',
                '1',
                40 + 12 * (n % 4),
                adapters=[Adapter(f'a{k}', 1) for k in range(each + (n < extra))],
                priority_class=KINDS[n % len(KINDS)][0],
            )
            for n in range(profile.models)
        ],
        policies=policies,
    )


def arrivals(
    profile: Profile, variant: Variant, seed: int, duration_s: float
) -> Iterator[Arrival]:
    """Yield the requests of a workload in their order; the same for a seed."""
    chance = random.Random(f'{profile.name}/{variant}/{seed}')
    order = list(range(profile.models))
    chance.shuffle(order)
    now_s = 0.0
    while True:
        weights = _weights(profile, variant, order, now_s / duration_s)
        now_s += chance.expovariate(profile.rate_per_s * _factor(variant, now_s / duration_s))
        if now_s >= duration_s:
            return
        model = chance.choices(range(profile.models), weights)[0]
        yield _arrival(profile, chance, model, now_s)


def _arrival(profile: Profile, chance: random.Random, model: int, at_s: float) -> Arrival:
    _, prompt, answer = KINDS[model % len(KINDS)]
    adapters = profile.adapters // profile.models
    number = min(int(chance.expovariate(1.0)), adapters - 1)
    return Arrival(
        at_s,
        f'm{model}',
        f'a{number}',
        chance.choice(profile.data_centres),
        max(10, int(chance.lognormvariate(math.log(prompt), 0.5))),
        max(5, int(chance.lognormvariate(math.log(answer), 0.5))),
        f'm{model}/{chance.randrange(20)}',
    )


def _weights(profile: Profile, variant: Variant, order: list[int], progress: float) -> list[float]:
    """Return the relative demand of each model at a time."""
    skew = SKEW if variant is Variant.SKEWED else MILD_SKEW
    weights = [0.0] * profile.models
    for place, model in enumerate(_current(order, variant, progress)):
        weights[model] = (place + 1.0) ** -skew
    if variant is Variant.BURST and _bursts(progress):
        # The tenfold model takes its burst on top of everybody's demand.
        weights[order[-1]] *= BURST_FACTOR
    return weights


def _current(order: list[int], variant: Variant, progress: float) -> list[int]:
    """Return the models, the most asked for first."""
    if variant is Variant.SHIFT and progress >= 0.5:
        return order[::-1]
    if variant is Variant.ADVERSARIAL:
        # Demand moves to other models soon after a placement has followed it.
        turn = int(progress * PERIODS) * 3 % len(order)
        return order[turn:] + order[:turn]
    return order


def _bursts(progress: float) -> bool:
    return 0.3 <= progress < 0.6


def _factor(variant: Variant, progress: float) -> float:
    return 1.15 if variant is Variant.BURST and _bursts(progress) else 1.0
