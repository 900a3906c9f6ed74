"""What a replica asks of those who send to it, as the head of any of its answers says.

A value only. The adapter reads it, and :mod:`limeshelf.replicas.notices` keeps it for the start
of the replica that gave it.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ReplicaNotice:
    """What a replica asks of the gateways.

    :param rate_per_s: the calls a second that it takes from all gateways together; ``None``
        where it names no rate.
    :param names_rate: whether it names a rate, usable or not. An unusable one neither sets a
        rate nor ends one.
    :param leaving: it is to get no more calls, ever.
    :param pause_s: for which it wants nothing of the gateway that it answers, in seconds; ``None``
        where it asks for no pause.
    :param unusable: whether it says something that cannot be read.
    """

    rate_per_s: float | None = None
    names_rate: bool = False
    leaving: bool = False
    pause_s: float | None = None
    unusable: bool = False


#: Of an answer that asks for nothing.
NO_NOTICE = ReplicaNotice()
