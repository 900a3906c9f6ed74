"""Changes of the settings file while a gateway runs."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from limeshelf.programs.settings_watch import SettingsWatch
from limeshelf.settings.gateway import GatewaySettings, SettingsFile

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


def make_watch(folder: Path) -> tuple[Path, SettingsWatch, list[GatewaySettings]]:
    path = folder / 'settings.json'
    path.write_text(json.dumps(DOCUMENT))
    applied: list[GatewaySettings] = []
    return path, SettingsWatch(path, SettingsFile.from_path(path), applied.append), applied


def test_changed_file_is_applied(tmp_path: Path) -> None:
    path, settings_watch, applied = make_watch(tmp_path)
    settings_watch.check()
    assert applied == []
    path.write_text(json.dumps({**DOCUMENT, 'seeds': ['10.0.0.9:1']}))
    settings_watch.check()
    assert [settings.seeds for settings in applied] == [['10.0.0.9:1']]
    settings_watch.check()
    assert len(applied) == 1


def test_change_between_the_start_and_the_watch_is_applied(tmp_path: Path) -> None:
    # Guards against a watch that takes the file's content of its own start for the current one.
    path, _, _ = make_watch(tmp_path)
    started_with = SettingsFile.from_path(path)
    path.write_text(json.dumps({**DOCUMENT, 'store_address': '10.0.0.9:1'}))
    applied: list[GatewaySettings] = []
    SettingsWatch(path, started_with, applied.append).check()
    assert [settings.store_address for settings in applied] == ['10.0.0.9:1']


def test_invalid_file_changes_nothing(tmp_path: Path) -> None:
    path, settings_watch, applied = make_watch(tmp_path)
    for invalid in ('{', json.dumps({**DOCUMENT, 'grace_s': 'long'})):
        path.write_text(invalid)
        settings_watch.check()
    path.unlink()
    settings_watch.check()
    assert applied == []
    path.write_text(json.dumps(DOCUMENT))
    settings_watch.check()
    assert len(applied) == 1
