"""Clients of all upstreams, made when first used, over shared sessions.

Owns the two sessions of a process: one keeps connections, the other uses a fresh one
for each call that may not be repeated. Relies on ``engine`` and ``plain`` for the clients.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.standalone.upstreams.engine import HttpEngineClient
from limeshelf.standalone.upstreams.http import open_session
from limeshelf.standalone.upstreams.plain import HttpPlainClient

if TYPE_CHECKING:
    from typing import Protocol

    import aiohttp

    from limeshelf.standalone.services.instances import Listed

    class HasListed(Protocol):
        """Anything that carries a line of the instance list."""

        @property
        def listed(self) -> Listed:
            """Return the line."""
            ...


class UpstreamPool:
    """Gives the client of an upstream; an upstream that moved gets a new one."""

    def __init__(self, connect_timeout_s: float) -> None:
        self._connect_timeout_s = connect_timeout_s
        self._shared: aiohttp.ClientSession | None = None
        self._fresh: aiohttp.ClientSession | None = None
        self._engines: dict[tuple[str, str], HttpEngineClient] = {}
        self._plain: dict[tuple[str, str], HttpPlainClient] = {}

    def engine(self, upstream: HasListed) -> HttpEngineClient:
        """Return the client of an engine."""
        key = (upstream.listed.instance_id, upstream.listed.address)
        client = self._engines.get(key)
        if client is None:
            client = HttpEngineClient(*key, self._open_shared())
            self._engines[key] = client
        return client

    def plain(self, upstream: HasListed) -> HttpPlainClient:
        """Return the client of a replica of a plain service."""
        key = (upstream.listed.instance_id, upstream.listed.address)
        client = self._plain.get(key)
        if client is None:
            client = HttpPlainClient(*key, self._open_shared(), self._open_fresh())
            self._plain[key] = client
        return client

    def _open_shared(self) -> aiohttp.ClientSession:
        if self._shared is None:
            self._shared = open_session(self._connect_timeout_s)
        return self._shared

    def _open_fresh(self) -> aiohttp.ClientSession:
        if self._fresh is None:
            self._fresh = open_session(self._connect_timeout_s, reuse=False)
        return self._fresh

    async def close(self) -> None:
        """Close all connections."""
        for session in (self._shared, self._fresh):
            if session is not None:
                await session.close()
