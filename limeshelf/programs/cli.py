"""``limeshelf``: the operator's command line."""

from __future__ import annotations

import getpass
import sys
import time
from pathlib import Path
from typing import Annotated, Any

import attrs
import grpc
import msgspec
import typer

from limeshelf.admin import admin_pb2 as pb
from limeshelf.admin.client import Connection
from limeshelf.errors import InvalidDocument
from limeshelf.programs.tables import print_json, print_line, print_table
from limeshelf.settings.load import load_settings
from limeshelf.settings.reference import settings_reference
from limeshelf.util.identifiers import new_id

EXIT_UNREACHABLE = 1
EXIT_INVALID = 3
EXIT_CONFLICT = 4
EXIT_UNDECIDED = 5
EXIT_NOT_APPLIED = 6
EXIT_NOT_FOUND = 7

#: Exit code by result of a change.
EXIT_BY_RESULT = {
    pb.APPLIED: 0,
    pb.UNCHANGED: 0,
    pb.INVALID: EXIT_INVALID,
    pb.CONFLICT: EXIT_CONFLICT,
    pb.UNDECIDED: EXIT_UNDECIDED,
    pb.NOT_APPLIED: EXIT_NOT_APPLIED,
}

app = typer.Typer(no_args_is_help=True, help='Operates limeshelf.', pretty_exceptions_enable=False)
policy_app = typer.Typer(no_args_is_help=True, help='Swap, split and compare policies.')
settings_app = typer.Typer(no_args_is_help=True, help='Check and describe settings files.')
config_app = typer.Typer(no_args_is_help=True, help='Show the configuration in force.')
app.add_typer(policy_app, name='policy')
app.add_typer(settings_app, name='settings')
app.add_typer(config_app, name='config')


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


def _call(context: typer.Context, method: str, request: Any) -> Any:
    state: CliState = context.obj
    try:
        return state.connection.call(method, request)
    except grpc.RpcError as error:
        code = error.code() if isinstance(error, grpc.Call) else None
        details = error.details() if isinstance(error, grpc.Call) else str(error)
        name = code.name.lower() if code is not None else 'failed'
        sys.stderr.write(f'{state.connection.address}: {name}: {details}\n')
        raise typer.Exit(EXIT_UNREACHABLE) from None


def _operation(base: int, operation_id: str, note: str) -> Any:
    return pb.Operation(
        operation_id=operation_id or new_id('op'),
        operator=getpass.getuser(),
        note=note,
        based_on=base,
    )


def _finish(context: typer.Context, reply: Any, operation: Any) -> None:
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
        _print_revisions(reply.others)
    elif reply.result == pb.UNDECIDED:
        print_line(
            f'the platform did not answer; ask again with --operation-id {operation.operation_id}'
        )
    else:
        print_line('the platform cannot be reached; nothing was changed')


def _print_revisions(revisions: Any) -> None:
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
    shown = ' '.join(names[:4])
    return shown if len(names) <= 4 else f'{shown} and {len(names) - 4} more'


