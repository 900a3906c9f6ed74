"""The streamed answers of the engine stand-in, and what goes wrong with them."""

from __future__ import annotations

import zlib

import attrs
import msgspec

from limeshelf.standalone.upstreams.messages import GenerateRequest


@attrs.define
class StreamFaults:
    """What goes wrong with answers at present, by number of next answers.

    :param cut: end without their last lines.
    :param foreign: carry another request's exchange id from the second line on.
    :param skipped: leave out a token.
    :param doubled: send a token twice.
    """

    cut: int = 0
    foreign: int = 0
    skipped: int = 0
    doubled: int = 0

    def take(self) -> str:
        """Return the fault of the next answer, empty if none; count it down."""
        for name in ('cut', 'foreign', 'skipped', 'doubled'):
            left = getattr(self, name)
            if left > 0:
                setattr(self, name, left - 1)
                return name
        return ''


def token_text(caller: str, prompt: str, index: int) -> str:
    """Return the token that every engine gives at *index*: an oracle's answer."""
    return f'{caller}.{zlib.crc32(prompt.encode()):08x}.{index} '


def answer_lines(order: GenerateRequest, start: int, stop: int, fault: str) -> bytes:
    """Return the lines of the tokens from *start* to before *stop*, with the fault."""
    lines = []
    for index in range(start, stop):
        is_second = index == order.start_index + 1
        if fault == 'skipped' and is_second:
            continue
        is_foreign = fault == 'foreign' and index > order.start_index
        line = {
            'exchange_id': 'x-of-somebody-else' if is_foreign else order.exchange_id,
            'index': index,
            'text': token_text(order.caller, order.prompt, index),
        }
        encoded = msgspec.json.encode(line) + b'\n'
        lines += [encoded, encoded] if fault == 'doubled' and is_second else [encoded]
    return b''.join(lines)


def last_line(order: GenerateRequest) -> bytes:
    """Return the line that ends a whole answer."""
    end = {'exchange_id': order.exchange_id, 'index': order.max_tokens, 'finish': 'stop'}
    return msgspec.json.encode(end) + b'\n'
