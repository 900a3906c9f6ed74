"""Backpressure notices that replicas send in the heads of their answers.

The platform's adapter parses them, and :mod:`limeshelf.replicas.notices` stores them for the start
(the running process) of the replica that sent them.
"""

from __future__ import annotations

import attrs


@attrs.frozen
class ReplicaNotice:
    """A backpressure notice of a replica.

    :param rate_per_s: calls a second that it accepts from all gateways together; ``None`` where it
        states no valid rate.
    :param names_rate: whether it states a rate, valid or not. An invalid one neither sets a rate
        nor ends one.
    :param rejections_per_s: rejections a second, to all gateways together, beyond which it falls
        over; ``None`` where it states no valid number.
    :param names_rejections: whether it states such a number, valid or not.
    :param leaving: whether it is shutting down and must get no more calls.
    :param pause_s: time for which the gateway that it answers must not send to it, in seconds;
        ``None`` where it asks for no pause.
    :param unusable: whether a part of the notice cannot be parsed.
    """

    rate_per_s: float | None = None
    names_rate: bool = False
    rejections_per_s: float | None = None
    names_rejections: bool = False
    leaving: bool = False
    pause_s: float | None = None
    unusable: bool = False


#: The notice of an answer without backpressure headers.
NO_NOTICE = ReplicaNotice()
