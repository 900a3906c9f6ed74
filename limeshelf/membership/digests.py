"""The latest digest of each gateway."""

from __future__ import annotations

import attrs

from limeshelf.membership.messages import GatewayDigest, ReplicaLoad
from limeshelf.util.clock import boottime_s

#: A digest counts for this long.
DIGEST_LIFE_S = 2.5


@attrs.define
class _Entry:
    digest: GatewayDigest
    heard_s: float


class DigestBook:
    """Keeps the newest digest of each gateway, whichever way it came."""

    def __init__(self) -> None:
        self._entries: dict[str, _Entry] = {}

    def take(self, digest: GatewayDigest) -> bool:
        """Keep a digest; return whether it is newer than the known one."""
        now_s = boottime_s()
        known = self._entries.get(digest.instance_id)
        if known is not None and digest.number <= known.digest.number:
            # A machine that lost its power may count from the start again.
            is_late = now_s - known.heard_s < DIGEST_LIFE_S
            if is_late:
                return False
        self._entries[digest.instance_id] = _Entry(digest, now_s)
        return True

    def fresh(self, data_centre: str | None = None) -> list[GatewayDigest]:
        """Return the digests that count, of one data centre or of all."""
        oldest_s = boottime_s() - DIGEST_LIFE_S
        return [
            entry.digest
            for entry in self._entries.values()
            if entry.heard_s >= oldest_s
            and (data_centre is None or entry.digest.data_centre == data_centre)
        ]

    def loads(self) -> dict[str, ReplicaLoad]:
        """Return what the gateways together have under way at each replica."""
        totals: dict[str, ReplicaLoad] = {}
        for digest in self.fresh():
            for load in digest.loads:
                total = totals.setdefault(load.replica_id, ReplicaLoad(load.replica_id))
                total.calls += load.calls
                total.tokens += load.tokens
        return totals
