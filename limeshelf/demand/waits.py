"""How long until a replica can likely run a call, judged by one gateway.

Owns the rule and its figures alone: no clock, no state. Relies on what the caller
sees of replicas and on the loads that the leader announced.
"""

from __future__ import annotations

import attrs

#: How long a call to a plain service waits for a replica.
PLAIN_WAIT_S = 1.0
#: What the load of a model that the configuration does not name counts as.
UNNAMED_LOAD_S = 1.0
#: Least wait for a load that was announced: one that is overdue is awaited this much longer,
#: since calls refused shortly before the model was there came back and were refused again.
OVERDUE_WAIT_S = 0.6
#: From the first call to the begin of a load that nobody has announced yet.
ORDER_WAIT_S = 1.0


@attrs.frozen
class ModelOutlook:
    """What a gateway sees of the model, and the adapter, that a call asks for.

    :param has_key: whether a replica holds all that the call asks for.
    :param has_model: whether a replica holds the model, with the adapter or without.
    :param announced_in_s: seconds until the model is there by the leader's
        announcement, below zero if overdue; ``None`` without one.
    :param load_s: duration of the model's load from the weight store; ``None`` if the
        configuration does not name the model.
    :param adapter_wait_s: seconds until the adapter is there, at a replica that holds its
        model.
    """

    has_key: bool
    has_model: bool
    announced_in_s: float | None
    load_s: float | None
    adapter_wait_s: float


@attrs.frozen
class CallOutlook:
    """When, and why, a call can likely run.

    :param wait_s: until a replica can likely run it, in seconds; 0 where one holds what it needs.
    :param announced_in_s: until a copy of its model that the leader announced is there, in
        seconds, below zero if overdue; ``None`` where none is on its way.
    :param is_announced: whether the leader announced one; a plain call needs no announcement.
    :param model_held: whether a replica holds its model, with its adapter or without.
    """

    wait_s: float
    announced_in_s: float | None
    is_announced: bool
    model_held: bool


def plain_wait_s(has_replica: bool) -> float:
    """Return the expected wait of a call to a service without models, in seconds."""
    return 0.0 if has_replica else PLAIN_WAIT_S


def model_wait_s(outlook: ModelOutlook) -> float:
    """Return the expected wait of a call to a model, in seconds; 0 if it can run now."""
    if outlook.has_key:
        return 0.0
    if outlook.has_model:
        return outlook.adapter_wait_s
    if outlook.announced_in_s is not None:
        return max(OVERDUE_WAIT_S, outlook.announced_in_s)
    load_s = UNNAMED_LOAD_S if outlook.load_s is None else outlook.load_s
    return ORDER_WAIT_S + load_s
