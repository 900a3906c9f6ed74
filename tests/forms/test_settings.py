"""Holds every setting of both kinds of settings file: name, type, default, unit.

Red means that a file that loaded yesterday may not load today, or means
something else. Give the setting its recorded name, type and default back; edit
``recorded/*settings*`` only for a change of form that the users agreed to, and
name it in ``CHANGES.rst``.
"""

from __future__ import annotations

import json
import re
import typing
from pathlib import Path
from typing import Any

import attrs
import pytest

from limeshelf.settings.gateway import (
    GatewaySettings,
    OrganisationSettings,
    load_gateway_settings,
)
from limeshelf.settings.load import load_settings
from limeshelf.settings.model import Settings
from tests.forms.recorded import ROOT, check_recorded

WHAT_TO_DO = 'A settings file is a contract; see the docstring of tests/forms/test_settings.py.'
RECORDED = Path(__file__).parent / 'recorded'
UNITS = {
    '_per_s': 'a second',
    '_s': 'seconds',
    '_bytes': 'bytes',
    '_ratio': 'share',
    '_port': 'port',
}
#: What the platform puts into the template, as in deploy/settings.json.in.
RENDERED = {
    'NodeName': 'g-1',
    'Ip': '10.0.0.1',
    'Zone': 'z1',
    'Listen.Frontend': '10.0.0.1:80',
    'Listen.Readiness': '10.0.0.1:81',
    'Platform.Address': '10.0.0.9:70',
    'InternalPorts': [7000, 7010],
    'Seeds': ['10.0.0.2:7000'],
    'Limits.LinkMbps': 1000.0,
    'Limits.MemoryMb': 300,
    'Limits.MaxFds': 4100,
    'Bounds.GraceS': 30.0,
    'Bounds.RetryRatio': 0.2,
    'Bounds.RetrySlack': 50.0,
    'Bounds.RetryWindowS': 10.0,
    'Bounds.CeilingWindowS': 5.0,
    'Bounds.FencingEnforced': False,
    'Bounds.LeaseMs': 3000,
    'Bounds.ConfigMs': 4000,
    'Bounds.DrainMs': 3000,
    'Bounds.StrictRevocation': True,
    'Bounds.RevokeMs': 4500,
    'Bounds.QuotaWindowS': 8,
    'Bounds.QuotaOverrun': 0.1,
    'Bounds.QuotaSlack': 11000,
    'Zones': {'z1': 'r1', 'z2': 'r1'},
}
#: What older deployments of the platform leave out.
NOT_EVERYWHERE = (
    'Bounds.StrictRevocation',
    'Bounds.RevokeMs',
    'Bounds.QuotaWindowS',
    'Bounds.QuotaOverrun',
    'Bounds.QuotaSlack',
)
#: A part that stands if a value is there and true (``#``), or if it is not (``^``).
SECTION = re.compile(r'\{\{([#^])([\w.]+)\}\}(.*?)\{\{/\2\}\}', re.DOTALL)
VALUE = re.compile(r'\{\{([\w.]+)\|json\}\}')


def inner_class(hint: Any) -> Any:
    """Return the settings class that *hint* names, if it names one."""
    kinds = (hint, *typing.get_args(hint))
    return next((kind for kind in kinds if isinstance(kind, type) and attrs.has(kind)), None)


def type_text(hint: Any) -> str:
    inner = inner_class(hint)
    if inner is None:
        return hint.__name__ if isinstance(hint, type) and not typing.get_args(hint) else str(hint)
    return 'object' if hint is inner else 'object or None'


def default_text(default: Any) -> str:
    if default is attrs.NOTHING:
        return 'required'
    if isinstance(default, attrs.Factory):
        made = default.factory()
        return 'default of its fields' if attrs.has(type(made)) else f'default {made!r}'
    return f'default {default!r}'


def lines_of(kind: Any, path: str = '') -> list[str]:
    """Return one line for each setting, the inner ones included."""
    lines = []
    hints = typing.get_type_hints(kind)
    for field in attrs.fields(kind):
        name, hint = path + field.name, hints[field.name]
        assert field.alias == field.name, f'{name} is read under another name'
        unit = next((unit for suffix, unit in UNITS.items() if name.endswith(suffix)), 'no unit')
        lines.append(f'{name}: {type_text(hint)}; {default_text(field.default)}; {unit}')
        if inner_class(hint) is not None:
            lines += lines_of(inner_class(hint), f'{name}.')
    return lines


