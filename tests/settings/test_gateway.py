"""Validation of a gateway's settings file beyond the types of its fields."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from limeshelf.errors import InvalidDocument
from limeshelf.settings.gateway import MIN_LEASE_S, load_gateway_settings

MINIMAL: dict[str, Any] = {
    'instance_id': 'g-1',
    'ip': '10.0.0.1',
    'data_centre': 'z1',
    'calls_address': '10.0.0.1:80',
    'readiness_address': '10.0.0.1:81',
    'store_address': '10.0.0.9:70',
    'peer_ports': [7000],
    'seeds': [],
    'grace_s': 30.0,
    'figures_port': 9464,
    'retries': {'ratio': 0.2, 'slack': 50.0, 'window_s': 10.0},
    'placement': {'lease_s': 2.4, 'window_s': 5.0},
}


def problems(tmp_path: Path, text: str) -> list[str]:
    path = tmp_path / 'settings.json'
    path.write_text(text)
    try:
        load_gateway_settings(path)
    except InvalidDocument as error:
        return [problem.path for problem in error.problems]
    return []


def test_minimal_file_is_valid(tmp_path: Path) -> None:
    assert problems(tmp_path, json.dumps(MINIMAL)) == []


@pytest.mark.parametrize(
    ('name', 'value', 'path'),
    [
        ('calls_address', 'here', 'calls_address'),
        ('store_address', '10.0.0.9:', 'store_address'),
        ('peer_ports', [], 'peer_ports'),
        ('grace_s', 0.0, 'grace_s'),
        ('placement', {'lease_s': MIN_LEASE_S, 'window_s': 5.0}, 'placement.lease_s'),
        ('retries', {'ratio': 0.2, 'slack': 50.0}, 'retries.window_s'),
        ('speed', 3, 'speed'),
    ],
)
def test_fault_is_reported_with_its_path(tmp_path: Path, name: str, value: Any, path: str) -> None:
    assert problems(tmp_path, json.dumps({**MINIMAL, name: value})) == [path]


def test_invalid_json_or_missing_file_is_rejected(tmp_path: Path) -> None:
    assert problems(tmp_path, '{') == ['.']
    with pytest.raises(InvalidDocument):
        load_gateway_settings(tmp_path / 'nothing.json')
