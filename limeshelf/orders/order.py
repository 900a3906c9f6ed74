"""Types for orders to replicas: content, outcome, and the transport that sends them.

The client of the users' platform implements the transport.
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
    """The operation that an order requests from a replica."""

    LOAD = 'load'
    UNLOAD = 'unload'


class OrderOutcome(enum.StrEnum):
    """How a replica answered an order."""

    TAKEN = 'taken'
    #: The state is as ordered already. Also the answer if an idle adapter is unloaded at once.
    HOLDS_ALREADY = 'holds_already'
    #: The replica carries out another order, or the expected order number does not match. Also
    #: used if no answer came.
    BUSY_OR_STALE = 'busy_or_stale'
    #: The replica has received a higher fence. Also used if this process may send no more orders.
    FENCED_OFF = 'fenced_off'
    #: Another replica answered at the address.
    GONE = 'gone'
    #: The replica refused for another reason. Also used for a load that is withheld because it
    #: does not fit.
    REJECTED = 'rejected'


@attrs.frozen
class ReplicaOrder:
    """One order of the lease holder to a replica.

    :param adapter: empty for an order about the model itself.
    :param expected_number: number of orders that the replica must have accepted so far. A late
        order no longer matches it, and so has no effect.
    :param holder: instance that holds the lease.
    :param fence: fence of the holder's term.
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
class ReplicaUnresponsive(LimeshelfError):
    """A replica gave no usable answer; it may have accepted an order."""

    replica_id: str


class OrderTransport(Protocol):
    """Sends orders to replicas and fetches their reports."""

    async def report(self, address: str, replica_id: str) -> ReplicaReport:
        """Return a replica's report; raises :exc:`ReplicaUnresponsive`."""

    async def order(
        self, address: str, replica_id: str, order: ReplicaOrder
    ) -> ReplicaOrderAnswer:
        """Send an order; raises :exc:`ReplicaUnresponsive` if it may have been accepted."""
