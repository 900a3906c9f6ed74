"""Changes requested before a restore of the store do not continue a copy that has followed it.

The store answers them in the later era, but from the version that the copy had in the earlier one:
rows that were written below it in the later era are missing.
"""

from __future__ import annotations

import asyncio

import pytest

from limeshelf.errors import AnswerLate
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.position import Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy


class Store:
    """Answers the call for changes when it is told to, and full reads at once."""

    def __init__(self, is_late: bool) -> None:
        self.answer: asyncio.Future[Page] = asyncio.get_running_loop().create_future()
        self.full_reads = 0
        self._is_late = is_late

    async def read(self, table: str) -> Page:
        self.full_reads += 1
        rows = (Row('missed', b'', Position(2, 7)),) if self.full_reads > 1 else ()
        position = Position(2, 12) if self.full_reads > 1 else Position(1, 10)
        return Page(rows, position, 1, 1.0)

    async def changes(self, table: str, after: Position, wait_s: float) -> Page:
        if self._is_late and not self.answer.done():
            raise AnswerLate('store', self.answer)  # type: ignore[arg-type]
        return await asyncio.shield(self.answer)


@pytest.mark.parametrize('is_late', [False, True])
def test_rows_written_below_the_earlier_position_are_not_missed(is_late: bool) -> None:
    async def scenario() -> None:
        copy = TableCopy('t', lambda row: None)
        store = Store(is_late)
        follower = TableFollower(copy, store)  # type: ignore[arg-type]
        await follower._poll(0.0)
        poll = asyncio.create_task(follower._poll(0.0))
        await asyncio.sleep(0)
        # A peer's word of the later era, whose row 7 is still to come.
        copy.apply_full_read(Page((), Position(2, 5), 1, 1.0))
        store.answer.set_result(Page((), Position(2, 12), 1, 1.0))
        await asyncio.gather(poll, return_exceptions=True)
        await asyncio.sleep(0)
        assert copy.position == Position(2, 5)
        await follower._poll(0.0)
        assert [row.key for row in copy.rows()] == ['missed']

    asyncio.run(scenario())
