"""For how long models that are asked for have had no copy."""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.demand.needs import ModelNeed
    from limeshelf.placement.planner import Holder


class Starvation:
    """Notes when each model lost its last copy or was first asked for without one."""

    def __init__(self) -> None:
        self._since_s: dict[tuple[str, str], float] = {}

    def step(
        self, service: str, needs: dict[str, ModelNeed], holders: list[Holder]
    ) -> dict[str, float]:
        """Return the seconds for each model of a service that is starved now."""
        now_s = boottime_s()
        there = {model for holder in holders for model in holder.models | holder.coming}
        starved_s = {}
        for model, need in needs.items():
            key = (service, model)
            if model in there:
                self._since_s.pop(key, None)
            elif need.waits or key in self._since_s:
                since_s = self._since_s.setdefault(key, now_s)
                starved_s[model] = now_s - since_s
        return starved_s
