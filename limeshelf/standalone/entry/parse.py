"""Reads model requests in the OpenAI shape and checks them."""

from __future__ import annotations

import asyncio
import hashlib
import re
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from limeshelf.errors import InvalidRequest
from limeshelf.standalone.entry.headers import CALLER_HEADER, DEADLINE_HEADER, IDEMPOTENCY_HEADER

if TYPE_CHECKING:
    from aiohttp import web

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 1 << 20
MAX_HEADER_CHARS = 256
MAX_DEADLINE_S = 24 * 3600.0
#: Characters of the prompt that make up its prefix key.
PREFIX_CHARS = 256
ANONYMOUS = 'anonymous'
READ_BYTES = 64 << 10


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@attrs.frozen
class Extension:
    """Fields of ours inside the body, under ``limeshelf``."""

    deadline_s: float | None = None
    caller: str | None = None


@attrs.frozen
class ChatBody:
    """Body of a chat completion request; fields not named here are ignored."""

    model: str
    messages: list[ChatMessage]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    user: str | None = None
    n: int = 1
    limeshelf: dict[str, Any] | None = None


@attrs.frozen
class CompletionBody:
    """Body of a completion request; fields not named here are ignored."""

    model: str
    prompt: str
    stream: bool = False
    max_tokens: int | None = None
    user: str | None = None
    n: int = 1
    limeshelf: dict[str, Any] | None = None


@attrs.frozen
class ModelRequest:
    """A checked model request.

    :param chat: whether it came as chat; otherwise as a plain completion.
    """

    request_id: str
    chat: bool
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    caller: str
    deadline_s: float
    idempotency_key: str | None
    prefix_key: str
    body: bytes


async def read_body(request: web.Request, limit_bytes: int, timeout_s: float) -> bytes:
    """Return the whole body, or raise :exc:`InvalidRequest` at once when it is too large."""
    if request.content_length is not None and request.content_length > limit_bytes:
        raise _oversize(limit_bytes)
    chunks: list[bytes] = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            async for chunk in request.content.iter_chunked(READ_BYTES):
                size += len(chunk)
                if size > limit_bytes:
                    raise _oversize(limit_bytes)
                chunks.append(chunk)
    except TimeoutError:
        raise InvalidRequest('body', f'did not arrive within {timeout_s} s', 408) from None
    return b''.join(chunks)


def _oversize(limit_bytes: int) -> InvalidRequest:
    return InvalidRequest('body', f'is larger than {limit_bytes} bytes', 413)


def parse_model_request(
    request: web.Request, body: bytes, chat: bool, request_id: str, default_deadline_s: float
) -> ModelRequest:
    """Return the checked request; raises :exc:`InvalidRequest` naming the field."""
    parsed: ChatBody | CompletionBody
    parsed = _decode(body, ChatBody) if chat else _decode(body, CompletionBody)
    extension = _extension(parsed.limeshelf)
    if parsed.n != 1:
        raise InvalidRequest('n', 'must be 1')
    prompt = _prompt(parsed)
    return ModelRequest(
        request_id=request_id,
        chat=chat,
        model=parsed.model,
        prompt=prompt,
        max_tokens=_max_tokens(parsed),
        stream=parsed.stream,
        caller=extension.caller or caller_of(request) or parsed.user or ANONYMOUS,
        deadline_s=_deadline_s(extension.deadline_s, request, default_deadline_s),
        idempotency_key=idempotency_key_of(request),
        prefix_key=hashlib.blake2b(prompt[:PREFIX_CHARS].encode(), digest_size=8).hexdigest(),
        body=body,
    )


def caller_of(request: web.Request) -> str | None:
    """Return the caller named in the request's headers."""
    return _short_header(request, CALLER_HEADER)


def idempotency_key_of(request: web.Request) -> str | None:
    """Return the idempotency key of the request, if it has one."""
    return _short_header(request, IDEMPOTENCY_HEADER)


def header_deadline_s(request: web.Request, default_s: float) -> float:
    """Return the deadline named in the request's headers."""
    return _deadline_s(None, request, default_s)


def _short_header(request: web.Request, name: str) -> str | None:
    value = request.headers.get(name)
    if value is None:
        return None
    if not value or len(value) > MAX_HEADER_CHARS:
        raise InvalidRequest(name, f'must have 1 to {MAX_HEADER_CHARS} characters')
    return value


def _decode(body: bytes, kind: type[Any]) -> Any:
    try:
        return msgspec.json.decode(body, type=kind)
    except msgspec.ValidationError as error:
        message, path = _split_path(str(error))
        raise InvalidRequest(path, message) from None
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError):
        raise InvalidRequest('body', 'is not JSON') from None


def _split_path(text: str) -> tuple[str, str]:
    """Return message and field path of a validation error."""
    match = re.search(r' - at `\$\.?([^`]*)`', text)
    if match is not None:
        return text[: match.start()], match.group(1) or 'body'
    missing = re.search(r'missing required field `([^`]*)`', text)
    return text, missing.group(1) if missing else 'body'


def _extension(plain: dict[str, Any] | None) -> Extension:
    if plain is None:
        return Extension()
    known = {field.name for field in attrs.fields(Extension)}
    for name in plain:
        if name not in known:
            raise InvalidRequest(f'limeshelf.{name}', 'unknown field')
    try:
        return msgspec.convert(plain, Extension)
    except msgspec.ValidationError as error:
        message, path = _split_path(str(error))
        raise InvalidRequest(f'limeshelf.{path}', message) from None


def _prompt(parsed: ChatBody | CompletionBody) -> str:
    if isinstance(parsed, CompletionBody):
        return parsed.prompt
    if not parsed.messages:
        raise InvalidRequest('messages', 'must not be empty')
    return '\n'.join(f'{message.role}: {message.content}' for message in parsed.messages)


def _max_tokens(parsed: ChatBody | CompletionBody) -> int:
    wanted = parsed.max_tokens
    if isinstance(parsed, ChatBody) and parsed.max_completion_tokens is not None:
        wanted = parsed.max_completion_tokens
    if wanted is None:
        return DEFAULT_MAX_TOKENS
    if not 1 <= wanted <= MAX_TOKENS_LIMIT:
        raise InvalidRequest('max_tokens', f'must be 1 to {MAX_TOKENS_LIMIT} (tokens)')
    return wanted


def _deadline_s(own_s: float | None, request: web.Request, default_s: float) -> float:
    name = 'limeshelf.deadline_s'
    text = request.headers.get(DEADLINE_HEADER)
    if own_s is None and text is not None:
        name = DEADLINE_HEADER
        try:
            own_s = float(text)
        except ValueError:
            raise InvalidRequest(name, 'must be a number of seconds') from None
    if own_s is None:
        return default_s
    if not 0 < own_s <= MAX_DEADLINE_S:
        raise InvalidRequest(name, f'must be above 0 and at most {MAX_DEADLINE_S} (seconds)')
    return own_s
