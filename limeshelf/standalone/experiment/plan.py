"""Which runs an experiment makes: read from JSON, checked like settings.

Owns no state. Relies on the registered profiles and systems for the names in a plan.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.experiment.engine import EngineSpeed
from limeshelf.standalone.experiment.simulation import run_once
from limeshelf.standalone.experiment.systems import SYSTEMS
from limeshelf.standalone.experiment.workload import PROFILES, Variant

if TYPE_CHECKING:
    from collections.abc import Iterator

    from limeshelf.standalone.experiment.measures import RunResult


@attrs.frozen
class ExperimentPlan:
    """Every combination of the lists is run once.

    :param duration_s: virtual time of each run, after the first placement.
    """

    profiles: list[str] = attrs.field(factory=lambda: sorted(PROFILES))
    variants: list[Variant] = attrs.field(factory=lambda: list(Variant))
    systems: list[str] = attrs.field(factory=lambda: list(SYSTEMS))
    seeds: list[int] = attrs.field(factory=lambda: [1, 2])
    duration_s: float = 200.0
    speed: EngineSpeed = attrs.field(factory=EngineSpeed)

    def runs(self) -> Iterator[RunResult]:
        """Make the runs, one after the other."""
        for profile in self.profiles:
            for variant in self.variants:
                for system in self.systems:
                    for seed in self.seeds:
                        yield run_once(
                            SYSTEMS[system],
                            PROFILES[profile],
                            variant,
                            seed,
                            self.duration_s,
                            self.speed,
                        )
