"""The copy of a table: how old it is, and what it takes for complete."""

from __future__ import annotations

from limeshelf.feeds.continuity import Continuity
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.return_rule import ReturnRule
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.util.clock import boottime_s, virtual_clock
from tests.support.positions import make_position


def copy_of(*rows: Row) -> TableCopy:
    """Return a copy that was read in full at version 7, and just confirmed."""
    copy = TableCopy('t', lambda row: None, FollowRule(stale_s=2.0))
    copy.take_full(Page(rows, make_position(7)))
    copy.note_confirmed(boottime_s())
    return copy


def test_copy_is_stale_once_nobody_has_confirmed_it_for_long() -> None:
    with virtual_clock() as clock:
        copy = copy_of()
        clock.advance(2.0)
        assert not copy.is_stale
        clock.advance(0.5)
        assert copy.is_stale
        assert copy.age_s == 2.5
        # No peer has passed anything on since the start.
        assert copy.peers_overdue_s == 0.5


def test_confirmation_is_as_old_as_the_peer_says() -> None:
    with virtual_clock() as clock:
        copy = copy_of()
        clock.advance(3.0)
        assert (
            copy.take_update([], make_position(7), make_position(8), 1.0) is Continuity.CONTINUES
        )
        assert (copy.position, copy.age_s) == (make_position(8), 1.0)
        # An older confirmation takes nothing back.
        assert (
            copy.take_update([], make_position(7), make_position(8), 2.0) is Continuity.CONTINUES
        )
        assert copy.age_s == 1.0


def test_update_with_a_gap_brings_rows_and_confirms_nothing() -> None:
    with virtual_clock() as clock:
        copy = copy_of()
        clock.advance(3.0)
        assert (
            copy.take_update(
                [Row('a', b'1', make_position(9))], make_position(8), make_position(9), 0.0
            )
            is Continuity.GAP
        )
        assert [row.key for row in copy.rows()] == ['a']
        assert (copy.position, copy.age_s) == (make_position(7), 3.0)


def test_only_a_full_read_shows_what_has_gone_unnoticed() -> None:
    copy = copy_of(Row('a', b'1', make_position(5)), Row('b', b'1', make_position(6)))
    copy.needs_full_read = True
    copy.take_full(Page((Row('a', b'1', make_position(5)),), make_position(9)))
    assert [row.key for row in copy.rows()] == ['a']
    assert [(row.key, row.gone) for row in copy.rows_after(make_position(7))] == [('b', True)]
    assert not copy.needs_full_read


def newness(value: bytes) -> tuple[int, ...]:
    """Return the count that a writer put into a row; none in a row of another writer."""
    return (int(value),) if value.isdigit() else ()


def copy_that_compares(kept_s: float = 2.0) -> TableCopy:
    copy = TableCopy('t', lambda row: None, FollowRule(), ReturnRule(newness, kept_s))
    rows = (Row('a', b'5', make_position(60, 1)), Row('b', b'5', make_position(70, 1)))
    copy.take_full(Page(rows, make_position(80, 1)))
    return copy


def test_whole_read_of_a_later_era_is_taken_though_its_version_is_lower() -> None:
    copy = TableCopy('t', lambda row: None)
    copy.take_full(Page((Row('a', b'old', make_position(75, 1)),), make_position(80, 1)))
    assert copy.take_full(Page((Row('a', b'new', make_position(41, 2)),), make_position(42, 2)))
    assert copy.position == make_position(42, 2)
    assert [row.value for row in copy.rows()] == [b'new']


def test_changes_of_a_later_era_want_a_whole_read_even_where_versions_are_higher() -> None:
    copy = copy_that_compares()
    assert not copy.take_changes(
        Page((Row('a', b'9', make_position(90, 2)),), make_position(90, 2))
    )
    assert copy.needs_full_read
    assert copy.position == make_position(80, 1)


