"""Linear fits through measured points, with their residuals."""

from __future__ import annotations

import statistics
import time
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Callable


@attrs.frozen
class Slope:
    """A linear fit of cost against size: ``cost = base + per_unit * size``.

    :param residual: largest distance of a point from the line, as a fraction of
        the largest cost.
    """

    label: str
    size_unit: str
    cost_unit: str
    points: list[tuple[float, float]]
    base: float
    per_unit: float
    residual: float

    @classmethod
    def fit(
        cls, label: str, size_unit: str, cost_unit: str, points: list[tuple[float, float]]
    ) -> Slope:
        """Fit a line to points of (size, cost) by least squares."""
        sizes, costs = zip(*points, strict=True)
        per_unit, base = statistics.linear_regression(sizes, costs)
        deviation = max(abs(cost - base - per_unit * size) for size, cost in points)
        return cls(
            label,
            size_unit,
            cost_unit,
            points,
            base,
            per_unit,
            deviation / max(map(abs, costs)),
        )

    def row(self) -> str:
        """Return the slope as a row of a Markdown table."""
        points = ', '.join(f'{size:g}: {cost:.4g}' for size, cost in self.points)
        return (
            f'| {self.label} | {points} | {self.base:.3g} + {self.per_unit:.3g} a {self.size_unit}'
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
