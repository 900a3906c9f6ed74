"""Streamed answers of the engine stand-in, and the faults injected into them."""

from __future__ import annotations

import zlib

import attrs
import msgspec

from limeshelf.standalone.upstreams.messages import GenerateRequest


@attrs.define
class StreamFaults:
    """Fault switches: for each fault, the number of following answers that it affects.

    :param cut: the answer ends before its last lines.
    :param foreign: lines from the second on carry another request's exchange id.
    :param skipped: one token is left out.
    :param doubled: one token is sent twice.
    """

    cut: int = 0
    foreign: int = 0
    skipped: int = 0
    doubled: int = 0

    def next_fault(self) -> str:
        """Return the name of the fault for the next answer, or an empty string; count it down."""
        for name in ('cut', 'foreign', 'skipped', 'doubled'):
            left = getattr(self, name)
            if left > 0:
                setattr(self, name, left - 1)
                return name
        return ''


def token_text(caller: str, prompt: str, index: int) -> str:
    """Return the token at *index*; equal on all engines, so that tests can check answers."""
    return f'{caller}.{zlib.crc32(prompt.encode()):08x}.{index} '


def answer_lines(generation: GenerateRequest, start: int, stop: int, fault: str) -> bytes:
    """Return the lines of the tokens from *start* up to, not including, *stop*, with *fault*."""
    lines = []
    for index in range(start, stop):
        is_second = index == generation.start_index + 1
        if fault == 'skipped' and is_second:
            continue
        is_foreign = fault == 'foreign' and index > generation.start_index
        line = {
            'exchange_id': 'x-of-somebody-else' if is_foreign else generation.exchange_id,
            'index': index,
            'text': token_text(generation.caller, generation.prompt, index),
        }
        encoded = msgspec.json.encode(line) + b'\n'
        lines += [encoded, encoded] if fault == 'doubled' and is_second else [encoded]
    return b''.join(lines)


def last_line(generation: GenerateRequest) -> bytes:
    """Return the line that ends a complete answer."""
    end = {'exchange_id': generation.exchange_id, 'index': generation.max_tokens, 'finish': 'stop'}
    return msgspec.json.encode(end) + b'\n'
