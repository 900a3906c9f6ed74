"""What the leader makes of the demand that all gateways told."""

from __future__ import annotations

from limeshelf.demand.keys import KeyDemand, ModelKey
from limeshelf.demand.totals import DemandTotals

KEY = ModelKey('lm', 'm1')


def test_shortest_objective_of_all_gateways_is_known() -> None:
    """It was told in every digest and dropped: no idle model was ever parked."""
    totals = DemandTotals()
    totals.take('g-1', [KeyDemand(KEY, started=1, running=1, objective_ms=6000)])
    totals.take('g-2', [KeyDemand(KEY, started=1, running=1, objective_ms=1000)])
    assert totals.step()[KEY].objective_s == 1.0
