"""Keeps the latest digest of each gateway, and decides which digests count.

Owns the digests that came from other gateways. Relies on the clock alone.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.messages import GatewayDigest, ReplicaLoad
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

#: A digest counts for this long, in seconds; ten digests long. As long as SILENT_S, which
#: judges messages that come directly; digests also come by way of a relay.
DIGEST_TTL_S = 2.5


def is_superseded(number: int, known_number: int, known_age_s: float) -> bool:
    """Return whether a digest was overtaken by the known one of the same gateway.

    Numbers rise, but a machine that lost its power may count from the start again: a
    known digest that no longer counts makes no other late.

    :param known_age_s: time since the known digest came.
    """
    return number <= known_number and known_age_s < DIGEST_TTL_S


def sum_loads(loads: Iterable[ReplicaLoad]) -> list[ReplicaLoad]:
    """Return one load a replica, in the order in which the replicas come."""
    totals: dict[str, ReplicaLoad] = {}
    for load in loads:
        total = totals.setdefault(load.replica_id, ReplicaLoad(load.replica_id))
        total.calls += load.calls
        total.tokens += load.tokens
    return list(totals.values())


@attrs.frozen
class _ReceivedDigest:
    digest: GatewayDigest
    received_s: float


class LatestDigests:
    """Keeps the newest digest of each gateway, whichever way it came."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedDigest] = {}

    def add(self, digest: GatewayDigest) -> bool:
        """Keep a digest; return whether it is newer than the known one."""
        now_s = boottime_s()
        known = self._received.get(digest.instance_id)
        if known is not None and is_superseded(
            digest.number, known.digest.number, now_s - known.received_s
        ):
            return False
        self._received[digest.instance_id] = _ReceivedDigest(digest, now_s)
        return True

    def remove(self, instance_id: str) -> None:
        """Forget the digest of a gateway."""
        self._received.pop(instance_id, None)

    def unexpired(self, data_centre: str | None = None) -> list[GatewayDigest]:
        """Return the digests that count, of one data centre or of all."""
        oldest_s = boottime_s() - DIGEST_TTL_S
        return [
            entry.digest
            for entry in self._received.values()
            if entry.received_s >= oldest_s
            and (data_centre is None or entry.digest.data_centre == data_centre)
        ]

    def loads(self) -> list[ReplicaLoad]:
        """Return what the other gateways have under way, one load a gateway and replica."""
        return [load for digest in self.unexpired() for load in digest.loads]
