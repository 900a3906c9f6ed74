"""Exchanges rows of the store between gateways, so that few gateways poll the store.

Applies updates from other gateways to the copies of tables, and sends the rows that this gateway
polled. :mod:`~limeshelf.membership.store_polling` decides which gateways poll the store,
:mod:`~limeshelf.membership.receivers` which gateways receive the updates, and
:mod:`~limeshelf.membership.update_sizes` whether these contain the rows.
"""

from __future__ import annotations

import asyncio
import enum
import random
from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.feeds.change_budget import CONFIRMATION_TOLERANCE_S
from limeshelf.feeds.continuity import Continuity
from limeshelf.feeds.position import BEGINNING, Position
from limeshelf.feeds.store_clock import StoreClock
from limeshelf.membership import receivers
from limeshelf.membership.query_pacing import QueryPacing
from limeshelf.membership.relays import RELAYS_PER_CENTRE
from limeshelf.membership.row_conversion import (
    may_lack_deletions,
    query_for_positions,
    range_of_update,
    requested_position,
    row_bytes,
    rows_from_update,
    update_from_copy,
)
from limeshelf.membership.row_messages import NO_ERA, RowsQuery, TableUpdate, TableUpdates
from limeshelf.membership.staleness_log import StalenessLog
from limeshelf.membership.store_polling import (
    PollingDelays,
    overdue_limit_s,
    polling_order,
    polls_store,
    retry_spread_s,
)
from limeshelf.membership.update_sizes import UpdateSizes
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.feeds.table_copy import TableCopy
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: Longest interval between checks of whether the updates from peers are new enough...
MAX_CHECK_INTERVAL_S = 0.25
#: ...and shortest interval.
MIN_CHECK_INTERVAL_S = 0.02
#: Age of a copy, in times of the age at which it is stale, up to which announced rows are expected
#: from the store. Peers are asked for them after that.
STORE_READ_AGES = 2


class RowCause(enum.StrEnum):
    """Why rows are sent to other gateways."""

    #: This gateway polled them from the store.
    POLLED = 'polled'
    #: As a relay it received them from another data centre.
    FORWARDED = 'forwarded'
    #: Another gateway queried them.
    QUERIED = 'queried'


def _ignore_rows(cause: str, size_bytes: int) -> None:
    """Default for exchanges whose rows are not counted."""


