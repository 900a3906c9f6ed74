"""Stores the anchor of each model: the one replica that must not be unloaded.

Anchors are rows of the table. Owns the anchors as last read and the writes whose outcome
is unknown. Each write is conditional on the epoch that the placer holds
(docs/design/reachable.rst).
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
from absl import logging

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.services.outages import OUTAGE_LOG_S
from limeshelf.standalone.services.table import Committed, Condition, VersionedRow, Write

if TYPE_CHECKING:
    from limeshelf.standalone.lease.keeper import LeaderLease
    from limeshelf.standalone.services.table import TableClient, TransactOutcome

ANCHOR_PREFIX = 'anchor/'
#: Prefix of one row for each data centre, written with each change of an anchor. Readers poll
#: these few rows and read the anchors only after a change.
CHANGE_PREFIX = 'anchor-change/'


@attrs.frozen
class Anchor:
    """Where a model's anchor replica is.

    :param row_version: version of its row in the table.
    :param handoff: the data centre of the anchor has no memory free and asks another one
        to take the anchor over.
    """

    model: str
    upstream_id: str
    data_centre: str
    row_version: int
    handoff: bool = False


class AnchorDirectory:
    """The anchors of all models as last read, and the own writes of unknown outcome.

    Only the placer of an upstream's data centre moves an anchor *to* that upstream, and the
    same placer sends the upstream its unload orders. An unload therefore never races with
    a move of the anchor by another data centre.
    """

    def __init__(self, table: TableClient, lease: LeaderLease, data_centre: str) -> None:
        self._table = table
        self._lease = lease
        self._data_centre = data_centre
        self._anchors: dict[str, Anchor] = {}
        #: By model: own upstreams to which a write of unknown outcome may have moved the
        #: anchor, with the row version that the write was conditional on.
        self._unconfirmed: dict[str, dict[str, int]] = {}
        self.is_read = False
        self._change_versions: dict[str, int] = {}
        self._change_write = Write(f'{CHANGE_PREFIX}{data_centre}', {'changed': True})

    def get(self, model: str) -> Anchor | None:
        """Return the anchor of *model*, ``None`` if it has none."""
        return self._anchors.get(model)

    def all(self) -> dict[str, Anchor]:
        """Return all anchors by model."""
        return dict(self._anchors)

    def may_be_anchored(self, model: str, upstream_id: str) -> bool:
        """Return whether the anchor of *model* may be at the upstream.

        True for all before the first read.
        """
        if not self.is_read:
            return True
        anchor = self._anchors.get(model)
        at_it = anchor is not None and anchor.upstream_id == upstream_id
        return at_it or upstream_id in self._unconfirmed.get(model, {})

    async def refresh(self) -> bool:
        """Read the anchors if any may have changed; return whether they are known."""
        try:
            changes = await self._table.scan(CHANGE_PREFIX)
            versions = {row.key: row.version for row in changes}
            if self.is_read and versions == self._change_versions:
                return True
            # The versions are read before the rows, so that a change in between is not
            # missed: the next refresh reads the rows again.
            rows = await self._table.scan(ANCHOR_PREFIX)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The anchors last read still protect own engines from unloads: only this
            # placer moves an anchor to an own engine, through this object.
            logging.log_every_n_seconds(
                logging.WARNING, 'anchors=not_read error=%r', OUTAGE_LOG_S, error
            )
            return False
        self._change_versions = versions
        self._anchors = {anchor.model: anchor for anchor in map(_anchor_of, rows)}
        for model in list(self._unconfirmed):
            self._drop_failed_writes(model)
        self.is_read = True
        return True

    def _drop_failed_writes(self, model: str) -> None:
        anchor = self._anchors.get(model)
        version = anchor.row_version if anchor else 0
        pending = {
            upstream_id: based_on
            for upstream_id, based_on in self._unconfirmed[model].items()
            # While the row still has the version that the write was conditional on,
            # the write may yet take effect.
            if version == based_on
        }
        if pending:
            self._unconfirmed[model] = pending
        else:
            del self._unconfirmed[model]

    async def put(self, model: str, upstream_id: str, handoff: bool = False) -> bool:
        """Move the anchor of *model* to an own upstream; return whether the write was committed.

        :param handoff: the upstream keeps the anchor, and other data centres are asked to
            take it over.
        """
        before = self._anchors.get(model)
        based_on = before.row_version if before else 0
        value = {
            'upstream_id': upstream_id,
            'data_centre': self._data_centre,
            'handoff': handoff,
        }
        self._unconfirmed.setdefault(model, {})[upstream_id] = based_on
        try:
            outcome = await self._write(model, based_on, value)
        except PlatformUnavailable:
            # The write had no effect: the placer logs the move as not made and plans it again.
            self._unconfirmed[model].pop(upstream_id, None)
            return False
        except PlatformUnknown:
            # The upstream counts as the anchor until the row has another version
            # (test_replica_that_a_lost_answer_may_have_made_the_anchor_stays).
            return False
        self._unconfirmed[model].pop(upstream_id, None)
        if not isinstance(outcome, Committed):
            return False
        self._anchors[model] = Anchor(
            model, upstream_id, self._data_centre, outcome.versions[_key_of(model)], handoff
        )
        logging.info('anchor=%s state=at upstream=%s handoff=%s', model, upstream_id, handoff)
        return True

    async def drop(self, model: str) -> bool:
        """Remove the anchor of a model that is no longer deployed."""
        before = self._anchors.get(model)
        if before is None:
            return True
        try:
            outcome = await self._write(model, before.row_version, None)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The next round tries again: an anchor without a deployment has no effect.
            logging.log_every_n_seconds(
                logging.WARNING, 'anchor=%s state=not_dropped error=%r', OUTAGE_LOG_S, model, error
            )
            return False
        if isinstance(outcome, Committed):
            del self._anchors[model]
            return True
        return False

    async def _write(
        self, model: str, based_on: int, value: dict[str, Any] | None
    ) -> TransactOutcome:
        """Write the row of *model*, conditional on the held epoch; ``None`` deletes the row.

        :param based_on: version of the row that the write is conditional on.
        """
        key = _key_of(model)
        conditions = [
            Condition(key, based_on),
            Condition(self._lease.epoch_key, self._lease.epoch_version),
        ]
        return await self._table.transact(conditions, [Write(key, value), self._change_write])


def _key_of(model: str) -> str:
    return f'{ANCHOR_PREFIX}{model}'


def _anchor_of(row: VersionedRow) -> Anchor:
    value = row.value or {}
    return Anchor(
        row.key.removeprefix(ANCHOR_PREFIX),
        value['upstream_id'],
        value['data_centre'],
        row.version,
        value['handoff'],
    )
