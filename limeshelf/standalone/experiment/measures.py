"""What an experiment measures of each request and of each run.

A run is counted exactly; there is no interval as in
:mod:`limeshelf.standalone.admin.comparison`, which judges samples of live traffic.
"""

from __future__ import annotations

import attrs

from limeshelf.standalone.config.document import Deployment, PriorityClass


@attrs.define
class ClassCount:
    """Requests of one class."""

    requests: int = 0
    met: int = 0
    refused: int = 0
    unreachable: int = 0


@attrs.define
class RunResult:
    """One run of one system on one workload."""

    system: str
    profile: str
    variant: str
    seed: int
    engines: int
    duration_s: float
    classes: dict[str, ClassCount] = attrs.field(
        factory=lambda: {c.value: ClassCount() for c in PriorityClass}
    )
    loads: int = 0
    unloads: int = 0
    loaded_bytes: int = 0
    overcommitted: bool = False

    @property
    def requests(self) -> int:
        """Return all requests."""
        return sum(count.requests for count in self.classes.values())

    @property
    def refused(self) -> int:
        """Return the requests that admission refused."""
        return sum(count.refused for count in self.classes.values())

    @property
    def unreachable(self) -> int:
        """Return the requests for which no engine was ready."""
        return sum(count.unreachable for count in self.classes.values())

    @property
    def attainment_ratio(self) -> float:
        """Return the share of all requests that met their targets."""
        return sum(count.met for count in self.classes.values()) / max(1, self.requests)

    @property
    def met_per_engine_s(self) -> float:
        """Return requests that met their targets, for each engine and second."""
        met = sum(count.met for count in self.classes.values())
        return met / self.engines / self.duration_s

    @property
    def moves(self) -> int:
        """Return loads and unloads after the first placement."""
        return self.loads + self.unloads

    def class_ratio(self, priority_class: PriorityClass) -> float:
        """Return the share of a class that met its targets."""
        count = self.classes[priority_class.value]
        return count.met / max(1, count.requests)


def met_targets(
    deployment: Deployment, first_s: float, arrived_s: float, done_s: float, tokens: int
) -> bool:
    """Return whether a finished request met both targets of *deployment*."""
    next_token_s = (done_s - first_s) / max(1, tokens - 1)
    in_time = first_s - arrived_s <= deployment.first_token_target_s
    return in_time and next_token_s <= deployment.next_token_target_s
