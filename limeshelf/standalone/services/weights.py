"""Client of the weight store: which weights exist, and their sizes.

Holds no state. The admin program checks the sizes of new models against the store.
"""

from __future__ import annotations

from http import HTTPStatus
from typing import TYPE_CHECKING
from urllib.parse import quote

import attrs
import msgspec

from limeshelf.standalone.services.http import ServiceClient

if TYPE_CHECKING:
    from limeshelf.settings.model import PlatformSettings


@attrs.frozen
class Manifest:
    """Size of the stored weights of one item."""

    item_id: str
    weights_bytes: int


class WeightStoreClient:
    """Client of the weight store; engines fetch the weights themselves."""

    def __init__(self, client: ServiceClient) -> None:
        self._client = client

    @classmethod
    def from_settings(cls, settings: PlatformSettings) -> WeightStoreClient:
        """Build the client for the address in *settings*."""
        return cls(ServiceClient.from_settings('weights', settings.weights_url, settings))

    async def manifest(self, item_id: str) -> Manifest | None:
        """Return the manifest of *item_id*, or ``None`` if the store has no weights of it."""
        reply = await self._client.call('GET', f'/manifests/{quote(item_id, safe="")}')
        if reply.status == HTTPStatus.NOT_FOUND:
            return None
        return msgspec.convert(reply.json(), Manifest)

    async def close(self) -> None:
        """Close the connections."""
        await self._client.close()
