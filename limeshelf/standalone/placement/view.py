"""Immutable inputs (views) and outputs (moves) of the placement rules."""

from __future__ import annotations

import enum
import functools

import attrs

from limeshelf.standalone.config.items import Item


@attrs.frozen
class UnitView:
    """A deployed model with its adapters, which are placed together.

    :param items: the base model first, then its adapters.
    :param load: mean number of requests in flight, over all replicas.
    :param used_adapter_ids: adapters requested recently.
    :param idle_s: time since the last request.
    """

    model: str
    items: tuple[Item, ...]
    min_replicas: int
    load: float
    used_adapter_ids: frozenset[str]
    idle_s: float

    @property
    def base(self) -> Item:
        """Return the base model's item."""
        return self.items[0]

    @property
    def total_bytes(self) -> int:
        """Return the bytes of one whole replica."""
        return sum(item.total_bytes for item in self.items)


@attrs.frozen
class EngineView:
    """One engine as a placement round sees it.

    :param own: whether the engine is in the data centre of the planning placer.
    :param open: whether new requests and loads may be sent to it.
    :param free_bytes: certainly free bytes; 0 for engines that are not own.
    :param possible_ids: items that may be in its memory.
    :param sure_ids: items that are ready and that no open order unloads.
    :param load: number of running requests.
    :param held_bytes: reported memory of each item; empty for engines that are not own.
    """

    upstream_id: str
    data_centre: str
    own: bool
    open: bool
    capacity_bytes: int
    free_bytes: int
    possible_ids: frozenset[str]
    sure_ids: frozenset[str]
    load: float
    held_bytes: dict[str, int] = attrs.field(factory=dict)


@attrs.frozen
class AnchorView:
    """Location of a unit's anchor.

    :param lost: its engine has not been seen open for ``ENGINE_LOST_AFTER_S``.
    """

    upstream_id: str
    data_centre: str
    handoff: bool
    lost: bool


@attrs.frozen
class PlacementView:
    """All inputs of one placement round.

    :param now_s: time of the round on a monotonic clock.
    :param ranks: by model, the position of the own data centre in the order in which data
        centres may place a model without an anchor; 0 is first.
    """

    now_s: float
    data_centre: str
    units: dict[str, UnitView]
    engines: dict[str, EngineView]
    anchors: dict[str, AnchorView]
    ranks: dict[str, int]

    @functools.cached_property
    def own_engines(self) -> list[EngineView]:
        """Return the open engines of the own data centre."""
        return [engine for engine in self.engines.values() if engine.own and engine.open]

    @functools.cached_property
    def _holders(self) -> dict[str, list[EngineView]]:
        """Return, by item, the open engines on which it is certainly ready."""
        holders: dict[str, list[EngineView]] = {}
        for engine in self.engines.values():
            if engine.open:
                for item_id in engine.sure_ids:
                    holders.setdefault(item_id, []).append(engine)
        return holders

    @functools.cached_property
    def _possible_own(self) -> dict[str, list[EngineView]]:
        """Return, by item, the own open engines that may hold it in memory."""
        holders: dict[str, list[EngineView]] = {}
        for engine in self.own_engines:
            for item_id in engine.possible_ids:
                holders.setdefault(item_id, []).append(engine)
        return holders

    def replicas(self, item_id: str) -> list[EngineView]:
        """Return the open engines on which the item is certainly ready."""
        return self._holders.get(item_id, [])

    def possible_own(self, item_id: str) -> list[EngineView]:
        """Return the own open engines that may hold the item."""
        return self._possible_own.get(item_id, [])


class MoveKind(enum.StrEnum):
    """Kind of a move."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ANCHOR = 'anchor'
    HANDOFF = 'handoff'


@attrs.frozen
class Move:
    """One step proposed by the planner or a policy; the placer checks it before execution.

    :param reason: short code for the decision log.
    """

    kind: MoveKind
    model: str
    upstream_id: str
    item: Item
    reason: str
