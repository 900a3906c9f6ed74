"""Contents of a replica's row in the store and of its reports.

The platform adapter decodes both, and :mod:`limeshelf.membership` forwards reports between
gateways.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Holding:
    """A model that is loaded and ready at a replica, with its ready adapters."""

    model: str
    adapters: frozenset[str] = frozenset()


@attrs.frozen
class ReplicaRecord:
    """Contents of a replica's row in the store.

    :param replica_id: may stay the same or change at a restart.
    :param address: as ``IP:PORT``; may later be used by another replica or another service.
    :param slots: number of calls that the replica runs concurrently.
    :param leaving: the replica accepts no new calls.
    :param leaves_in_s: time until the replica is gone; ``None`` if not stated.
    :param version: version of its software, not of the weights; empty if not stated.
    :param heartbeat_number: number of the heartbeat since the start; a row with a lower number is
        outdated.
    :param born_ms: start time in milliseconds since 1970, by the clock of its machine; ``None``
        if not stated.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    leaves_in_s: float | None
    holdings: tuple[Holding, ...]
    heartbeat_number: int
    born_ms: int | None = None
    version: str = ''


@attrs.frozen
class ReplicaReport:
    """State that a replica reports on request; about 100 ms old on arrival.

    :param busy: the replica is carrying out an order.
    :param order_number: number of orders accepted since the start.
    :param loading: adapters being loaded, as pairs of model and adapter.
    :param queued: calls in the replica's queue.
    :param running: calls in the replica's batch.
    :param memory_used: tokens in accelerator memory that cannot be evicted.
    :param in_memory: models whose weights are in the main memory of the machine.
    :param on_disk: models whose weights are on the disk of the machine.
    :param leaving: the replica accepts no new calls.
    :param born_ms: as in :class:`ReplicaRecord`.
    """

    holdings: tuple[Holding, ...]
    busy: bool
    order_number: int
    loading: tuple[tuple[str, str], ...] = ()
    queued: int = 0
    running: int = 0
    memory_used: int = 0
    in_memory: frozenset[str] = frozenset()
    on_disk: frozenset[str] = frozenset()
    leaving: bool = False
    born_ms: int | None = None
