"""News is gathered before it is sent, also while the processor is short."""

from __future__ import annotations

import asyncio
import time

from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.news import MAX_LENGTHS, News

GATHER_S = 0.05


def news_that_is_sent(sent: list[list[str]]) -> News[str]:
    members = Members(Member('10.0.0.1:7001', 'z1', 1.0))
    members.add('10.0.0.2:7001', 'z1', 1.0)
    members.note_message('10.0.0.2:7001', 'z1')
    return News(members, GATHER_S, lambda addresses, items: sent.append(items) if items else None)


async def run_beside(news: News[str], for_s: float) -> None:
    task = asyncio.create_task(news.run())
    await asyncio.sleep(for_s)
    task.cancel()


def test_news_that_a_late_loop_has_not_read_yet_goes_in_the_same_message() -> None:
    sent: list[list[str]] = []

    async def play() -> None:
        news, loop = news_that_is_sent(sent), asyncio.get_running_loop()

        def hold_up() -> None:
            time.sleep(1.5 * GATHER_S)
            loop.call_later(0.2 * GATHER_S, news.note_own, 'second', 'second')

        news.note_own('first', 'first')
        loop.call_later(0.5 * GATHER_S, hold_up)
        await run_beside(news, 8 * GATHER_S)

    asyncio.run(play())
    assert sent and all(items == ['first', 'second'] for items in sent)


def test_news_is_sent_at_last_by_a_loop_that_is_always_late() -> None:
    sent: list[list[str]] = []

    async def play() -> None:
        news, loop = news_that_is_sent(sent), asyncio.get_running_loop()

        def hold_up() -> None:
            time.sleep(2 * GATHER_S)
            loop.call_later(0.1 * GATHER_S, hold_up)

        news.note_own('first', 'first')
        loop.call_soon(hold_up)
        await run_beside(news, (MAX_LENGTHS + 6) * GATHER_S)

    asyncio.run(play())
    assert ['first'] in sent
