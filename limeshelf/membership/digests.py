"""Keeps the latest digest of each gateway until it expires.

Owns the digests received from other gateways.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.membership.messages import GatewayDigest, ReplicaLoad
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Iterable

#: A digest expires after this time: ten digest intervals. The value equals INACTIVE_AFTER_S, but
#: that one applies to messages received directly, whereas digests also arrive through relays.
DIGEST_TTL_S = 2.5


def is_superseded(number: int, known_number: int, known_age_s: float) -> bool:
    """Return whether a digest is older than the one already known from the same gateway.

    Numbers increase, but may start again from a low value after a machine lost power.
    Therefore an expired digest does not supersede any other.

    :param known_age_s: time since the known digest was received.
    """
    return number <= known_number and known_age_s < DIGEST_TTL_S


def sum_loads(loads: Iterable[ReplicaLoad]) -> list[ReplicaLoad]:
    """Return one total per replica, in the order in which the replicas first appear."""
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
    """The latest digest of each gateway, received directly or through a relay."""

    def __init__(self) -> None:
        self._received: dict[str, _ReceivedDigest] = {}

    def add(self, digest: GatewayDigest) -> bool:
        """Store a digest unless it is superseded; return whether it was stored."""
        now_s = boottime_s()
        known = self._received.get(digest.instance_id)
        if known is not None and is_superseded(
            digest.number, known.digest.number, now_s - known.received_s
        ):
            return False
        self._received[digest.instance_id] = _ReceivedDigest(digest, now_s)
        return True

    def remove(self, instance_id: str) -> None:
        """Remove the digest of a gateway."""
        self._received.pop(instance_id, None)

    def unexpired(self, data_centre: str | None = None) -> list[GatewayDigest]:
        """Return the digests that have not expired, of one data centre or of all."""
        min_received_s = boottime_s() - DIGEST_TTL_S
        return [
            entry.digest
            for entry in self._received.values()
            if entry.received_s >= min_received_s
            and (data_centre is None or entry.digest.data_centre == data_centre)
        ]

    def loads(self) -> list[ReplicaLoad]:
        """Return the loads of the other gateways, one entry per gateway and replica."""
        return [load for digest in self.unexpired() for load in digest.loads]
