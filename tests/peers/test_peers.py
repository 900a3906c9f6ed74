"""Peer messages: hostile frames, bounded queues, the right address."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from limeshelf.peers.codec import Envelope, MalformedMessage, decode, encode
from limeshelf.peers.messages import message_kinds
from limeshelf.peers.node import QUEUE_LIMIT, PeerNode
from limeshelf.standalone.messages import ConfigPull, Heartbeat

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
            for number in range(QUEUE_LIMIT * 3):
                node.send('127.0.0.1:1', ConfigPull(number))
            assert node.dropped >= QUEUE_LIMIT
        finally:
            await node.close()

    asyncio.run(case())
