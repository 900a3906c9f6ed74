"""Configures which store tables a gateway follows, how often, and where their rows go.

Stateless; relies on :mod:`limeshelf.platform` for the names and formats of rows, and on
:mod:`limeshelf.feeds` for the following itself.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.crashes.rows import QUARANTINE_TABLE
from limeshelf.errors import InvalidDocument
from limeshelf.feeds.change_budget import ChangeBudget
from limeshelf.feeds.follow_rule import FollowRule
from limeshelf.feeds.follower import TableFollower
from limeshelf.feeds.restore_rule import RestoreRule
from limeshelf.feeds.store_backoff import StoreBackoff
from limeshelf.feeds.table_copy import TableCopy
from limeshelf.membership.member import MEMBER_TABLE
from limeshelf.metrics.event_log import log_change
from limeshelf.platform.configuration import (
    CONFIG_KEY,
    CONFIG_TABLE,
    config_writer_version,
    read_config,
)
from limeshelf.platform.replicas import (
    REPLICA_TABLE,
    is_heartbeat,
    record_writer_version,
)
from limeshelf.util.clock import MS_PER_S

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.calls.routes import ServingConfig
    from limeshelf.crashes.quarantine_sync import QuarantineSync
    from limeshelf.feeds.rows import Row, RowStore
    from limeshelf.membership.registration import Registration
    from limeshelf.membership.row_exchange import RowExchange
    from limeshelf.metrics.prometheus import GatewayMetrics
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.settings.gateway import FreshnessSettings

#: Gateways rarely start or stop, and failed ones are detected by missing messages. After a
#: change the next request is delayed by 1 s: if all gateways start at once, each of their rows
#: would otherwise cause a separate response.
MEMBER_RULE = FollowRule(wait_s=8.0, batch_delay_s=1.0, stale_after_s=12.0, max_start_delay_s=0.7)
#: The quarantined calls rarely change, and peers announce changes at once; the rows serve
#: gateways that start or are partitioned from all others. A starting gateway therefore reads
#: them at once: with an initial delay as for the members, a call that all earlier gateways knew
#: to crash replicas crashed one through a new gateway in 4 of 8 trials under load, without the
#: delay in none of 6 (tests/gateway/test_crashing_call.py).
QUARANTINE_RULE = FollowRule(wait_s=8.0, stale_after_s=12.0)
#: After the store is restored from an older copy, the latest configuration stays active and is
#: passed on to starting gateways until the store has one at least as new, because the operator
#: has already confirmed it.
CONFIG_RESTORE = RestoreRule(config_writer_version)
#: Replicas write their rows with each heartbeat. After a restore, the row of each live replica
#: that reaches the store is back within this time, in seconds; until then it still gets calls.
REPLICA_RESTORE = RestoreRule(record_writer_version, retention_s=2.5)
#: After a restore, gateways write their own rows again, and failed gateways are detected by
#: missing messages. Rows of quarantined calls are written again by the gateways that know them.
OWN_RESTORE = RestoreRule(retention_s=10.0)


@attrs.define
class ConfigRows:
    """Applies rows of the table that holds the operator's configuration.

    :param observe_lag: called with the longest time, in seconds, for which the store may have had
        a configuration when it became active here.
    :ivar copy: the local copy of the table; ``None`` before :meth:`open_copy`.
    """

    active_config: ActiveConfig
    directory: ReplicaDirectory
    observe_lag: Callable[[float], None] = lambda seconds: None
    copy: TableCopy | None = None

    def open_copy(self, rule: FollowRule, metrics: GatewayMetrics) -> TableCopy:
        """Create and return the local copy of the table, to be followed by *rule*."""
        listener = _counting_listener(CONFIG_TABLE, self.apply_row, metrics)
        self.copy = TableCopy(CONFIG_TABLE, listener, rule, CONFIG_RESTORE)
        return self.copy

    def apply_row(self, row: Row) -> bool:
        """Activate the row's configuration if it is newer, and wake waiting calls.

        :returns: whether the row could be read.
        """
        if row.key != CONFIG_KEY or row.gone:
            return True
        try:
            config = read_config(row.value)
        except InvalidDocument as error:
            log_change('config_invalid', row_version=row.position.version, problem=str(error))
            self.active_config.is_superseded = True
            return False
        if not self.active_config.replace_if_newer(config):
            return True
        self._log_active(config, row)
        self.directory.notify_change()
        return True

    def _log_active(self, config: ServingConfig, row: Row) -> None:
        # The store took it after the last confirmation, which did not include it yet.
        lag_s = self.copy.age_s if self.copy is not None and self.copy.confirmed_s else None
        if lag_s is not None:
            self.observe_lag(lag_s)
        log_change(
            'config',
            version=config.version,
            routes=len(config.routes),
            row_version=row.position.version,
            source=self.copy.source if self.copy is not None else '',
            lag_limit_ms=None if lag_s is None else int(lag_s * MS_PER_S),
        )


def _counting_listener(
    table: str, apply_row: Callable[[Row], bool], metrics: GatewayMetrics
) -> Callable[[Row], None]:
    """Return a listener that forwards rows and counts those that could not be read."""

    def listen(row: Row) -> None:
        if not apply_row(row):
            metrics.observe_unreadable_row(table)

    return listen


def follow_tables(
    store: RowStore,
    rows: RowExchange,
    config_rows: ConfigRows,
    directory: ReplicaDirectory,
    registration: Registration,
    quarantine_sync: QuarantineSync,
    freshness: FreshnessSettings,
    metrics: GatewayMetrics,
) -> list[TableFollower]:
    """Return the followers of all tables; gateways share their copies through *rows*."""
    copies = (
        config_rows.open_copy(ChangeBudget(freshness.config_s).config_rule(), metrics),
        TableCopy(
            REPLICA_TABLE,
            _counting_listener(REPLICA_TABLE, directory.apply_row, metrics),
            ChangeBudget(freshness.replica_s).replica_rule(),
            REPLICA_RESTORE,
            is_heartbeat,
        ),
        TableCopy(
            MEMBER_TABLE,
            _counting_listener(MEMBER_TABLE, registration.apply_row, metrics),
            MEMBER_RULE,
            OWN_RESTORE,
        ),
        TableCopy(
            QUARANTINE_TABLE,
            _counting_listener(QUARANTINE_TABLE, quarantine_sync.apply_row, metrics),
            QUARANTINE_RULE,
            OWN_RESTORE,
        ),
    )
    for copy in copies:
        copy.restore_listeners.append(
            lambda copy: metrics.observe_era_change(copy.table, copy.position.era)
        )
    (_, _, members, quarantine) = copies
    members.restore_listeners.append(registration.rewrite_if_lost)
    quarantine.restore_listeners.append(quarantine_sync.rewrite_lost_rows)
    rows.copies.update({copy.table: copy for copy in copies})
    backoff = StoreBackoff()
    return [TableFollower(copy, store, rows, backoff, rows.broadcast_page) for copy in copies]
