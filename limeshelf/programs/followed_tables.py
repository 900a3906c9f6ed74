"""Which tables of the store a gateway follows, how closely, and what becomes of their rows.

Owns nothing; relies on :mod:`limeshelf.platform` for names and spelling of the rows, and
on :mod:`limeshelf.feeds` for following.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.rows import QUARANTINE_TABLE
from limeshelf.errors import InvalidDocument
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.return_rule import ReturnRule
from limeshelf.feeds.store_reach import StoreReach
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.member import MEMBER_TABLE
from limeshelf.metrics.event_log import log_change
from limeshelf.platform.configuration import (
    CONFIG_KEY,
    CONFIG_TABLE,
    config_newness,
    read_config,
)
from limeshelf.platform.replicas import REPLICA_TABLE, record_newness

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.in_force import ConfigInForce
    from limeshelf.crashes.keeper import QuarantineKeeper
    from limeshelf.feeds.rows import Row, RowTable
    from limeshelf.membership.registration import Registration
    from limeshelf.membership.row_exchange import RowExchange
    from limeshelf.metrics.prometheus import GatewayMetrics
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.settings.gateway import FreshnessSettings

#: Shares of the time within which a change must be known everywhere (2 s or 4 s on the users'
#: deployments). Every copy counts as old after STALE_SHARE of it: the next gateway then asks
#: the store, which leaves the rest of the time for that call and the way of its answer. Rows of
#: replicas change all the time, so after changes the store is asked again only after a pause,
#: in which others come together; pause and wait together stay below the age.
STALE_SHARE = 0.7
REPLICA_WAIT_SHARE = 0.4
REPLICA_PACE_SHARE = 0.22
CONFIG_WAIT_SHARE = 0.5
#: Gateways come and go seldom, and those that are silent are found out by silence. After a
#: change the rows rest for a second: where all gateways start at once, each of their rows
#: would bring another answer.
MEMBER_RULE = FollowRule(wait_s=8.0, pace_s=1.0, stale_s=12.0, first_delay_s=0.7)
#: Calls that rest change seldom, and peers tell of them at once; the rows are for gateways that
#: start, or that a cut keeps from all others. So they are read at once at a start: with a pause
#: as for the members, a call that all gateways had known ended a replica of the new ones in 4
#: of 8 runs beside load, without it in none of 6 (tests/gateway/test_deadly_call.py).
QUARANTINE_RULE = FollowRule(wait_s=8.0, stale_s=12.0)
#: The operator has confirmed the newest configuration to somebody; it is in force, and passed on
#: to gateways that start, until the store has one that is as new.
CONFIG_RETURN = ReturnRule(config_newness)
#: Replicas write their rows with each heartbeat. Those that live and reach the store are in it
#: again within this time, in seconds; until then calls go on to them.
REPLICA_RETURN = ReturnRule(record_newness, kept_s=2.5)
#: Gateways write their rows again by themselves, and those that are silent are found out by
#: silence; so are calls that rest, by who witnessed them.
OWN_RETURN = ReturnRule(kept_s=10.0)


def replica_rule(known_within_s: float) -> FollowRule:
    """Return how the table of replicas is followed.

    :param known_within_s: within which a change must be known everywhere.
    """
    return FollowRule(
        wait_s=REPLICA_WAIT_SHARE * known_within_s,
        pace_s=REPLICA_PACE_SHARE * known_within_s,
        stale_s=STALE_SHARE * known_within_s,
    )


def config_rule(known_within_s: float) -> FollowRule:
    """Return how the table of the configuration is followed; as for :func:`replica_rule`."""
    return FollowRule(
        wait_s=CONFIG_WAIT_SHARE * known_within_s,
        stale_s=STALE_SHARE * known_within_s,
    )


@attrs.define
class ConfigRows:
    """Takes rows of the table that holds the operator's configuration.

    :ivar copy: the copy of the table that the rows come from; ``None`` before it is opened.
    """

    in_force: ConfigInForce
    directory: ReplicaDirectory
    copy: TableCopy | None = None

    def open_copy(self, rule: FollowRule, metrics: GatewayMetrics) -> TableCopy:
        """Return the copy of the table, to be followed by *rule*."""
        listener = _counted(CONFIG_TABLE, self.take_row, metrics)
        self.copy = TableCopy(CONFIG_TABLE, listener, rule, CONFIG_RETURN)
        return self.copy

    def take_row(self, row: Row) -> bool:
        """Put the row's configuration in force if it is newer; waiting calls go on.

        :return: whether the row could be read.
        """
        if row.key != CONFIG_KEY or row.gone:
            return True
        try:
            config = read_config(row.value)
        except InvalidDocument as error:
            log_change('config_invalid', row_version=row.position.version, problem=str(error))
            self.in_force.is_superseded = True
            return False
        if not self.in_force.take(config):
            return True
        log_change(
            'config',
            version=config.version,
            routes=len(config.routes),
            row_version=row.position.version,
            source=self.copy.source if self.copy is not None else '',
        )
        self.directory.notify_change()
        return True


def _counted(
    table: str, take_row: Callable[[Row], bool], metrics: GatewayMetrics
) -> Callable[[Row], None]:
    """Return a listener that passes rows on and counts those that could not be read."""

    def take(row: Row) -> None:
        if not take_row(row):
            metrics.observe_unreadable_row(table)

    return take


def follow_tables(
    store: RowTable,
    rows: RowExchange,
    config_rows: ConfigRows,
    directory: ReplicaDirectory,
    registration: Registration,
    keeper: QuarantineKeeper,
    freshness: FreshnessSettings,
    metrics: GatewayMetrics,
) -> list[TableFollower]:
    """Return the followers of all tables; their copies are shared through *rows*."""
    copies = (
        config_rows.open_copy(config_rule(freshness.config_s), metrics),
        TableCopy(
            REPLICA_TABLE,
            _counted(REPLICA_TABLE, directory.take_row, metrics),
            replica_rule(freshness.replica_s),
            REPLICA_RETURN,
        ),
        TableCopy(
            MEMBER_TABLE,
            _counted(MEMBER_TABLE, registration.take_row, metrics),
            MEMBER_RULE,
            OWN_RETURN,
        ),
        TableCopy(
            QUARANTINE_TABLE,
            _counted(QUARANTINE_TABLE, keeper.take_row, metrics),
            QUARANTINE_RULE,
            OWN_RETURN,
        ),
    )
    for copy in copies:
        copy.return_listeners.append(
            lambda copy: metrics.observe_era_change(copy.table, copy.position.era)
        )
    (_, _, members, quarantine) = copies
    members.return_listeners.append(registration.note_return)
    quarantine.return_listeners.append(keeper.note_return)
    rows.copies.update({copy.table: copy for copy in copies})
    reach = StoreReach()
    return [TableFollower(copy, store, rows, reach, rows.announce_page) for copy in copies]
