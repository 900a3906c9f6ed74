"""Reads the body of a caller's request within the limits of the current configuration.

Owns the statuses for exceeded limits; relies on the listener to bound each header field.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from aiohttp import web

    from limeshelf.calls.routes import ClientLimits

#: Largest body accepted before the first configuration is known.
DEFAULT_MAX_BODY_BYTES = 8 << 20
#: Bytes of a header field in addition to its name and value: a colon, a space, CR LF.
FIELD_OVERHEAD_BYTES = 4

STATUS_BODY_TOO_LARGE = 413
STATUS_HEAD_TOO_LARGE = 431


@dataclass(frozen=True)
class TooLarge:
    """The request exceeds a limit, and the rest of it is not read.

    :param status: HTTP status that tells the caller which limit.
    """

    status: int


async def read_body(request: web.BaseRequest, limits: ClientLimits | None) -> bytes | TooLarge:
    """Return the body of a request.

    :param limits: ``None`` before the first configuration; only the listener bounds the head
        then.
    """
    if limits is not None:
        if _head_bytes(request) > limits.header_bytes:
            return TooLarge(STATUS_HEAD_TOO_LARGE)
        if (request.content_length or 0) > limits.body_bytes:
            return TooLarge(STATUS_BODY_TOO_LARGE)
    if not request.can_read_body:
        return b''
    limit_bytes = limits.body_bytes if limits is not None else DEFAULT_MAX_BODY_BYTES
    chunks = []
    size_bytes = 0
    async for chunk in request.content.iter_any():
        chunks.append(chunk)
        size_bytes += len(chunk)
        if size_bytes > limit_bytes:
            return TooLarge(STATUS_BODY_TOO_LARGE)
    return b''.join(chunks)


def _head_bytes(request: web.BaseRequest) -> int:
    return len(request.raw_path) + sum(
        len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in request.raw_headers
    )
