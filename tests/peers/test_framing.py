"""Frames on a connection: any cut of the bytes, hostile bytes, and releases before this one.

Releases before sent their frames by nanomsg's library; ``pynng`` stands for them here.
"""

from __future__ import annotations

import asyncio
import itertools

import pynng
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.peers.codec import Envelope, encode
from limeshelf.peers.framing import (
    MAX_FRAME_BYTES,
    FrameReader,
    MalformedMessage,
    PipeEnd,
    framed,
    greeting,
)
from limeshelf.peers.node import PeerNode
from limeshelf.standalone.messages import ConfigPull

#: Time of a library call on a loaded machine.
LIMIT_S = 10.0


@given(st.lists(st.binary(max_size=40)), st.lists(st.integers(0, 500)))
def test_frames_come_whole_however_the_bytes_are_cut(frames: list[bytes], cuts: list[int]) -> None:
    data = greeting(PipeEnd.SENDER) + b''.join(map(framed, frames))
    ends = sorted({0, len(data), *(cut for cut in cuts if cut <= len(data))})
    reader = FrameReader(PipeEnd.SENDER)
    taken = [
        frame for start, end in itertools.pairwise(ends) for frame in reader.feed(data[start:end])
    ]
    assert taken == frames


@given(st.binary(max_size=100))
def test_any_bytes_are_read_or_refused(data: bytes) -> None:
    try:
        frames = FrameReader(PipeEnd.SENDER).feed(data)
    except MalformedMessage:
        return
    assert sum(map(len, frames)) <= len(data)


def test_long_frame_is_refused_before_it_is_there() -> None:
    reader = FrameReader(PipeEnd.SENDER)
    reader.feed(greeting(PipeEnd.SENDER))
    with pytest.raises(MalformedMessage):
        reader.feed((MAX_FRAME_BYTES + 1).to_bytes(8, 'big'))


def test_wrong_end_is_refused() -> None:
    with pytest.raises(MalformedMessage):
        FrameReader(PipeEnd.SENDER).feed(greeting(PipeEnd.RECEIVER))


def test_process_of_a_release_before_is_understood() -> None:
    async def case() -> None:
        got: asyncio.Queue[Envelope] = asyncio.Queue()
        node = PeerNode('127.0.0.1', 0, 'x')
        node.add_handler(ConfigPull, got.put_nowait)
        await node.start()
        try:
            with pynng.Push0(send_timeout=10_000) as before:
                before.dial(f'tcp://{node.address}', block=False)
                for number in range(3):
                    await before.asend(encode(Envelope('a', 'x', ConfigPull(number))))
                async with asyncio.timeout(LIMIT_S):
                    messages = [(await got.get()).message for _ in range(3)]
            assert messages == [ConfigPull(number) for number in range(3)]
        finally:
            await node.close()

    asyncio.run(case())


def test_process_of_a_release_before_understands() -> None:
    async def case() -> None:
        node = PeerNode('127.0.0.1', 0, 'x')
        await node.start()
        try:
            with pynng.Pull0(listen='tcp://127.0.0.1:0', recv_timeout=10_000) as before:
                address = str(before.listeners[0].local_address)
                node.send(address, ConfigPull(7))
                frame = await before.arecv()
            assert frame == encode(Envelope(node.address, 'x', ConfigPull(7)))
        finally:
            await node.close()

    asyncio.run(case())
