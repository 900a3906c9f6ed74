"""Reads and validates a settings file of the standalone programs.

Checks not only types, but also value ranges by the suffix of the field name, addresses, and
that files are readable. Stateless.
"""

from __future__ import annotations

import ipaddress
import os
from typing import TYPE_CHECKING, Any

import attrs

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.settings.model import Settings
from limeshelf.settings.structure import structure_file

if TYPE_CHECKING:
    from pathlib import Path

MAX_PORT = 65535


def load_settings(path: Path) -> Settings:
    """Return the validated settings of the file at *path*.

    :raises InvalidDocument: lists every fault of the file.
    """
    settings = structure_file(path, Settings)
    problems = check_settings(settings)
    if problems:
        raise InvalidDocument(problems)
    return settings


def check_settings(settings: Settings) -> list[Problem]:
    """Return the faults that type checks do not detect, each with its path."""
    problems = _range_problems(settings, '')
    problems += _host_problems(settings)
    problems += _file_problems(settings)
    if not _is_loopback(settings.listen_host) and settings.admin.token_file is None:
        problems.append(
            Problem('admin.token_file', 'needed when listen_host is not a loopback address')
        )
    return problems


def _range_problems(value: Any, path: str) -> list[Problem]:
    problems: list[Problem] = []
    for field in attrs.fields(type(value)):
        item = getattr(value, field.name)
        field_path = f'{path}.{field.name}' if path else field.name
        if attrs.has(type(item)):
            problems += _range_problems(item, field_path)
        elif isinstance(item, str) and not item:
            problems.append(Problem(field_path, 'must not be empty'))
        elif isinstance(item, int | float) and not isinstance(item, bool):
            problems += _number_problems(field.name, item, field_path)
    return problems


def _number_problems(name: str, value: float, field_path: str) -> list[Problem]:
    if name.endswith('_port'):
        in_range = 0 <= value <= MAX_PORT
        return [] if in_range else [Problem(field_path, f'must be a port number, 0 to {MAX_PORT}')]
    if name.endswith('_ratio'):
        return [] if 0 <= value <= 1 else [Problem(field_path, 'must be between 0 and 1')]
    return [] if value > 0 else [Problem(field_path, 'must be above 0')]


def _host_problems(settings: Settings) -> list[Problem]:
    hosts = [('listen_host', settings.listen_host)]
    if settings.metrics.statsd_host is not None:
        hosts.append(('metrics.statsd_host', settings.metrics.statsd_host))
    return [Problem(path, 'must be an IP number') for path, host in hosts if not _is_ip(host)]


def _file_problems(settings: Settings) -> list[Problem]:
    files: list[tuple[str, str]] = []
    for name, tls in (('entry', settings.entry.tls), ('admin', settings.admin.tls)):
        if tls is not None:
            files.append((f'{name}.tls.certificate_file', tls.certificate_file))
            files.append((f'{name}.tls.key_file', tls.key_file))
    if settings.admin.token_file is not None:
        files.append(('admin.token_file', settings.admin.token_file))
    return [
        Problem(path, 'cannot be read') for path, name in files if not os.access(name, os.R_OK)
    ]


def _is_ip(host: str) -> bool:
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def _is_loopback(host: str) -> bool:
    return _is_ip(host) and ipaddress.ip_address(host).is_loopback
