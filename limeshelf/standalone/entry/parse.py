"""Reads model requests in the OpenAI shape and checks them.

Owns the fields of the body that are understood, and the limits on their values.
Relies on :mod:`~limeshelf.standalone.entry.headers` for what a request may name in
a header as well. The first field that is wrong decides the answer.
"""

from __future__ import annotations

import hashlib
import re
from typing import TYPE_CHECKING, Any

import attrs
import msgspec

from limeshelf.errors import InvalidRequest
from limeshelf.standalone.entry.headers import (
    ANONYMOUS,
    caller_of,
    checked_deadline_s,
    header_deadline_s,
    idempotency_key_of,
)

if TYPE_CHECKING:
    from aiohttp import web

#: Length of an answer to a request that names none, in tokens.
DEFAULT_MAX_TOKENS = 256
#: Longest answer that may be asked for, in tokens.
MAX_TOKENS_LIMIT = 1 << 20
#: Characters of the prompt that make up its prefix key.
PREFIX_CHARS = 256
#: Length of the prefix key, in bytes: enough to tell prompts apart.
PREFIX_KEY_BYTES = 8


@attrs.frozen
class ChatMessage:
    """One message of a conversation."""

    role: str
    content: str


@attrs.frozen
class Extension:
    """Fields of limeshelf itself inside the body, under ``limeshelf``."""

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
    :param deadline_s: time from its arrival until it is given up.
    :param prefix_key: digest of the prompt's beginning; equal beginnings share a
        prefix cache entry at an engine.
    """

    request_id: str
    chat: bool
    model: str
    prompt: str
    max_tokens: int
    stream: bool
    caller: str
    deadline_s: float
    prefix_key: str


def parse_model_request(
    request: web.Request, body: bytes, chat: bool, request_id: str, default_deadline_s: float
) -> ModelRequest:
    """Return the checked request.

    :param chat: whether *body* is a chat completion; otherwise a plain completion.
    :param default_deadline_s: deadline of a request that names none, in seconds.
    :raises InvalidRequest: names the first field that is wrong.
    """
    parsed: ChatBody | CompletionBody
    parsed = _decode(body, ChatBody) if chat else _decode(body, CompletionBody)
    extension = _extension(parsed.limeshelf)
    if parsed.n != 1:
        raise InvalidRequest('n', 'must be 1')
    prompt = _prompt(parsed)
    max_tokens = _max_tokens(parsed)
    caller = extension.caller or caller_of(request) or parsed.user or ANONYMOUS
    deadline_s = _deadline_s(extension, request, default_deadline_s)
    # Model requests are not claimed, but a malformed key is refused here too.
    idempotency_key_of(request)
    return ModelRequest(
        request_id=request_id,
        chat=chat,
        model=parsed.model,
        prompt=prompt,
        max_tokens=max_tokens,
        stream=parsed.stream,
        caller=caller,
        deadline_s=deadline_s,
        prefix_key=_prefix_key(prompt),
    )


def _prefix_key(prompt: str) -> str:
    start = prompt[:PREFIX_CHARS].encode()
    return hashlib.blake2b(start, digest_size=PREFIX_KEY_BYTES).hexdigest()


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


def _deadline_s(extension: Extension, request: web.Request, default_s: float) -> float:
    """Return the deadline that the body names, else the headers, else *default_s*."""
    if extension.deadline_s is not None:
        return checked_deadline_s('limeshelf.deadline_s', extension.deadline_s)
    return header_deadline_s(request, default_s)
