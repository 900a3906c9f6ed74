"""Error answers in the OpenAI shape, with outcome and time to come back.

Owns the HTTP status of each outcome. Relies on the outcomes of ``limeshelf.errors``.
"""

from __future__ import annotations

import math
from typing import Any, TypeVar

import msgspec
from aiohttp import web

from limeshelf.errors import (
    InvalidRequest,
    MayHaveRun,
    NotRun,
    OutcomeKind,
    RefusalReason,
    RequestMayHaveRun,
    RequestNotRun,
)
from limeshelf.standalone.entry.headers import (
    OUTCOME_HEADER,
    REQUEST_ID_HEADER,
    RETRY_AFTER_HEADER,
    REVISION_HEADER,
)

AnyAnswer = TypeVar('AnyAnswer', bound=web.StreamResponse)

#: HTTP status by reason; every other reason is 503.
STATUS_BY_REASON = {
    RefusalReason.BAD_REQUEST: 400,
    RefusalReason.UNKNOWN_MODEL: 404,
    RefusalReason.UNKNOWN_ROUTE: 404,
    RefusalReason.OVERLOADED: 429,
    RefusalReason.DEADLINE_TOO_SHORT: 504,
    RefusalReason.KEY_REUSED: 422,
}
#: HTTP status of an answer without one by reason: not run, and may have run.
NOT_RUN_STATUS = 503
MAY_HAVE_RUN_STATUS = 502


def error_body(
    outcome: NotRun | MayHaveRun, request_id: str, field_name: str | None = None
) -> dict[str, Any]:
    """Return the body of an error answer.

    :param field_name: field of a malformed request that is at fault.
    """
    kind = _kind_of(outcome)
    return {
        'error': {
            'message': outcome.detail or outcome.reason.value,
            'type': 'invalid_request_error' if field_name else f'{kind}_error',
            'param': field_name,
            'code': outcome.reason.value,
            'outcome': kind.value,
            'request_id': request_id,
        }
    }


def outcome_answer(outcome: NotRun | MayHaveRun, request_id: str) -> web.Response:
    """Return the final answer for a request that has no other."""
    body = error_body(outcome, request_id)
    if isinstance(outcome, MayHaveRun):
        return _answer(MAY_HAVE_RUN_STATUS, body, outcome)
    answer = _answer(STATUS_BY_REASON.get(outcome.reason, NOT_RUN_STATUS), body, outcome)
    if outcome.retry_after_s is not None:
        answer.headers[RETRY_AFTER_HEADER] = str(max(1, math.ceil(outcome.retry_after_s)))
    return answer


def invalid_answer(error: InvalidRequest, request_id: str) -> web.Response:
    """Return the answer to a malformed request; nothing reached an upstream."""
    outcome = NotRun(RefusalReason.BAD_REQUEST, None, f'{error.field_name}: {error.problem}')
    body = error_body(outcome, request_id, error.field_name)
    return _answer(error.status, body, outcome)


def error_answer(
    error: InvalidRequest | RequestNotRun | RequestMayHaveRun, request_id: str, revision: int
) -> web.Response:
    """Return the whole answer to a request that ended with *error*."""
    if isinstance(error, InvalidRequest):
        return tag(invalid_answer(error, request_id), request_id, revision)
    return tag(outcome_answer(error.outcome, request_id), request_id, revision)


def tag(answer: AnyAnswer, request_id: str, revision: int) -> AnyAnswer:
    """Add the headers that every answer carries."""
    answer.headers[REQUEST_ID_HEADER] = request_id
    answer.headers[REVISION_HEADER] = str(revision)
    return answer


def _kind_of(outcome: NotRun | MayHaveRun) -> OutcomeKind:
    return OutcomeKind.NOT_RUN if isinstance(outcome, NotRun) else OutcomeKind.MAY_HAVE_RUN


def _answer(status: int, body: dict[str, Any], outcome: NotRun | MayHaveRun) -> web.Response:
    return web.Response(
        status=status,
        body=msgspec.json.encode(body),
        content_type='application/json',
        headers={OUTCOME_HEADER: _kind_of(outcome).value},
    )
