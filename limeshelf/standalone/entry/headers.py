"""The headers that the entry reads and writes, and the checks on those it reads.

Owns the names of the headers of the caller-facing wire. Relies on nothing but the
request's header map.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.errors import InvalidRequest

if TYPE_CHECKING:
    from aiohttp import web

CALLER_HEADER = 'X-Caller'
DEADLINE_HEADER = 'X-Deadline-S'
IDEMPOTENCY_HEADER = 'Idempotency-Key'
OUTCOME_HEADER = 'X-Limeshelf-Outcome'
REQUEST_ID_HEADER = 'X-Limeshelf-Request-Id'
REVISION_HEADER = 'X-Limeshelf-Revision'
REPLAYED_HEADER = 'X-Limeshelf-Replayed'
RETRY_AFTER_HEADER = 'Retry-After'

#: Longest caller name and idempotency key, in characters.
MAX_VALUE_CHARS = 256
#: Longest deadline that a caller may name: a day.
MAX_DEADLINE_S = 24 * 3600.0
#: Stands for the caller of a request that names none.
ANONYMOUS = 'anonymous'


def caller_of(request: web.Request) -> str | None:
    """Return the caller that the request names, if it does.

    :raises InvalidRequest: the name is empty or too long.
    """
    return _short_value(request, CALLER_HEADER)


def idempotency_key_of(request: web.Request) -> str | None:
    """Return the idempotency key of the request, if it has one.

    :raises InvalidRequest: the key is empty or too long.
    """
    return _short_value(request, IDEMPOTENCY_HEADER)


def header_deadline_s(request: web.Request, default_s: float) -> float:
    """Return the deadline that the request's headers name, else *default_s*.

    :raises InvalidRequest: it is no number of seconds, or out of range.
    """
    text = request.headers.get(DEADLINE_HEADER)
    if text is None:
        return default_s
    try:
        deadline_s = float(text)
    except ValueError:
        raise InvalidRequest(DEADLINE_HEADER, 'must be a number of seconds') from None
    return checked_deadline_s(DEADLINE_HEADER, deadline_s)


def checked_deadline_s(field_name: str, deadline_s: float) -> float:
    """Return *deadline_s* if it is above 0 and at most :data:`MAX_DEADLINE_S`.

    :raises InvalidRequest: it is not; names *field_name*.
    """
    if not 0 < deadline_s <= MAX_DEADLINE_S:
        raise InvalidRequest(field_name, f'must be above 0 and at most {MAX_DEADLINE_S} (seconds)')
    return deadline_s


def _short_value(request: web.Request, name: str) -> str | None:
    value = request.headers.get(name)
    if value is None:
        return None
    if not value or len(value) > MAX_VALUE_CHARS:
        raise InvalidRequest(name, f'must have 1 to {MAX_VALUE_CHARS} characters')
    return value
