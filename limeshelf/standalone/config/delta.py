"""Differences between two configurations, one entity at a time.

The form of a change is that of the revision records; relies on the document's classes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.settings.structure import structure, unstructure
from limeshelf.standalone.config.document import (
    Binding,
    Deployment,
    Document,
    PlainRoute,
    Policy,
    Split,
)

if TYPE_CHECKING:
    from collections.abc import Mapping

#: The lists of a document whose members have a name, and their classes.
SECTION_TYPES: dict[str, type[Any]] = {
    'deployments': Deployment,
    'policies': Policy,
    'routes': PlainRoute,
    'splits': Split,
    'bindings': Binding,
}
DRAINED_SECTION = 'drained_upstreams'


@attrs.frozen
class Change:
    """One entity set or removed.

    :param section: name of the document's list.
    :param entity: the entity as plain JSON; ``None`` removes it.
    """

    section: str
    name: str
    entity: dict[str, Any] | None = None


def document_to_json(document: Document) -> dict[str, Any]:
    """Return *document* as plain JSON."""
    plain: dict[str, Any] = unstructure(document)
    return plain


def document_from_json(plain: Mapping[str, Any]) -> Document:
    """Return the checked document; raises :exc:`InvalidDocument`."""
    return structure(plain, Document)


def diff(old: Document, new: Document) -> list[Change]:
    """Return the changes that lead from *old* to *new*."""
    before = _entities(old)
    after = _entities(new)
    changes = [Change(*key) for key in before if key not in after]
    for key, entity in after.items():
        if key not in before or before[key] != entity:
            changes.append(Change(*key, entity=_plain(entity)))
    return changes


def apply_changes(document: Document, changes: list[Change]) -> Document:
    """Return *document* with *changes* made in their order.

    Only the changed entities are checked; the others are taken as they are,
    so that the cost of a change hardly depends on the document's size.

    :raises InvalidDocument: for an unknown section or a malformed entity.
    """
    entities = _entities(document)
    for change in changes:
        key = (change.section, change.name)
        if change.entity is None:
            entities.pop(key, None)
        else:
            entities[key] = _entity(change)
    return _document(entities)


def _entities(document: Document) -> dict[tuple[str, str], Any]:
    found: dict[tuple[str, str], Any] = {
        (section, entity.name): entity
        for section in SECTION_TYPES
        for entity in getattr(document, section)
    }
    for upstream_id in document.drained_upstreams:
        found[(DRAINED_SECTION, upstream_id)] = upstream_id
    return found


def _plain(entity: Any) -> dict[str, Any]:
    plain: dict[str, Any] = {} if isinstance(entity, str) else unstructure(entity)
    return plain


def _entity(change: Change) -> Any:
    if change.section == DRAINED_SECTION:
        return change.name
    kind = SECTION_TYPES.get(change.section)
    if kind is None:
        raise InvalidDocument([Problem(change.section, 'unknown section')])
    return structure(change.entity, kind)


def _document(entities: Mapping[tuple[str, str], Any]) -> Document:
    lists: dict[str, list[Any]] = {name: [] for name in (*SECTION_TYPES, DRAINED_SECTION)}
    for (section, _), entity in entities.items():
        lists[section].append(entity)
    return Document(**lists)