def names_in(document: dict[str, Any], path: str = '') -> set[str]:
    names = set()
    for name, value in document.items():
        names.add(path + name)
        if isinstance(value, dict):
            names |= names_in(value, f'{path}{name}.')
    return names


@pytest.mark.parametrize(
    ('table', 'kind'),
    [('settings.txt', Settings), ('gateway_settings.txt', GatewaySettings)],
)
def test_settings_are_the_recorded_ones(table: str, kind: Any) -> None:
    check_recorded(table, lines_of(kind), WHAT_TO_DO)


@pytest.mark.parametrize(
    ('full', 'kind', 'load'),
    [
        ('settings_full.json', Settings, load_settings),
        ('gateway_settings_full.json', GatewaySettings, load_gateway_settings),
    ],
)
def test_file_that_sets_everything_loads(full: str, kind: Any, load: Any, tmp_path: Path) -> None:
    """Each value of the file is what the program gets."""
    (tmp_path / 'secret').write_text('x')
    text = (RECORDED / full).read_text().replace('SECRET', str(tmp_path / 'secret'))
    document = json.loads(text)
    path = tmp_path / 'settings.json'
    path.write_text(text)
    assert attrs.asdict(load(path)) == document
    assert names_in(document) == {line.partition(':')[0] for line in lines_of(kind)}


def rendered(template: str, values: dict[str, Any]) -> str:
    """Return the template as the platform fills it in."""

    def section(found: re.Match[str]) -> str:
        value = values.get(found[2])
        if isinstance(value, dict):
            return ','.join(found[3].replace('{{@}}', key).replace('{{,}}', '') for key in value)
        stands = value not in (None, False)
        return found[3] if stands == (found[1] == '#') else ''

    text = SECTION.sub(section, template)
    return VALUE.sub(lambda found: json.dumps(values[found[1]]), text)


def test_template_of_the_deploy_file_loads(tmp_path: Path) -> None:
    template = (ROOT / 'deploy' / 'settings.json.in').read_text()
    asked = VALUE.findall(template) + [name for _, name, _ in SECTION.findall(template)]
    assert sorted(set(asked)) == sorted(RENDERED)
    path = tmp_path / 'settings.toml'
    path.write_text(rendered(template, RENDERED))
    assert attrs.asdict(load_gateway_settings(path)) == {
        'instance_id': 'g-1',
        'ip': '10.0.0.1',
        'data_centre': 'z1',
        'calls_address': '10.0.0.1:80',
        'readiness_address': '10.0.0.1:81',
        'store_address': '10.0.0.9:70',
        'peer_ports': [7000, 7010],
        'seeds': ['10.0.0.2:7000'],
        'weight': 1000.0,
        'grace_s': 30.0,
        'figures_port': 9464,
        'retries': {'ratio': 0.2, 'slack': 50.0, 'window_s': 10.0},
        'placement': {
            'lease_s': 2.4,
            'window_s': 5.0,
            'replicas_check_fences': False,
            'lease_limit_ms': 3000.0,
        },
        'freshness': {'config_ms': 4000.0, 'replica_ms': 3000.0},
        'organisations': {
            'strict_revocation': True,
            'revoke_ms': 4500.0,
            'limit_window_s': 8.0,
            'limit_overrun': 0.1,
            'limit_slack': 11000.0,
        },
        'machine': {'memory_mb': 300.0, 'descriptors': 4100, 'link_mbps': 1000.0},
        'data_centres': ['z1', 'z2'],
    }


def test_template_loads_where_the_platform_leaves_values_out(tmp_path: Path) -> None:
    template = (ROOT / 'deploy' / 'settings.json.in').read_text()
    values = {name: value for name, value in RENDERED.items() if name not in NOT_EVERYWHERE}
    path = tmp_path / 'settings.toml'
    path.write_text(rendered(template, values))
    assert load_gateway_settings(path).organisations == OrganisationSettings()
