"""The copy of a table: its age, when it is complete, and restores of the store."""

from __future__ import annotations

from limeshelf.feeds.continuity import Continuity, UpdateRange
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.restore_rule import RestoreRule
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.util.clock import boottime_s, virtual_clock
from tests.support.positions import make_position, make_range


def copy_of(*rows: Row) -> TableCopy:
    """Return a copy that was just read in full, make_position version 7."""
    copy = TableCopy('t', lambda row: None, FollowRule(stale_after_s=2.0))
    copy.apply_full_read(Page(rows, make_position(7)))
    copy.record_confirmation(boottime_s())
    return copy


def test_copy_without_recent_confirmation_is_stale() -> None:
    with virtual_clock() as clock:
        copy = copy_of()
        clock.advance(2.0)
        assert not copy.is_stale
        clock.advance(0.5)
        assert copy.is_stale
        assert copy.age_s == 2.5
        # No peer has sent an update since the start.
        assert copy.peers_overdue_s == 0.5


def test_confirmation_has_the_age_that_the_peer_states() -> None:
    with virtual_clock() as clock:
        copy = copy_of()
        clock.advance(3.0)
        assert copy.apply_update([], make_range(7, 8), 1.0) is Continuity.CONTINUES
        assert (copy.position, copy.age_s) == (make_position(8), 1.0)
        # An older confirmation does not replace a newer one.
        assert copy.apply_update([], make_range(7, 8), 2.0) is Continuity.CONTINUES
        assert copy.age_s == 1.0


def test_update_with_gap_applies_rows_and_confirms_nothing() -> None:
    with virtual_clock() as clock:
        copy = copy_of()
        clock.advance(3.0)
        assert (
            copy.apply_update([Row('a', b'1', make_position(9))], make_range(8, 9), 0.0)
            is Continuity.GAP
        )
        assert [row.key for row in copy.rows()] == ['a']
        assert (copy.position, copy.age_s) == (make_position(7), 3.0)


def test_full_read_deletes_rows_that_it_lacks() -> None:
    copy = copy_of(Row('a', b'1', make_position(5)), Row('b', b'1', make_position(6)))
    copy.needs_full_read = True
    copy.apply_full_read(Page((Row('a', b'1', make_position(5)),), make_position(9)))
    assert [row.key for row in copy.rows()] == ['a']
    assert [(row.key, row.gone) for row in copy.rows_after(make_position(7))] == [('b', True)]
    assert not copy.needs_full_read


def test_late_update_does_not_bring_back_a_row_deleted_before_the_first_full_read() -> None:
    copy = copy_of(Row('a', b'1', make_position(5)))
    late = [Row('a', b'1', make_position(5)), Row('b', b'1', make_position(6))]
    assert copy.apply_update(late, make_range(0, 6), 0.0) is Continuity.BEHIND
    assert [row.key for row in copy.rows()] == ['a']


def whole_until(upto: Position) -> UpdateRange:
    """Return the range of a peer's update with all rows."""
    return UpdateRange(BEGINNING, upto, upto)


def writer_version(value: bytes) -> tuple[int, ...]:
    """Return the number that the writer stored in a row; empty if there is none."""
    return (int(value),) if value.isdigit() else ()


def copy_with_writer_versions(retention_s: float = 2.0) -> TableCopy:
    copy = TableCopy('t', lambda row: None, FollowRule(), RestoreRule(writer_version, retention_s))
    rows = (Row('a', b'5', make_position(60, 1)), Row('b', b'5', make_position(70, 1)))
    copy.apply_full_read(Page(rows, make_position(80, 1)))
    return copy


def test_full_read_of_later_era_is_applied_at_lower_version() -> None:
    copy = TableCopy('t', lambda row: None)
    copy.apply_full_read(Page((Row('a', b'old', make_position(75, 1)),), make_position(80, 1)))
    assert copy.apply_full_read(
        Page((Row('a', b'new', make_position(41, 2)),), make_position(42, 2))
    )
    assert copy.position == make_position(42, 2)
    assert [row.value for row in copy.rows()] == [b'new']


def test_changes_of_later_era_need_full_read_even_at_higher_version() -> None:
    copy = copy_with_writer_versions()
    assert not copy.apply_changes(
        Page((Row('a', b'9', make_position(90, 2)),), make_position(90, 2))
    )
    assert copy.needs_full_read
    assert copy.position == make_position(80, 1)


