"""Client of the object store, which holds the snapshots of the configuration."""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

import msgspec

from limeshelf.standalone.services.http import ServiceClient

if TYPE_CHECKING:
    from typing import Any

    from limeshelf.settings.model import PlatformSettings


class ObjectStoreClient:
    """Client of the object store."""

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> ObjectStoreClient:
        """Build the client for the address in *settings*."""
        return cls(ServiceClient.from_settings('objects', settings.objects_url, settings))

    async def put(self, key: str, value: Any) -> None:
        """Store *value* as JSON under *key*; idempotent."""
        await self._client.call('PUT', f'/objects/{quote(key, safe="")}', value)

    async def get(self, key: str) -> Any | None:
        """Return the value under *key*, or ``None``."""
        reply = await self._client.call('GET', f'/objects/{quote(key, safe="")}')
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return msgspec.json.decode(reply.body)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
