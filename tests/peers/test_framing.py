"""Splitting a connection into frames: partial reads, malformed bytes, and earlier releases.

Earlier releases sent their frames with the nanomsg library; ``pynng`` represents them here.
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
    add_length_prefix,
    greeting,
)
from limeshelf.peers.node import PeerNode
from limeshelf.standalone.messages import ConfigPull

#: Time-out for a library call on a loaded machine.
TIMEOUT_S = 10.0


@given(st.lists(st.binary(max_size=40)), st.lists(st.integers(0, 500)))
def test_frames_are_complete_however_the_bytes_are_split(
    frames: list[bytes], split_points: list[int]
) -> None:
    data = greeting(PipeEnd.SENDER) + b''.join(map(add_length_prefix, frames))
    ends = sorted({0, len(data), *(point for point in split_points if point <= len(data))})
    reader = FrameReader(PipeEnd.SENDER)
    received = [
        frame for start, end in itertools.pairwise(ends) for frame in reader.feed(data[start:end])
    ]
    assert received == frames


@given(st.binary(max_size=100))
def test_any_bytes_are_read_or_rejected(data: bytes) -> None:
    try:
        frames = FrameReader(PipeEnd.SENDER).feed(data)
    except MalformedMessage:
        return
    assert sum(map(len, frames)) <= len(data)


def test_long_frame_is_rejected_by_its_stated_length() -> None:
    reader = FrameReader(PipeEnd.SENDER)
    reader.feed(greeting(PipeEnd.SENDER))
    with pytest.raises(MalformedMessage):
        reader.feed((MAX_FRAME_BYTES + 1).to_bytes(8, 'big'))


def test_greeting_of_the_wrong_end_is_rejected() -> None:
    with pytest.raises(MalformedMessage):
        FrameReader(PipeEnd.SENDER).feed(greeting(PipeEnd.RECEIVER))


def test_frames_of_an_earlier_release_are_received() -> None:
    async def scenario() -> None:
        received: asyncio.Queue[Envelope] = asyncio.Queue()
        node = PeerNode('127.0.0.1', 0, 'x')
        node.add_handler(ConfigPull, received.put_nowait)
        await node.start()
        try:
            with pynng.Push0(send_timeout=10_000) as earlier:
                earlier.dial(f'tcp://{node.address}', block=False)
                for number in range(3):
                    await earlier.asend(encode(Envelope('a', 'x', ConfigPull(number))))
                async with asyncio.timeout(TIMEOUT_S):
                    messages = [(await received.get()).message for _ in range(3)]
            assert messages == [ConfigPull(number) for number in range(3)]
        finally:
            await node.close()

    asyncio.run(scenario())


def test_frames_are_received_by_an_earlier_release() -> None:
    async def scenario() -> None:
        node = PeerNode('127.0.0.1', 0, 'x')
        await node.start()
        try:
            with pynng.Pull0(listen='tcp://127.0.0.1:0', recv_timeout=10_000) as earlier:
                address = str(earlier.listeners[0].local_address)
                node.send(address, ConfigPull(7))
                frame = await earlier.arecv()
            assert frame == encode(Envelope(node.address, 'x', ConfigPull(7)))
        finally:
            await node.close()

    asyncio.run(scenario())
