"""Messages exchanged with model engines, as the engines' wire format has them.

Owns the field names on that wire. Some values are only sent by engines, and some
fields only read by them.
"""

from __future__ import annotations

import enum

import attrs


class ItemState(enum.StrEnum):
    """State of an item in an engine's memory."""

    LOADING = 'loading'
    READY = 'ready'
    UNLOADING = 'unloading'


class OrderAction(enum.StrEnum):
    """What an order asks for; a fence order only raises the accepted epoch."""

    LOAD = 'load'
    UNLOAD = 'unload'
    FENCE = 'fence'


@attrs.frozen
class HeldItem:
    """An item in an engine's memory and the bytes it takes there."""

    item_id: str
    state: ItemState
    total_bytes: int


@attrs.frozen
class EngineReport:
    """The report of an engine on itself; it may be some seconds old.

    :param boot_id: changes when the engine restarts and so holds nothing.
    :param sequence: grows with each report of one boot.
    :param last_epoch: epoch of the last order that the engine took.
    :param last_order: number of the last order taken within that epoch; lower
        numbers of that epoch and all lower epochs can no longer take effect.
    """

    boot_id: str
    sequence: int
    capacity_bytes: int
    used_bytes: int
    running: int
    queued: int
    leaving: bool
    last_epoch: int
    last_order: int
    items: list[HeldItem]


@attrs.frozen
class Order:
    """A numbered order of the placer of the given epoch.

    :param boot_id: the boot that the order is meant for.
    :param expires_unix_s: wall clock time after which it has no effect.
    """

    epoch: int
    number: int
    boot_id: str
    action: OrderAction
    item_id: str
    base_id: str
    total_bytes: int
    expires_unix_s: float


class OrderRefusal(enum.StrEnum):
    """Why an engine did not take an order."""

    NONE = ''
    OLD_EPOCH = 'old_epoch'
    OLD_NUMBER = 'old_number'
    OTHER_BOOT = 'other_boot'
    EXPIRED = 'expired'
    NO_MEMORY = 'no_memory'
    BASE_MISSING = 'base_missing'


@attrs.frozen
class OrderAnswer:
    """An engine's answer to an order, with its state after it."""

    refusal: OrderRefusal
    report: EngineReport


@attrs.frozen
class GenerateRequest:
    """A request for tokens.

    :param exchange_id: echoed in each line of the answer.
    :param priority: rank; the lower rank runs first.
    :param start_index: index of the first token wanted, above 0 to resume.
    :param generated: text of the tokens before *start_index*.
    """

    exchange_id: str
    item_id: str
    caller: str
    prompt: str
    max_tokens: int
    priority: int
    start_index: int = 0
    generated: str = ''


@attrs.frozen
class TokenLine:
    """One line of an answer: a token, or the end.

    :param finish: reason of the end; empty for a token.
    :param index: index of the token; of the end line, the number of tokens.
    """

    exchange_id: str
    index: int
    text: str = ''
    finish: str = ''


@attrs.frozen
class PlainReport:
    """The report of a plain service on itself."""

    boot_id: str
    sequence: int
    running: int
    leaving: bool
