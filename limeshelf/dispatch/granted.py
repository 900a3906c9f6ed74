"""Requests that this dispatcher granted and that have not ended.

Owns them until their end is reported, or until :data:`GRANT_GRACE_S` after their deadline, because
a gateway that crashed never reports it.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.dispatch.requests import GrantedRequest

#: A granted request whose end is not reported is dropped this long after its caller's deadline.
GRANT_GRACE_S = 1.0


class GrantedRequests:
    """Granted requests by id, and in order of expiry."""

    def __init__(self) -> None:
        self._by_id: dict[str, GrantedRequest] = {}
        #: Includes requests that have ended since; these are skipped.
        self._expiries: list[tuple[float, str]] = []

    def get(self, request_id: str) -> GrantedRequest | None:
        """Return a request by id, ``None`` if it was not granted or has ended."""
        return self._by_id.get(request_id)

    def add(self, granted: GrantedRequest) -> None:
        """Add a request that was just granted."""
        self._by_id[granted.request_id] = granted
        heapq.heappush(self._expiries, (granted.deadline_s + GRANT_GRACE_S, granted.request_id))

    def finish(self, request_id: str) -> GrantedRequest | None:
        """Remove a request and return it; ``None`` if it was not granted or has ended."""
        return self._by_id.pop(request_id, None)

    def pop_expired(self, now_s: float) -> list[GrantedRequest]:
        """Remove and return the expired requests."""
        expired = []
        while self._expiries and self._expiries[0][0] < now_s:
            granted = self.finish(heapq.heappop(self._expiries)[1])
            if granted is not None:
                expired.append(granted)
        return expired
