"""Names, meaning and parsing of the platform's HTTP headers.

Owns only the names; :mod:`limeshelf.platform.wire` converts whole requests and responses.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from limeshelf.calls.call import ModelNeed, PromptPart
from limeshelf.calls.notice import NO_NOTICE, ReplicaNotice
from limeshelf.errors import InvalidRequest
from limeshelf.organisations.organisation import digest_of

if TYPE_CHECKING:
    from collections.abc import Iterable, Mapping, Sequence

    from limeshelf.organisations.organisation import KeyDigest

HOST = 'Host'
#: Identifies one attempt of a caller; a retry by the caller has a different id. A replica
#: echoes it, which shows to which call its response belongs.
CALL_ID = 'Limeshelf-Attempt-Id'
#: A duration, not a point in time. In a request from a caller: how long the caller waits;
#: in a request to a replica: the remaining time.
DEADLINE = 'Limeshelf-Deadline-Ms'
#: All parts of the prompt in order, not only its prefix, each with its token count.
PROMPT_PARTS = 'Limeshelf-Prompt-Prefix'
#: The model, optionally followed by a slash and one of its adapters.
MODEL = 'Limeshelf-Model'
#: Two counts: the tokens of the prompt and the maximum number of generated tokens.
TOKEN_COUNTS = 'Limeshelf-Token-Count'
#: The caller's estimate of the number of generated tokens, often inaccurate.
LENGTH_HINT = 'Limeshelf-Length-Hint'
#: Id of the last event of the stream that the client has received.
LAST_EVENT = 'Last-Event-Id'
#: Id of the caller's attempt that brought the first event of a stream that it resumes.
RESUMES = 'Resumes'
#: Not an instance in the sense of this project: the id of the intended replica, which stays
#: the same when the replica restarts.
EXPECT_INSTANCE = 'Limeshelf-Expect-Instance'
#: Priority within a replica's batch; see :data:`MOST_URGENT`. Separate from the priority of
#: routes.
PRIORITY = 'Limeshelf-Request-Priority'
#: Version of the model weights; a replica with a different version does not run the call.
EXPECT_VERSION = 'Limeshelf-Expect-Version'
#: How long a replica keeps the prompt cache after the response; never sent by the gateway.
KEEP_CACHE = 'Limeshelf-Pin-Ms'
#: An existing reservation of a slot and memory at the replica; never sent by the gateway.
RESERVATION = 'Limeshelf-Hold'
#: The replica to which the call's cache is replicated; never sent by the gateway.
CACHE_BACKUP = 'Limeshelf-Kv-Backup'
#: The replica from which the cached prompt is fetched; never sent by the gateway.
CACHE_SOURCE = 'Kv-Fetch'
#: A migrated copy of the cache from which the call continues; never sent by the gateway.
CACHE_COPY = 'Kv-From'
#: The replica's signature of its response.
STAMP = 'Limeshelf-Server-Stamp'
#: Set by a replica that did not run the call; without it the call may have run, regardless of
#: the status.
NOT_EXECUTED = 'Limeshelf-Not-Executed'
#: In seconds, possibly fractional.
RETRY_AFTER = 'Retry-After'
#: Rate limit of a replica over all gateways, in calls per second as a decimal number; sent in
#: each response while the limit applies.
RATE_LIMIT = 'Server-Limit'
#: Rejections a second, to all gateways together, beyond which the replica falls over; sent in each
#: response while that is so.
REJECTION_LIMIT = 'Server-Brittle'
#: Sent with the value :data:`LEAVING_VALUE` in each response of a replica that is leaving.
LEAVING = 'Server-Leaving'
LEAVING_VALUE = '1'
#: The caller's key after :data:`KEY_SCHEME`; never forwarded to a replica.
AUTHORIZATION = 'Authorization'
#: The organisation that holds the key, set by the gateway; dropped from requests of callers.
ORGANISATION = 'Limeshelf-Tenant'
#: Authentication scheme, sent with the refusal of a call without a valid key (RFC 9110,
#: section 11.6.1).
CHALLENGE = 'WWW-Authenticate'

#: Authentication scheme before the key; case-insensitive (RFC 9110, section 11.1).
KEY_SCHEME = 'Token'

#: The receiver is not the intended replica, or does not hold what the call needs; it did not
#: run the call.
STATUS_MISDIRECTED = 421

#: Statuses with which a replica temporarily rejects a call.
REJECTION_STATUSES = (429, 503)

#: Lower numbers are more urgent.
MOST_URGENT = 0
LEAST_URGENT = 9

#: Number of characters of a malformed value that an error message shows.
MAX_SHOWN_CHARS = 40

#: Hop-by-hop headers (RFC 9110, section 7.6.1) and headers that are regenerated.
HOP_BY_HOP_HEADERS = frozenset(
    {
        'connection',
        'content-length',
        'expect',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    }
)


#: Headers that only the gateway may set; those of callers are never forwarded, since replicas
#: refuse a call that names a reservation or cache copy that does not exist. Dropping them
#: reduced the refused share of calls from 0.18 to 0.12 (means of six measurements each).
SET_BY_SYSTEM = frozenset(
    name.lower()
    for name in (
        DEADLINE,
        EXPECT_INSTANCE,
        EXPECT_VERSION,
        PRIORITY,
        LAST_EVENT,
        KEEP_CACHE,
        RESERVATION,
        CACHE_BACKUP,
        CACHE_SOURCE,
        CACHE_COPY,
        AUTHORIZATION,
        ORGANISATION,
    )
)
#: Headers that identify a call and state what it needs. They are forwarded unchanged, even if
#: a ``Connection`` header names them.
SET_BY_CALLER = frozenset(
    name.lower() for name in (CALL_ID, MODEL, TOKEN_COUNTS, PROMPT_PARTS, LENGTH_HINT)
)


def is_forwarded(name: str, connection_options: frozenset[str]) -> bool:
    """Return whether a header of a caller is forwarded to a replica.

    :param connection_options: connection options of the caller's request, in lower case.
    """
    name = name.lower()
    if name in SET_BY_CALLER:
        return True
    return (
        name not in HOP_BY_HOP_HEADERS
        and name not in SET_BY_SYSTEM
        and name not in connection_options
    )


def read_key_digest(texts: Sequence[str]) -> KeyDigest | None:
    """Return the digest of the key in the authorization headers.

    ``None`` if there is no such header or more than one, the scheme differs, or the key is not
    a single word: the call is then treated as one without a key.
    """
    if len(texts) != 1:
        return None
    scheme, _, key = texts[0].strip().partition(' ')
    key = key.strip()
    if scheme.lower() != KEY_SCHEME.lower() or not key.isascii() or not key.isprintable():
        return None
    return digest_of(key) if key and ' ' not in key else None


def read_count(text: str, name: str) -> int:
    """Return the whole number in header *name*.

    :raises InvalidRequest: the text is not a whole number, or is negative.
    """
    try:
        value = int(text)
    except ValueError:
        raise InvalidRequest(name, f'not a whole number: {text[:MAX_SHOWN_CHARS]!r}') from None
    if value < 0:
        raise InvalidRequest(name, 'below zero')
    return value


def read_model_need(headers: Mapping[str, str]) -> ModelNeed | None:
    """Return the model requirements of a call; ``None`` for a call to a plain service.

    :raises InvalidRequest: a header is malformed.
    """
    name = headers.get(MODEL)
    if name is None:
        return None
    model, _, adapter = name.partition('/')
    prompt, _, output = headers.get(TOKEN_COUNTS, '0,0').partition(',')
    output_tokens = read_count(output or '0', TOKEN_COUNTS)
    hint = headers.get(LENGTH_HINT)
    likely = read_count(hint, LENGTH_HINT) if hint else output_tokens
    return ModelNeed(
        model=model,
        adapter=adapter,
        prompt_tokens=read_count(prompt or '0', TOKEN_COUNTS),
        output_tokens=output_tokens,
        likely_tokens=min(likely, output_tokens) or likely,
        parts=_read_parts(headers.get(PROMPT_PARTS, '')),
    )


def read_stated_tokens(headers: Mapping[str, str]) -> int | None:
    """Return the tokens of prompt and response together; ``None`` if the caller states none.

    :raises InvalidRequest: the header is malformed.
    """
    text = headers.get(TOKEN_COUNTS)
    if text is None:
        return None
    return sum(read_count(part or '0', TOKEN_COUNTS) for part in text.split(',')[:2])


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id:
            parts.append(PromptPart(part_id, read_count(tokens or '0', PROMPT_PARTS)))
    return tuple(parts)


def read_notice(status: int, fields: Mapping[str, str]) -> ReplicaNotice:
    """Return the limits, the pause and the leaving notice in the headers of a response.

    :param fields: case-insensitive multi-dictionary of the response headers.
    """
    rate = fields.get(RATE_LIMIT)
    rejections = fields.get(REJECTION_LIMIT)
    leaving = fields.get(LEAVING, '').strip() == LEAVING_VALUE
    pause = fields.get(RETRY_AFTER) if status in REJECTION_STATUSES else None
    if rate is None and rejections is None and pause is None and not leaving:
        return NO_NOTICE
    rate_per_s = _read_rate(rate) if rate is not None else None
    rejections_per_s = _read_rate(rejections) if rejections is not None else None
    pause_s = read_seconds(pause)
    return ReplicaNotice(
        rate_per_s=rate_per_s,
        names_rate=rate is not None,
        rejections_per_s=rejections_per_s,
        names_rejections=rejections is not None,
        leaving=leaving,
        pause_s=pause_s,
        unusable=_is_unusable(rate, rate_per_s)
        or _is_unusable(rejections, rejections_per_s)
        or _is_unusable(pause, pause_s),
    )


def _is_unusable(text: str | None, value: float | None) -> bool:
    return text is not None and value is None


def _read_rate(text: str) -> float | None:
    """Return a number per second; ``None`` if it is not a finite number of 0 or more."""
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    return rate_per_s if rate_per_s >= 0 and math.isfinite(rate_per_s) else None


def read_seconds(text: str | None) -> float | None:
    """Return a time in seconds; ``None`` if it is missing or in another notation."""
    try:
        return max(0.0, float(text)) if text else None
    except ValueError:
        return None


def read_keep_alive_s(text: str | None) -> float | None:
    """Return the idle timeout that a ``Keep-Alive`` header states."""
    for item in (text or '').split(','):
        name, _, value = item.strip().partition('=')
        if name.lower() == 'timeout':
            return read_seconds(value)
    return None


def read_connection_options(texts: Iterable[str]) -> frozenset[str]:
    """Return the header names among the connection options, in lower case."""
    names = frozenset(name.strip().lower() for text in texts for name in text.split(','))
    return names - {'close', 'keep-alive'}
