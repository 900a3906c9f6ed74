"""Sets two policies side by side, with the uncertainty of their difference.

Judges sums of live requests, so its figures are estimates with an interval;
:mod:`limeshelf.standalone.experiment.measures` counts whole runs.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.standalone.messages import PolicySample

#: Standard deviations of the half width of a 95 % interval of a normal distribution
#: (its 97.5 % quantile).
NORMAL_95 = 1.96


@attrs.define
class SampleSums:
    """Sums of one policy and class over all instances."""

    requests: int = 0
    ok: int = 0
    refused: int = 0
    seconds: float = 0.0
    squares: float = 0.0

    def add(self, sample: PolicySample) -> None:
        """Add one instance's sums."""
        self.requests += sample.requests
        self.ok += sample.ok
        self.refused += sample.refused
        self.seconds += sample.first_token_s_sum
        self.squares += sample.first_token_s_squares

    @property
    def answered(self) -> int:
        """Return the requests that got a first token."""
        return self.requests - self.refused

    @property
    def attainment_ratio(self) -> float:
        """Return the share of all requests that met their target."""
        return self.ok / self.requests if self.requests else 0.0

    @property
    def mean_s(self) -> float:
        """Return the mean first token time."""
        return self.seconds / self.answered if self.answered else 0.0

    @property
    def attainment_variance(self) -> float:
        """Return the variance of :attr:`attainment_ratio`."""
        ratio = self.attainment_ratio
        return ratio * (1 - ratio) / self.requests if self.requests else 0.0

    @property
    def mean_variance(self) -> float:
        """Return the variance of :attr:`mean_s`."""
        if self.answered < 2:
            return 0.0
        spread = self.squares - self.answered * self.mean_s**2
        return max(0.0, spread) / (self.answered - 1) / self.answered


@attrs.frozen
class Difference:
    """Policy B less policy A, each with the half width of its 95 % interval."""

    attainment_ratio: float
    attainment_half_width: float
    first_token_s: float
    first_token_half_width_s: float


def gather(samples: Iterable[PolicySample], kind: str, policy: str) -> dict[str, SampleSums]:
    """Return the figures of *policy* by priority class."""
    figures: dict[str, SampleSums] = {}
    for sample in samples:
        if sample.kind == kind and sample.policy == policy:
            figures.setdefault(sample.priority_class, SampleSums()).add(sample)
    return figures


def difference(a: SampleSums, b: SampleSums) -> Difference:
    """Return how *b* differs from *a*."""
    return Difference(
        b.attainment_ratio - a.attainment_ratio,
        NORMAL_95 * math.sqrt(a.attainment_variance + b.attainment_variance),
        b.mean_s - a.mean_s,
        NORMAL_95 * math.sqrt(a.mean_variance + b.mean_variance),
    )
