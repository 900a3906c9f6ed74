"""Client of plain services: any method, bodies streamed both ways.

Owns no state but its sessions, which the pool shares. Relies on ``http`` for what a
failure says; never repeats a call.
"""

from __future__ import annotations

import asyncio
from contextlib import asynccontextmanager
from typing import TYPE_CHECKING

import aiohttp
import attrs
import msgspec
from yarl import URL

from limeshelf.errors import ExchangeBroken, MayHaveRunReason
from limeshelf.standalone.upstreams.http import CLIENT_ERRORS, failure_of, refusal_of
from limeshelf.standalone.upstreams.messages import PlainReport

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from multidict import CIMultiDict

#: Headers that concern one connection only and are not passed on.
HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'host',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


@attrs.frozen
class PlainCall:
    """A call to a plain service.

    :param body: the bytes, or a stream that can be sent once only.
    """

    method: str
    path_and_query: str
    headers: CIMultiDict[str]
    body: bytes | AsyncIterator[bytes] | None
    timeout_s: float


class HttpPlainClient:
    """Sends calls to one replica of a plain service."""

    def __init__(
        self,
        upstream_id: str,
        address: str,
        shared: aiohttp.ClientSession,
        fresh: aiohttp.ClientSession,
    ) -> None:
        self.upstream_id = upstream_id
        self._base_url = f'http://{address}'
        self._shared = shared
        self._fresh = fresh

    @asynccontextmanager
    async def send(
        self, call: PlainCall, repeatable: bool
    ) -> AsyncIterator[aiohttp.ClientResponse]:
        """Send *call* once and give the answer, whose body is still to be read.

        :raises UpstreamRefused: the service did not run it.
        :raises UpstreamUnreachable: no byte was sent.
        :raises ExchangeBroken: it may have run.
        """
        session = self._shared if repeatable else self._fresh
        url = URL(self._base_url + call.path_and_query, encoded=True)
        try:
            async with (
                asyncio.timeout(call.timeout_s),
                session.request(
                    call.method,
                    url,
                    headers=call.headers,
                    data=call.body,
                    allow_redirects=False,
                ) as answer,
            ):
                refusal = refusal_of(answer.headers, self.upstream_id)
                if refusal is not None:
                    raise refusal
                yield answer
        except CLIENT_ERRORS as error:
            raise failure_of(error, self.upstream_id) from None

    async def report(self, timeout_s: float) -> PlainReport:
        """Return the service's report."""
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._shared.get(f'{self._base_url}/report') as answer,
            ):
                return msgspec.json.decode(await answer.read(), type=PlainReport)
        except msgspec.MsgspecError:
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_FOREIGN) from None
        except CLIENT_ERRORS as error:
            raise failure_of(error, self.upstream_id) from None


def passable_headers(headers: CIMultiDict[str]) -> CIMultiDict[str]:
    """Return a copy of *headers* without those of one connection."""
    named = {
        name.strip().lower()
        for value in headers.getall('Connection', [])
        for name in value.split(',')
    }
    copy = headers.copy()
    for name in set(copy):
        if name.lower() in HOP_HEADERS or name.lower() in named:
            del copy[name]
    return copy