def test_delayed_answer_of_earlier_era_is_ignored() -> None:
    copy = copy_with_writer_versions()
    copy.apply_full_read(Page((Row('a', b'6', make_position(41, 2)),), make_position(42, 2)))
    assert not copy.apply_full_read(
        Page((Row('a', b'5', make_position(60, 1)),), make_position(99, 1))
    )
    assert not copy.apply_changes(
        Page((Row('a', b'5', make_position(98, 1)),), make_position(99, 1))
    )
    assert not copy.needs_full_read
    start = make_position(1, 1)
    assert (
        copy.apply_update([], UpdateRange(start, make_position(99, 1), start), 0.0)
        is Continuity.BEHIND
    )
    assert copy.position == make_position(42, 2)
    assert {row.key: row.value for row in copy.rows()}['a'] == b'6'


def test_older_row_of_restored_store_is_not_applied() -> None:
    copy = copy_with_writer_versions()
    copy.apply_full_read(Page((Row('a', b'3', make_position(41, 2)),), make_position(42, 2)))
    assert {row.key: row.value for row in copy.rows()}['a'] == b'5'
    assert copy.is_in_current_era('a')
    copy.apply_changes(Page((Row('a', b'5', make_position(43, 2)),), make_position(43, 2)))
    assert {row.key: row.position for row in copy.rows()}['a'] == make_position(43, 2)


def test_deleted_row_of_restored_store_is_not_applied() -> None:
    copy = copy_with_writer_versions()
    copy.apply_changes(
        Page((Row('a', b'', make_position(81, 1), gone=True),), make_position(81, 1))
    )
    copy.apply_full_read(
        Page(
            (Row('a', b'5', make_position(41, 2)), Row('b', b'5', make_position(40, 2))),
            make_position(42, 2),
        )
    )
    assert [row.key for row in copy.rows()] == ['b']
    copy.apply_changes(Page((Row('a', b'6', make_position(43, 2)),), make_position(43, 2)))
    assert sorted(row.key for row in copy.rows()) == ['a', 'b']


def test_row_not_written_again_is_dropped_after_retention_period() -> None:
    with virtual_clock() as clock:
        copy = copy_with_writer_versions(retention_s=2.0)
        copy.apply_full_read(Page((Row('a', b'5', make_position(41, 2)),), make_position(42, 2)))
        clock.advance(1.9)
        copy.drop_lost_rows()
        assert sorted(row.key for row in copy.rows()) == ['a', 'b']
        clock.advance(0.2)
        copy.drop_lost_rows()
        assert [row.key for row in copy.rows()] == ['a']
        # A delayed update of a peer does not add it again either.
        copy.apply_update(
            [Row('b', b'5', make_position(70, 1))], whole_until(make_position(80, 1)), 0.0
        )
        assert [row.key for row in copy.rows()] == ['a']


def test_new_gateway_receives_rows_lost_by_the_store_from_a_peer() -> None:
    copy = TableCopy('t', lambda row: None, FollowRule(), RestoreRule(writer_version))
    copy.apply_full_read(Page((Row('a', b'3', make_position(41, 2)),), make_position(42, 2)))
    copy.apply_update(
        [Row('a', b'5', make_position(60, 1))], whole_until(make_position(42, 2)), 0.0
    )
    assert [row.value for row in copy.rows()] == [b'5']


def test_update_into_later_era_is_complete() -> None:
    polling, other = copy_with_writer_versions(), copy_with_writer_versions()
    after = polling.position
    polling.apply_full_read(Page((Row('a', b'7', make_position(41, 2)),), make_position(42, 2)))
    continuity = other.apply_update(polling.rows_after(after), polling.update_range(after), 0.0)
    assert continuity is Continuity.CONTINUES
    assert other.position == make_position(42, 2)
    assert {row.key: row.value for row in other.rows()}['a'] == b'7'


def test_confirmations_of_earlier_era_are_discarded() -> None:
    """The store's clock may have been reset to a lower time."""
    copy = copy_with_writer_versions()
    copy.record_confirmation(boottime_s(), 900_000)
    copy.apply_full_read(Page((), make_position(42, 2)))
    assert copy.confirmed_ms == 0
