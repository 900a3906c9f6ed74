"""Estimates how long a call waits until a replica can run it.

Pure functions of what a gateway knows about the replicas and of the loads that the leader
announced; no clock and no state.
"""

from __future__ import annotations

import attrs

#: Expected wait for a replica of a service without models, while it has none.
PLAIN_WAIT_S = 1.0
#: Assumed load time of a model that the configuration does not name.
UNKNOWN_MODEL_LOAD_S = 1.0
#: Lower bound of the wait for an announced load, also when it is overdue: calls that were refused
#: shortly before the model was loaded retried and were refused again.
OVERDUE_WAIT_S = 0.6
#: Expected time from the first call to the start of a load that is not announced yet.
LOAD_START_DELAY_S = 1.0


@attrs.frozen
class ModelAvailability:
    """What a gateway knows about the model and the adapter that a call requests.

    :param has_key: whether a replica holds the model and the adapter.
    :param has_model: whether a replica holds the model, with or without the adapter.
    :param announced_in_s: seconds until the model is loaded by the leader's announcement, negative
        if overdue; ``None`` without an announcement.
    :param load_s: duration of the model's load from the weight store; ``None`` if the
        configuration does not name the model.
    :param adapter_wait_s: expected seconds until a replica that holds the model has loaded the
        adapter.
    """

    has_key: bool
    has_model: bool
    announced_in_s: float | None
    load_s: float | None
    adapter_wait_s: float


@attrs.frozen
class CallWaitEstimate:
    """The expected wait of a call, and what it depends on.

    :param wait_s: expected seconds until a replica can run the call; 0 if one can now.
    :param announced_in_s: seconds until the model is loaded by the leader's announcement, negative
        if overdue; ``None`` without an announcement.
    :param is_announced: whether the leader announced a load of the model; always true for a call
        that names no model.
    :param model_held: whether a replica holds the model, with or without the adapter.
    """

    wait_s: float
    announced_in_s: float | None
    is_announced: bool
    model_held: bool


def plain_wait_s(has_replica: bool) -> float:
    """Return the expected wait of a call to a service without models, in seconds."""
    return 0.0 if has_replica else PLAIN_WAIT_S


def model_wait_s(availability: ModelAvailability) -> float:
    """Return the expected wait of a call to a model, in seconds; 0 if it can run now."""
    if availability.has_key:
        return 0.0
    if availability.has_model:
        return availability.adapter_wait_s
    if availability.announced_in_s is not None:
        return max(OVERDUE_WAIT_S, availability.announced_in_s)
    load_s = UNKNOWN_MODEL_LOAD_S if availability.load_s is None else availability.load_s
    return LOAD_START_DELAY_S + load_s
