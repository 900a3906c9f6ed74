"""The one replica of each model that must not be unloaded, agreed in the table."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from absl import logging

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.services.table import Committed, Condition, VersionedRow, Write

if TYPE_CHECKING:
    from limeshelf.standalone.lease.keeper import LeaseKeeper
    from limeshelf.standalone.services.table import TableClient

ANCHOR_PREFIX = 'anchor/'
#: One row for each data centre, written with each change of an anchor, so that
#: readers look at a few rows as long as nothing changes.
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
        #: Own upstreams that a write of unknown outcome may have made anchors,
        #: by model, with the row version that would rule it out.
        self._doubtful: dict[str, dict[str, int]] = {}
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
        return at_it or upstream_id in self._doubtful.get(model, {})

    async def refresh(self) -> bool:
        """Read the anchors if any may have changed; return whether they are known."""
        try:
            changes = await self._table.scan(CHANGE_PREFIX)
            versions = {row.key: row.version for row in changes}
            if self.is_read and versions == self._change_versions:
                return True
            # The rows are read after the versions: a change in between is read
            # now, and once more at the next look.
            rows = await self._table.scan(ANCHOR_PREFIX)
        except (PlatformUnavailable, PlatformUnknown):
            return False
        self._change_versions = versions
        self._anchors = {anchor.model: anchor for anchor in map(_anchor_of, rows)}
        for model in list(self._doubtful):
            self._clear_doubts(model)
        self.is_read = True
        return True

    def _clear_doubts(self, model: str) -> None:
        anchor = self._anchors.get(model)
        version = anchor.row_version if anchor else 0
        left = {
            upstream_id: based_on
            for upstream_id, based_on in self._doubtful[model].items()
            # The doubtful write was conditional on this version; while the row
            # has it, the write may still arrive.
            if version == based_on
        }
        if left:
            self._doubtful[model] = left
        else:
            del self._doubtful[model]

    async def put(self, model: str, upstream_id: str, handoff: bool = False) -> bool:
        """Move the anchor of *model* to an own upstream; return whether it is there.

        A handoff leaves it where it is and only asks for a taker.
        """
        before = self._anchors.get(model)
        based_on = before.row_version if before else 0
        key = f'{ANCHOR_PREFIX}{model}'
        value = {
            'upstream_id': upstream_id,
            'data_centre': self._data_centre,
            'handoff': handoff,
        }
        conditions = [
            Condition(key, based_on),
            Condition(self._lease.epoch_key, self._lease.epoch_version),
        ]
        self._doubtful.setdefault(model, {})[upstream_id] = based_on
        try:
            writes = [Write(key, value), self._change_write]
            outcome = await self._table.transact(conditions, writes)
        except PlatformUnavailable:
            self._doubtful[model].pop(upstream_id, None)
            return False
        except PlatformUnknown:
            return False
        self._doubtful[model].pop(upstream_id, None)
        if not isinstance(outcome, Committed):
            return False
        self._anchors[model] = Anchor(
            model, upstream_id, self._data_centre, outcome.versions[key], handoff
        )
        logging.info('anchor=%s state=at upstream=%s handoff=%s', model, upstream_id, handoff)
        return True

    async def drop(self, model: str) -> bool:
        """Remove the anchor of a model that is no longer deployed."""
        before = self._anchors.get(model)
        if before is None:
            return True
        key = f'{ANCHOR_PREFIX}{model}'
        try:
            outcome = await self._table.transact(
                [
                    Condition(key, before.row_version),
                    Condition(self._lease.epoch_key, self._lease.epoch_version),
                ],
                [Write(key, None), self._change_write],
            )
        except (PlatformUnavailable, PlatformUnknown):
            return False
        if isinstance(outcome, Committed):
            del self._anchors[model]
            return True
        return False


def _anchor_of(row: VersionedRow) -> Anchor:
    value = row.value or {}
    return Anchor(
        row.key.removeprefix(ANCHOR_PREFIX),
        value['upstream_id'],
        value['data_centre'],
        row.version,
        value['handoff'],
    )
