"""Gateways that exchange rows while rows are deleted, gateways restart and history is dropped.

A gateway whose copy has reached a position must have exactly the rows that the store had there,
whichever gateways started anew, failed to reach the store or lost messages meanwhile.
"""

from __future__ import annotations

from typing import Any

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule, run_state_machine_as_test

from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.rows import Page, Row
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.member import Member
from limeshelf.membership.members import Members
from limeshelf.membership.row_exchange import RowExchange
from limeshelf.membership.store_polling import PollingDelays
from limeshelf.peers.codec import Envelope

KEYS = ('a', 'b', 'c')
#: Addresses by data centre; the first two of each are its relays.
ADDRESSES = {'g1': 'c1', 'g2': 'c1', 'g3': 'c1', 'g4': 'c2', 'g5': 'c2'}
DELAYS = PollingDelays(turn_limit_s=0.3, retry_spread_s=1.5)


@attrs.define
class Store:
    """A store with one table that remembers which rows it had at each version."""

    version: int = 1
    rows: dict[str, Row] = attrs.field(factory=dict)
    changes: list[Row] = attrs.field(factory=list)
    history_from: int = 0
    rows_at: dict[int, dict[str, Row]] = attrs.field(factory=lambda: {1: {}})

    @property
    def position(self) -> Position:
        return Position(0, self.version)

    def change(self, key: str, *, gone: bool) -> None:
        self.version += 1
        row = Row(key, b'' if gone else b'%d' % self.version, self.position, gone)
        self.changes.append(row)
        if gone:
            self.rows.pop(key, None)
        else:
            self.rows[key] = row
        self.rows_at[self.version] = dict(self.rows)

    def changes_after(self, position: Position) -> Page:
        latest = {row.key: row for row in self.changes if row.position > position}
        return Page(tuple(latest.values()), self.position)


@attrs.define
class Node:
    """Keeps the messages of one gateway until they are delivered."""

    address: str
    in_transit: list[tuple[str, Envelope]]

    def send(self, address: str, message: Any) -> None:
        self.in_transit.append((address, Envelope(self.address, ADDRESSES[self.address], message)))

    def send_all(self, addresses: list[str], message: Any) -> None:
        for address in addresses:
            self.send(address, message)

    def add_handler(self, kind: type[Any], handler: Any) -> None: ...


class Deletions(RuleBasedStateMachine):
    """Five gateways in two data centres, any of which may poll the store or query a peer."""

    def __init__(self) -> None:
        super().__init__()
        self.store = Store()
        self.in_transit: list[tuple[str, Envelope]] = []
        self.gateways = {address: self._new_gateway(address) for address in ADDRESSES}

    def _new_gateway(self, address: str) -> RowExchange:
        node: Any = Node(address, self.in_transit)
        members = Members(Member(address, ADDRESSES[address], 1.0))
        for other, data_centre in ADDRESSES.items():
            if other != address:
                members.add(other, data_centre, 1.0)
        gateway = RowExchange(node, members, DELAYS)
        gateway.copies['t'] = TableCopy('t', lambda row: None)
        return gateway

    @rule(key=st.sampled_from(KEYS))
    def write(self, key: str) -> None:
        self.store.change(key, gone=False)

    @rule(key=st.sampled_from(KEYS))
    def delete(self, key: str) -> None:
        if key in self.store.rows:
            self.store.change(key, gone=True)

    @rule()
    def drop_history(self) -> None:
        self.store.history_from = self.store.version

    @rule(address=st.sampled_from(list(ADDRESSES)))
    def poll_store(self, address: str) -> None:
        gateway = self.gateways[address]
        copy = gateway.copies['t']
        after = copy.position
        if copy.needs_full_read or after.version < self.store.history_from:
            copy.apply_full_read(Page(tuple(self.store.rows.values()), self.store.position))
        else:
            assert copy.apply_changes(self.store.changes_after(after))
        gateway.broadcast_page(copy, after)

    @rule(address=st.sampled_from(list(ADDRESSES)))
    def fail_to_reach_store(self, address: str) -> None:
        self.gateways[address].copies['t'].needs_full_read = True

    @rule(
        address=st.sampled_from(list(ADDRESSES)),
        peer=st.sampled_from(list(ADDRESSES)),
        for_all_rows=st.booleans(),
    )
    def query_peer(self, address: str, peer: str, for_all_rows: bool) -> None:
        if peer != address:
            gateway = self.gateways[address]
            position = BEGINNING if for_all_rows else gateway.copies['t'].position
            gateway._send_query(peer, {'t': position})

    @rule(index=st.integers(0, 20))
    def deliver(self, index: int) -> None:
        if self.in_transit:
            self._deliver(index % len(self.in_transit))

    @rule()
    def deliver_all(self) -> None:
        for _ in range(min(30, len(self.in_transit))):
            self._deliver(0)

    def _deliver(self, index: int) -> None:
        address, envelope = self.in_transit.pop(index)
        gateway = self.gateways[address]
        if type(envelope.message).__name__ == 'RowsQuery':
            gateway._handle_query(envelope)
        else:
            gateway._handle_updates(envelope)

    @rule(index=st.integers(0, 20))
    def lose(self, index: int) -> None:
        if self.in_transit:
            self.in_transit.pop(index % len(self.in_transit))

    @rule(address=st.sampled_from(list(ADDRESSES)))
    def restart(self, address: str) -> None:
        self.gateways[address] = self._new_gateway(address)

    @invariant()
    def every_copy_has_the_rows_of_its_position(self) -> None:
        for address, gateway in self.gateways.items():
            copy = gateway.copies['t']
            if copy.position == BEGINNING:
                continue
            expected = self.store.rows_at[copy.position.version]
            known = {row.key: row for row in copy.rows_after(BEGINNING)}
            for key in KEYS:
                row = known.get(key)
                if row is not None and row.position > copy.position:
                    continue
                exists = row is not None and not row.gone
                assert exists == (key in expected), f'{address}: {key} at {copy.position}'


def test_row_deleted_before_a_gateway_started_is_deleted_in_the_copies_that_it_updates() -> None:
    run_state_machine_as_test(
        Deletions,
        settings=settings(
            max_examples=400, stateful_step_count=40, deadline=None, derandomize=True
        ),
    )
