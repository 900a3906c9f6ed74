"""One call of a caller: what it asks for and until when.

Values only; the adapter makes them from requests (:class:`limeshelf.calls.wire.CallWire`).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.organisations.organisation import KeyDigest


class CallKind(enum.StrEnum):
    """What may be repeated of the calls on a route."""

    SAFE = 'safe'
    UNSAFE = 'unsafe'
    STREAM = 'stream'


@attrs.frozen
class PromptPart:
    """A part of a prompt that several calls may share.

    :param part_id: names the part's content; calls that share the part share the id.
    :param tokens: of the part.
    """

    part_id: str
    tokens: int


@attrs.frozen
class ModelNeed:
    """What a replica must hold, and has to do, for a call to a model.

    :param adapter: empty where the model itself is asked for.
    :param prompt_tokens: of the whole prompt.
    :param output_tokens: the most that will be generated.
    :param likely_tokens: the caller's guess at the generated tokens.
    """

    model: str
    adapter: str
    prompt_tokens: int
    output_tokens: int
    likely_tokens: int
    parts: tuple[PromptPart, ...]

    @property
    def memory_tokens(self) -> int:
        """Return the tokens of accelerator memory that the call likely fills."""
        return self.prompt_tokens + self.likely_tokens


@attrs.frozen
class Call:
    """One attempt of a caller, read whole.

    :param call_id: of this attempt; a caller that tries again takes another one.
    :param host: without its port.
    :param target: path and query exactly as received.
    :param headers: those that travel on, in their order and spelling.
    :param arrived_s: when its head was there, on the steady clock.
    :param budget_s: how long the caller waits, in seconds; ``None`` if it
        said nothing.
    :param model_need: ``None`` for a call to a plain service.
    :param last_event_id: the last event that the caller has, on resumption.
    :param key: stands for the key that the caller sent; ``None`` for none, or a malformed one.
    :param stated_tokens: of the prompt and the most that may be generated, as its organisation
        is charged; ``None`` where the caller states none.
    """

    call_id: str
    method: str
    host: str
    target: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    arrived_s: float
    budget_s: float | None
    model_need: ModelNeed | None
    last_event_id: str | None
    key: KeyDigest | None = attrs.field(default=None, repr=False)
    stated_tokens: int | None = None

    @property
    def path(self) -> str:
        """Return the target without its query."""
        return self.target.partition('?')[0]
