"""``limeshelf settings`` and ``limeshelf config``: check, describe and show documents.

Owns no state. ``settings`` needs no admin program; ``config`` asks one.
"""

from __future__ import annotations

from pathlib import Path

import msgspec
import typer

from limeshelf.admin import admin_pb2 as pb
from limeshelf.errors import InvalidDocument
from limeshelf.settings.load import load_settings
from limeshelf.settings.reference import settings_reference
from limeshelf.standalone.programs.cli_common import EXIT_INVALID, call
from limeshelf.standalone.programs.tables import print_json, print_line, print_table

settings_app = typer.Typer(no_args_is_help=True, help='Check and describe settings files.')
config_app = typer.Typer(no_args_is_help=True, help='Show the configuration in force.')


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
    reply = call(context, 'GetConfiguration', pb.GetConfigurationRequest())
    if context.obj.as_json:
        print_json(reply)
        return
    document = msgspec.json.decode(reply.document)
    print_line(msgspec.json.format(msgspec.json.encode(document), indent=2).decode())
