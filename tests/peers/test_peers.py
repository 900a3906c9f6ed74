"""Peer messages: malformed frames, bounded queues, addresses and reconnection."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.peers.codec import Envelope, decode, encode
from limeshelf.peers.framing import MalformedMessage, PipeEnd, greeting
from limeshelf.peers.link import MAX_FRAME_AGE_S, MAX_QUEUED_FRAMES, PeerLink, Traffic
from limeshelf.peers.messages import message_classes
from limeshelf.peers.node import PeerNode
from limeshelf.standalone.messages import ConfigPull, Heartbeat
from tests.support.clock import fake_time

VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-(2**63), 2**63 - 1) | st.text() | st.binary(),
    lambda inner: st.lists(inner) | st.dictionaries(st.text(), inner),
    max_leaves=10,
)


def check_decoded_or_rejected(data: bytes) -> None:
    try:
        assert type(decode(data).message) in message_classes.values()
    except MalformedMessage:
        return


@given(st.binary(max_size=200))
def test_any_bytes_are_decoded_or_rejected(data: bytes) -> None:
    check_decoded_or_rejected(data)


@given(st.sampled_from(sorted(message_classes)), VALUES)
def test_any_body_is_decoded_or_rejected(kind: str, body: object) -> None:
    frame = {'sender': 'a', 'data_centre': 'x', 'kind': kind, 'body': body}
    check_decoded_or_rejected(msgspec.msgpack.encode(frame))


def test_deep_nesting_is_rejected() -> None:
    with pytest.raises(MalformedMessage):
        decode(b'\x91' * 100_000)


def test_round_trip() -> None:
    beat = Heartbeat('i', 'entry', 'x', '127.0.0.1:1', 'b', 3, True)
    assert decode(encode(Envelope('a', 'x', beat))).message == beat


def test_address_is_the_bound_port() -> None:
    """The port of the address must not be in network byte order, as a socket object gives it."""

    async def scenario() -> None:
        received = asyncio.Event()
        node, peer = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        peer.add_handler(ConfigPull, lambda envelope: received.set())
        await node.start()
        await peer.start()
        try:
            node.send(peer.address, ConfigPull(1))
            await asyncio.wait_for(received.wait(), 10)
        finally:
            await node.close()
            await peer.close()

    asyncio.run(scenario())


def test_queue_for_an_unreachable_peer_is_bounded() -> None:
    async def scenario() -> None:
        node = PeerNode('127.0.0.1', 0, 'x')
        await node.start()
        try:
            for number in range(MAX_QUEUED_FRAMES * 3):
                node.send('127.0.0.1:1', ConfigPull(number))
            assert node.dropped >= MAX_QUEUED_FRAMES
        finally:
            await node.close()

    asyncio.run(scenario())


def test_full_queue_drops_the_oldest_frame() -> None:
    async def scenario() -> None:
        traffic = Traffic()
        link = PeerLink('127.0.0.1:1', traffic)
        for number in range(MAX_QUEUED_FRAMES):
            link.put(b'%d' % number)
        assert traffic.dropped == 0
        link.put(b'last')
        assert traffic.dropped == 1
        frames = link.pop_current()
        assert (frames[0], frames[-1], len(frames)) == (b'1', b'last', MAX_QUEUED_FRAMES)

    asyncio.run(scenario())


def test_outdated_frame_is_not_sent() -> None:
    async def scenario() -> None:
        traffic = Traffic()
        with fake_time() as clock:
            link = PeerLink('127.0.0.1:1', traffic)
            link.put(b'old')
            clock.advance(MAX_FRAME_AGE_S + 0.1)
            link.put(b'new')
            assert link.pop_current() == [b'new']
        assert traffic.dropped == 1

    asyncio.run(scenario())


def test_link_reconnects_after_its_peer_restarted() -> None:
    async def scenario() -> None:
        received: asyncio.Queue[Envelope] = asyncio.Queue()
        node, peer = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        peer.add_handler(ConfigPull, received.put_nowait)
        await node.start()
        await peer.start()
        port = int(peer.address.rpartition(':')[2])
        node.send(peer.address, ConfigPull(1))
        await asyncio.wait_for(received.get(), 10)
        await peer.close()
        restarted = PeerNode('127.0.0.1', port, 'x')
        restarted.add_handler(ConfigPull, received.put_nowait)
        await restarted.start()
        try:
            async with asyncio.timeout(10):
                while received.empty():
                    node.send(peer.address, ConfigPull(2))
                    await asyncio.sleep(0.05)
            assert (await received.get()).message == ConfigPull(2)
        finally:
            await node.close()
            await restarted.close()

    asyncio.run(scenario())


def test_connection_with_another_protocol_is_closed_and_counted() -> None:
    async def scenario() -> None:
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

    asyncio.run(scenario())


def test_forwarded_message_keeps_its_sender() -> None:
    async def scenario() -> None:
        received: asyncio.Queue[Envelope] = asyncio.Queue()
        node, peer = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        peer.add_handler(ConfigPull, received.put_nowait)
        await node.start()
        await peer.start()
        try:
            node.forward_all([peer.address], Envelope('10.0.0.1:7', 'y', ConfigPull(1)))
            envelope = await asyncio.wait_for(received.get(), 10)
            assert (envelope.sender, envelope.data_centre) == ('10.0.0.1:7', 'y')
        finally:
            await node.close()
            await peer.close()

    asyncio.run(scenario())
