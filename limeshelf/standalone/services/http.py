"""HTTP client for the JSON calls to one platform service, with timeout and rate limit.

Owns the session and the rate limit of one service. Never retries a call: retries are up to the
caller.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, Self

import aiohttp
import attrs
import msgspec

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.util.http import without_silent_retry
from limeshelf.util.rate import TokenBucket

if TYPE_CHECKING:
    from limeshelf.settings.model import PlatformSettings


@attrs.frozen
class Reply:
    """A complete answer of a platform service."""

    status: int
    body: bytes

    def json(self) -> Any:
        """Return the body as parsed JSON."""
        return msgspec.json.decode(self.body)


class ServiceClient:
    """Sends requests to one platform service.

    :param timeout_s: timeout of one call, including the whole answer.
    :param calls_per_s: rate limit; calls beyond it fail at once without being sent.
    """

    def __init__(self, service: str, base_url: str, timeout_s: float, calls_per_s: float) -> None:
        self.service = service
        self._base_url = base_url.rstrip('/')
        self._timeout = aiohttp.ClientTimeout(total=timeout_s)
        self._rate = TokenBucket(calls_per_s)
        self._session: aiohttp.ClientSession | None = None

    @classmethod
    def from_settings(cls, service: str, base_url: str, settings: PlatformSettings) -> Self:
        """Build the client of one service with the limits common to all services."""
        return cls(service, base_url, settings.timeout_s, settings.calls_per_s)

    async def call(self, method: str, path: str, body: Any = None) -> Reply:
        """Make one call and return its complete answer.

        :raises PlatformUnavailable: the call had no effect (not sent, or refused).
        :raises PlatformUnknown: the call may have had an effect: no complete answer arrived, or
            the service reported an internal error.
        """
        if not self._rate.try_take():
            raise PlatformUnavailable(self.service)
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with self._open().request(method, self._base_url + path, data=data) as answer:
                reply = Reply(answer.status, await answer.read())
        except aiohttp.ClientConnectorError:
            raise PlatformUnavailable(self.service) from None
        except (TimeoutError, aiohttp.ClientError):
            raise PlatformUnknown(self.service) from None
        if reply.status in (HTTPStatus.TOO_MANY_REQUESTS, HTTPStatus.SERVICE_UNAVAILABLE):
            raise PlatformUnavailable(self.service)
        if reply.status >= HTTPStatus.INTERNAL_SERVER_ERROR:
            raise PlatformUnknown(self.service)
        return reply

    def _open(self) -> aiohttp.ClientSession:
        if self._session is None:
            self._session = without_silent_retry(aiohttp.ClientSession(timeout=self._timeout))
        return self._session

    async def close(self) -> None:
        """Close the connections."""
        if self._session is not None:
            await self._session.close()
            await asyncio.sleep(0)
