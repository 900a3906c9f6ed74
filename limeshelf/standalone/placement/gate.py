"""Final check before an unload, so that every deployed model stays reachable.

Owns the unloads allowed in this round. Reads the view of the round and the anchors; an
anchor write of unknown outcome counts as if it may have succeeded
(docs/design/reachable.rst).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from limeshelf.standalone.config.items import model_of, unversioned

if TYPE_CHECKING:
    from limeshelf.standalone.placement.anchors import AnchorDirectory
    from limeshelf.standalone.placement.view import PlacementView, UnitView


class UnloadGate:
    """Checks the unloads of one round against its view, independently of the policy.

    An allowed unload no longer counts as a replica, so that two unloads of one round cannot
    rely on each other's replica.
    """

    def __init__(self, view: PlacementView, anchors: AnchorDirectory) -> None:
        self._view = view
        self._anchors = anchors
        self._removed: set[tuple[str, str]] = set()

    def may_unload(self, item_id: str, upstream_id: str) -> bool:
        """Return whether *item_id* may be unloaded from the own engine *upstream_id*."""
        unit = self._view.units.get(model_of(item_id))
        if unit is None:
            allowed = True
        elif item_id in {item.item_id for item in unit.items}:
            allowed = self._is_redundant(unit, item_id, upstream_id)
        else:
            allowed = self._is_replaced(unit, item_id) or self._is_redundant_old_version(
                unit, item_id, upstream_id
            )
        if allowed:
            self._removed.add((item_id, upstream_id))
        return allowed

    def has_unloaded(self, model: str, upstream_id: str) -> bool:
        """Return whether this round unloads any item of *model* from the own engine."""
        return any(
            model_of(item_id) == model and holder == upstream_id
            for item_id, holder in self._removed
        )

    def _is_redundant(self, unit: UnitView, item_id: str, upstream_id: str) -> bool:
        if self._anchors.may_be_anchored(unit.model, upstream_id):
            return False
        anchor = self._view.anchors.get(unit.model)
        if anchor is None or not self._is_ready(item_id, anchor.upstream_id):
            return False
        others = self._holders(item_id) - {upstream_id}
        needed = unit.min_replicas if item_id == unit.base.item_id else 1
        return len(others) >= needed

    def _is_replaced(self, unit: UnitView, item_id: str) -> bool:
        """Return whether all items of the deployed version are ready at the anchor."""
        name = unversioned(item_id)
        if all(unversioned(item.item_id) != name for item in unit.items):
            return True
        anchor = self._view.anchors.get(unit.model)
        return anchor is not None and all(
            self._is_ready(item.item_id, anchor.upstream_id) for item in unit.items
        )

    def _is_redundant_old_version(self, unit: UnitView, item_id: str, upstream_id: str) -> bool:
        """Return whether the anchor engine, another one, still holds this old version.

        Without this rule replicas of old versions could keep the memory that the new
        versions need (tests/standalone/placement/test_rollout.py).
        """
        if self._anchors.may_be_anchored(unit.model, upstream_id):
            return False
        anchor = self._view.anchors.get(unit.model)
        return anchor is not None and self._is_ready(item_id, anchor.upstream_id)

    def _is_ready(self, item_id: str, upstream_id: str) -> bool:
        return upstream_id in self._holders(item_id)

    def _holders(self, item_id: str) -> set[str]:
        return {
            engine.upstream_id
            for engine in self._view.engines.values()
            if engine.open
            and item_id in engine.sure_ids
            and (item_id, engine.upstream_id) not in self._removed
        }
