"""Sets the results of an experiment side by side, as means over the seeds.

Owns no state; relies on the results of the runs alone.
"""

from __future__ import annotations

import statistics
from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.standalone.config.document import PriorityClass
from limeshelf.standalone.experiment.systems import BOUND, NAIVE

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limeshelf.standalone.experiment.measures import RunResult

HEADINGS = (
    'profile',
    'variant',
    'system',
    'met per engine s',
    'attainment',
    'of bound',
    'high',
    'low',
    'refused',
    'unreachable',
    'moves',
    'of naive',
)


@attrs.frozen
class Summary:
    """Means over the seeds, with the spread of the attainment."""

    profile: str
    variant: str
    system: str
    met_per_engine_s: float
    attainment_ratio: float
    attainment_spread: float
    high_ratio: float
    low_ratio: float
    refused: float
    unreachable: float
    moves: float
    overcommitted: bool


def summarise(results: Sequence[RunResult]) -> list[Summary]:
    """Return a summary for each profile, variant and system, in their order."""
    groups: dict[tuple[str, str, str], list[RunResult]] = {}
    for result in results:
        groups.setdefault((result.profile, result.variant, result.system), []).append(result)
    return [_summary(key, rows) for key, rows in groups.items()]


def _summary(key: tuple[str, str, str], rows: list[RunResult]) -> Summary:
    attained = [row.attainment_ratio for row in rows]
    return Summary(
        *key,
        met_per_engine_s=statistics.fmean(row.met_per_engine_s for row in rows),
        attainment_ratio=statistics.fmean(attained),
        attainment_spread=max(attained) - min(attained),
        high_ratio=statistics.fmean(row.class_ratio(PriorityClass.HIGH) for row in rows),
        low_ratio=statistics.fmean(row.class_ratio(PriorityClass.LOW) for row in rows),
        refused=statistics.fmean(row.refused for row in rows),
        unreachable=statistics.fmean(row.unreachable for row in rows),
        moves=statistics.fmean(row.moves for row in rows),
        overcommitted=any(row.overcommitted for row in rows),
    )


def table_rows(summaries: Sequence[Summary]) -> list[tuple[object, ...]]:
    """Return the rows under :data:`HEADINGS`."""
    found = {(s.profile, s.variant, s.system): s for s in summaries}
    rows: list[tuple[object, ...]] = []
    for s in summaries:
        bound = found.get((s.profile, s.variant, BOUND.name))
        naive = found.get((s.profile, s.variant, NAIVE.name))
        rows.append(
            (
                s.profile,
                s.variant,
                s.system,
                f'{s.met_per_engine_s:.2f}',
                f'{s.attainment_ratio:.3f} ± {s.attainment_spread / 2:.3f}',
                _share(s.attainment_ratio, bound.attainment_ratio if bound else 0.0),
                f'{s.high_ratio:.3f}',
                f'{s.low_ratio:.3f}',
                f'{s.refused:.0f}',
                f'{s.unreachable:.0f}',
                f'{s.moves:.0f}' + (' OVERCOMMITTED' if s.overcommitted else ''),
                _share(s.moves, naive.moves if naive else 0.0),
            )
        )
    return rows


def to_json(results: Sequence[RunResult]) -> list[dict[str, Any]]:
    """Return all results as plain JSON."""
    return [attrs.asdict(result) for result in results]


def _share(value: float, whole: float) -> str:
    return f'{value / whole:.2f}' if whole else '-'
