"""HTTP sessions towards upstreams, and what failures and refusals mean for a request.

Owns the names of the headers of a refusal. ``UpstreamUnreachable`` and
``UpstreamRefused`` mean that the request did not run, ``ExchangeBroken`` that it may
have.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp

from limeshelf.errors import ExchangeBroken, MayHaveRunReason, UpstreamRefused, UpstreamUnreachable
from limeshelf.util.http import without_silent_retry
from limeshelf.util.strict_response import use_strict_responses

if TYPE_CHECKING:
    from multidict import CIMultiDictProxy

#: An upstream sets this header on a refusal before any work was done.
NOT_RUN_HEADER = 'X-Not-Run'
#: Set beside it by an upstream that takes no new work because it leaves.
LEAVING_HEADER = 'X-Leaving'
RETRY_AFTER_HEADER = 'Retry-After'

#: What a client call raises when the exchange fails.
CLIENT_ERRORS = (aiohttp.ClientError, ConnectionError, TimeoutError)


def open_session(connect_timeout_s: float, reuse: bool = True) -> aiohttp.ClientSession:
    """Return a session that never repeats a request by itself.

    :param reuse: whether connections are kept for later requests. Calls that
        may not be repeated use fresh ones: a kept connection may have been
        closed by the other side, which cannot be told from a lost answer.
    """
    connector = aiohttp.TCPConnector(limit=0, force_close=not reuse)
    use_strict_responses(connector)
    session = aiohttp.ClientSession(
        connector=connector,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=connect_timeout_s),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
    )
    return without_silent_retry(session)


def failure_of(
    error: aiohttp.ClientError | ConnectionError | TimeoutError, upstream_id: str
) -> UpstreamUnreachable | ExchangeBroken:
    """Return what an error of :data:`CLIENT_ERRORS` says of the request."""
    if isinstance(error, aiohttp.ClientConnectorError | aiohttp.ConnectionTimeoutError):
        return UpstreamUnreachable(upstream_id)
    if isinstance(error, TimeoutError):
        return ExchangeBroken(upstream_id, MayHaveRunReason.ANSWER_TIMEOUT)
    return ExchangeBroken(upstream_id, MayHaveRunReason.CONNECTION_LOST)


def refusal_of(headers: CIMultiDictProxy[str], upstream_id: str) -> UpstreamRefused | None:
    """Return the refusal that the answer's *headers* carry, if they do."""
    if NOT_RUN_HEADER not in headers:
        return None
    return UpstreamRefused(
        upstream_id,
        _seconds(headers.get(RETRY_AFTER_HEADER)),
        leaving=LEAVING_HEADER in headers,
    )


def _seconds(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        return float(text)
    except ValueError:
        # A date or nonsense: the refusal itself counts, with a pause of our own.
        return None
