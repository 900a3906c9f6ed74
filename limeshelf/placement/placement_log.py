"""Logs what the leader plans with: where weights are, and why requested models are not loaded.

Keeps what was logged last, so that only changes are logged.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.placement.planner import NotLoadedReason
    from limeshelf.placement.snapshot import ReplicaView

#: Minimum time between two lines for the same replica or model.
MIN_LOG_INTERVAL_S = 1.0

#: What a replica holds ready, in memory and on disk.
_Contents = tuple[frozenset[str], frozenset[str], frozenset[str]]


class PlacementLog:
    """Logs changes of the leader's planning state (events ``weights`` and ``passed_over``)."""

    def __init__(self) -> None:
        self._contents: dict[str, _Contents] = {}
        self._not_loaded: dict[tuple[str, str], NotLoadedReason] = {}
        self._last_logged_s: dict[tuple[str, str], float] = {}

    def log_replicas(self, service: str, replicas: list[ReplicaView]) -> None:
        """Log each replica whose copies or local weights changed."""
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
        self._forget_removed(service, {replica.replica_id for replica in replicas})

    def log_not_loaded(self, service: str, not_loaded: dict[str, NotLoadedReason]) -> None:
        """Log each model that is not loaded, when the reason changes."""
        for model, reason in not_loaded.items():
            key = (service, model)
            if self._not_loaded.get(key) == reason or not self._may_log(key):
                continue
            self._not_loaded[key] = reason
            log_change('passed_over', service=service, model=model, reason=reason)
        for key in [key for key in self._not_loaded if key[1] not in not_loaded]:
            if key[0] == service:
                del self._not_loaded[key]

    def _may_log(self, key: tuple[str, str]) -> bool:
        now_s = boottime_s()
        if now_s - self._last_logged_s.get(key, 0.0) < MIN_LOG_INTERVAL_S:
            return False
        self._last_logged_s[key] = now_s
        return True

    def _forget_removed(self, service: str, known: set[str]) -> None:
        for name in [name for name in self._contents if name not in known]:
            if (service, name) in self._last_logged_s:
                del self._contents[name], self._last_logged_s[service, name]
