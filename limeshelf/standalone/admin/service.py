"""The operator RPC service: takes operators' calls and answers them.

Owns what the other data centres last sent of their revisions. Relies on the operations,
on the questions to the peers and on the directories; :mod:`limeshelf.standalone.admin.replies`
makes the messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import attrs
import grpc
import msgspec

from limeshelf.admin import admin_pb2 as pb
from limeshelf.admin import admin_pb2_grpc
from limeshelf.errors import InvalidDocument, PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.admin.comparison import gather
from limeshelf.standalone.admin.operations import Operation, PolicySplit, parse_document
from limeshelf.standalone.admin.replies import (
    changes_message,
    commit_reply,
    difference_message,
    figures_message,
    problems_message,
    revision_message,
)
from limeshelf.standalone.config.delta import diff, document_to_json
from limeshelf.standalone.membership.reach import centre_revisions
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from limeshelf.peers.codec import Envelope
    from limeshelf.standalone.admin.operations import Operations
    from limeshelf.standalone.admin.queries import PeerQueries
    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.membership.processes import ProcessDirectory
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.messages import Reach
    from limeshelf.standalone.revisions.store import RevisionStore

#: Revisions listed when a call names no number, and at most.
DEFAULT_HISTORY = 20
MAX_HISTORY = 500
#: A data centre unheard of for this long is shown as such: three messages of
#: membership/reach.py at rest.
CENTRE_SILENT_S = 15.0


@attrs.frozen
class _CentreRevisions:
    """Which process of a data centre has which revision, as last heard."""

    heard_s: float
    revisions: dict[str, int]


class AdminService(admin_pb2_grpc.AdminServicer):  # type: ignore[misc]
    """Answers operators' calls."""

    def __init__(
        self,
        operations: Operations,
        queries: PeerQueries,
        config: ConfigHolder,
        store: RevisionStore,
        processes: ProcessDirectory,
        upstreams: UpstreamDirectory,
    ) -> None:
        self._operations = operations
        self._queries = queries
        self._config = config
        self._store = store
        self._processes = processes
        self._upstreams = upstreams
        self._reach: dict[str, _CentreRevisions] = {}

    def take_reach(self, envelope: Envelope) -> None:
        """Take in the revisions of another data centre."""
        reach: Reach = envelope.message
        self._reach[reach.data_centre] = _CentreRevisions(boottime_s(), reach.revisions)

    async def Apply(self, request: Any, context: Any) -> Any:
        """Put a whole configuration in force."""
        operation = _operation(request.operation)
        outcome = await self._operations.apply(operation, request.document)
        return commit_reply('apply', operation, outcome)

    async def Diff(self, request: Any, context: Any) -> Any:
        """Show what an apply would change."""
        catalog = self._config.catalog
        try:
            document = parse_document(request.document)
        except InvalidDocument as error:
            return pb.DiffReply(
                based_on=catalog.revision, problems=problems_message(error.problems)
            )
        return pb.DiffReply(
            based_on=catalog.revision,
            changes=changes_message(diff(catalog.document, document)),
            problems=problems_message(self._operations.check(document)),
        )

    async def GetConfiguration(self, request: Any, context: Any) -> Any:
        """Return the configuration in force."""
        catalog = self._config.catalog
        plain = msgspec.json.encode(document_to_json(catalog.document))
        return pb.ConfigurationReply(revision=catalog.revision, document=plain)

    async def Status(self, request: Any, context: Any) -> Any:
        """Show who has which revision, and what the upstreams hold."""
        return pb.StatusReply(
            revision=self._config.revision,
            processes=self._process_rows(),
            upstreams=[
                self._upstream_row(u)
                for u in sorted(self._upstreams.all(), key=lambda u: u.upstream_id)
            ],
        )

    def _process_rows(self) -> list[Any]:
        own = _CentreRevisions(boottime_s(), centre_revisions(self._processes))
        known = {**self._reach, self._processes.own.data_centre: own}
        all_revisions = [r for centre in known.values() for r in centre.revisions.values()]
        highest = max([self._config.revision, *all_revisions])
        rows = []
        for data_centre, centre in sorted(known.items()):
            heard = boottime_s() - centre.heard_s < CENTRE_SILENT_S
            for process, revision in sorted(centre.revisions.items()):
                row = pb.ProcessStatus(
                    process=process,
                    data_centre=data_centre,
                    revision=revision,
                    reached=revision == highest,
                    heard=heard,
                )
                rows.append(row)
        return rows

    def _upstream_row(self, upstream: Upstream) -> Any:
        state = 'leaving' if upstream.leaving else 'live'
        if upstream.upstream_id in self._config.catalog.drained:
            state = 'drained'
        if not self._upstreams.is_fresh(upstream):
            state += ', silent'
        return pb.UpstreamStatus(
            upstream=upstream.upstream_id,
            data_centre=upstream.listed.data_centre,
            kind=upstream.listed.kind.value,
            state=state,
            running=upstream.running,
            ready_items=sorted(upstream.ready_items),
        )

    async def History(self, request: Any, context: Any) -> Any:
        """List the latest revisions, newest first."""
        limit = min(request.limit or DEFAULT_HISTORY, MAX_HISTORY)
        newest = self._config.revision
        try:
            records = await self._store.records_after(max(0, newest - limit), newest)
        except (PlatformUnavailable, PlatformUnknown):
            await context.abort(grpc.StatusCode.UNAVAILABLE, 'the table service is down')
        return pb.HistoryReply(revisions=[revision_message(r) for r in reversed(records)])

    async def SwapPolicy(self, request: Any, context: Any) -> Any:
        """Bind another policy."""
        operation = _operation(request.operation)
        outcome = await self._operations.swap_policy(
            operation, request.kind, request.policy, request.deployment
        )
        return commit_reply('swap-policy', operation, outcome)

    async def SplitTraffic(self, request: Any, context: Any) -> Any:
        """Divide traffic between two policies, or end that."""
        operation = _operation(request.operation)
        split = None
        if not request.remove:
            split = PolicySplit(request.policy_a, request.policy_b, request.share_b_ratio)
        outcome = await self._operations.split_traffic(operation, request.kind, split)
        return commit_reply('split-traffic', operation, outcome)

    async def DrainUpstream(self, request: Any, context: Any) -> Any:
        """Keep new work off an upstream, or end that."""
        operation = _operation(request.operation)
        outcome = await self._operations.drain_upstream(
            operation, request.upstream, request.remove
        )
        return commit_reply('drain-upstream', operation, outcome)

    async def ComparePolicies(self, request: Any, context: Any) -> Any:
        """Set two policies side by side."""
        replies = await self._queries.samples()
        samples = [sample for reply in replies for sample in reply.samples]
        by_policy = {
            name: gather(samples, request.kind, name)
            for name in (request.policy_a, request.policy_b)
        }
        a, b = by_policy[request.policy_a], by_policy[request.policy_b]
        return pb.ComparePoliciesReply(
            figures=[
                figures_message(name, priority_class, figures)
                for name, rows in by_policy.items()
                for priority_class, figures in sorted(rows.items())
            ],
            differences=[
                difference_message(key, a[key], b[key]) for key in sorted(a.keys() & b.keys())
            ],
            answered=len(replies),
            listed=len(self._processes.listed_ids()),
        )

    async def Explain(self, request: Any, context: Any) -> Any:
        """Show the decisions about a request or a model."""
        return pb.ExplainReply(lines=await self._queries.explain(request.subject))


def _operation(message: Any) -> Operation:
    return Operation(message.operation_id, message.operator, message.note, int(message.based_on))
