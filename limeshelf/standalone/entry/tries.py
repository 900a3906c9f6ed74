"""The tries of one plain call: which replica next, and when to give up."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import (
    ExchangeBroken,
    MayHaveRun,
    NotRun,
    RefusalReason,
    RequestInDoubt,
    RequestNotRun,
    UpstreamRefused,
)
from limeshelf.standalone.routing.candidates import Candidate, plain_candidates
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.errors import UpstreamUnreachable
    from limeshelf.standalone.config.catalog import Catalog
    from limeshelf.standalone.config.document import Route
    from limeshelf.standalone.entry.context import EntryContext
    from limeshelf.standalone.upstreams.plain import PlainCall

#: Tries of one call, the first one included.
MAX_TRIES = 3
#: An upstream that could not be reached gets no new work for this long.
AVOID_S = 1.0
#: What a caller is told when no replica is ready.
NOT_READY_RETRY_S = 2.0


@attrs.frozen
class PreparedCall:
    """A plain call ready to be sent.

    :param repeatable: whether it may be sent again after bytes have left.
    """

    request_id: str
    catalog: Catalog
    route: Route
    call: PlainCall
    repeatable: bool
    caller: str
    started_s: float


class PlainTries:
    """Chooses replicas for one call until it is given up."""

    def __init__(self, context: EntryContext, prepared: PreparedCall) -> None:
        self._context = context
        self._prepared = prepared
        self._tried: set[str] = set()
        context.budget(prepared.route.name).note_first_try()

    def choose(self) -> Candidate:
        """Return a replica not tried yet, or raise the final outcome."""
        context, prepared = self._context, self._prepared
        candidates = plain_candidates(
            prepared.route.service,
            context.upstreams,
            context.loads,
            prepared.catalog.drained,
            frozenset(self._tried),
        )
        if not candidates:
            raise RequestNotRun(NotRun(RefusalReason.NO_READY_REPLICA, NOT_READY_RETRY_S))
        # Plain calls have no first token; the fewest in work is the estimate.
        chosen = min(candidates, key=lambda c: c.running)
        context.decisions.add(
            prepared.request_id,
            'route',
            route=prepared.route.name,
            caller=prepared.caller,
            upstream=chosen.upstream_id,
            running=chosen.running,
            candidates=len(candidates),
            attempt=len(self._tried) + 1,
            revision=prepared.catalog.revision,
        )
        return chosen

    def note_failure(
        self,
        candidate: Candidate,
        error: UpstreamRefused | UpstreamUnreachable | ExchangeBroken,
    ) -> None:
        """Return if another replica may be tried, else raise the final outcome."""
        self._tried.add(candidate.upstream_id)
        reason = self._shun(candidate, error)
        if self._may_go_on():
            self._context.metrics.count('entry.retries')
            return
        if isinstance(error, ExchangeBroken):
            raise RequestInDoubt(MayHaveRun(error.reason))
        raise RequestNotRun(NotRun(reason, NOT_READY_RETRY_S))

    def _shun(self, candidate: Candidate, error: Exception) -> RefusalReason:
        upstreams = self._context.upstreams
        if not isinstance(error, UpstreamRefused):
            upstreams.avoid(candidate.upstream_id, AVOID_S)
            return RefusalReason.UPSTREAM_UNREACHABLE
        if error.leaving:
            upstreams.mark_leaving(candidate.upstream_id, '')
        return RefusalReason.UPSTREAM_REFUSED

    def _may_go_on(self) -> bool:
        prepared = self._prepared
        late = boottime_s() - prepared.started_s >= prepared.call.timeout_s
        budget = self._context.budget(prepared.route.name)
        return len(self._tried) < MAX_TRIES and not late and budget.try_retry()
