"""The requests that one dispatcher granted and that have not ended.

Owns them until their end is reported, or until some time after their callers have given up:
the report of a gateway that died never comes.
"""

from __future__ import annotations

import heapq
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.dispatch.requests import GrantedRequest

#: A granted request that nobody ended is dropped this long after its caller gave up.
GRANT_SLACK_S = 1.0


class GrantedRequests:
    """Granted requests by id, and in the order in which their time is over."""

    def __init__(self) -> None:
        self._by_id: dict[str, GrantedRequest] = {}
        #: Also of requests that have ended since; these are passed over.
        self._ends: list[tuple[float, str]] = []

    def get(self, request_id: str) -> GrantedRequest | None:
        """Return a request by its id, ``None`` if it was not granted or has ended."""
        return self._by_id.get(request_id)

    def add(self, granted: GrantedRequest) -> None:
        """Keep a request that was just granted."""
        self._by_id[granted.request_id] = granted
        heapq.heappush(self._ends, (granted.ends_s + GRANT_SLACK_S, granted.request_id))

    def end(self, request_id: str) -> GrantedRequest | None:
        """Forget a request and return it; ``None`` if it was not granted or has ended."""
        return self._by_id.pop(request_id, None)

    def end_overdue(self, now_s: float) -> list[GrantedRequest]:
        """Forget the requests whose time is over, and return them."""
        overdue = []
        while self._ends and self._ends[0][0] < now_s:
            granted = self.end(heapq.heappop(self._ends)[1])
            if granted is not None:
                overdue.append(granted)
        return overdue