@attrs.define
class RowExchange:
    """Sends updates of tables and applies those of other gateways.

    Implements :class:`limeshelf.feeds.follower.StorePolling`.

    :param delays: limits of its delays for the sake of others that poll the store.
    :param clock: this gateway's estimate of the store's clock.
    :param copies: this gateway's copies of tables, by table name.
    :param sizes: decides which rows other gateways are sent.
    :param count_rows: called with the cause and the size of the rows sent, over all receivers.
    """

    node: PeerNode
    members: Members
    delays: PollingDelays
    clock: StoreClock = attrs.field(factory=StoreClock)
    copies: dict[str, TableCopy] = attrs.field(factory=dict)
    sizes: UpdateSizes = attrs.field(factory=UpdateSizes)
    count_rows: Callable[[str, int], None] = _ignore_rows
    _polling_due: asyncio.Event = attrs.field(factory=asyncio.Event)
    _staleness_log: StalenessLog = attrs.field(factory=StalenessLog)
    _queries: QueryPacing = attrs.field(factory=QueryPacing)
    _fully_received: set[str] = attrs.field(factory=set)

    def start(self) -> None:
        """Register the message handlers."""
        self.node.add_handler(RowsQuery, self._handle_query)
        self.node.add_handler(TableUpdates, self._handle_updates)

    def is_due(self) -> bool:
        """Return whether this gateway polls the store now."""
        return polls_store(
            order=self._polling_order(),
            overdue_s=self._overdue_s(),
            delays=self.delays,
            is_isolated=not self.members.receives_messages(),
        )

    async def until_due(self) -> None:
        """Wait until this gateway may have become due to poll the store."""
        await self._polling_due.wait()

    def spread_s(self) -> float:
        """Return the longest additional pause after a failed call to the store."""
        is_isolated = not self.members.receives_messages()
        return retry_spread_s(
            self._polling_order(),
            len(self._centres()),
            self.delays,
            is_isolated=is_isolated,
        )

    def _overdue_s(self) -> float:
        return max(copy.peers_overdue_s for copy in self.copies.values())

    def _polling_order(self) -> int:
        centres = self._centres()
        own = self.members.own
        relays = self.members.own_relays()
        rank = (
            relays.index(own) if own in relays else max(RELAYS_PER_CENTRE, self.members.own_rank())
        )
        return polling_order(rank, centres.index(own.data_centre), len(centres))

    def _centres(self) -> list[str]:
        return sorted(self.members.other_centres() | {self.members.own.data_centre})

    def broadcast_page(self, copy: TableCopy, after: Position) -> None:
        """Send other gateways the changes from the store's answer, and the age of other tables.

        :param after: position of the copy before the answer was applied.
        """
        if after < copy.position <= copy.announced:
            # The gateway that announced these rows has told all others.
            return
        addresses = receivers.of_rows(self.members)
        updates = [self.sizes.for_receivers(len(addresses), copy, after)]
        updates += [
            update_from_copy(other, other.position)
            for other in self.copies.values()
            if other is not copy and other.position != BEGINNING
        ]
        self._send(addresses, TableUpdates(updates), RowCause.POLLED)

    def _send(self, addresses: list[str], updates: TableUpdates, cause: RowCause) -> None:
        size_bytes = sum(row_bytes(update) for update in updates.words)
        if size_bytes:
            self.count_rows(cause, size_bytes * len(addresses))
        self.node.send_all(addresses, updates)

    async def run(self) -> None:
        """Check regularly whether to poll the store, and query peers while copies are stale."""
        while True:
            is_due = self.is_due()
            self._staleness_log.check(
                self.copies.values(), self._polling_order(), is_polling=is_due
            )
            if is_due:
                self._wake_followers()
            for copy in self.copies.values():
                copy.drop_lost_rows()
            if self._needs_query():
                self._query_random_peer()
            await asyncio.sleep(self._next_check_s())

    def _needs_query(self) -> bool:
        return (
            not self._fully_received.issuperset(self.copies)
            or not self.clock.is_known
            or any(copy.is_stale for copy in self.copies.values())
        )

    def _next_check_s(self) -> float:
        is_isolated = not self.members.receives_messages()
        limit_s = overdue_limit_s(self._polling_order(), self.delays, is_isolated=is_isolated)
        due_in_s = limit_s - self._overdue_s()
        interval_s = jittered_s(MAX_CHECK_INTERVAL_S)
        return max(MIN_CHECK_INTERVAL_S, min(interval_s, due_in_s)) if due_in_s > 0 else interval_s

    def _query_random_peer(self) -> None:
        # Directly after the start no gateway is active yet, but the seeds may have rows.
        members = self.members.active() or self.members.others()
        positions = {
            name: self._query_position(copy)
            for name, copy in self.copies.items()
            if not _is_expected_from_store(copy)
        }
        if members and positions:
            self._send_query(random.choice(members).address, positions)

    def _query_position(self, copy: TableCopy) -> Position:
        # Request the whole table until it has been received once: peers may have rows that the
        # store itself lost when it was restored from an older copy.
        return copy.position if copy.table in self._fully_received else BEGINNING

    def _send_query(self, address: str, positions: dict[str, Position]) -> None:
        """Query rows of a peer, unless an answer is awaited already."""
        if not self._queries.may_query():
            return
        self._queries.record_query()
        self.node.send(address, query_for_positions(positions, int(boottime_s() * MS_PER_S)))

    def _handle_query(self, envelope: Envelope) -> None:
        query: RowsQuery = envelope.message
        updates = [
            self.sizes.for_query(copy, after)
            for copy in self.copies.values()
            if (after := requested_position(query, copy.table)) is not None
            and copy.position >= after
        ]
        self.members.add(envelope.sender, envelope.data_centre)
        if updates:
            era = NO_ERA if self.clock.era is None else self.clock.era
            answer = TableUpdates(updates, query.asked_ms, self.clock.now_upper_bound_ms(), era)
            self._send([envelope.sender], answer, RowCause.QUERIED)

    def _handle_updates(self, envelope: Envelope) -> None:
        started_s = boottime_s()
        self.members.record_message(envelope.sender, envelope.data_centre)
        self._update_clock(envelope.message)
        addresses = receivers.of_forwarded(self.members, envelope.data_centre)
        missing: dict[str, Position] = {}
        forwarded: list[TableUpdate] = []
        for update in envelope.message.words:
            copy = self.copies.get(update.table)
            if copy is None:
                # A table that only another release of the gateway uses.
                continue
            after = copy.position
            if envelope.message.asked_ms and may_lack_deletions(update):
                copy.apply_rows(rows_from_update(update))
                missing[update.table] = BEGINNING
                continue
            continuity = self._apply_update(copy, update, envelope.sender)
            if continuity is Continuity.CONTINUES:
                forwarded.append(self.sizes.for_receivers(len(addresses), copy, after))
            elif continuity is Continuity.GAP and update.omits_rows:
                self._read_announced(copy, range_of_update(update).upto)
                forwarded.append(self._aged(update))
            elif continuity is Continuity.GAP and not copy.lacks_announced_rows:
                missing[update.table] = copy.position
        if self.clock.era_changed_s >= started_s:
            # The store's era has changed, so its clock must be determined again.
            missing = {name: copy.position for name, copy in self.copies.items()}
        if missing:
            self._send_query(envelope.sender, missing)
        if forwarded:
            self._send(addresses, TableUpdates(forwarded), RowCause.FORWARDED)

    def _apply_update(self, copy: TableCopy, update: TableUpdate, peer: str) -> Continuity:
        covered = range_of_update(update)
        self.clock.advance_era(covered.upto.era)
        return copy.apply_update(
            rows_from_update(update), covered, self._age_s(update), update.confirmed_ms, peer
        )

    def _read_announced(self, copy: TableCopy, announced: Position) -> None:
        """Let the followers read rows from the store that a peer has but did not send."""
        copy.announced = max(copy.announced, announced)
        self._wake_followers()

    def _wake_followers(self) -> None:
        self._polling_due.set()
        self._polling_due = asyncio.Event()

    def _aged(self, update: TableUpdate) -> TableUpdate:
        """Return an update as it is to be forwarded now."""
        return msgspec.structs.replace(update, age_ms=int(self._age_s(update) * MS_PER_S))

    def _age_s(self, update: TableUpdate) -> float:
        """Return how long ago the store confirmed an update, including its time in transit."""
        stated_s = update.age_ms / MS_PER_S
        if not self.clock.is_known or not update.confirmed_ms:
            return stated_s
        return max(
            stated_s, self.clock.age_upper_bound_s(update.confirmed_ms) - CONFIRMATION_TOLERANCE_S
        )

    def _update_clock(self, updates: TableUpdates) -> None:
        """Update the estimate of the store's clock from a peer's answer to a query."""
        if not updates.asked_ms:
            return
        self._queries.record_answer()
        self._fully_received.update(
            update.table for update in updates.words if update.after == BEGINNING.version
        )
        if not updates.store_ms:
            return
        era = max(0, updates.store_era)
        self.clock.advance_era(era)
        if era == self.clock.era:
            requested_s = updates.asked_ms / MS_PER_S
            self.clock.record_answer(requested_s, updates.store_ms / MS_PER_S)


def _is_expected_from_store(copy: TableCopy) -> bool:
    limit_s = STORE_READ_AGES * copy.follow_rule.stale_after_s
    return copy.lacks_announced_rows and copy.age_s <= limit_s
