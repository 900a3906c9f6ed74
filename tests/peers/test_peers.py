"""Peer messages: hostile frames, bounded queues, the right address."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.framing import MalformedMessage, PipeEnd, greeting
from limeshelf.peers.link import FRAME_LIFE_S, MAX_QUEUED_FRAMES, PeerLink, Traffic
from limeshelf.peers.messages import message_kinds
from limeshelf.peers.node import PeerNode
from limeshelf.standalone.messages import ConfigPull, Heartbeat
from tests.support.clock import fake_time

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def accept(data: bytes) -> None:
    try:
        assert type(decode(data).message) in message_kinds.values()
    except MalformedMessage:
        return


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_refused(data: bytes) -> None:
    accept(data)


@given(st.sampled_from(sorted(message_kinds)), VALUES)
def test_any_body_is_decoded_or_refused(kind: str, body: object) -> None:
    frame = {'sender': 'a', 'data_centre': 'x', 'kind': kind, 'body': body}
    accept(msgspec.msgpack.encode(frame))


def test_deep_nesting_is_refused() -> None:
    with pytest.raises(MalformedMessage):
        decode(b'\x91' * 100_000)


def test_round_trip() -> None:
    beat = Heartbeat('i', 'entry', 'x', '127.0.0.1:1', 'b', 3, True)
    assert decode(encode(Envelope('a', 'x', beat))).message == beat


def test_address_is_the_bound_port() -> None:
    """The socket object gives its port in network byte order."""

    async def case() -> None:
        got = asyncio.Event()
        one, two = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        two.add_handler(ConfigPull, lambda envelope: got.set())
        await one.start()
        await two.start()
        try:
            one.send(two.address, ConfigPull(1))
            await asyncio.wait_for(got.wait(), 10)
        finally:
            await one.close()
            await two.close()

    asyncio.run(case())


def test_queue_to_a_silent_peer_is_bounded() -> None:
    async def case() -> None:
        node = PeerNode('127.0.0.1', 0, 'x')
        await node.start()
        try:
            for number in range(MAX_QUEUED_FRAMES * 3):
                node.send('127.0.0.1:1', ConfigPull(number))
            assert node.dropped >= MAX_QUEUED_FRAMES
        finally:
            await node.close()

    asyncio.run(case())


def test_full_queue_drops_the_oldest_frame() -> None:
    async def case() -> None:
        traffic = Traffic()
        link = PeerLink('127.0.0.1:1', traffic)
        for number in range(MAX_QUEUED_FRAMES):
            link.put(b'%d' % number)
        assert traffic.dropped == 0
        link.put(b'last')
        assert traffic.dropped == 1
        frames = link.take()
        assert (frames[0], frames[-1], len(frames)) == (b'1', b'last', MAX_QUEUED_FRAMES)

    asyncio.run(case())


def test_frame_that_waited_too_long_is_not_sent() -> None:
    async def case() -> None:
        traffic = Traffic()
        with fake_time() as clock:
            link = PeerLink('127.0.0.1:1', traffic)
            link.put(b'old')
            clock.advance(FRAME_LIFE_S + 0.1)
            link.put(b'new')
            assert link.take() == [b'new']
        assert traffic.dropped == 1

    asyncio.run(case())


def test_link_connects_again_when_its_peer_is_back() -> None:
    async def case() -> None:
        got: asyncio.Queue[Envelope] = asyncio.Queue()
        one, two = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        two.add_handler(ConfigPull, got.put_nowait)
        await one.start()
        await two.start()
        port = int(two.address.rpartition(':')[2])
        one.send(two.address, ConfigPull(1))
        await asyncio.wait_for(got.get(), 10)
        await two.close()
        again = PeerNode('127.0.0.1', port, 'x')
        again.add_handler(ConfigPull, got.put_nowait)
        await again.start()
        try:
            async with asyncio.timeout(10):
                while got.empty():
                    one.send(two.address, ConfigPull(2))
                    await asyncio.sleep(0.05)
            assert (await got.get()).message == ConfigPull(2)
        finally:
            await one.close()
            await again.close()

    asyncio.run(case())


def test_connection_that_speaks_otherwise_is_closed_and_counted() -> None:
    async def case() -> None:
        node = PeerNode('127.0.0.1', 0, 'x')
        await node.start()
        try:
            host, _, port = node.address.rpartition(':')
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b'GET / HTTP/1.1\r\n\r\n')
            async with asyncio.timeout(10):
                assert await reader.read() == greeting(PipeEnd.RECEIVER)
            assert node.malformed == 1
            writer.close()
        finally:
            await node.close()

    asyncio.run(case())


def test_forwarded_message_keeps_its_sender() -> None:
    async def case() -> None:
        got: asyncio.Queue[Envelope] = asyncio.Queue()
        one, two = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        two.add_handler(ConfigPull, got.put_nowait)
        await one.start()
        await two.start()
        try:
            one.forward_all([two.address], Envelope('10.0.0.1:7', 'y', ConfigPull(1)))
            envelope = await asyncio.wait_for(got.get(), 10)
            assert (envelope.sender, envelope.data_centre) == ('10.0.0.1:7', 'y')
        finally:
            await one.close()
            await two.close()

    asyncio.run(case())
