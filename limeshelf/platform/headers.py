"""The platform's headers: their names, what each means, and how its text is read.

Owns the names alone; :mod:`limeshelf.platform.wire` builds calls and answers from
them. Relies on the types of calls.
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

#: One attempt of a caller; the caller's own retry has another id. A replica
#: sends it back, which shows what its answer belongs to.
CALL_ID = 'Limeshelf-Attempt-Id'
#: A duration, not a moment: as received, how long the caller waits; as sent to a
#: replica, how long that may still work.
DEADLINE = 'Limeshelf-Deadline-Ms'
#: All parts of the prompt in order, not only its beginning; each with its tokens.
PARTS = 'Limeshelf-Prompt-Prefix'
#: The model, and behind a slash one of its adapters.
MODEL = 'Limeshelf-Model'
#: Two counts: tokens of the prompt, and the most that may be generated.
TOKENS = 'Limeshelf-Token-Count'
#: The caller's guess at the generated tokens, which is often far off.
LENGTH_HINT = 'Limeshelf-Length-Hint'
#: The last event of the stream that the receiver of the answer already has.
LAST_EVENT = 'Last-Event-Id'
#: Not an instance in our sense: the replica that is meant, by an id that outlives its starts.
EXPECT_INSTANCE = 'Limeshelf-Expect-Instance'
#: Urgency within a replica's batch; see :data:`MOST_URGENT`. Routes have their own rank.
PRIORITY = 'Limeshelf-Request-Priority'
#: Version of the model's weights; a replica with another one does not run the call.
EXPECT_VERSION = 'Limeshelf-Expect-Version'
#: How long a replica keeps the prompt's cache after the answer; not sent by us.
KEEP_CACHE = 'Limeshelf-Pin-Ms'
#: A slot and memory that were reserved at the replica before; not sent by us.
RESERVATION = 'Limeshelf-Hold'
#: The replica that gets a running copy of the call's cache; not sent by us.
CACHE_BACKUP = 'Limeshelf-Kv-Backup'
#: The replica that hands over what it has cached of the prompt; not sent by us.
CACHE_SOURCE = 'Kv-Fetch'
#: A moved copy of the cache, from which the call goes on; not sent by us.
CACHE_COPY = 'Kv-From'
#: The replica's signature of its answer.
STAMP = 'Limeshelf-Server-Stamp'
#: Set by a replica that did not run the call; without it the call may have run,
#: whatever the status.
NOT_EXECUTED = 'Limeshelf-Not-Executed'
#: Seconds, with fractions.
RETRY_AFTER = 'Retry-After'
#: Calls a second, a decimal number, that a replica takes from all gateways together; it is in
#: each of its answers for as long as that holds.
RATE_LIMIT = 'Server-Limit'
#: In each answer of a replica that leaves, with the value :data:`YES`.
LEAVING = 'Server-Leaving'
YES = '1'
#: The caller's key, behind :data:`KEY_SCHEME`. It ends here: no replica sees it.
AUTHORIZATION = 'Authorization'
#: Who holds the key, as a replica is told; a caller's own is thrown away.
ORGANISATION = 'Limeshelf-Tenant'
#: Which kind of key a call without a known one lacks (RFC 9110, section 11.6.1).
CHALLENGE = 'WWW-Authenticate'

#: Stands before the key; in any case (RFC 9110, section 11.1).
KEY_SCHEME = 'Token'

#: The replica is another one than was meant, or does not hold what the call needs; it did not
#: run the call.
STATUS_MISDIRECTED = 421

#: Statuses with which a replica turns a call away for now.
TURNED_AWAY = (429, 503)

#: Lower numbers are more urgent.
MOST_URGENT = 0
LEAST_URGENT = 9

#: Characters of a malformed value that its error shows.
SHOWN_CHARS = 40

#: Concern one connection only (RFC 9110, section 7.6.1), or are set anew.
HOP_HEADERS = frozenset(
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


#: What only the system may set. A caller's own never reach a replica: one that names a
#: reservation or a cache copy which does not exist is refused there. With them taken out,
#: 0.12 of the calls were refused instead of 0.18 (means of six days of one deployment, one
#: play each).
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
#: What says which call this is and what it needs. A replica gets it as the caller sent it,
#: also where a ``Connection`` header names it.
SET_BY_CALLER = frozenset(name.lower() for name in (CALL_ID, MODEL, TOKENS, PARTS, LENGTH_HINT))


def passes_on(name: str, bound: frozenset[str]) -> bool:
    """Return whether a caller's header travels on to a replica.

    :param bound: headers that the caller bound to its connection, in lower case.
    """
    name = name.lower()
    if name in SET_BY_CALLER:
        return True
    return name not in HOP_HEADERS and name not in SET_BY_SYSTEM and name not in bound


def read_key(texts: Sequence[str]) -> KeyDigest | None:
    """Return what stands for the key in the headers that carry keys.

    ``None`` where there is none, more than one, another scheme, or no single word: such a call
    is treated as one without a key.
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

    :raises InvalidRequest: it is no whole number, or below zero.
    """
    try:
        value = int(text)
    except ValueError:
        raise InvalidRequest(name, f'not a whole number: {text[:SHOWN_CHARS]!r}') from None
    if value < 0:
        raise InvalidRequest(name, 'below zero')
    return value


def read_model_need(headers: Mapping[str, str]) -> ModelNeed | None:
    """Return what a call asks of a model, ``None`` for a call to a plain service.

    :raises InvalidRequest: a header is malformed.
    """
    name = headers.get(MODEL)
    if name is None:
        return None
    model, _, adapter = name.partition('/')
    prompt, _, output = headers.get(TOKENS, '0,0').partition(',')
    output_tokens = read_count(output or '0', TOKENS)
    hint = headers.get(LENGTH_HINT)
    likely = read_count(hint, LENGTH_HINT) if hint else output_tokens
    return ModelNeed(
        model=model,
        adapter=adapter,
        prompt_tokens=read_count(prompt or '0', TOKENS),
        output_tokens=output_tokens,
        likely_tokens=min(likely, output_tokens) or likely,
        parts=_read_parts(headers.get(PARTS, '')),
    )


def read_stated_tokens(headers: Mapping[str, str]) -> int | None:
    """Return the tokens of prompt and answer together; ``None`` if the caller states none.

    :raises InvalidRequest: the header is malformed.
    """
    text = headers.get(TOKENS)
    if text is None:
        return None
    return sum(read_count(part or '0', TOKENS) for part in text.split(',')[:2])


def _read_parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id:
            parts.append(PromptPart(part_id, read_count(tokens or '0', PARTS)))
    return tuple(parts)


def read_notice(status: int, fields: Mapping[str, str]) -> ReplicaNotice:
    """Return what a replica asks for in the head of an answer.

    :param fields: case-insensitive multi-dictionary of the answer's headers.
    """
    rate = fields.get(RATE_LIMIT)
    leaving = fields.get(LEAVING, '').strip() == YES
    pause = fields.get(RETRY_AFTER) if status in TURNED_AWAY else None
    if rate is None and pause is None and not leaving:
        return NO_NOTICE
    rate_per_s = _read_rate(rate) if rate is not None else None
    pause_s = read_seconds(pause)
    return ReplicaNotice(
        rate_per_s=rate_per_s,
        names_rate=rate is not None,
        leaving=leaving,
        pause_s=pause_s,
        unusable=_is_unusable(rate, rate_per_s) or _is_unusable(pause, pause_s),
    )


def _is_unusable(text: str | None, value: float | None) -> bool:
    return text is not None and value is None


def _read_rate(text: str) -> float | None:
    """Return calls a second; ``None`` where the text names no number that can be kept to."""
    try:
        rate_per_s = float(text)
    except ValueError:
        return None
    return rate_per_s if rate_per_s >= 0 and math.isfinite(rate_per_s) else None


def read_seconds(text: str | None) -> float | None:
    """Return a time in seconds; ``None`` if there is none, or another notation."""
    try:
        return max(0.0, float(text)) if text else None
    except ValueError:
        return None


def read_keep_alive_s(text: str | None) -> float | None:
    """Return how long the sender of a ``Keep-Alive`` header keeps an idle connection."""
    for item in (text or '').split(','):
        name, _, value = item.strip().partition('=')
        if name.lower() == 'timeout':
            return read_seconds(value)
    return None


def named_by_connection(texts: Iterable[str]) -> frozenset[str]:
    """Return the headers that ``Connection`` headers bind to the connection, in lower case."""
    names = frozenset(name.strip().lower() for text in texts for name in text.split(','))
    return names - {'close', 'keep-alive'}
