"""Reads the body of a caller's request whole, within limits of size and time.

Owns no state. Relies on the limits of the settings, which its callers pass in.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from limeshelf.errors import InvalidRequest

if TYPE_CHECKING:
    from aiohttp import web

#: Largest piece of a body that is read at once, in bytes.
CHUNK_BYTES = 64 << 10


async def read_body(request: web.Request, limit_bytes: int, timeout_s: float) -> bytes:
    """Return the whole body.

    :param timeout_s: longest time until the last byte, in seconds.
    :raises InvalidRequest: it is larger than *limit_bytes* (status 413; at once if
        the request says so) or did not arrive in time (408).
    """
    if request.content_length is not None and request.content_length > limit_bytes:
        raise _oversize(limit_bytes)
    chunks: list[bytes] = []
    size_bytes = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_chunked(CHUNK_BYTES):
                size_bytes += len(chunk)
                if size_bytes > limit_bytes:
                    raise _oversize(limit_bytes)
                chunks.append(chunk)
    except TimeoutError:
        raise InvalidRequest('body', f'did not arrive within {timeout_s} s', 408) from None
    return b''.join(chunks)


def _oversize(limit_bytes: int) -> InvalidRequest:
    return InvalidRequest('body', f'is larger than {limit_bytes} bytes', 413)
