"""Validation of settings files: all faults at once, each with its path and unit."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from limeshelf.errors import InvalidDocument
from limeshelf.settings.load import load_settings
from limeshelf.settings.reference import settings_reference
from limeshelf.settings.structure import structure
from limeshelf.standalone.config.document import Deployment, PriorityClass

URLS = {
    f'{name}_url': 'http://127.0.0.1:1' for name in ('table', 'objects', 'weights', 'instances')
}
MINIMAL = {'instance_id': 'i', 'data_centre': 'x', 'platform': URLS}


def problems(tmp_path: Path, document: object) -> dict[str, str]:
    path = tmp_path / 'settings.json'
    path.write_text(document if isinstance(document, str) else json.dumps(document))
    try:
        load_settings(path)
    except InvalidDocument as error:
        return {problem.path: problem.message for problem in error.problems}
    return {}


def test_minimal_file_is_valid(tmp_path: Path) -> None:
    assert problems(tmp_path, MINIMAL) == {}


def test_every_fault_is_reported_with_path_and_unit(tmp_path: Path) -> None:
    found = problems(
        tmp_path,
        {
            'instance_id': 4,
            'platform': {**URLS, 'timeout_s': 'soon'},
            'entry': {'http_port': 1.5, 'speed': 3},
            'placer': {'lease_s': True},
        },
    )
    assert found['data_centre'] == 'missing'
    assert 'expected a string' in found['instance_id']
    assert 'seconds' in found['platform.timeout_s']
    assert 'port' in found['entry.http_port']
    assert found['entry.speed'] == 'unknown key'
    assert 'seconds' in found['placer.lease_s']


@pytest.mark.parametrize(
    ('section', 'field', 'value'),
    [
        ('entry', 'http_port', 70000),
        ('entry', 'retry_ratio', 1.5),
        ('placer', 'lease_s', -1.0),
        ('metrics', 'statsd_host', 'localhost'),
    ],
)
def test_values_out_of_range_are_reported(tmp_path: Path, section, field, value) -> None:
    assert f'{section}.{field}' in problems(tmp_path, {**MINIMAL, section: {field: value}})


def test_host_name_and_missing_token_are_faults(tmp_path: Path) -> None:
    assert 'listen_host' in problems(tmp_path, {**MINIMAL, 'listen_host': 'here'})
    assert 'admin.token_file' in problems(tmp_path, {**MINIMAL, 'listen_host': '10.0.0.1'})


def test_invalid_json_or_missing_file_is_rejected(tmp_path: Path) -> None:
    assert '.' in problems(tmp_path, '{')
    with pytest.raises(InvalidDocument):
        load_settings(tmp_path / 'nothing.json')


def test_enums_stay_enums() -> None:
    """The hook for ``str`` must not handle string enums, which are subclasses of ``str``."""
    document = {'name': 'm', 'version': '1', 'weights_bytes': 1, 'priority_class': 'high'}
    assert structure(document, Deployment).priority_class is PriorityClass.HIGH


def test_reference_page_is_up_to_date() -> None:
    page = Path(__file__).parents[2] / 'docs' / 'reference' / 'settings.rst'
    assert page.read_text() == settings_reference(), 'run: limeshelf settings reference'
