"""No machine orders, is followed by another one, and orders again within the platform's limit."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from limeshelf.lease.leadership import Leadership
from limeshelf.util.clock import VirtualClock, virtual_clock
from tests.lease.test_order_time import LEASE_S, ORDER_GAP_S, LeaseStore

#: Between two tries to acquire the lease.
STEP_S = 0.1


class Machines:
    """Processes of three machines that contend for one lease.

    :param checked: whether replicas compare fences.
    """

    def __init__(self, clock: VirtualClock, checked: bool = False) -> None:
        self.clock = clock
        self.checked = checked
        self.store = LeaseStore(clock)
        self.processes = {name: self.start(name) for name in ('a', 'b', 'c')}

    def start(self, name: str) -> Leadership:
        """Start a process, which remembers nothing of an earlier one."""
        store: Any = self.store
        return Leadership(store, name, LEASE_S, self.checked, None, ORDER_GAP_S)

    def restart(self, name: str) -> None:
        """Kill a machine's process and start another one."""
        self.processes[name] = self.start(name)

    def lead_and_order(self, name: str) -> float:
        """Let a machine try until it leads and orders; return the time of the order."""
        process = self.processes[name]
        while not process.fence:
            asyncio.run(process.renew_or_acquire())
            if not process.fence:
                self.clock.advance(STEP_S)
        with process.orders.sending():
            return self.clock.now_s

    def end(self, name: str) -> None:
        """Let a machine give its lease back."""
        asyncio.run(self.processes[name].hand_over('test'))


@pytest.mark.parametrize('restarts', [False, True])
def test_former_holder_does_not_order_again_within_the_limit(restarts: bool) -> None:
    # Guards against a holder whose lease ran out and that leads again after a short successor.
    with virtual_clock() as clock:
        machines = Machines(clock)
        before_s = machines.lead_and_order('a')
        clock.advance(LEASE_S)
        machines.lead_and_order('b')
        if restarts:
            machines.restart('a')
        machines.end('b')
        assert machines.lead_and_order('a') - before_s >= ORDER_GAP_S


def test_former_holder_waits_although_two_others_followed() -> None:
    with virtual_clock() as clock:
        machines = Machines(clock)
        before_s = machines.lead_and_order('a')
        machines.end('a')
        machines.lead_and_order('b')
        machines.end('b')
        machines.lead_and_order('c')
        machines.end('c')
        assert machines.lead_and_order('a') - before_s >= ORDER_GAP_S


def test_holder_that_hands_over_where_replicas_check_fences_waits_too() -> None:
    with virtual_clock() as clock:
        machines = Machines(clock, checked=True)
        before_s = machines.lead_and_order('a')
        machines.end('a')
        machines.lead_and_order('b')
        machines.end('b')
        assert machines.lead_and_order('a') - before_s >= ORDER_GAP_S


def test_machine_that_has_not_ordered_follows_at_once() -> None:
    """Only former holders wait, so a planned stop leaves no time without a leader."""
    with virtual_clock() as clock:
        machines = Machines(clock)
        machines.lead_and_order('a')
        clock.advance(ORDER_GAP_S + STEP_S)
        asyncio.run(machines.processes['a'].renew_or_acquire())
        machines.end('a')
        assert machines.lead_and_order('b') == clock.now_s


def test_first_holder_of_all_and_the_last_one_lead_without_a_wait() -> None:
    with virtual_clock() as clock:
        machines = Machines(clock)
        began_s = clock.now_s
        assert machines.lead_and_order('a') == began_s
        machines.end('a')
        machines.restart('a')
        assert machines.lead_and_order('a') == began_s