@app.command()
def apply(
    context: typer.Context,
    file: Path,
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """Put the configuration in FILE in force."""
    operation = _operation(base, operation_id, note)
    request = pb.ApplyRequest(operation=operation, document=file.read_bytes())
    _finish(context, _call(context, 'Apply', request), operation)


@app.command()
def diff(context: typer.Context, file: Path) -> None:
    """Show what applying FILE would change, and its faults."""
    reply = _call(context, 'Diff', pb.DiffRequest(document=file.read_bytes()))
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
    reply = _call(context, 'Status', pb.StatusRequest())
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
    reply = _call(context, 'History', pb.HistoryRequest(limit=limit))
    if context.obj.as_json:
        print_json(reply)
    else:
        _print_revisions(reply.revisions)


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
    operation = _operation(base, operation_id, note)
    request = pb.DrainUpstreamRequest(operation=operation, upstream=upstream, remove=undo)
    _finish(context, _call(context, 'DrainUpstream', request), operation)


@app.command()
def explain(context: typer.Context, subject: str) -> None:
    """Show the decisions about a request (by id) or a model (by name)."""
    reply = _call(context, 'Explain', pb.ExplainRequest(subject=subject))
    if context.obj.as_json:
        print_json(reply)
    else:
        for line in reply.lines:
            print_line(line)
    if not reply.lines:
        sys.stderr.write(f'no decision about {subject!r} is kept\n')
        raise typer.Exit(EXIT_NOT_FOUND)


@policy_app.command('swap')
def policy_swap(
    context: typer.Context,
    kind: str,
    policy: str,
    deployment: Annotated[str, typer.Option(help='Only for this deployment.')] = '',
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """Bind POLICY as the KIND policy, on live traffic."""
    operation = _operation(base, operation_id, note)
    request = pb.SwapPolicyRequest(
        operation=operation, kind=kind, policy=policy, deployment=deployment
    )
    _finish(context, _call(context, 'SwapPolicy', request), operation)


@policy_app.command('split')
def policy_split(
    context: typer.Context,
    kind: str,
    policy_a: str,
    policy_b: str,
    share_b_ratio: Annotated[float, typer.Option(help="Policy B's share, 0 to 1.")] = 0.5,
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """Divide the traffic between POLICY_A and POLICY_B."""
    operation = _operation(base, operation_id, note)
    request = pb.SplitTrafficRequest(
        operation=operation,
        kind=kind,
        policy_a=policy_a,
        policy_b=policy_b,
        share_b_ratio=share_b_ratio,
    )
    _finish(context, _call(context, 'SplitTraffic', request), operation)


@policy_app.command('unsplit')
def policy_unsplit(
    context: typer.Context,
    kind: str,
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """End the division of traffic between two KIND policies."""
    operation = _operation(base, operation_id, note)
    request = pb.SplitTrafficRequest(operation=operation, kind=kind, remove=True)
    _finish(context, _call(context, 'SplitTraffic', request), operation)


@policy_app.command('compare')
def policy_compare(context: typer.Context, kind: str, policy_a: str, policy_b: str) -> None:
    """Set the measures of two policies side by side."""
    request = pb.ComparePoliciesRequest(kind=kind, policy_a=policy_a, policy_b=policy_b)
    reply = _call(context, 'ComparePolicies', request)
    if context.obj.as_json:
        print_json(reply)
        return
    print_line(f'{reply.answered} of {reply.listed} instances answered')
    figures = [
        (
            f.policy,
            f.priority_class,
            f.requests,
            f.refused,
            f'{f.attainment_ratio:.4f}',
            f'{f.first_token_s_mean * 1000:.2f}',
        )
        for f in reply.figures
    ]
    headings = ('policy', 'class', 'requests', 'refused', 'attainment', 'first token ms')
    print_table(headings, figures)
    print_line('')
    print_line(f'{policy_b} less {policy_a}, with 95 % intervals')
    differences = [
        (
            d.priority_class,
            f'{d.attainment_ratio:+.4f} ± {d.attainment_ratio_half_width:.4f}',
            f'{d.first_token_s * 1000:+.2f} ± {d.first_token_s_half_width * 1000:.2f}',
        )
        for d in reply.differences
    ]
    print_table(('class', 'attainment', 'first token ms'), differences)


@settings_app.command('check')
def settings_check(context: typer.Context, file: Path) -> None:
    """Check a settings file; every fault is printed."""
    try:
        load_settings(file)
    except InvalidDocument as error:
        rows = [(problem.path, problem.message) for problem in error.problems]
        if context.obj.as_json:
            plain = [{'path': path, 'problem': message} for path, message in rows]
            print_line(msgspec.json.encode(plain).decode())
        else:
            print_table(('path', 'problem'), rows)
        raise typer.Exit(EXIT_INVALID) from None
    print_line('[]' if context.obj.as_json else 'no faults')


@settings_app.command('reference')
def settings_reference_page() -> None:
    """Print the settings reference page."""
    print_line(settings_reference())


@config_app.command('show')
def config_show(context: typer.Context) -> None:
    """Print the configuration in force as JSON."""
    reply = _call(context, 'GetConfiguration', pb.GetConfigurationRequest())
    if context.obj.as_json:
        print_json(reply)
        return
    document = msgspec.json.decode(reply.document)
    print_line(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())


def main() -> None:
    """Run the console script."""
    app()
