"""The requests that wait at one dispatcher, by model.

Owns the queued requests; their order is defined in :mod:`limeshelf.dispatch.requests`. Indexed by
model, because each query needs the position of its request among those for the same model.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

    from limeshelf.dispatch.requests import QueuedRequest


class RequestQueue:
    """Queued requests by id and by model."""

    def __init__(self) -> None:
        self._by_id: dict[str, QueuedRequest] = {}
        self._by_model: dict[str, dict[str, QueuedRequest]] = {}

    def __len__(self) -> int:
        return len(self._by_id)

    def __contains__(self, request_id: str) -> bool:
        return request_id in self._by_id

    def get(self, request_id: str) -> QueuedRequest | None:
        """Return a request by its id, ``None`` if it is not queued."""
        return self._by_id.get(request_id)

    def add(self, request: QueuedRequest) -> None:
        """Add a request to the queue."""
        self._by_id[request.request_id] = request
        model = request.query.key.model
        self._by_model.setdefault(model, {})[request.request_id] = request

    def remove(self, request_id: str) -> None:
        """Remove a request; no effect if it is not queued."""
        request = self._by_id.pop(request_id, None)
        if request is None:
            return
        model = request.query.key.model
        same_model = self._by_model[model]
        del same_model[request_id]
        if not same_model:
            del self._by_model[model]

    def of_model(self, model: str) -> Iterable[QueuedRequest]:
        """Return the requests for a model, with any adapter."""
        return self._by_model.get(model, {}).values()

    def in_order(self, now_s: float) -> list[QueuedRequest]:
        """Return all requests, the most urgent first."""
        return sorted(self._by_id.values(), key=lambda request: request.urgency(now_s))

    def drop_stale(self, now_s: float, ttl_s: float) -> None:
        """Drop requests past their deadline and those that their gateways no longer send.

        :param ttl_s: time within which a gateway must have sent the request again.
        """
        stale = [
            request_id
            for request_id, request in self._by_id.items()
            if now_s > request.deadline_s or now_s - request.last_query_s > ttl_s
        ]
        for request_id in stale:
            self.remove(request_id)
