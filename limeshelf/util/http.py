"""HTTP client sessions that send each request once.

Every HTTP session of the project is created with :func:`without_silent_retry`. Depends on a
private attribute of aiohttp, which has no public option for it; tests/util/test_http.py fails
when a release of aiohttp removes or renames it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


def without_silent_retry(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Disable the automatic retries of *session* and return it.

    When a keep-alive connection is closed before the answer, aiohttp sends requests with an
    idempotent method again on a new connection. The server may have run the first one, and
    the caller must decide about retries, within its retry budget.
    """
    session._retry_connection = False
    return session
