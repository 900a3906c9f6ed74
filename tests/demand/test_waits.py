"""The expected wait of a call until a replica can run it."""

from __future__ import annotations

import attrs
import pytest

from limeshelf.demand.waits import ModelAvailability, model_wait_s, plain_wait_s

ABSENT = ModelAvailability(
    has_key=False, has_model=False, announced_in_s=None, load_s=8.0, adapter_wait_s=0.25
)


@pytest.mark.parametrize(
    ('availability', 'wait_s'),
    [
        (attrs.evolve(ABSENT, has_key=True, has_model=True, announced_in_s=4.0), 0.0),
        (attrs.evolve(ABSENT, has_model=True, announced_in_s=4.0), 0.25),
        (attrs.evolve(ABSENT, announced_in_s=4.0), 4.0),
        (attrs.evolve(ABSENT, announced_in_s=-3.0), 0.6),
        (ABSENT, 9.0),
        (attrs.evolve(ABSENT, load_s=0.0), 1.0),
        (attrs.evolve(ABSENT, load_s=None), 2.0),
    ],
)
def test_expected_wait_for_a_model(availability: ModelAvailability, wait_s: float) -> None:
    assert model_wait_s(availability) == wait_s


def test_plain_service_has_an_expected_wait_only_without_replicas() -> None:
    assert plain_wait_s(has_replica=True) == 0.0
    assert plain_wait_s(has_replica=False) == 1.0
