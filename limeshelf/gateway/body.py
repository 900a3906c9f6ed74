"""Reads the body of a caller's request within the limits of the current configuration.

Owns the statuses for exceeded limits; relies on the listener to bound each header field.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from aiohttp import web
from aiohttp.http_exceptions import HttpProcessingError

from limeshelf.errors import BuffersFull
from limeshelf.gateway.head_refusal import (
    BUFFERS_FULL_RETRY_AFTER_S,
    STATUS_HEAD_TOO_LARGE,
    STATUS_UNAVAILABLE,
)
from limeshelf.metrics.event_log import log_request
from limeshelf.util.suspension import boot_timeout

if TYPE_CHECKING:
    from limeshelf.calls.routes import ClientLimits

#: Largest body accepted before the first configuration is known.
DEFAULT_MAX_BODY_BYTES = 8 << 20
#: Bytes of a header field in addition to its name and value: a colon, a space, CR LF.
FIELD_OVERHEAD_BYTES = 4

STATUS_BAD_REQUEST = 400
STATUS_REQUEST_TIMEOUT = 408
STATUS_BODY_TOO_LARGE = 413
#: Statuses of requests over a limit of the configuration.
LIMIT_STATUSES = frozenset({STATUS_HEAD_TOO_LARGE, STATUS_BODY_TOO_LARGE})


@dataclass(frozen=True)
class RejectedRequest:
    """The request exceeds a limit, and the rest of it is not read.

    :param status: HTTP status that tells the caller which limit.
    :param retry_after_s: when the caller may try again, in seconds; ``None`` if not at all.
    """

    status: int
    retry_after_s: float | None = None


def check_head(request: web.BaseRequest, limits: ClientLimits | None) -> RejectedRequest | None:
    """Return why a request is rejected by its head, or ``None``.

    :param limits: ``None`` before the first configuration; only the listener bounds the head
        then.
    """
    if limits is None:
        return None
    if _head_bytes(request) > limits.header_bytes:
        return RejectedRequest(STATUS_HEAD_TOO_LARGE)
    if (request.content_length or 0) > limits.body_bytes:
        return RejectedRequest(STATUS_BODY_TOO_LARGE)
    return None


async def read_body(
    request: web.BaseRequest, limits: ClientLimits | None, limit_s: float
) -> bytes | RejectedRequest:
    """Return the body of a request.

    :param limits: ``None`` before the first configuration.
    :param limit_s: time until the whole body must have arrived, in seconds.
    """
    if not request.can_read_body:
        return b''
    limit_bytes = limits.body_bytes if limits is not None else DEFAULT_MAX_BODY_BYTES
    try:
        async with boot_timeout(limit_s):
            return await _read_parts(request, limit_bytes)
    except TimeoutError:
        log_request('body_timed_out', path=request.path, limit_s=round(limit_s, 3))
        return RejectedRequest(STATUS_REQUEST_TIMEOUT)
    except BuffersFull as error:
        # Logged where the transfer was given up. The body's reader keeps the error.
        error.with_traceback(None)
        return RejectedRequest(STATUS_UNAVAILABLE, BUFFERS_FULL_RETRY_AFTER_S)
    except (web.RequestPayloadError, HttpProcessingError) as error:
        log_request('invalid', field='body', problem=type(error).__name__)
        return RejectedRequest(STATUS_BAD_REQUEST)


async def _read_parts(request: web.BaseRequest, limit_bytes: int) -> bytes | RejectedRequest:
    body = bytearray()
    try:
        async for chunk in request.content.iter_any():
            body += chunk
            if len(body) > limit_bytes:
                return RejectedRequest(STATUS_BODY_TOO_LARGE)
        return bytes(body)
    finally:
        # The traceback of an error would keep it until the next full garbage collection.
        body.clear()


def _head_bytes(request: web.BaseRequest) -> int:
    return len(request.raw_path) + sum(
        len(name) + len(value) + FIELD_OVERHEAD_BYTES for name, value in request.raw_headers
    )
