"""Selects the gateway that a call asks for a replica.

The replicas of a data centre have one owner, a gateway in that data centre, which alone grants
their slots and prefill time. So the state that a grant depends on is exact, and no process
dispatches the calls of the whole fleet. A call asks one of the owners whose replicas hold what it
needs: the owner of the own data centre or another one picked at random, whichever has the less
loaded replica according to the latest reports. While an owner is unknown or does not answer, each
gateway grants part of those replicas by itself (:mod:`limeshelf.dispatch.fallback`).

Owns no state. The owners come from the membership view of the process, holders and loads from the
replica directory.
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

#: Number of owners compared for a call. Load reports are up to half a second old, so if all owners
#: were compared, every gateway would pick the same one.
OWNERS_COMPARED = 2


@attrs.frozen
class DispatchTarget:
    """A gateway that may grant a call, and the replicas that it may grant.

    :param address: peer address, :data:`~limeshelf.membership.member.LOCAL` for this process.
    :param is_owner: whether it owns these replicas; otherwise it replaces an owner that is unknown
        or does not answer.
    """

    address: str
    is_owner: bool
    replicas: list[Replica]


def replicas_of(candidates: Iterable[DispatchTarget]) -> set[str]:
    """Return the ids of all replicas of some targets."""
    return {replica.replica_id for target in candidates for replica in target.replicas}


@attrs.frozen
class OwnerSelector:
    """Selects the target of a call's query.

    :param owner_of: returns the peer address of the owner of a data centre's replicas,
        :data:`~limeshelf.membership.member.LOCAL` for this process, ``None`` if none is known.
    :param data_centre: of this process.
    """

    directory: ReplicaDirectory
    fallback: Fallback
    owner_of: Callable[[str], str | None]
    data_centre: str

    def candidates(self, request: GrantRequest, now_s: float) -> list[DispatchTarget]:
        """Return the gateways that may grant a call, with the replicas that hold what it needs."""
        found: dict[tuple[str, bool], DispatchTarget] = {}
        for replica in self._holders(request):
            owner = self.owner_of(replica.record.data_centre)
            address = self.fallback.choose(owner, now_s)
            key = (address, address == owner)
            found.setdefault(key, DispatchTarget(*key, [])).replicas.append(replica)
        return list(found.values())

    def _holders(self, request: GrantRequest) -> list[Replica]:
        key = request.key
        return [
            replica
            for replica in self.directory.of_service(key.service)
            if replica.holds(key.model, key.adapter) and replica.replica_id not in request.excluded
        ]

    def choose(self, candidates: list[DispatchTarget], current: str | None) -> DispatchTarget:
        """Return the target of the next query.

        An unresponsive owner is not replaced while another owner may grant the call: during a
        network partition its replicas are probably unreachable too.

        :param candidates: at least one.
        :param current: address that was asked last; it is kept while it is among the candidates.
        """
        candidates = [target for target in candidates if target.is_owner] or candidates
        for candidate in candidates:
            if candidate.address == current:
                return candidate
        return min(self._sample(candidates), key=self._cost)

    def _sample(self, candidates: list[DispatchTarget]) -> list[DispatchTarget]:
        """Return the owner of this process's data centre, if a candidate, and random others.

        Returns two candidates at most. The choice is random so that gateways with the same view do
        not all ask one owner.
        """
        own = [target for target in candidates if self._is_in_own_data_centre(target)][:1]
        others = [target for target in candidates if target not in own]
        return own + random.sample(others, min(OWNERS_COMPARED - len(own), len(others)))

    def _is_in_own_data_centre(self, candidate: DispatchTarget) -> bool:
        return candidate.replicas[0].record.data_centre == self.data_centre

    def _cost(self, candidate: DispatchTarget) -> float:
        """Return the cost of the least loaded replica, according to the latest reports."""
        return min(
            with_penalties(
                self.directory.load_of(replica).calls / max(1, replica.record.slots),
                replica,
                self.data_centre,
            )
            for replica in candidate.replicas
        )
