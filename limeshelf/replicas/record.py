"""What a replica says of itself: its record in the store and its report.

Values only; the adapter to the platform reads them, and :mod:`limeshelf.membership`
passes reports on between gateways.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class Holding:
    """A model that is ready at a replica, with its ready adapters."""

    model: str
    adapters: frozenset[str] = frozenset()


@attrs.frozen
class ReplicaRecord:
    """A replica as its row in the store describes it.

    :param replica_id: a restart may have the same or another.
    :param address: as ``IP:PORT``; another replica, or another service, may have it later.
    :param slots: calls that it works on at once.
    :param leaving: it takes no new calls.
    :param leaves_in_s: time until it is gone; ``None`` where it does not say so.
    :param beat_number: rises with each heartbeat since its start; a lower one came late.
    :param born_ms: when it started, in milliseconds since 1970 on the clock of its machine;
        ``None`` where it does not say so.
    """

    replica_id: str
    service: str
    address: str
    data_centre: str
    slots: int
    leaving: bool
    leaves_in_s: float | None
    holdings: tuple[Holding, ...]
    beat_number: int
    born_ms: int | None = None


@attrs.frozen
class ReplicaReport:
    """What a replica answers when asked; some 100 ms old on arrival.

    :param busy: an order is under way.
    :param order_number: orders that it has taken since its start.
    :param loading: adapters on their way, as model and adapter.
    :param queued: calls that wait there.
    :param running: calls in its batch.
    :param memory_used: tokens of accelerator memory that cannot be evicted.
    :param in_memory: models whose weights lie in the memory of its machine.
    :param on_disk: models whose weights lie on its disk.
    :param leaving: it takes no new calls.
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
