"""A stand-in of the store and a client of it."""

from __future__ import annotations

import asyncio
from typing import Any

from limeshelf.platform.store import StoreClient
from standins.users_platform.store import StoreStandIn


def with_store(scenario: Any) -> None:
    """Run *scenario* with a new store and a client of it."""

    async def run() -> None:
        store = StoreStandIn()
        client = StoreClient(await store.start())
        try:
            await scenario(store, client)
        finally:
            await client.close()
            await store.close()

    asyncio.run(run())
