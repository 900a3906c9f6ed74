"""Statistics of models and adapters whose calls go unserved.

Keeps no state. Only the leader has the complete demand totals that they are computed from.
"""

from __future__ import annotations

import enum
from collections import defaultdict
from typing import TYPE_CHECKING

import attrs

from limeshelf.demand.model_demand import model_unserved_s

if TYPE_CHECKING:
    from collections.abc import Mapping

    from limeshelf.demand.keys import ModelKey
    from limeshelf.demand.totals import KeyTotals

#: A key that has gone unserved for longer than this counts as unserved for long: by then the
#: callers that were refused first have retried (:data:`limeshelf.demand.totals.RETRY_WINDOW_S`).
LONG_UNSERVED_S = 10.0


class UnservedKind(enum.StrEnum):
    """What is counted: a model with all of its adapters, or a single adapter."""

    MODEL = 'model'
    ADAPTER = 'adapter'


@attrs.frozen
class UnservedStats:
    """Statistics of the unserved models, or of the unserved adapters.

    :param longest_s: the longest time that one of them has gone unserved.
    :param keys: how many have gone unserved for more than :data:`LONG_UNSERVED_S`.
    """

    longest_s: float = 0.0
    keys: int = 0


def unserved_stats(
    kind: UnservedKind, totals: Mapping[ModelKey, KeyTotals], now_s: float
) -> UnservedStats:
    """Return the statistics of one kind."""
    unserved_by_kind = {
        UnservedKind.MODEL: _models_unserved_s,
        UnservedKind.ADAPTER: _adapters_unserved_s,
    }
    times_s = unserved_by_kind[kind](totals, now_s)
    long = sum(time_s > LONG_UNSERVED_S for time_s in times_s)
    return UnservedStats(max(times_s, default=0.0), long)


def _models_unserved_s(totals: Mapping[ModelKey, KeyTotals], now_s: float) -> list[float]:
    by_model: defaultdict[ModelKey, list[KeyTotals]] = defaultdict(list)
    for key, one in totals.items():
        by_model[key.base].append(one)
    return [model_unserved_s(of_model, now_s) for of_model in by_model.values()]


def _adapters_unserved_s(totals: Mapping[ModelKey, KeyTotals], now_s: float) -> list[float]:
    return [one.unserved_s(now_s) for key, one in totals.items() if key.adapter]
