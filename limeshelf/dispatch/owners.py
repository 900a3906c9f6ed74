"""Which gateway grants the calls at a replica, and which one a call asks.

The replicas of a data centre have one owner, a gateway there, which alone grants their
slots and reading; so what a grant has to know exactly is known exactly, and no process
carries the calls of the whole fleet. A call goes to one of the owners of replicas that hold
what it needs: the own data centre's, or another one drawn at random, whichever has the less
loaded replica by what gateways last reported. While an owner does not answer, or none is
known, each gateway grants a part of those replicas by itself
(:mod:`limeshelf.dispatch.fallback`).

Owns nothing. Relies on the view of the owners that the program gives, and on the directory
for holders and loads.
"""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

import attrs

from limeshelf.replicas.penalties import with_penalties

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from limeshelf.dispatch.fallback import Fallback
    from limeshelf.dispatch.grants import GrantRequest
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica

#: Owners that are compared for a call. The reports are up to half a second old, so the best of
#: all would be everybody's.
CHOICES = 2


@attrs.frozen
class Grantor:
    """Who may grant a call, with the replicas that it would grant.

    :param address: peer address, :data:`~limeshelf.membership.member.LOCAL` for this process.
    :param is_owner: whether it owns these replicas, or stands in for an owner that is not
        known or does not answer.
    """

    address: str
    is_owner: bool
    replicas: list[Replica]


def replicas_of(candidates: Iterable[Grantor]) -> set[str]:
    """Return the ids of all replicas that some may grant."""
    return {replica.replica_id for one in candidates for replica in one.replicas}


@attrs.frozen
class OwnerChooser:
    """Chooses the owner that a call asks.

    :param owner_of: returns the peer address of the owner of a data centre's replicas,
        :data:`~limeshelf.membership.member.LOCAL` for this process, ``None`` where none is
        known.
    :param data_centre: of this process.
    """

    directory: ReplicaDirectory
    fallback: Fallback
    owner_of: Callable[[str], str | None]
    data_centre: str

    def candidates(self, request: GrantRequest, now_s: float) -> list[Grantor]:
        """Return who may grant a call, each with the replicas that hold what it needs."""
        found: dict[tuple[str, bool], Grantor] = {}
        for replica in self._holders(request):
            owner = self.owner_of(replica.record.data_centre)
            address = self.fallback.choose(owner, now_s)
            key = (address, address == owner)
            found.setdefault(key, Grantor(*key, [])).replicas.append(replica)
        return list(found.values())

    def _holders(self, request: GrantRequest) -> list[Replica]:
        key = request.key
        return [
            replica
            for replica in self.directory.of_service(key.service)
            if replica.holds(key.model, key.adapter) and replica.replica_id not in request.excluded
        ]

    def choose(self, candidates: list[Grantor], current: str | None) -> Grantor:
        """Return whom to ask.

        Nobody stands in for a silent owner while another one may grant the call: behind a
        cut its replicas are as silent as it is.

        :param candidates: one at least.
        :param current: who was asked last; it stays so while it is among the candidates.
        """
        candidates = [one for one in candidates if one.is_owner] or candidates
        for candidate in candidates:
            if candidate.address == current:
                return candidate
        return min(self._two_of(candidates), key=self._cost)

    def _two_of(self, candidates: list[Grantor]) -> list[Grantor]:
        """Return the owner of the own data centre, if it is there, and others up to two.

        Drawn at random, so that gateways that see the same loads do not all ask one owner.
        """
        own = [one for one in candidates if self._is_near(one)][:1]
        others = [one for one in candidates if one not in own]
        return own + random.sample(others, min(CHOICES - len(own), len(others)))

    def _is_near(self, candidate: Grantor) -> bool:
        return candidate.replicas[0].record.data_centre == self.data_centre

    def _cost(self, candidate: Grantor) -> float:
        """Return the cost of the least loaded replica, by what gateways last reported."""
        return min(
            with_penalties(
                self.directory.load_of(replica).calls / max(1, replica.record.slots),
                replica,
                self.data_centre,
            )
            for replica in candidate.replicas
        )
