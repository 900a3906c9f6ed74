"""Background tasks: no loop ends silently."""

from __future__ import annotations

import asyncio

from limeshelf.peers.node import PeerNode
from limeshelf.standalone.messages import ConfigPull
from limeshelf.util.tasks import TaskSet


def test_loop_that_fails_is_run_again() -> None:
    async def case() -> None:
        tasks = TaskSet()
        turns: list[int] = []
        done = asyncio.Event()

        async def loop(step: int) -> None:
            turns.append(step)
            if len(turns) < 3:
                raise KeyError('a fault of one turn')
            done.set()
            await asyncio.Event().wait()

        tasks.keep(loop, 'loop', 7)
        await asyncio.wait_for(done.wait(), 10)
        await tasks.close()
        assert turns == [7, 7, 7]
        assert tasks.failures == 2

    asyncio.run(case())


def test_handler_that_fails_does_not_make_the_process_deaf() -> None:
    async def case() -> None:
        heard: list[int] = []
        twice = asyncio.Event()

        def handler(envelope) -> None:
            heard.append(envelope.message.have_revision)
            if len(heard) == 1:
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
            assert heard == [0, 1]
        finally:
            await one.close()
            await two.close()

    asyncio.run(case())


def test_task_that_loses_a_cancellation_is_cancelled_again() -> None:
    async def case() -> None:
        tasks = TaskSet()
        lost: list[bool] = []

        async def loop() -> None:
            while True:
                try:
                    await asyncio.sleep(3600)
                except asyncio.CancelledError:
                    if lost:
                        raise
                    lost.append(True)

        tasks.spawn(loop(), 'loop')
        await asyncio.sleep(0)
        await asyncio.wait_for(tasks.close(), 10)
        assert lost == [True]

    asyncio.run(case())
