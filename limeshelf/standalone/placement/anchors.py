"""The one replica of each model that must not be unloaded, agreed in the table.

Owns the anchors as last read and the writes whose outcome is unknown. Relies on the
table and on the lease: a write counts only under the epoch that the placer holds
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
    from limeshelf.standalone.lease.keeper import LeaseKeeper
    from limeshelf.standalone.services.table import TableClient, TransactOutcome

ANCHOR_PREFIX = 'anchor/'
#: One row for each data centre, written with each change of an anchor, so that
#: readers read a few rows as long as nothing changes.
CHANGE_PREFIX = 'anchor-change/'


@attrs.frozen
class Anchor:
    """Where a model's anchor replica is.

    :param row_version: version of its row in the table.
    :param handoff: the owner has no memory free and asks another data centre to take
        the anchor over.
    """

    model: str
    upstream_id: str
    data_centre: str
    row_version: int
    handoff: bool = False


class AnchorBook:
    """The anchors of all models, as last read, and what may have changed since.

    Only the placer of an upstream's own data centre moves an anchor *to* that
    upstream, and the same placer sends its unload orders. So whether an
    upstream holds an anchor is never a race between two data centres.
    """

    def __init__(self, table: TableClient, lease: LeaseKeeper, data_centre: str) -> None:
        self._table = table
        self._lease = lease
        self._data_centre = data_centre
        self._anchors: dict[str, Anchor] = {}
        #: Own upstreams that a write of unknown outcome may have made anchors, by
        #: model, with the row version that the write was conditional on.
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
        """Return whether the anchor may be at the upstream; true before the first read."""
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
            # The rows are read after the versions: a change in between is read
            # now, and once more at the next refresh.
            rows = await self._table.scan(ANCHOR_PREFIX)
        except (PlatformUnavailable, PlatformUnknown) as error:
            # Anchors last read stay good for unloads: only the own placer moves an
            # anchor to an own engine, and it does so through this book.
            logging.log_every_n_seconds(
                logging.WARNING, 'anchors=not_read error=%r', OUTAGE_LOG_S, error
            )
            return False
        self._change_versions = versions
        self._anchors = {anchor.model: anchor for anchor in map(_anchor_of, rows)}
        for model in list(self._unconfirmed):
            self._drop_refuted(model)
        self.is_read = True
        return True

    def _drop_refuted(self, model: str) -> None:
        anchor = self._anchors.get(model)
        version = anchor.row_version if anchor else 0
        left = {
            upstream_id: based_on
            for upstream_id, based_on in self._unconfirmed[model].items()
            # While the row has the version that the write was conditional on, the
            # write may still arrive.
            if version == based_on
        }
        if left:
            self._unconfirmed[model] = left
        else:
            del self._unconfirmed[model]

    async def put(self, model: str, upstream_id: str, handoff: bool = False) -> bool:
        """Move the anchor of *model* to an own upstream; return whether it is there.

        A handoff leaves it where it is and only asks for a taker.
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
            # No effect; the placer logs the move as not made and plans it again.
            self._unconfirmed[model].pop(upstream_id, None)
            return False
        except PlatformUnknown:
            # The upstream counts as the anchor until the row's version has moved on
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
            # The next round drops it: an anchor without a deployment has no effect.
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
        """Write the row of *model* under the epoch that is held; ``None`` deletes it.

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
