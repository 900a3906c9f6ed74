"""Settings that change under a running gateway."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from limeshelf.programs.settings_watch import SettingsWatch
from limeshelf.settings.gateway import GatewaySettings, load_gateway_settings

DOCUMENT: dict[str, Any] = {
    'instance_id': 'g-1',
    'ip': '127.0.0.1',
    'data_centre': 'z1',
    'calls_address': '127.0.0.1:1',
    'readiness_address': '127.0.0.1:2',
    'store_address': '127.0.0.1:3',
    'peer_ports': [4, 9],
    'seeds': [],
    'grace_s': 8,
    'figures_port': 5,
    'retries': {'ratio': 0.2, 'slack': 58, 'window_s': 10},
    'placement': {'lease_s': 2.4, 'window_s': 5},
}


def watch(folder: Path) -> tuple[Path, SettingsWatch, list[GatewaySettings]]:
    path = folder / 'settings.json'
    path.write_text(json.dumps(DOCUMENT))
    taken: list[GatewaySettings] = []
    return path, SettingsWatch(path, load_gateway_settings(path), taken.append), taken


def test_changed_file_is_taken_over(tmp_path: Path) -> None:
    path, one, taken = watch(tmp_path)
    one.check()
    assert taken == []
    path.write_text(json.dumps({**DOCUMENT, 'seeds': ['10.0.0.9:1']}))
    one.check()
    assert [settings.seeds for settings in taken] == [['10.0.0.9:1']]
    one.check()
    assert len(taken) == 1


def test_faulty_file_changes_nothing(tmp_path: Path) -> None:
    path, one, taken = watch(tmp_path)
    for faulty in ('{', json.dumps({**DOCUMENT, 'grace_s': 'long'})):
        path.write_text(faulty)
        one.check()
    path.unlink()
    one.check()
    assert taken == []
    path.write_text(json.dumps(DOCUMENT))
    one.check()
    assert len(taken) == 1