def test_late_answer_of_an_earlier_era_leads_nothing_back() -> None:
    copy = copy_that_compares()
    copy.take_full(Page((Row('a', b'6', make_position(41, 2)),), make_position(42, 2)))
    assert not copy.take_full(Page((Row('a', b'5', make_position(60, 1)),), make_position(99, 1)))
    assert not copy.take_changes(
        Page((Row('a', b'5', make_position(98, 1)),), make_position(99, 1))
    )
    assert not copy.needs_full_read
    assert (
        copy.take_update([], make_position(1, 1), make_position(99, 1), 0.0) is Continuity.BEHIND
    )
    assert copy.position == make_position(42, 2)
    assert {row.key: row.value for row in copy.rows()}['a'] == b'6'


def test_row_that_was_replaced_since_the_copy_does_not_come_back() -> None:
    copy = copy_that_compares()
    copy.take_full(Page((Row('a', b'3', make_position(41, 2)),), make_position(42, 2)))
    assert {row.key: row.value for row in copy.rows()}['a'] == b'5'
    assert copy.has_of_this_era('a')
    copy.take_changes(Page((Row('a', b'5', make_position(43, 2)),), make_position(43, 2)))
    assert {row.key: row.position for row in copy.rows()}['a'] == make_position(43, 2)


def test_row_that_was_deleted_since_the_copy_does_not_come_back() -> None:
    copy = copy_that_compares()
    copy.take_changes(
        Page((Row('a', b'', make_position(81, 1), gone=True),), make_position(81, 1))
    )
    copy.take_full(
        Page(
            (Row('a', b'5', make_position(41, 2)), Row('b', b'5', make_position(40, 2))),
            make_position(42, 2),
        )
    )
    assert [row.key for row in copy.rows()] == ['b']
    copy.take_changes(Page((Row('a', b'6', make_position(43, 2)),), make_position(43, 2)))
    assert sorted(row.key for row in copy.rows()) == ['a', 'b']


def test_row_that_is_not_written_again_is_dropped_after_its_time() -> None:
    with virtual_clock() as clock:
        copy = copy_that_compares(kept_s=2.0)
        copy.take_full(Page((Row('a', b'5', make_position(41, 2)),), make_position(42, 2)))
        clock.advance(1.9)
        copy.drop_unwritten()
        assert sorted(row.key for row in copy.rows()) == ['a', 'b']
        clock.advance(0.2)
        copy.drop_unwritten()
        assert [row.key for row in copy.rows()] == ['a']
        # Nor does a late message of a peer bring it back.
        copy.take_update(
            [Row('b', b'5', make_position(70, 1))], make_position(0), make_position(80, 1), 0.0
        )
        assert [row.key for row in copy.rows()] == ['a']


def test_gateway_that_starts_learns_from_a_peer_what_the_store_has_lost() -> None:
    copy = TableCopy('t', lambda row: None, FollowRule(), ReturnRule(newness))
    copy.take_full(Page((Row('a', b'3', make_position(41, 2)),), make_position(42, 2)))
    copy.take_update(
        [Row('a', b'5', make_position(60, 1))], make_position(0), make_position(42, 2), 0.0
    )
    assert [row.value for row in copy.rows()] == [b'5']


def test_update_over_a_return_holds_the_whole_table() -> None:
    reader, other = copy_that_compares(), copy_that_compares()
    after = reader.position
    reader.take_full(Page((Row('a', b'7', make_position(41, 2)),), make_position(42, 2)))
    found = other.take_update(reader.rows_after(after), after, reader.position, 0.0)
    assert found is Continuity.CONTINUES
    assert other.position == make_position(42, 2)
    assert {row.key: row.value for row in other.rows()}['a'] == b'7'


def test_confirmations_of_an_earlier_era_count_no_more() -> None:
    """The store's clock may have begun anew, lower."""
    copy = copy_that_compares()
    copy.note_confirmed(boottime_s(), 900_000)
    copy.take_full(Page((), make_position(42, 2)))
    assert copy.confirmed_ms == 0
