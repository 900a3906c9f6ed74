"""The replicas that may serve a request, best kind first."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.items import unversioned

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import PriorityClass
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.routing.loads import LoadBook


@attrs.frozen
class Candidate:
    """One replica that may serve a request.

    :param item_id: what to ask it for; an older version while the new one loads.
    :param estimate_s: estimated time to the first token.
    """

    upstream: Upstream
    item_id: str
    running: float
    estimate_s: float

    @property
    def upstream_id(self) -> str:
        """Return the id of the upstream."""
        return self.upstream.upstream_id


def engine_candidates(
    item_id: str,
    priority_class: PriorityClass,
    upstreams: UpstreamDirectory,
    loads: LoadBook,
    drained: frozenset[str],
    tried: frozenset[str] = frozenset(),
) -> list[Candidate]:
    """Return the candidates of the best kind there is.

    In order: the deployed version in the own data centre; elsewhere; an older
    version; and last replicas not heard of lately, which may still serve when
    the peers are cut off.
    """
    willing = [
        u
        for u in upstreams.holders(item_id)
        if upstreams.takes_work(u, drained) and u.upstream_id not in tried
    ]
    kinds: dict[int, list[Candidate]] = {}
    for upstream in willing:
        held = _held_item(item_id, upstream)
        if held is None:
            continue
        kind = _kind(upstream, held == item_id, upstreams)
        running = loads.running(upstream)
        estimate_s = loads.first_token_s(upstream, priority_class, running)
        kinds.setdefault(kind, []).append(Candidate(upstream, held, running, estimate_s))
    return kinds[min(kinds)] if kinds else []


def _held_item(item_id: str, upstream: Upstream) -> str | None:
    if item_id in upstream.ready_items:
        return item_id
    name = unversioned(item_id)
    return next((held for held in upstream.ready_items if unversioned(held) == name), None)


def _kind(upstream: Upstream, is_current: bool, upstreams: UpstreamDirectory) -> int:
    if not upstreams.is_fresh(upstream):
        return 4 if is_current else 5
    near = upstream.listed.data_centre == upstreams.data_centre
    if is_current:
        return 0 if near else 1
    return 2 if near else 3


def plain_candidates(
    service: str,
    upstreams: UpstreamDirectory,
    loads: LoadBook,
    drained: frozenset[str],
    tried: frozenset[str] = frozenset(),
) -> list[Candidate]:
    """Return the replicas of a plain service, near and lately heard ones first."""
    kinds: dict[int, list[Candidate]] = {}
    for upstream in upstreams.plain(service):
        if not upstreams.takes_work(upstream, drained) or upstream.upstream_id in tried:
            continue
        running = loads.running(upstream)
        kind = _kind(upstream, True, upstreams)
        kinds.setdefault(kind, []).append(Candidate(upstream, '', running, 0.0))
    return kinds[min(kinds)] if kinds else []
