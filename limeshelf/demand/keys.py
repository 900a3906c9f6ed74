"""The key that a call requests (model and adapter), and the demand counters for a key.

Both types are part of the messages between gateways, so their fields keep names and order.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

if TYPE_CHECKING:
    from limeshelf.calls.call import Call


class ModelKey(msgspec.Struct, frozen=True, array_like=True):
    """A model of a service, or one of its adapters.

    :param adapter: name of the adapter; empty for the model without an adapter.
    """

    service: str
    model: str
    adapter: str = ''

    @property
    def base(self) -> ModelKey:
        """Return the key of the model itself, without its adapter."""
        return ModelKey(self.service, self.model)


class KeyDemand(msgspec.Struct, array_like=True):
    """Demand counters of one gateway for one key.

    :ivar started: calls that began since the gateway process started.
    :ivar running: calls in progress, including those that wait for a replica.
    :ivar wanted: times that no replica held the key when a call needed it.
    :ivar objective_ms: the shortest objective of the calls; 0 before any.
    :ivar tokens: prompt tokens of the calls that began.
    :ivar refused: calls that were refused because the replicas that hold the key had no room in
        time.
    :ivar served_ago_ms: time since a replica last began to answer a call; ``None`` before any
        answer.
    :ivar unserved_ms: time since the first call after that answer; ``None`` without such a call,
        and from a gateway that does not send it.
    """

    key: ModelKey
    started: int = 0
    running: int = 0
    wanted: int = 0
    objective_ms: int = 0
    tokens: int = 0
    refused: int = 0
    served_ago_ms: int | None = None
    unserved_ms: int | None = None


def key_of(call: Call, service: str) -> ModelKey | None:
    """Return the key that a call to a service requests, or ``None`` if it names no model."""
    need = call.model_need
    return None if need is None else ModelKey(service, need.model, need.adapter)
