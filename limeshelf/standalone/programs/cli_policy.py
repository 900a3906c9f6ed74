"""``limeshelf policy``: swap, split and compare policies.

Owns no state. Relies on ``cli_common`` for the calls to the admin program.
"""

from __future__ import annotations

from typing import Annotated, Any

import typer

from limeshelf.admin import admin_pb2 as pb
from limeshelf.standalone.programs.cli_common import (
    BaseOption,
    NoteOption,
    OperationOption,
    call,
    finish,
    make_operation,
)
from limeshelf.standalone.programs.tables import print_json, print_line, print_table

policy_app = typer.Typer(no_args_is_help=True, help='Swap, split and compare policies.')


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
    operation = make_operation(base, operation_id, note)
    request = pb.SwapPolicyRequest(
        operation=operation, kind=kind, policy=policy, deployment=deployment
    )
    finish(context, call(context, 'SwapPolicy', request), operation)


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
    operation = make_operation(base, operation_id, note)
    request = pb.SplitTrafficRequest(
        operation=operation,
        kind=kind,
        policy_a=policy_a,
        policy_b=policy_b,
        share_b_ratio=share_b_ratio,
    )
    finish(context, call(context, 'SplitTraffic', request), operation)


@policy_app.command('unsplit')
def policy_unsplit(
    context: typer.Context,
    kind: str,
    base: BaseOption = -1,
    operation_id: OperationOption = '',
    note: NoteOption = '',
) -> None:
    """End the division of traffic between two KIND policies."""
    operation = make_operation(base, operation_id, note)
    request = pb.SplitTrafficRequest(operation=operation, kind=kind, remove=True)
    finish(context, call(context, 'SplitTraffic', request), operation)


@policy_app.command('compare')
def policy_compare(context: typer.Context, kind: str, policy_a: str, policy_b: str) -> None:
    """Set the measures of two policies side by side."""
    request = pb.ComparePoliciesRequest(kind=kind, policy_a=policy_a, policy_b=policy_b)
    reply = call(context, 'ComparePolicies', request)
    if context.obj.as_json:
        print_json(reply)
        return
    print_line(f'{reply.answered} of {reply.listed} instances answered')
    _print_figures(reply)
    print_line('')
    print_line(f'{policy_b} less {policy_a}, with 95 % intervals')
    _print_differences(reply)


def _print_figures(reply: Any) -> None:
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


def _print_differences(reply: Any) -> None:
    differences = [
        (
            d.priority_class,
            f'{d.attainment_ratio:+.4f} ± {d.attainment_ratio_half_width:.4f}',
            f'{d.first_token_s * 1000:+.2f} ± {d.first_token_s_half_width * 1000:.2f}',
        )
        for d in reply.differences
    ]
    print_table(('class', 'attainment', 'first token ms'), differences)
