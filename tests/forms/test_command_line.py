"""Holds the command line: each script's verbs, arguments and options.

The scripts are found through ``[project.scripts]``, so modules may move. Red
means that an operator's command or a unit file of yesterday may fail. Put the
name, short form, default or environment variable back; edit
``recorded/command_line.txt`` only for a change that the users agreed to. Help
texts and what typer adds itself (``--help``, shell completion) are not held.
"""

from __future__ import annotations

import enum
import importlib
import tomllib
from pathlib import Path
from typing import Any

import pytest
import typer

from tests.forms.recorded import ROOT, check_recorded

WHAT_TO_DO = 'The command line is a contract; see tests/forms/test_command_line.py.'
ADDED_BY_TYPER = {'--install-completion', '--show-completion', '--help'}


def entry_points() -> dict[str, str]:
    project = tomllib.loads((ROOT / 'pyproject.toml').read_text())['project']
    scripts: dict[str, str] = project['scripts']
    return scripts


def command_of(target: str, monkeypatch: pytest.MonkeyPatch) -> Any:
    """Return the command that the script runs, without running it."""
    # A script may change the environment of its process; undone after the test.
    monkeypatch.setenv('UV_USE_IO_URING', '0')
    made: list[typer.Typer] = []
    monkeypatch.setattr(typer.Typer, '__call__', lambda app, *_, **__: made.append(app))
    module, _, name = target.partition(':')
    getattr(importlib.import_module(module), name)()
    (app,) = made
    return typer.main.get_command(app)


def type_text(kind: type) -> str:
    values = [str(member.value) for member in kind] if issubclass(kind, enum.Enum) else []
    return ' or '.join(values) or kind.__name__


def lines_of(command: Any, path: str) -> list[str]:
    """Return one line for each command and each of its parameters."""
    found = [path]
    for position, parameter in enumerate(command.params):
        names = [*parameter.opts, *parameter.secondary_opts]
        if not ADDED_BY_TYPER.isdisjoint(names):
            continue
        need = 'required' if parameter.required else f'default {parameter.default!r}'
        kind = f'argument {position}' if parameter.param_type_name == 'argument' else 'option'
        kind += ' flag' if getattr(parameter, 'is_flag', False) else ''
        kind += ' many' if parameter.nargs != 1 or parameter.multiple else ''
        kind += f' {type_text(parameter.type_descriptor.annotation)}'
        environment = f'; {parameter.envvar}' if parameter.envvar else ''
        found.append(f'{path} {"/".join(names)}: {kind}; {need}{environment}')
    for name, inner in getattr(command, 'commands', {}).items():
        found += lines_of(inner, f'{path} {name}')
    return found


def test_command_lines_are_the_recorded_ones(monkeypatch: pytest.MonkeyPatch) -> None:
    found = []
    for script, target in entry_points().items():
        with monkeypatch.context() as patch:
            found += lines_of(command_of(target, patch), script)
    check_recorded('command_line.txt', found, WHAT_TO_DO)


@pytest.mark.parametrize(
    ('arguments', 'code'),
    [
        (('limeshelf', 'settings', 'check'), 3),
        (('limeshelf-entry', '--settings'), 2),
        (('limeshelf-placer', '--settings'), 2),
        (('limeshelf-admin', '--settings'), 2),
        (('limeshelf-gateway', '--settings'), 2),
    ],
)
def test_settings_with_faults_give_the_recorded_exit_code(
    arguments: tuple[str, ...], code: int, tmp_path: Path
) -> None:
    script, *rest = arguments
    path = tmp_path / 'settings.json'
    path.write_text('{}')
    with pytest.MonkeyPatch.context() as patch:
        command = command_of(entry_points()[script], patch)
    with pytest.raises(SystemExit) as ended:
        command.main([*rest, str(path)])
    assert ended.value.code == code, WHAT_TO_DO
