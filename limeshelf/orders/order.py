"""Orders to replicas: what they say, how they are answered, and the port that sends them.

Owns these types alone; the adapter to the users' platform implements the port.
"""

from __future__ import annotations

import enum
from dataclasses import dataclass
from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.errors import LimeshelfError

if TYPE_CHECKING:
    from limeshelf.replicas.record import ReplicaReport


class OrderKind(enum.StrEnum):
    """What a replica is ordered to do."""

    LOAD = 'load'
    UNLOAD = 'unload'


class OrderOutcome(enum.StrEnum):
    """How a replica answered an order."""

    TAKEN = 'taken'
    #: It is as ordered already; an idle adapter that goes at once is answered so too.
    HOLDS_ALREADY = 'holds_already'
    #: Another order is under way, or it has taken another number of orders. Also where
    #: no answer came.
    BUSY_OR_STALE = 'busy_or_stale'
    #: It has seen a higher fence. Also where this process may not order any more.
    FENCED_OFF = 'fenced_off'
    #: Another replica stands at the address.
    GONE = 'gone'
    #: It refuses for another reason. Also a load that is withheld for want of room.
    REJECTED = 'rejected'


@attrs.frozen
class ReplicaOrder:
    """One order of a holder under its fence.

    :param adapter: empty where the model itself is meant.
    :param expected_number: orders that the replica must have taken so far;
        with it, an order that comes late finds another number and has no effect.
    :param holder: instance that holds the lease.
    :param fence: of the term under which it orders.
    """

    kind: OrderKind
    model: str
    adapter: str
    expected_number: int
    holder: str
    fence: int


@attrs.frozen
class ReplicaOrderAnswer:
    """The outcome of an order, and the HTTP status from which it was read."""

    outcome: OrderOutcome
    status: int


@dataclass(eq=False)
class ReplicaSilent(LimeshelfError):
    """A replica gave no usable answer; an order may have been taken."""

    replica_id: str


class OrderWire(Protocol):
    """Sends orders to replicas and asks for their reports."""

    async def report(self, address: str, replica_id: str) -> ReplicaReport:
        """Return a replica's report; raises :exc:`ReplicaSilent`."""

    async def order(
        self, address: str, replica_id: str, order: ReplicaOrder
    ) -> ReplicaOrderAnswer:
        """Send an order; raises :exc:`ReplicaSilent` where it may have been taken."""
