"""Differences between two configurations, one entity at a time."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.config.document import Document
from limeshelf.settings.structure import structure, unstructure

if TYPE_CHECKING:
    from collections.abc import Mapping

#: The lists of a document whose members have a name.
NAMED_SECTIONS = ('deployments', 'policies', 'routes', 'splits', 'bindings')
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
    changes += [Change(*key, entity) for key, entity in after.items() if before.get(key) != entity]
    return changes


def apply_changes(document: Document, changes: list[Change]) -> Document:
    """Return *document* with *changes* made in their order."""
    entities = _entities(document)
    for change in changes:
        key = (change.section, change.name)
        if change.entity is None:
            entities.pop(key, None)
        else:
            entities[key] = change.entity
    return _document(entities)


def _entities(document: Document) -> dict[tuple[str, str], dict[str, Any]]:
    plain = document_to_json(document)
    found = {
        (section, entity['name']): entity
        for section in NAMED_SECTIONS
        for entity in plain[section]
    }
    for upstream_id in plain[DRAINED_SECTION]:
        found[(DRAINED_SECTION, upstream_id)] = {}
    return found


def _document(entities: Mapping[tuple[str, str], dict[str, Any]]) -> Document:
    plain: dict[str, list[Any]] = {name: [] for name in (*NAMED_SECTIONS, DRAINED_SECTION)}
    for (section, name), entity in entities.items():
        plain[section].append(name if section == DRAINED_SECTION else entity)
    return document_from_json(plain)
