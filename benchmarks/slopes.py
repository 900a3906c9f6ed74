"""Straight lines through measured points, with their residuals."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class Slope:
    """Cost against size: ``cost = base + each * size``.

    :param residual: largest distance of a point from the line, as a share of
        the largest cost.
    """

    what: str
    size_unit: str
    cost_unit: str
    points: list[tuple[float, float]]
    base: float
    each: float
    residual: float

    @classmethod
    def through(
        cls, what: str, size_unit: str, cost_unit: str, points: list[tuple[float, float]]
    ) -> Slope:
        """Fit the line by least squares."""
        sizes, costs = zip(*points, strict=True)
        each, base = statistics.linear_regression(sizes, costs)
        off = max(abs(cost - base - each * size) for size, cost in points)
        return cls(what, size_unit, cost_unit, points, base, each, off / max(map(abs, costs)))

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        points = ', '.join(f'{size:g}: {cost:.4g}' for size, cost in self.points)
        return (
            f'| {self.what} | {points} | {self.base:.3g} + {self.each:.3g} a {self.size_unit}'
            f' {self.cost_unit} | {self.residual:.0%} |'
        )


def best_ms(action: Callable[[], object], rounds: int = 7) -> float:
    """Return the shortest time of several runs, in milliseconds."""
    times = []
    for _ in range(rounds):
        started_s = time.perf_counter()
        action()
        times.append(time.perf_counter() - started_s)
    return min(times) * 1e3
