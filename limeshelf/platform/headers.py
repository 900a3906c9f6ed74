"""Headers of the platform's calls: read into the product's types and written from them."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from limeshelf.calls.call import Call, ModelNeed, PromptPart
from limeshelf.calls.wire import AnswerFacts, SendFacts
from limeshelf.errors import InvalidRequest

if TYPE_CHECKING:
    from collections.abc import Mapping

CALL_ID = 'Limeshelf-Attempt-Id'
DEADLINE = 'Limeshelf-Deadline-Ms'
PARTS = 'Limeshelf-Prompt-Prefix'
MODEL = 'Limeshelf-Model'
TOKENS = 'Limeshelf-Token-Count'
LENGTH_HINT = 'Limeshelf-Length-Hint'
LAST_EVENT = 'Last-Event-Id'
EXPECT_INSTANCE = 'Limeshelf-Expect-Instance'
PRIORITY = 'Limeshelf-Request-Priority'
STAMP = 'Limeshelf-Server-Stamp'
NOT_EXECUTED = 'Limeshelf-Not-Executed'
RETRY_AFTER = 'Retry-After'

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
_SET_BY_US = frozenset(name.lower() for name in (DEADLINE, EXPECT_INSTANCE, PRIORITY, LAST_EVENT))
#: Most urgent and least urgent value of the priority header.
MOST_URGENT = 0
LEAST_URGENT = 9
STATUS_MISDIRECTED = 421
STATUS_NOT_RUN = frozenset({408, 429, 503})


def _number(text: str, name: str) -> int:
    try:
        value = int(text)
    except ValueError:
        raise InvalidRequest(name, f'not a whole number: {text[:40]!r}') from None
    if value < 0:
        raise InvalidRequest(name, 'below zero')
    return value


def _parts(text: str) -> tuple[PromptPart, ...]:
    parts = []
    for item in text.split(','):
        part_id, _, tokens = item.strip().partition(':')
        if part_id:
            parts.append(PromptPart(part_id, _number(tokens or '0', PARTS)))
    return tuple(parts)


def _model_need(headers: Mapping[str, str]) -> ModelNeed | None:
    named = headers.get(MODEL)
    if not named:
        return None
    model, _, adapter = named.partition('/')
    prompt, _, output = headers.get(TOKENS, '0,0').partition(',')
    output_tokens = _number(output or '0', TOKENS)
    hint = headers.get(LENGTH_HINT)
    likely = _number(hint, LENGTH_HINT) if hint else output_tokens
    return ModelNeed(
        model=model,
        adapter=adapter,
        prompt_tokens=_number(prompt or '0', TOKENS),
        output_tokens=output_tokens,
        likely_tokens=min(likely, output_tokens) or likely,
        parts=_parts(headers.get(PARTS, '')),
    )


def read_call(method: str, target: str, headers: Any, body: bytes, arrived_s: float) -> Call:
    """Return the call in a request.

    :param headers: case-insensitive multi-dictionary of the request.
    :raises InvalidRequest: a header is missing or malformed.
    """
    call_id = headers.get(CALL_ID)
    if not call_id:
        raise InvalidRequest(CALL_ID, 'missing')
    dropped = HOP_HEADERS | _SET_BY_US | _named_by_connection(headers)
    passed = tuple((name, value) for name, value in headers.items() if name.lower() not in dropped)
    deadline = headers.get(DEADLINE)
    return Call(
        call_id=call_id,
        method=method,
        host=headers.get('Host', '').partition(':')[0],
        target=target,
        headers=passed,
        body=body,
        arrived_s=arrived_s,
        budget_s=_number(deadline, DEADLINE) / 1000 if deadline else None,
        model_need=_model_need(headers),
        last_event_id=headers.get(LAST_EVENT),
    )


def _named_by_connection(headers: Any) -> frozenset[str]:
    named = headers.get('Connection', '')
    return frozenset(name.strip().lower() for name in named.split(',')) - {'close', 'keep-alive'}


def send_headers(call: Call, facts: SendFacts) -> list[tuple[str, str]]:
    """Return the headers with which *call* goes to a replica."""
    headers = list(call.headers)
    headers.append((DEADLINE, str(max(1, int(facts.left_s * 1000)))))
    headers.append((EXPECT_INSTANCE, facts.replica_id))
    if call.model_need is not None:
        rank = min(LEAST_URGENT, max(MOST_URGENT, facts.priority))
        headers.append((PRIORITY, str(rank)))
    if facts.last_event_id is not None:
        headers.append((LAST_EVENT, facts.last_event_id))
    return headers


def read_answer(status: int, headers: Any) -> AnswerFacts:
    """Return what the head of a replica's answer says."""
    retry_after = headers.get(RETRY_AFTER)
    refused = status == STATUS_MISDIRECTED or NOT_EXECUTED in headers
    return AnswerFacts(
        status=status,
        call_id=headers.get(CALL_ID),
        stamped=STAMP in headers,
        encoded='Content-Encoding' in headers,
        not_run=refused,
        misdirected=status == STATUS_MISDIRECTED,
        retry_after_s=_seconds(retry_after),
        headers=tuple(
            (name, value) for name, value in headers.items() if name.lower() not in HOP_HEADERS
        ),
        keep_alive_s=_keep_alive_s(headers.get('Keep-Alive')),
        closes='close' in headers.get('Connection', '').lower(),
    )


def _seconds(text: str | None) -> float | None:
    try:
        return max(0.0, float(text)) if text else None
    except ValueError:
        return None


def _keep_alive_s(text: str | None) -> float | None:
    for item in (text or '').split(','):
        name, _, value = item.strip().partition('=')
        if name.lower() == 'timeout':
            return _seconds(value)
    return None


def refusal_headers(call_id: str | None, retry_after_s: float | None) -> list[tuple[str, str]]:
    """Return the headers of an answer of our own."""
    headers = [(CALL_ID, call_id)] if call_id else []
    if retry_after_s is not None:
        headers.append((RETRY_AFTER, f'{max(0.0, retry_after_s):.3f}'))
    return headers
