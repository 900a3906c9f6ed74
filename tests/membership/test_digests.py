"""Which digests are kept, and the sums of their loads."""

from __future__ import annotations

import pytest

from limeshelf.membership.digests import DIGEST_TTL_S, is_superseded, sum_loads
from limeshelf.membership.messages import ReplicaLoad


@pytest.mark.parametrize(
    ('number', 'known_age_s', 'late'),
    [(6, 0.0, False), (5, 0.0, True), (4, 0.0, True), (4, DIGEST_TTL_S, False)],
)
def test_overtaken_digest_is_late_while_the_known_one_counts(
    number: int, known_age_s: float, late: bool
) -> None:
    assert is_superseded(number, 5, known_age_s) is late


def test_loads_of_a_replica_are_summed() -> None:
    loads = [ReplicaLoad('r1', 1, 10), ReplicaLoad('r2', 2, 20), ReplicaLoad('r1', 3, 30)]
    assert sum_loads(loads) == [ReplicaLoad('r1', 4, 40), ReplicaLoad('r2', 2, 20)]
