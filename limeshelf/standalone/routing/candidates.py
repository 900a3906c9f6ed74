"""Which replicas may serve a request: those of the best kind that there is.

Owns the order of the kinds. Relies on the upstream directory for what each replica
holds and whether it takes work, and on the loads for the estimates.
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.standalone.config.items import unversioned

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import PriorityClass
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.routing.loads import UpstreamLoads


class CandidateKind(enum.IntEnum):
    """How well a replica suits a request; only the lowest kind found serves it.

    Silent replicas were not heard of lately or are said to be out of reach: they may
    still serve when the peers are cut off.
    """

    CURRENT_NEAR = 0
    CURRENT_FAR = 1
    OLDER_NEAR = 2
    OLDER_FAR = 3
    CURRENT_SILENT = 4
    OLDER_SILENT = 5


@attrs.frozen
class Candidate:
    """One replica that may serve a request.

    :param item_id: what to ask it for; an older version while the new one loads.
    :param running: estimated requests in work there.
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
    loads: UpstreamLoads,
    drained: frozenset[str],
    tried: frozenset[str] = frozenset(),
) -> list[Candidate]:
    """Return the engines of the best kind that hold the item in some version.

    :param drained: ids of upstreams that the operator has taken out of service.
    :param tried: ids of upstreams that failed the request before.
    """
    kinds: dict[CandidateKind, list[Candidate]] = {}
    for upstream in upstreams.holders(item_id):
        if not upstreams.takes_work(upstream, drained) or upstream.upstream_id in tried:
            continue
        held = _held_item(item_id, upstream)
        if held is None:
            continue
        running = loads.running(upstream)
        estimate_s = loads.first_token_s(upstream, priority_class, running)
        kind = _kind(upstream, held == item_id, upstreams)
        kinds.setdefault(kind, []).append(Candidate(upstream, held, running, estimate_s))
    return _best(kinds)


def plain_candidates(
    service: str,
    upstreams: UpstreamDirectory,
    loads: UpstreamLoads,
    drained: frozenset[str],
    tried: frozenset[str] = frozenset(),
) -> list[Candidate]:
    """Return the replicas of the best kind of a plain service.

    Parameters as of :func:`engine_candidates`. There are no versions to hold, and no
    first token to estimate.
    """
    kinds: dict[CandidateKind, list[Candidate]] = {}
    for upstream in upstreams.plain(service):
        if not upstreams.takes_work(upstream, drained) or upstream.upstream_id in tried:
            continue
        running = loads.running(upstream)
        kind = _kind(upstream, True, upstreams)
        kinds.setdefault(kind, []).append(Candidate(upstream, '', running, 0.0))
    return _best(kinds)


def _best(kinds: dict[CandidateKind, list[Candidate]]) -> list[Candidate]:
    return kinds[min(kinds)] if kinds else []


def _held_item(item_id: str, upstream: Upstream) -> str | None:
    """Return the version of the item that the upstream holds, the current one first."""
    if item_id in upstream.ready_items:
        return item_id
    name = unversioned(item_id)
    return next((held for held in upstream.ready_items if unversioned(held) == name), None)


def _kind(upstream: Upstream, is_current: bool, upstreams: UpstreamDirectory) -> CandidateKind:
    if not upstreams.is_fresh(upstream):
        return CandidateKind.CURRENT_SILENT if is_current else CandidateKind.OLDER_SILENT
    near = upstream.listed.data_centre == upstreams.data_centre
    if is_current:
        return CandidateKind.CURRENT_NEAR if near else CandidateKind.CURRENT_FAR
    return CandidateKind.OLDER_NEAR if near else CandidateKind.OLDER_FAR
