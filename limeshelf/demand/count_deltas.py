"""Turns the cumulative counters that gateways send into increments.

Owns the last counters of each gateway. Counters never decrease while a gateway runs; lower ones
mean that it has restarted.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, NamedTuple

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from limeshelf.demand.keys import KeyDemand, ModelKey

#: Counters in the first message of a gateway count as new up to this many calls; with more, most
#: of the calls began long ago.
MAX_INITIAL_CALLS = 3


class CountDelta(NamedTuple):
    """What a gateway has counted for a key since its previous message.

    :ivar started: calls that began.
    :ivar wanted: times that no replica held the key when a call needed it.
    :ivar tokens: prompt tokens of the calls that began.
    :ivar refused: calls that were refused because no replica had room in time.
    """

    started: int = 0
    wanted: int = 0
    tokens: int = 0
    refused: int = 0


class CountDeltaTracker:
    """Keeps the last counters of each gateway and computes the increments."""

    def __init__(self) -> None:
        self._last: dict[str, dict[ModelKey, KeyDemand]] = {}

    def deltas(
        self, instance_id: str, demands: Iterable[KeyDemand]
    ) -> Iterator[tuple[KeyDemand, CountDelta]]:
        """Store the counters of one gateway; yield each with its increment."""
        last = self._last.get(instance_id)
        is_first = last is None
        if last is None:
            last = self._last[instance_id] = {}
        for demand in demands:
            delta = (
                _initial_delta(demand) if is_first else _delta_since(demand, last.get(demand.key))
            )
            last[demand.key] = demand
            yield demand, delta


def _initial_delta(demand: KeyDemand) -> CountDelta:
    """Return the increment for the first message of a gateway."""
    if demand.started > MAX_INITIAL_CALLS:
        return CountDelta()
    return CountDelta(demand.started, 0, demand.tokens, demand.refused)


def _delta_since(demand: KeyDemand, before: KeyDemand | None) -> CountDelta:
    if before is None:
        return CountDelta(demand.started, demand.wanted, demand.tokens, demand.refused)
    return CountDelta(
        max(0, demand.started - before.started),
        # After a restart the counter starts at 0, so its whole value is new.
        demand.wanted - before.wanted if demand.wanted >= before.wanted else demand.wanted,
        max(0, demand.tokens - before.tokens),
        max(0, demand.refused - before.refused),
    )
