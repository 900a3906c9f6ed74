"""What a placement decision sees, and what it may ask for.

Immutable inputs and outcomes of the rules; relies on nothing.
"""

from __future__ import annotations

import enum
import functools

import attrs

from limeshelf.standalone.config.items import Item


@attrs.frozen
class UnitView:
    """A deployed model with its adapters: what is placed together.

    :param items: the base model first, then its adapters.
    :param load: mean number of requests in flight, over all replicas.
    :param used_adapter_ids: adapters asked for lately.
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
    """One engine.

    :param own: whether the deciding placer orders this engine.
    :param open: whether new work and loads may go to it.
    :param free_bytes: surely free; known for own engines only.
    :param possible_ids: items that may be in its memory.
    :param sure_ids: items that are ready and stay so without a new order.
    :param load: mean number of requests in work.
    :param held_bytes: memory of each item, as reported; known for own engines.
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
    """Where a unit's anchor is.

    :param lost: its engine has been out of sight for long.
    """

    upstream_id: str
    data_centre: str
    handoff: bool
    lost: bool


@attrs.frozen
class PlacementView:
    """Everything that the rules of one placement round read.

    :param now_s: time of the round, on any clock that only advances.
    :param ranks: by model, the place of the own data centre in the order in
        which data centres may take an unplaced model; 0 goes first.
    """

    now_s: float
    data_centre: str
    units: dict[str, UnitView]
    engines: dict[str, EngineView]
    anchors: dict[str, AnchorView]
    ranks: dict[str, int]

    @functools.cached_property
    def own_engines(self) -> list[EngineView]:
        """Return the engines that this placer orders and that are open."""
        return [engine for engine in self.engines.values() if engine.own and engine.open]

    @functools.cached_property
    def _holders(self) -> dict[str, list[EngineView]]:
        """Return the open engines by item that is surely ready there."""
        holders: dict[str, list[EngineView]] = {}
        for engine in self.engines.values():
            if engine.open:
                for item_id in engine.sure_ids:
                    holders.setdefault(item_id, []).append(engine)
        return holders

    @functools.cached_property
    def _possible_own(self) -> dict[str, list[EngineView]]:
        """Return the own open engines by item that may be in their memory."""
        holders: dict[str, list[EngineView]] = {}
        for engine in self.own_engines:
            for item_id in engine.possible_ids:
                holders.setdefault(item_id, []).append(engine)
        return holders

    def replicas(self, item_id: str) -> list[EngineView]:
        """Return the open engines on which the item is surely ready."""
        return self._holders.get(item_id, [])

    def possible_own(self, item_id: str) -> list[EngineView]:
        """Return the own open engines that may hold the item."""
        return self._possible_own.get(item_id, [])


class MoveKind(enum.StrEnum):
    """What a move asks for."""

    LOAD = 'load'
    UNLOAD = 'unload'
    ANCHOR = 'anchor'
    HANDOFF = 'handoff'


@attrs.frozen
class Move:
    """One request of the planner or a policy; the placer checks it before it acts.

    :param reason: short code for the decision line.
    """

    kind: MoveKind
    model: str
    upstream_id: str
    item: Item
    reason: str
