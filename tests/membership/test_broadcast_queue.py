"""Items are batched before they are sent, also while the event loop is delayed."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from limeshelf.membership.broadcast_queue import MAX_BATCH_WINDOWS, BroadcastQueue
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from tests.support.clock import VirtualLoop, run_virtual

BATCH_WINDOW_S = 0.05


def make_queue(sent: list[list[str]]) -> BroadcastQueue[str]:
    members = Members(Member('10.0.0.1:7001', 'z1', 1.0))
    members.add('10.0.0.2:7001', 'z1', 1.0)
    members.record_message('10.0.0.2:7001', 'z1')
    return BroadcastQueue(
        members, BATCH_WINDOW_S, lambda addresses, items: sent.append(items) if items else None
    )


def sent_by_a_delayed_loop(
    delay: Callable[[VirtualLoop, BroadcastQueue[str]], None],
) -> list[list[str]]:
    """Return the batches sent when an item is published at once and others by *delay*."""
    sent: list[list[str]] = []

    async def run_scenario() -> None:
        loop = asyncio.get_running_loop()
        assert isinstance(loop, VirtualLoop)
        queue = make_queue(sent)
        task = asyncio.create_task(queue.run())
        queue.publish('first', 'first')
        delay(loop, queue)
        await asyncio.sleep(4 * MAX_BATCH_WINDOWS * BATCH_WINDOW_S)
        task.cancel()

    run_virtual(run_scenario())
    return sent


def test_item_that_a_delayed_loop_has_not_read_yet_is_sent_in_the_same_batch() -> None:
    def delay(loop: VirtualLoop, queue: BroadcastQueue[str]) -> None:
        def hold_up() -> None:
            loop.hold_up(1.5 * BATCH_WINDOW_S)
            loop.call_later(0.2 * BATCH_WINDOW_S, queue.publish, 'second', 'second')

        loop.call_later(0.5 * BATCH_WINDOW_S, hold_up)

    sent = sent_by_a_delayed_loop(delay)
    assert sent and all(items == ['first', 'second'] for items in sent)


def test_item_is_sent_at_last_by_a_loop_that_is_always_delayed() -> None:
    def delay(loop: VirtualLoop, queue: BroadcastQueue[str]) -> None:
        loop.hold_up(2 * BATCH_WINDOW_S)
        loop.call_later(0.1 * BATCH_WINDOW_S, delay, loop, queue)

    assert ['first'] in sent_by_a_delayed_loop(delay)
