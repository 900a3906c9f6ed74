"""Names of what an engine holds: a model version, or an adapter of one.

The forms of item ids are those on the wire and in the table, and stay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Deployment

VERSION_MARK = '@'
ADAPTER_MARK = '+'


@attrs.frozen
class Item:
    """One loadable thing and the memory it takes.

    :param item_id: ``model@version`` or ``model@version+adapter``.
    :param base_id: the item that must be loaded first; empty for a model.
    :param total_bytes: weights and KV reserve.
    """

    item_id: str
    base_id: str
    total_bytes: int
    min_replicas: int


def model_item_id(model: str, version: str) -> str:
    """Return the item id of a model version."""
    return f'{model}{VERSION_MARK}{version}'


def adapter_item_id(model: str, version: str, adapter: str) -> str:
    """Return the item id of an adapter of a model version."""
    return f'{model_item_id(model, version)}{ADAPTER_MARK}{adapter}'


def model_of(item_id: str) -> str:
    """Return the model name inside *item_id*."""
    return item_id.split(VERSION_MARK, 1)[0]


def unversioned(item_id: str) -> str:
    """Return the item's name without its version: equal for old and new versions."""
    model, _, rest = item_id.partition(VERSION_MARK)
    _, mark, adapter = rest.partition(ADAPTER_MARK)
    return f'{model}{mark}{adapter}'


def items_of(deployment: Deployment) -> list[Item]:
    """Return the items of *deployment*, the base model first."""
    base_id = model_item_id(deployment.name, deployment.version)
    model_bytes = deployment.weights_bytes + deployment.kv_reserve_bytes
    items = [Item(base_id, '', model_bytes, deployment.min_replicas)]
    for adapter in deployment.adapters:
        item_id = adapter_item_id(deployment.name, deployment.version, adapter.name)
        items.append(Item(item_id, base_id, adapter.weights_bytes, deployment.min_replicas))
    return items
