"""``limeshelf-experiment``: compares policies on a virtual clock.

Owns no state: reads a plan, makes its runs and prints their table.
"""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Annotated

import msgspec
import typer
from absl import logging

from limeshelf.errors import InvalidDocument
from limeshelf.settings.structure import structure
from limeshelf.standalone.experiment.plan import ExperimentPlan
from limeshelf.standalone.experiment.report import HEADINGS, summarise, table_rows, to_json
from limeshelf.standalone.programs.tables import print_line, print_table

#: The plan cannot be read, or names what does not exist.
EXIT_INVALID = 3


def run(
    plan_file: Annotated[
        Path | None, typer.Argument(help='JSON plan; all combinations if left out.')
    ] = None,
    output: Annotated[Path | None, typer.Option(help='Where results go as JSON.')] = None,
) -> None:
    """Run an experiment and print its table."""
    # The placers' own lines would hide the table.
    logging.set_verbosity(logging.ERROR)
    try:
        document = msgspec.json.decode(plan_file.read_bytes()) if plan_file else {}
        plan = structure(document, ExperimentPlan)
    except msgspec.DecodeError as error:
        sys.stderr.write(f'{plan_file}: is not JSON: {error}\n')
        raise typer.Exit(EXIT_INVALID) from None
    except InvalidDocument as error:
        for problem in error.problems:
            sys.stderr.write(f'{plan_file}: {problem.path}: {problem.message}\n')
        raise typer.Exit(EXIT_INVALID) from None
    results = list(plan.runs())
    if output is not None:
        output.write_bytes(msgspec.json.encode(to_json(results)))
    print_line(f'{len(results)} runs of {plan.duration_s:g} s, seeds {plan.seeds}')
    print_table(HEADINGS, table_rows(summarise(results)))


def main() -> None:
    """Run the console script."""
    typer.run(run)
