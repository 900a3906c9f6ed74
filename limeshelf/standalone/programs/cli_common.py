"""What the commands of ``limeshelf`` share: options, calls, outcomes, exit codes.

Owns the exit codes; relies on the client of the operator RPC.
"""

from __future__ import annotations

import getpass
import sys
import time
from typing import Annotated, Any

import attrs
import grpc
import typer

from limeshelf.admin import admin_pb2 as pb
from limeshelf.standalone.admin.client import Connection
from limeshelf.standalone.programs.tables import print_json, print_line, print_table
from limeshelf.util.identifiers import new_id

#: Exit codes besides 0, and 2 for wrong use (docs/operators/configuration.rst).
EXIT_UNREACHABLE = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNDECIDED = 5
EXIT_NOT_APPLIED = 6
EXIT_NOT_FOUND = 7
#: Changes that one line of the history names; the others are counted.
SHOWN_CHANGES = 4

#: Exit code by result of a change.
EXIT_BY_RESULT = {
    pb.APPLIED: 0,
    pb.UNCHANGED: 0,
    pb.INVALID: EXIT_INVALID,
    pb.CONFLICT: EXIT_CONFLICT,
    pb.UNDECIDED: EXIT_UNDECIDED,
    pb.NOT_APPLIED: EXIT_NOT_APPLIED,
}


@attrs.frozen
class CliState:
    """Options that all commands share."""

    connection: Connection
    as_json: bool


BaseOption = Annotated[
    int, typer.Option(help='Revision the change was made on; the one in force if left out.')
]
OperationOption = Annotated[
    str, typer.Option(help='Operation id; give the same one to ask again after a lost answer.')
]
NoteOption = Annotated[str, typer.Option(help='Why, for the history.')]


def call(context: typer.Context, method: str, request: Any) -> Any:
    """Call the admin program; print its failure and exit if there is one."""
    state: CliState = context.obj
    try:
        return state.connection.call(method, request)
    except grpc.RpcError as error:
        code = error.code() if isinstance(error, grpc.Call) else None
        details = error.details() if isinstance(error, grpc.Call) else str(error)
        name = code.name.lower() if code is not None else 'failed'
        sys.stderr.write(f'{state.connection.address}: {name}: {details}\n')
        raise typer.Exit(EXIT_UNREACHABLE) from None


def make_operation(base: int, operation_id: str, note: str) -> Any:
    """Return what every change carries."""
    return pb.Operation(
        operation_id=operation_id or new_id('op'),
        operator=getpass.getuser(),
        note=note,
        based_on=base,
    )


def finish(context: typer.Context, reply: Any, operation: Any) -> None:
    """Print the outcome of a change and exit with its code."""
    if context.obj.as_json:
        print_json(reply)
    else:
        _print_commit(reply, operation)
    raise typer.Exit(EXIT_BY_RESULT[reply.result])


def _print_commit(reply: Any, operation: Any) -> None:
    if reply.result == pb.APPLIED:
        print_line(f'applied as revision {reply.revision}')
    elif reply.result == pb.UNCHANGED:
        print_line(f'nothing differs from revision {reply.revision}')
    elif reply.result == pb.INVALID:
        print_table(('path', 'problem'), [(p.path, p.message) for p in reply.problems])
    elif reply.result == pb.CONFLICT:
        print_line(f'conflict: revision {reply.revision} is in force; others changed:')
        print_revisions(reply.others)
    elif reply.result == pb.UNDECIDED:
        print_line(
            f'the platform did not answer; ask again with --operation-id {operation.operation_id}'
        )
    else:
        print_line('the platform cannot be reached; nothing was changed')


def print_revisions(revisions: Any) -> None:
    """Print revisions as a table."""
    rows = [
        (
            revision.revision,
            time.strftime('%Y-%m-%d %H:%M:%S', time.localtime(revision.committed_unix_s)),
            revision.operator,
            _changes_text(revision.changes),
            revision.note,
        )
        for revision in revisions
    ]
    print_table(('revision', 'committed', 'operator', 'changes', 'note'), rows)


def _changes_text(changes: Any) -> str:
    names = [f'{"+" if c.entity else "-"}{c.section}/{c.name}' for c in changes]
    shown = ' '.join(names[:SHOWN_CHANGES])
    left_out = len(names) - SHOWN_CHANGES
    return f'{shown} and {left_out} more' if left_out > 0 else shown
