"""Client of one model engine: reports, orders, and answers checked line by line.

Owns no state but its session, which the pool shares. Relies on ``http`` for what a
failure says; never repeats a request.
"""

from __future__ import annotations

import asyncio
from http import HTTPStatus
from typing import TYPE_CHECKING, Any, TypeVar

import aiohttp
import msgspec

from limeshelf.errors import ExchangeBroken, MayHaveRunReason
from limeshelf.standalone.upstreams.http import CLIENT_ERRORS, failure_of, refusal_of
from limeshelf.standalone.upstreams.messages import (
    EngineReport,
    GenerateRequest,
    Order,
    OrderAnswer,
    TokenLine,
)

if TYPE_CHECKING:
    from collections.abc import AsyncGenerator, AsyncIterator

T = TypeVar('T')


class HttpEngineClient:
    """Sends JSON over HTTP and reads one line of JSON for each token."""

    def __init__(self, upstream_id: str, address: str, session: aiohttp.ClientSession) -> None:
        self.upstream_id = upstream_id
        self._base_url = f'http://{address}'
        self._session = session
        self._lines = msgspec.json.Decoder(TokenLine)

    async def report(self, timeout_s: float) -> EngineReport:
        """Return the engine's report.

        :raises UpstreamUnreachable: not connected.
        :raises ExchangeBroken: no whole answer.
        """
        body = await self._exchange('GET', '/report', None, timeout_s)
        return self._decoded(body, EngineReport)

    async def order(self, order: Order, timeout_s: float) -> OrderAnswer:
        """Send *order*; after :exc:`ExchangeBroken` it may have taken effect."""
        body = await self._exchange('POST', '/orders', order, timeout_s)
        return self._decoded(body, OrderAnswer)

    async def generate(self, request: GenerateRequest) -> AsyncGenerator[list[TokenLine], None]:
        """Yield the lines of the answer; the last one has a finish reason.

        :raises UpstreamRefused: the engine did not run it.
        :raises UpstreamUnreachable: no byte was sent.
        :raises ExchangeBroken: anything else that is not a whole answer.
        """
        try:
            async with self._session.post(
                f'{self._base_url}/v1/generate', data=msgspec.json.encode(request)
            ) as answer:
                self._check_status(answer)
                try:
                    async for batch in self._batches(answer, request):
                        yield batch
                        if batch[-1].finish:
                            return
                finally:
                    # Unless the answer was read to its end, the connection is
                    # out of step and must not be used again.
                    if not answer.content.at_eof():
                        answer.close()
        except CLIENT_ERRORS as error:
            raise failure_of(error, self.upstream_id) from None

    def _check_status(self, answer: aiohttp.ClientResponse) -> None:
        refusal = refusal_of(answer.headers, self.upstream_id)
        if refusal is not None:
            raise refusal
        if answer.status != HTTPStatus.OK:
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_CUT)

    async def _batches(
        self, answer: aiohttp.ClientResponse, request: GenerateRequest
    ) -> AsyncIterator[list[TokenLine]]:
        """Yield the lines that have arrived whole; each must be the next of this answer."""
        expected = request.start_index
        rest = b''
        while True:
            data = await answer.content.readany()
            if not data:
                raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_CUT)
            whole, newline, rest = (rest + data).rpartition(b'\n')
            if not newline:
                continue
            batch = self._decode_lines(whole)
            for line in batch:
                if line.exchange_id != request.exchange_id or line.index != expected:
                    raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_FOREIGN)
                expected += 0 if line.finish else 1
            yield batch

    def _decode_lines(self, data: bytes) -> list[TokenLine]:
        try:
            return self._lines.decode_lines(data)
        except msgspec.MsgspecError:
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_FOREIGN) from None

    async def _exchange(self, method: str, path: str, body: Any, timeout_s: float) -> bytes:
        data = None if body is None else msgspec.json.encode(body)
        try:
            async with (
                asyncio.timeout(timeout_s),
                self._session.request(method, self._base_url + path, data=data) as answer,
            ):
                self._check_status(answer)
                return await answer.read()
        except CLIENT_ERRORS as error:
            raise failure_of(error, self.upstream_id) from None

    def _decoded(self, body: bytes, kind: type[T]) -> T:
        try:
            return msgspec.json.decode(body, type=kind)
        except msgspec.MsgspecError:
            raise ExchangeBroken(self.upstream_id, MayHaveRunReason.ANSWER_FOREIGN) from None
