"""Pending orders at one replica, its polls and its claim."""

from __future__ import annotations

from limeshelf.orders.pending import LOST_AFTER_POLLS, PendingOrders
from limeshelf.orders.task import Loadable
from limeshelf.replicas.record import ReplicaReport

M1 = Loadable('m1')
A1 = Loadable('m1', 'a1')


def report(order_number: int, busy: bool = False) -> ReplicaReport:
    return ReplicaReport((), busy, order_number)


def test_expected_loads_keep_their_first_time_until_they_end() -> None:
    pending = PendingOrders()
    pending.expect_load(M1, 7.0)
    pending.expect_load_if_absent(M1, 9.0)
    pending.expect_load_if_absent(A1, 3.0)
    assert dict(pending.expected_ready_s()) == {M1: 7.0, A1: 3.0}
    assert pending.expected_models() == {'m1'}
    pending.record_load_ended(M1)
    assert (pending.is_load_expected(M1), pending.is_load_expected(A1)) == (False, True)
    assert pending.expected_models() == set()


def test_unloads_are_marked_until_they_end() -> None:
    pending = PendingOrders()
    pending.mark_unloading(A1)
    assert pending.is_unloading(A1)
    pending.unmark_unloading([A1, M1])
    assert not pending.is_unloading(A1)


def test_unanswered_load_stays_unconfirmed_until_a_later_order_is_accepted() -> None:
    pending = PendingOrders()
    pending.record_load_sent(M1)
    pending.record_load_unanswered(M1, 4)
    pending.record_load_ended(M1)
    assert pending.unconfirmed_loads() == {M1}
    pending.record_report(report(4))
    pending.record_report(report(5, busy=True))
    assert pending.unconfirmed_loads() == {M1}
    pending.record_report(report(5))
    assert pending.unconfirmed_loads() == frozenset()


def test_replica_is_lost_after_missed_polls_in_a_row() -> None:
    pending = PendingOrders()
    for _ in range(LOST_AFTER_POLLS - 1):
        pending.record_missed_poll()
    assert not pending.is_lost
    pending.record_report(report(0))
    for _ in range(LOST_AFTER_POLLS):
        pending.record_missed_poll()
    assert pending.is_lost


def test_missed_poll_drops_the_claim() -> None:
    pending = PendingOrders()
    pending.record_claim(5)
    assert pending.is_claimed_under(5)
    pending.record_missed_poll()
    assert not pending.is_claimed_under(5)
