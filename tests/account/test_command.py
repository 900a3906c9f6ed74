"""``limeshelf account`` with recorded gateway logs and with invalid input."""

from __future__ import annotations

import json
from pathlib import Path

import pytest
from typer.testing import CliRunner, Result

from limeshelf.standalone.programs.cli import app

#: Lines of seven gateways from three periods of a recorded test run, one of them a start.
RECORDED = Path(__file__).parent / 'recorded' / 'gateways.txt'


def run(*arguments: str | Path, stdin: bytes = b'') -> Result:
    return CliRunner().invoke(app, ['account', *map(str, arguments)], input=stdin)


def test_summary_ranks_causes_by_lost_worth() -> None:
    result = run('summary', RECORDED)
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert lines[0].endswith('0 lines without one')
    causes = [line for line in lines if ' calls  ' in line]
    worths = [float(line.split()[0]) for line in causes]
    assert len(causes) >= 3
    assert worths == sorted(worths, reverse=True)
    assert any(line.startswith('all ') for line in lines)


def test_summary_of_standard_input_is_the_same() -> None:
    assert run('summary', stdin=RECORDED.read_bytes()).output == run('summary', RECORDED).output


def test_worths_of_routes_weigh_the_causes(tmp_path: Path) -> None:
    worths = tmp_path / 'worths.json'
    worths.write_text(json.dumps({'r-unheard-of': {'worth': 3.0, 'late': 0.3}}))
    assert run('summary', RECORDED, '--worth', worths).output == run('summary', RECORDED).output
    worths.write_text('[]')
    result = run('summary', RECORDED, '--worth', worths)
    assert result.exit_code != 0
    assert 'worths.json' in result.output


def test_trace_of_a_call_is_in_order_of_time_and_ends_with_its_ending() -> None:
    refused = next(
        line for line in RECORDED.read_text().splitlines() if '"refused_no_replica"' in line
    )
    call_id = json.loads(refused[refused.index('{') :])['request']
    result = run('call', call_id, RECORDED)
    lines = result.output.splitlines()
    assert result.exit_code == 0
    assert 'refused_no_replica' in lines[0]
    assert lines[-1].startswith('ended refused: no replica held')
    assert 'told to come back after' in lines[-1]


def test_unknown_call_is_reported() -> None:
    result = run('call', 'c-unheard-of', RECORDED)
    assert result.exit_code != 0
    assert 'c-unheard-of' in result.output


def test_broken_input_is_counted(tmp_path: Path) -> None:
    cut = tmp_path / 'cut.log'
    cut.write_bytes(b'Traceback\n' + RECORDED.read_bytes()[:5000])
    result = run('summary', cut)
    assert result.exit_code == 0
    assert '2 lines without one' in result.output


def test_missing_file_is_reported(tmp_path: Path) -> None:
    result = run('summary', tmp_path / 'none.log')
    assert result.exit_code != 0
    assert 'none.log' in result.output


@pytest.mark.parametrize('suffix', ['svg', 'png'])
def test_plot_is_written(tmp_path: Path, suffix: str) -> None:
    plot = tmp_path / f'day.{suffix}'
    assert run('plot', plot, RECORDED).exit_code == 0
    assert plot.stat().st_size > 1000


def test_plot_of_unknown_format_is_rejected(tmp_path: Path) -> None:
    result = run('plot', tmp_path / 'day.unknown', RECORDED)
    assert result.exit_code != 0


def test_comparison_of_runs(tmp_path: Path) -> None:
    run_directory = tmp_path / 'run'
    run_directory.mkdir()
    lines = RECORDED.read_bytes().splitlines(keepends=True)
    (run_directory / 'one.log').write_bytes(b''.join(lines[: len(lines) // 2]))
    (run_directory / 'two.log').write_bytes(b''.join(lines[len(lines) // 2 :]))
    result = run('compare', '--a', RECORDED, '--a', RECORDED, '--b', run_directory)
    assert result.exit_code == 0
    worth = next(line for line in result.output.splitlines() if line.startswith('worth '))
    # Two identical runs give an interval of zero width; a directory is one run.
    assert '±0.000' in worth
    assert worth.endswith('+0.000')
