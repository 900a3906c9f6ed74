"""Data types of one call.

The platform's adapter creates them from requests (:class:`limeshelf.calls.wire.CallWire`).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.organisation import KeyDigest


class CallKind(enum.StrEnum):
    """Whether, and how, the calls on a route may be retried."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class PromptPart:
    """A part of a prompt that several calls may have in common.

    :param part_id: identifies the content of the part; the same in all calls that have it.
    :param tokens: length of the part in tokens.
    """

    part_id: str
    tokens: int


@attrs.frozen
class ModelNeed:
    """The model, the adapter and the work that a model call needs from a replica.

    :param adapter: empty where the call needs no adapter.
    :param prompt_tokens: length of the whole prompt.
    :param output_tokens: largest number of tokens to generate.
    :param likely_tokens: the caller's estimate of the tokens to generate.
    :param parts: parts of the prompt, in order.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    likely_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def memory_tokens(self) -> int:
        """Return the accelerator memory that the call is expected to use, in tokens."""
        return self.prompt_tokens + self.likely_tokens


@attrs.frozen
class Call:
    """One attempt of a caller, with its body.

    :param call_id: id of this attempt; a retry by the caller has another one.
    :param host: host name without the port.
    :param target: path and query exactly as received.
    :param headers: headers to forward, in their order and spelling.
    :param arrived_s: when its head had arrived, on the boot clock.
    :param caller_timeout_s: time-out of the caller, in seconds; ``None`` if it stated none.
    :param model_need: ``None`` for a call to a plain service.
    :param last_event_id: id of the last event that the caller received, when it resumes a stream.
    :param resumes: id of the attempt that brought the first event of that stream; ``None`` if the
        caller does not state it.
    :param key: digest of the caller's key; ``None`` without one, or for a malformed one.
    :param stated_tokens: tokens of the prompt plus the largest number to generate, which count
        against the organisation's limit; ``None`` where the caller states none.
    """

    call_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    caller_timeout_s: float | None
    model_need: ModelNeed | None
    last_event_id: str | None
    key: KeyDigest | None = attrs.field(default=None, repr=False)
    stated_tokens: int | None = None
    resumes: str | None = None

    @property
    def stream_id(self) -> str:
        """Return the id of the attempt that brought the first event of its stream."""
        return self.resumes or self.call_id

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]
