"""What failures and refusals of upstreams mean for a request."""

from __future__ import annotations

import aiohttp
import pytest
from multidict import CIMultiDict, CIMultiDictProxy

from limeshelf.errors import ExchangeBroken, MayHaveRunReason, UpstreamUnreachable
from limeshelf.standalone.upstreams.http import CLIENT_ERRORS, failure_of, refusal_of


@pytest.mark.parametrize(
    ('error', 'reason'),
    [
        (TimeoutError(), MayHaveRunReason.ANSWER_TIMEOUT),
        (aiohttp.SocketTimeoutError(), MayHaveRunReason.ANSWER_TIMEOUT),
        (ConnectionResetError(), MayHaveRunReason.CONNECTION_LOST),
        (aiohttp.ServerDisconnectedError(), MayHaveRunReason.CONNECTION_LOST),
        (aiohttp.ClientPayloadError(), MayHaveRunReason.CONNECTION_LOST),
    ],
)
def test_error_after_the_connection_stood_leaves_it_open_whether_it_ran(error, reason) -> None:
    assert isinstance(error, CLIENT_ERRORS)
    failure = failure_of(error, 'u')
    assert isinstance(failure, ExchangeBroken)
    assert failure.reason is reason


def test_failed_connection_means_that_nothing_was_sent() -> None:
    assert isinstance(failure_of(aiohttp.ConnectionTimeoutError(), 'u'), UpstreamUnreachable)


@pytest.mark.parametrize(
    ('headers', 'retry_after_s', 'leaving'),
    [
        ({'X-Not-Run': '1'}, None, False),
        ({'X-Not-Run': '1', 'Retry-After': '1.5'}, 1.5, False),
        ({'X-Not-Run': '1', 'Retry-After': 'Wed, 02 Dec 2026 15:00:00 GMT'}, None, False),
        ({'X-Not-Run': '1', 'X-Leaving': '1'}, None, True),
    ],
)
def test_refusal_says_when_to_come_back_and_whether_the_upstream_leaves(
    headers, retry_after_s, leaving
) -> None:
    refusal = refusal_of(CIMultiDictProxy(CIMultiDict(headers)), 'u')
    assert refusal is not None
    assert (refusal.retry_after_s, refusal.leaving) == (retry_after_s, leaving)


def test_answer_without_the_header_is_no_refusal() -> None:
    assert refusal_of(CIMultiDictProxy(CIMultiDict({'X-Leaving': '1'})), 'u') is None
