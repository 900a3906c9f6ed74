"""What the leader logs of its view: where weights lie, and what waits without being loaded.

Owns what was logged last, so that only changes are. Relies on the event log alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.placement.planner import NotLoadedReason
    from limeshelf.placement.survey import ReplicaCopies

#: A change is logged this long after the one before of the same replica or model at the earliest.
LEAST_PAUSE_S = 1.0

#: What a replica holds ready, in memory and on disk.
_Contents = tuple[frozenset[str], frozenset[str], frozenset[str]]


class SurveyLog:
    """Logs changes of what the leader plans with (events ``weights`` and ``passed_over``)."""

    def __init__(self) -> None:
        self._contents: dict[str, _Contents] = {}
        self._passed_over: dict[tuple[str, str], NotLoadedReason] = {}
        self._logged_s: dict[tuple[str, str], float] = {}

    def note_replicas(self, service: str, replicas: list[ReplicaCopies]) -> None:
        """Log each replica whose weights lie elsewhere than they did."""
        for replica in replicas:
            contents = (frozenset(replica.ready), replica.in_memory, replica.on_disk)
            name = replica.replica_id
            if self._contents.get(name) == contents or not self._may_log((service, name)):
                continue
            self._contents[name] = contents
            log_change(
                'weights',
                service=service,
                replica=name,
                ready=sorted(replica.ready),
                in_memory=sorted(replica.in_memory),
                on_disk=sorted(replica.on_disk),
            )
        self._forget_lost(service, {replica.replica_id for replica in replicas})

    def note_passed_over(self, service: str, passed_over: dict[str, NotLoadedReason]) -> None:
        """Log each model that waits for another reason than it did."""
        for model, reason in passed_over.items():
            key = (service, model)
            if self._passed_over.get(key) == reason or not self._may_log(key):
                continue
            self._passed_over[key] = reason
            log_change('passed_over', service=service, model=model, reason=reason)
        for key in [key for key in self._passed_over if key[1] not in passed_over]:
            if key[0] == service:
                del self._passed_over[key]

    def _may_log(self, key: tuple[str, str]) -> bool:
        now_s = boottime_s()
        if now_s - self._logged_s.get(key, 0.0) < LEAST_PAUSE_S:
            return False
        self._logged_s[key] = now_s
        return True

    def _forget_lost(self, service: str, known: set[str]) -> None:
        for name in [name for name in self._contents if name not in known]:
            if (service, name) in self._logged_s:
                del self._contents[name], self._logged_s[service, name]
