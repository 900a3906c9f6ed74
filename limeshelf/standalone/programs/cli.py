"""``limeshelf``: the operator's command line.

Owns no state: each command is one call to an admin program, whose reply is printed as a
table or as JSON. Relies on ``cli_common`` for the call and for the exit codes.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from limeshelf.admin import admin_pb2 as pb
from limeshelf.standalone.admin.client import Connection
from limeshelf.standalone.programs.cli_account import account_app
from limeshelf.standalone.programs.cli_common import (
    EXIT_INVALID,
    EXIT_NOT_FOUND,
    BaseOption,
    CliState,
    NoteOption,
    OperationOption,
    call,
    finish,
    make_operation,
    print_revisions,
)
from limeshelf.standalone.programs.cli_files import config_app, settings_app
from limeshelf.standalone.programs.cli_policy import policy_app
from limeshelf.standalone.programs.tables import print_json, print_line, print_table

app = typer.Typer(no_args_is_help=True, help='Operates limeshelf.', pretty_exceptions_enable=False)
app.add_typer(policy_app, name='policy')
app.add_typer(settings_app, name='settings')
app.add_typer(config_app, name='config')
app.add_typer(account_app, name='account')


@app.callback()
def common(
    context: typer.Context,
    address: Annotated[
        str, typer.Option(envvar='LIMESHELF_ADDRESS', help='ip:port of an admin program.')
    ] = '127.0.0.1:7070',
    token_file: Annotated[
        Path | None, typer.Option(envvar='LIMESHELF_TOKEN_FILE', help='File with the token.')
    ] = None,
    ca_file: Annotated[
        Path | None, typer.Option(envvar='LIMESHELF_CA_FILE', help='Certificates to trust.')
    ] = None,
    as_json: Annotated[bool, typer.Option('--json', help='Print JSON.')] = False,
) -> None:
    """Operate limeshelf."""
    context.obj = CliState(Connection(address, token_file, ca_file), as_json)


@app.command()
def apply(
    context: typer.Context,
    file: Path,
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """Put the configuration in FILE in force."""
    operation = make_operation(base, operation_id, note)
    request = pb.ApplyRequest(operation=operation, document=file.read_bytes())
    finish(context, call(context, 'Apply', request), operation)


@app.command()
def diff(context: typer.Context, file: Path) -> None:
    """Show what applying FILE would change, and its faults."""
    reply = call(context, 'Diff', pb.DiffRequest(document=file.read_bytes()))
    if context.obj.as_json:
        print_json(reply)
    else:
        rows = [
            (change.section, change.name, 'set' if change.entity else 'removed')
            for change in reply.changes
        ]
        print_table(('section', 'name', 'change'), rows)
        for problem in reply.problems:
            print_line(f'{problem.path}: {problem.message}')
    if reply.problems:
        raise typer.Exit(EXIT_INVALID)


@app.command()
def status(context: typer.Context) -> None:
    """Show revisions by process, and the upstreams."""
    reply = call(context, 'Status', pb.StatusRequest())
    if context.obj.as_json:
        print_json(reply)
        return
    print_line(f'revision {reply.revision}')
    print_line('')
    rows = [(p.process, p.data_centre, p.revision, _reach_text(p)) for p in reply.processes]
    print_table(('process', 'data centre', 'revision', 'reach'), rows)
    print_line('')
    upstreams = [
        (u.upstream, u.data_centre, u.kind, u.state, u.running, len(u.ready_items))
        for u in reply.upstreams
    ]
    print_table(('upstream', 'data centre', 'kind', 'state', 'running', 'ready items'), upstreams)


def _reach_text(process: Any) -> str:
    if not process.heard:
        return 'not heard'
    return 'in force' if process.reached else 'behind'


@app.command()
def history(
    context: typer.Context,
    limit: Annotated[int, typer.Option(help='Revisions to show.')] = 20,
) -> None:
    """Show who changed what and when, newest first."""
    reply = call(context, 'History', pb.HistoryRequest(limit=limit))
    if context.obj.as_json:
        print_json(reply)
    else:
        print_revisions(reply.revisions)


@app.command()
def drain(
    context: typer.Context,
    upstream: str,
    undo: Annotated[bool, typer.Option('--undo', help='Give it work again.')] = False,
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """Keep new work and replicas off UPSTREAM."""
    operation = make_operation(base, operation_id, note)
    request = pb.DrainUpstreamRequest(operation=operation, upstream=upstream, remove=undo)
    finish(context, call(context, 'DrainUpstream', request), operation)


@app.command()
def explain(context: typer.Context, subject: str) -> None:
    """Show the decisions about a request (by id) or a model (by name)."""
    reply = call(context, 'Explain', pb.ExplainRequest(subject=subject))
    if context.obj.as_json:
        print_json(reply)
    else:
        for line in reply.lines:
            print_line(line)
    if not reply.lines:
        sys.stderr.write(f'no decision about {subject!r} is kept\n')
        raise typer.Exit(EXIT_NOT_FOUND)


def main() -> None:
    """Run the console script."""
    app()
