"""HTTP client sessions that send each request once.

Every HTTP session of the product is passed through here. Relies on a private
attribute of aiohttp, which has no public switch for it;
tests/util/test_http.py fails when a release of aiohttp drops or renames it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import aiohttp


def without_silent_retry(session: aiohttp.ClientSession) -> aiohttp.ClientSession:
    """Return *session*, which no longer sends a request again by itself.

    When a kept connection drops before the answer, aiohttp sends idempotent
    methods a second time on a new one. The server may have run the first one,
    and a repeat is for the caller to decide, within its retry budget.
    """
    session._retry_connection = False
    return session
