"""Workloads of the experiments: seeded requests of two kinds of users, in several variants.

Owns the profiles of the users and the shape of their demand; relies on nothing but the seed.
"""

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


@attrs.frozen
class ModelUse:
    """What a model is used for.

    :param prompt_tokens: median length of a prompt.
    :param answer_tokens: median length of an answer.
    """

    priority_class: PriorityClass
    prompt_tokens: int
    answer_tokens: int


#: Uses of the models in turn.
MODEL_USES = (
    ModelUse(PriorityClass.HIGH, 300, 120),
    ModelUse(PriorityClass.NORMAL, 100, 80),
    ModelUse(PriorityClass.LOW, 600, 160),
    ModelUse(PriorityClass.LOW, 500, 140),
    ModelUse(PriorityClass.NORMAL, 150, 100),
)
#: Size of the smallest model, in units of the smallest adapter, and how much each of the next
#: ones adds until the sizes start again.
SMALLEST_MODEL_UNITS = 40
MODEL_STEP_UNITS = 12
MODEL_SIZES = 4
#: Spread of the lengths: sigma of a log-normal distribution.
LENGTH_SIGMA = 0.5
#: Shortest prompt and answer, in tokens.
MIN_PROMPT_TOKENS = 10
MIN_ANSWER_TOKENS = 5
#: Prompt beginnings of each model.
PREFIXES_EACH = 20
#: Part of the run, 0 to 1, at which the demand shifts to the other models.
SHIFT_AT = 0.5
#: Begin and end of the burst, as parts of the run.
BURST_FROM = 0.3
BURST_UNTIL = 0.6
#: Requests a second of all models together during a burst, against before.
BURST_RATE_FACTOR = 1.15
#: Demand of the model that bursts, against its demand before.
BURST_FACTOR = 10.0
#: Exponents of the demand by rank, in the skewed variant and in the others.
SKEW = 1.2
MILD_SKEW = 0.6
#: Times that the demand moves in an adversarial run.
PERIODS = 8
#: Ranks by which it moves each time.
PERIOD_RANKS = 3


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
                SMALLEST_MODEL_UNITS + MODEL_STEP_UNITS * (n % MODEL_SIZES),
                adapters=[Adapter(f'a{k}', 1) for k in range(each + (n < extra))],
                priority_class=MODEL_USES[n % len(MODEL_USES)].priority_class,
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
        now_s += chance.expovariate(profile.rate_per_s * _rate_factor(variant, now_s / duration_s))
        if now_s >= duration_s:
            return
        model = chance.choices(range(profile.models), weights)[0]
        yield _arrival(profile, chance, model, now_s)


def _arrival(profile: Profile, chance: random.Random, model: int, at_s: float) -> Arrival:
    use = MODEL_USES[model % len(MODEL_USES)]
    adapters = profile.adapters // profile.models
    number = min(int(chance.expovariate(1.0)), adapters - 1)
    return Arrival(
        at_s,
        f'm{model}',
        f'a{number}',
        chance.choice(profile.data_centres),
        max(MIN_PROMPT_TOKENS, _length_tokens(chance, use.prompt_tokens)),
        max(MIN_ANSWER_TOKENS, _length_tokens(chance, use.answer_tokens)),
        f'm{model}/{chance.randrange(PREFIXES_EACH)}',
    )


def _length_tokens(chance: random.Random, median_tokens: int) -> int:
    return int(chance.lognormvariate(math.log(median_tokens), LENGTH_SIGMA))


def _weights(profile: Profile, variant: Variant, order: list[int], progress: float) -> list[float]:
    """Return the relative demand of each model at a time."""
    skew = SKEW if variant is Variant.SKEWED else MILD_SKEW
    weights = [0.0] * profile.models
    for place, model in enumerate(_current(order, variant, progress)):
        weights[model] = (place + 1.0) ** -skew
    if variant is Variant.BURST and _bursts(progress):
        # The burst of the model comes on top of the demand for all.
        weights[order[-1]] *= BURST_FACTOR
    return weights


def _current(order: list[int], variant: Variant, progress: float) -> list[int]:
    """Return the models, the most asked for first."""
    if variant is Variant.SHIFT and progress >= SHIFT_AT:
        return order[::-1]
    if variant is Variant.ADVERSARIAL:
        # Demand moves to other models soon after a placement has followed it.
        turn = int(progress * PERIODS) * PERIOD_RANKS % len(order)
        return order[turn:] + order[:turn]
    return order


def _bursts(progress: float) -> bool:
    return BURST_FROM <= progress < BURST_UNTIL


def _rate_factor(variant: Variant, progress: float) -> float:
    return BURST_RATE_FACTOR if variant is Variant.BURST and _bursts(progress) else 1.0
