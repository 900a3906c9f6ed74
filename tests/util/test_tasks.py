"""Background tasks: failed loops are restarted, and all tasks end on close."""

from __future__ import annotations

import asyncio

from limeshelf.peers.node import PeerNode
from limeshelf.standalone.messages import ConfigPull
from limeshelf.util.tasks import TaskSet


def test_loop_that_fails_is_restarted() -> None:
    async def case() -> None:
        tasks = TaskSet()
        iterations: list[int] = []
        done = asyncio.Event()

        async def loop(step: int) -> None:
            iterations.append(step)
            if len(iterations) < 3:
                raise KeyError('a fault of one iteration')
            done.set()
            await asyncio.Event().wait()

        tasks.supervise(loop, 'loop', 7)
        await asyncio.wait_for(done.wait(), 10)
        await tasks.close()
        assert iterations == [7, 7, 7]
        assert tasks.failures == 2

    asyncio.run(case())


def test_node_still_receives_after_a_handler_failed() -> None:
    async def case() -> None:
        received: list[int] = []
        twice = asyncio.Event()

        def handler(envelope) -> None:
            received.append(envelope.message.have_revision)
            if len(received) == 1:
                raise KeyError('a fault of the handler')
            twice.set()

        one, two = PeerNode('127.0.0.1', 0, 'x'), PeerNode('127.0.0.1', 0, 'x')
        two.add_handler(ConfigPull, handler)
        await one.start()
        await two.start()
        try:
            for number in range(2):
                one.send(two.address, ConfigPull(number))
            await asyncio.wait_for(twice.wait(), 10)
            assert received == [0, 1]
        finally:
            await one.close()
            await two.close()

    asyncio.run(case())


def test_task_that_swallows_a_cancellation_is_cancelled_again() -> None:
    async def case() -> None:
        tasks = TaskSet()
        swallowed: list[bool] = []

        async def loop() -> None:
            while True:
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    if swallowed:
                        raise
                    swallowed.append(True)

        tasks.spawn(loop(), 'loop')
        await asyncio.sleep(0)
        await asyncio.wait_for(tasks.close(), 10)
        assert swallowed == [True]

    asyncio.run(case())
