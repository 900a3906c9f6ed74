"""A gateway sends one query for rows at a time, and answers large ones as its link has room."""

from __future__ import annotations

from typing import Any

from limeshelf.feeds.rows import Page, Row
from limeshelf.membership.query_pacing import BASE_TIMEOUT_S, MAX_TIMEOUT_S, QueryPacing
from limeshelf.membership.row_exchange import STORE_READ_AGES
from limeshelf.membership.row_messages import RowsQuery, TableUpdates
from limeshelf.peers.codec import Envelope
from limeshelf.util.clock import virtual_clock
from tests.membership.test_announced_rows import DOCUMENT, announcement, narrow_exchange, sent_by
from tests.membership.test_row_exchange import update
from tests.support.positions import make_position

#: More than the jitter of a time-out.
JITTER = 1.2


def queries_of(gateway: Any) -> list[RowsQuery]:
    return [message for _, message in gateway.node.sent if isinstance(message, RowsQuery)]


def test_gateway_does_not_query_again_while_an_answer_is_on_its_way() -> None:
    with virtual_clock():
        gateway = narrow_exchange('g2', 'g3')
        for _ in range(5):
            gateway._query_random_peer()
        assert len(queries_of(gateway)) == 1


def test_time_out_of_queries_grows_until_an_answer_comes() -> None:
    with virtual_clock() as clock:
        queries = QueryPacing()
        queries.record_query()
        clock.advance(BASE_TIMEOUT_S * JITTER)
        assert queries.may_query()
        for _ in range(8):
            queries.record_query()
        clock.advance(BASE_TIMEOUT_S * JITTER)
        assert not queries.may_query()
        clock.advance(MAX_TIMEOUT_S)
        assert queries.may_query()
        queries.record_query()
        queries.record_answer()
        assert queries.may_query()


def test_answers_do_not_fill_a_narrow_link() -> None:
    with virtual_clock():
        gateway = narrow_exchange('g2', 'g3')
        gateway.copies['t'].apply_full_read(
            Page((Row('config', DOCUMENT, make_position(5)),), make_position(7))
        )
        for peer in ('g2', 'g3', 'g4'):
            gateway._handle_query(Envelope(peer, 'c1', RowsQuery({'t': 0}, asked_ms=1)))
            gateway.sizes.budget.charge(len(DOCUMENT))
        first, *others = sent_by(gateway)
        assert [row.value for row in first[1].rows] == [DOCUMENT]
        assert [(one.omits_rows, one.rows) for _, one in others] == [(True, []), (True, [])]


def test_rows_that_are_read_from_the_store_are_queried_once_that_takes_too_long() -> None:
    with virtual_clock() as clock:
        gateway = narrow_exchange('g2')
        gateway._handle_updates(update(0, 5))
        gateway._fully_received.add('t')
        stale_s = gateway.copies['t'].follow_rule.stale_after_s
        clock.advance(stale_s + 0.1)
        gateway._handle_updates(announcement(7))
        gateway._query_random_peer()
        assert queries_of(gateway) == []
        clock.advance((STORE_READ_AGES - 1) * stale_s)
        gateway._query_random_peer()
        assert [query.versions for query in queries_of(gateway)] == [{'t': 5}]


def test_announcement_in_an_answer_does_not_count_as_all_rows_of_a_peer() -> None:
    gateway = narrow_exchange('g2')
    answer = TableUpdates(announcement(7).message.words, asked_ms=1)
    gateway._handle_updates(Envelope('g2', 'c1', answer))
    assert gateway._fully_received == set()
    assert gateway.copies['t'].lacks_announced_rows
