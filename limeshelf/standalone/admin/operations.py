"""What operators do: check a change, commit it, put it in force.

Owns no state. Relies on the configuration in force, on the revision store, which decides
races, and on the weight store for the sizes of new models.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import attrs
import msgspec
from absl import logging

from limeshelf.errors import (
    InvalidDocument,
    PlatformUnavailable,
    PlatformUnknown,
    Problem,
    StaleRevision,
)
from limeshelf.standalone.admission.policies import admission_policies
from limeshelf.standalone.admission.priorities import priority_policies
from limeshelf.standalone.config.check import check_document
from limeshelf.standalone.config.delta import Change, diff, document_from_json
from limeshelf.standalone.config.document import Binding, Document, PolicyKind, Split
from limeshelf.standalone.config.items import model_item_id
from limeshelf.standalone.placement.policies import placement_policies
from limeshelf.standalone.revisions.store import (
    SNAPSHOT_EVERY,
    Applied,
    CommitOutcome,
    RevisionStore,
)
from limeshelf.standalone.routing.policies import routing_policies

if TYPE_CHECKING:
    from collections.abc import Mapping
    from typing import Any

    from limeshelf.registry import Registry
    from limeshelf.standalone.config.holder import ConfigHolder
    from limeshelf.standalone.membership.upstreams import UpstreamDirectory
    from limeshelf.standalone.revisions.sync import RevisionSync
    from limeshelf.standalone.services.weights import WeightStoreClient

#: Deployments of one change whose size is asked of the weight store.
CHECKED_DEPLOYMENTS = 20
#: The registry of each kind of policy.
REGISTRIES: Mapping[PolicyKind, Registry[Any]] = {
    PolicyKind.PLACEMENT: placement_policies,
    PolicyKind.ADMISSION: admission_policies,
    PolicyKind.PRIORITY: priority_policies,
    PolicyKind.ROUTING: routing_policies,
}


@attrs.frozen
class Operation:
    """Who makes a change, and on which revision.

    :param based_on: a negative number takes the revision in force.
    """

    operation_id: str
    operator: str
    note: str
    based_on: int


@attrs.frozen
class PolicySplit:
    """Two policies between which the traffic is divided.

    :param share_b_ratio: part of the traffic that policy B decides, 0 to 1.
    """

    policy_a: str
    policy_b: str
    share_b_ratio: float


@dataclass(frozen=True)
class Rejected:
    """The document has faults; nothing was sent to the platform."""

    problems: list[Problem] = field(default_factory=list)


@dataclass(frozen=True)
class Unchanged:
    """The document says what is in force already."""

    revision: int


OperationOutcome = CommitOutcome | Rejected | Unchanged


class Operations:
    """Makes operators' changes to the configuration."""

    def __init__(
        self,
        config: ConfigHolder,
        store: RevisionStore,
        sync: RevisionSync,
        upstreams: UpstreamDirectory,
        weights: WeightStoreClient,
    ) -> None:
        self._config = config
        self._store = store
        self._sync = sync
        self._upstreams = upstreams
        self._weights = weights

    def check(self, document: Document) -> list[Problem]:
        """Return the faults of *document* on the engines that are listed now."""
        engines = self._upstreams.engines()
        capacity_bytes = sum(engine.listed.capacity_bytes for engine in engines)
        return check_document(document, REGISTRIES, capacity_bytes if engines else None)

    async def apply(self, operation: Operation, plain: bytes) -> OperationOutcome:
        """Put the document in *plain* in force."""
        try:
            document = parse_document(plain)
        except InvalidDocument as error:
            return Rejected(error.problems)
        return await self._commit(operation, document)

    async def swap_policy(
        self, operation: Operation, kind: str, policy: str, deployment: str
    ) -> OperationOutcome:
        """Bind *policy* for one deployment, or for all that name none."""
        try:
            policy_kind = PolicyKind(kind)
        except ValueError:
            return Rejected([Problem('kind', f'unknown: {kind!r}')])
        now = self._config.catalog.document
        if not deployment:
            others = [b for b in now.bindings if b.name is not policy_kind]
            bindings = [*others, Binding(policy_kind, policy)]
            return await self._commit(operation, attrs.evolve(now, bindings=bindings))
        if all(d.name != deployment for d in now.deployments):
            return Rejected([Problem('deployment', f'unknown: {deployment!r}')])
        changed = [
            attrs.evolve(d, policies={**d.policies, policy_kind: policy})
            if d.name == deployment
            else d
            for d in now.deployments
        ]
        return await self._commit(operation, attrs.evolve(now, deployments=changed))

    async def split_traffic(
        self, operation: Operation, kind: str, split: PolicySplit | None
    ) -> OperationOutcome:
        """Divide the traffic between two policies; ``None`` ends it."""
        try:
            policy_kind = PolicyKind(kind)
        except ValueError:
            return Rejected([Problem('kind', f'unknown: {kind!r}')])
        now = self._config.catalog.document
        splits = [s for s in now.splits if s.kind is not policy_kind]
        if split is not None:
            splits.append(
                Split(
                    f'{kind}-split',
                    policy_kind,
                    split.policy_a,
                    split.policy_b,
                    split.share_b_ratio,
                )
            )
        return await self._commit(operation, attrs.evolve(now, splits=splits))

    async def drain_upstream(
        self, operation: Operation, upstream_id: str, remove: bool
    ) -> OperationOutcome:
        """Keep new work and replicas off an upstream, or end that."""
        now = self._config.catalog.document
        drained = [known for known in now.drained_upstreams if known != upstream_id]
        if not remove:
            if self._upstreams.get(upstream_id) is None:
                return Rejected([Problem('upstream', f'unknown: {upstream_id!r}')])
            drained.append(upstream_id)
        document = attrs.evolve(now, drained_upstreams=drained)
        return await self._commit(operation, document)

    async def _commit(self, operation: Operation, document: Document) -> OperationOutcome:
        before = self._config.catalog
        changes = diff(before.document, document)
        if not changes:
            return Unchanged(before.revision)
        problems = self.check(document) + await self._check_weights(before.document, document)
        if problems:
            return Rejected(problems)
        based_on = operation.based_on if operation.based_on >= 0 else before.revision
        outcome = await self._store.commit(
            changes, based_on, operation.operation_id, operation.operator, operation.note
        )
        if isinstance(outcome, Applied):
            await self._put_in_force(outcome.revision, based_on, changes)
        return outcome

    async def _check_weights(self, old: Document, new: Document) -> list[Problem]:
        """Return the models whose size is not what the weight store says.

        Only new and changed deployments are asked about, and not many. A store
        that is down, or that gets the weights later, holds no change up.
        """
        known = {deployment.name: deployment for deployment in old.deployments}
        changed = [d for d in new.deployments if known.get(d.name) != d]
        problems = []
        for deployment in changed[:CHECKED_DEPLOYMENTS]:
            item_id = model_item_id(deployment.name, deployment.version)
            try:
                manifest = await self._weights.manifest(item_id)
            except (PlatformUnavailable, PlatformUnknown) as error:
                # The check is a service to the operator, so its failure stops no change.
                logging.warning('weights=not_checked item=%s error=%r', item_id, error)
                break
            if manifest is not None and manifest.weights_bytes != deployment.weights_bytes:
                place = f'deployments.{deployment.name}.weights_bytes'
                message = f'the weight store has {manifest.weights_bytes} bytes'
                problems.append(Problem(place, message))
        return problems

    async def _put_in_force(self, revision: int, based_on: int, changes: list[Change]) -> None:
        try:
            self._config.take_changes(based_on, revision, changes)
        except StaleRevision:
            # This process lags; the reader of the platform brings the rest.
            logging.info('config=behind revision=%d based_on=%d', revision, based_on)
            return
        self._sync.push(based_on)
        if revision % SNAPSHOT_EVERY == 0:
            await self._store.store_snapshot(revision, self._config.catalog.document)


def parse_document(plain: bytes) -> Document:
    """Return the document in JSON text; raises :exc:`InvalidDocument`."""
    try:
        parsed = msgspec.json.decode(plain)
    except msgspec.DecodeError as error:
        raise InvalidDocument([Problem('.', f'is not JSON: {error}')]) from None
    return document_from_json(parsed)
