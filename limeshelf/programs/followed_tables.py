"""Which tables of the store a gateway follows, how closely, and what becomes of their rows.

Owns nothing; relies on :mod:`limeshelf.platform` for names and spelling of the rows, and
on :mod:`limeshelf.feeds` for following.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.table_copy import FollowRule, TableCopy
from limeshelf.membership.member import MEMBER_TABLE
from limeshelf.metrics.event_log import log_change
from limeshelf.platform.configuration import CONFIG_KEY, CONFIG_TABLE, read_config
from limeshelf.platform.replicas import REPLICA_TABLE

if TYPE_CHECKING:
    from limeshelf.calls.in_force import ConfigInForce
    from limeshelf.feeds.rows import Row, RowTable
    from limeshelf.membership.registration import Registration
    from limeshelf.membership.row_exchange import RowExchange
    from limeshelf.replicas.directory import ReplicaDirectory

#: Rows of replicas change all the time, so they also show whether the store is in reach; a
#: change must be known everywhere within two seconds, hence the age of 1.2 s at which others
#: are no longer relied on. All figures of these rules are chosen to make fewer calls to the
#: store, not measured one by one.
REPLICA_RULE = FollowRule(wait_s=0.7, pace_s=0.55, stale_s=1.2)
CONFIG_RULE = FollowRule(wait_s=1.4, stale_s=2.5)
#: Gateways come and go seldom, and those that are silent are found out by silence.
MEMBER_RULE = FollowRule(wait_s=8.0, stale_s=12.0)


@attrs.frozen
class ConfigRows:
    """Takes rows of the table that holds the operator's configuration."""

    in_force: ConfigInForce
    directory: ReplicaDirectory

    def take_row(self, row: Row) -> None:
        """Put the row's configuration in force if it is newer; waiting calls go on."""
        if row.key != CONFIG_KEY or row.gone:
            return
        try:
            config = read_config(row.value)
        except InvalidDocument as error:
            log_change('config_invalid', row_version=row.version, problem=str(error))
            return
        if not self.in_force.take(config):
            return
        log_change(
            'config', version=config.version, routes=len(config.routes), row_version=row.version
        )
        self.directory.notify_change()


def follow_tables(
    store: RowTable,
    rows: RowExchange,
    config_rows: ConfigRows,
    directory: ReplicaDirectory,
    registration: Registration,
) -> list[TableFollower]:
    """Return the followers of all tables; their copies are shared through *rows*."""
    copies = (
        TableCopy(CONFIG_TABLE, config_rows.take_row, CONFIG_RULE),
        TableCopy(REPLICA_TABLE, directory.take_row, REPLICA_RULE),
        TableCopy(MEMBER_TABLE, registration.take_row, MEMBER_RULE),
    )
    rows.copies.update({copy.table: copy for copy in copies})
    return [
        TableFollower(copy, store, rows.is_due, rows.overdue_limit_s, rows.announce_page)
        for copy in copies
    ]
