"""Which software versions the replicas of each service have had lately.

What replicas of two versions write does not fit together in one stream. Owns when replicas of each
version were last known; the directory owns the replicas.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.replicas.directory import ReplicaDirectory

#: How long a version counts after its last replica has gone, and how long a record of a stream is
#: kept. A stream that began at it can be resumed meanwhile; callers wait 30 s at most.
VERSION_MEMORY_S = 60.0


class VersionHistory:
    """The versions that streams may have begun at."""

    def __init__(self, directory: ReplicaDirectory) -> None:
        self._directory = directory
        self._seen_s: dict[str, dict[str, float]] = {}
        self._started_s = boottime_s()

    @property
    def is_complete(self) -> bool:
        """Return whether this process has run for longer than versions count."""
        return boottime_s() - self._started_s > VERSION_MEMORY_S

    def lately(self, service: str) -> frozenset[str]:
        """Return the versions of a service at which streams may have begun.

        Those of replicas that were found since the last :meth:`refresh` may be missing.
        """
        oldest_s = boottime_s() - VERSION_MEMORY_S
        seen_s = self._seen_s.get(service, {})
        return frozenset(version for version, at_s in seen_s.items() if at_s >= oldest_s)

    def record(self, service: str, version: str) -> None:
        """Record that a replica of a version serves now."""
        self._seen_s.setdefault(service, {})[version] = boottime_s()

    def services(self) -> list[str]:
        """Return the services of which any version is known."""
        return list(self._seen_s)

    def refresh(self) -> None:
        """Record the versions of all replicas, and forget those that have gone for long."""
        serving = {
            (replica.record.service, replica.record.version) for replica in self._directory.all()
        }
        for service, version in serving:
            self.record(service, version)
        for service, seen_s in self._seen_s.items():
            versions = self.lately(service)
            for version in seen_s.keys() - versions:
                del seen_s[version]
