"""Translates the outcomes of operations into the messages of the operator RPC.

Owns no state; the only place that fills in the replies to changes.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from absl import logging

from limeshelf.admin import admin_pb2 as pb
from limeshelf.standalone.admin.comparison import SampleSums, difference
from limeshelf.standalone.admin.operations import Operation, Rejected, Unchanged
from limeshelf.standalone.revisions.store import Applied, NotApplied, RaceLost, Undecided

if TYPE_CHECKING:
    from limeshelf.errors import Problem
    from limeshelf.standalone.admin.operations import OperationOutcome
    from limeshelf.standalone.config.delta import Change
    from limeshelf.standalone.revisions.store import RevisionRecord


def commit_reply(action: str, operation: Operation, outcome: OperationOutcome) -> Any:
    """Log what became of an operation, and return it as the RPC's reply."""
    logging.info(
        'operation=%s id=%s operator=%s outcome=%s',
        action,
        operation.operation_id,
        operation.operator,
        type(outcome).__name__,
    )
    match outcome:
        case Applied(revision):
            return pb.CommitReply(result=pb.APPLIED, revision=revision)
        case Unchanged(revision):
            return pb.CommitReply(result=pb.UNCHANGED, revision=revision)
        case RaceLost(revision, others):
            rows = [revision_message(record) for record in others]
            return pb.CommitReply(result=pb.CONFLICT, revision=revision, others=rows)
        case Rejected(problems):
            return pb.CommitReply(result=pb.INVALID, problems=problems_message(problems))
        case Undecided():
            return pb.CommitReply(result=pb.UNDECIDED)
        case NotApplied():
            return pb.CommitReply(result=pb.NOT_APPLIED)


def problems_message(problems: list[Problem]) -> list[Any]:
    """Return the faults of a document."""
    return [pb.Problem(path=problem.path, message=problem.message) for problem in problems]


def changes_message(changes: list[Change]) -> list[Any]:
    """Return changes; one without an entity removes it."""
    return [
        pb.Change(
            section=change.section,
            name=change.name,
            entity=b'' if change.entity is None else msgspec.json.encode(change.entity),
        )
        for change in changes
    ]


def revision_message(record: RevisionRecord) -> Any:
    """Return one revision with its changes."""
    return pb.Revision(
        revision=record.revision,
        operation_id=record.operation_id,
        operator=record.operator,
        committed_unix_s=record.committed_unix_s,
        note=record.note,
        changes=changes_message(record.changes),
    )


def figures_message(policy: str, priority_class: str, figures: SampleSums) -> Any:
    """Return the figures of one policy and class."""
    return pb.PolicyFigures(
        policy=policy,
        priority_class=priority_class,
        requests=figures.requests,
        refused=figures.refused,
        attainment_ratio=figures.attainment_ratio,
        first_token_s_mean=figures.mean_s,
    )


def difference_message(priority_class: str, a: SampleSums, b: SampleSums) -> Any:
    """Return how policy B differs from policy A in one class."""
    found = difference(a, b)
    return pb.PolicyDifference(
        priority_class=priority_class,
        attainment_ratio=found.attainment_ratio,
        attainment_ratio_half_width=found.attainment_half_width,
        first_token_s=found.first_token_s,
        first_token_s_half_width=found.first_token_half_width_s,
    )
