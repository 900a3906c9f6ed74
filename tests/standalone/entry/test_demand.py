"""Demand: arrivals and refusals since the last message, requests in flight at present."""

from __future__ import annotations

from limeshelf.standalone.entry.demand import DemandCounter
from limeshelf.standalone.messages import ItemDemand


def test_counts_begin_anew_and_requests_in_flight_stay() -> None:
    demand = DemandCounter('i')
    for _ in range(3):
        demand.arrived('m@1')
    demand.refused('n@1')
    demand.ended('m@1')
    assert demand.take().items == [ItemDemand('m@1', 3, 0, 2), ItemDemand('n@1', 0, 1, 0)]
    assert demand.take().items == [ItemDemand('m@1', 0, 0, 2)]
    demand.ended('m@1')
    demand.ended('m@1')
    assert demand.take().items == []
