"""Holds the names of all metrics, scraped and sent by statsd.

Red means that a dashboard or an alert of the users may go blank. Put the name,
label or bucket back; edit ``recorded/*.txt`` and ``docs/reference/metrics.rst``
only for a change that the users agreed to.

Limits: statsd names are read from the source, as the literal or f-string first
argument of a call of ``.count(``, ``.gauge(`` or ``.time_s(`` that has a dot in
it; a name put together elsewhere isn't seen, so names stay literal at the call.
Whether a call is reached, and how often, isn't held.
"""

from __future__ import annotations

import ast
import asyncio
import enum
import re
import socket

import aiohttp
import pytest

from limeshelf.demand.unserved import UnservedKind
from limeshelf.metrics.prometheus import GatewayMetrics, MetricsServer
from limeshelf.metrics.statsd import Metrics
from limeshelf.orders.order import OrderOutcome
from limeshelf.settings.model import MetricsSettings
from limeshelf.standalone.config.document import PriorityClass
from limeshelf.standalone.membership.processes import ADMIN_PROGRAM, ENTRY_PROGRAM, PLACER_PROGRAM
from limeshelf.standalone.upstreams.messages import OrderAction, OrderRefusal
from tests.forms.recorded import ROOT, check_recorded

WHAT_TO_DO = 'Metric names are a contract; see the docstring of tests/forms/test_metrics.py.'
KINDS = {'count': 'counter', 'gauge': 'gauge', 'time_s': 'timer'}
#: What the variable parts of names may be.
VARIABLE_PARTS = {
    PriorityClass: {'high', 'normal', 'low'},
    OrderAction: {'load', 'unload', 'fence'},
    OrderRefusal: {
        '',
        'old_epoch',
        'old_number',
        'other_boot',
        'expired',
        'no_memory',
        'base_missing',
    },
    OrderOutcome: {
        'taken',
        'holds_already',
        'busy_or_stale',
        'fenced_off',
        'gone',
        'rejected',
    },
    UnservedKind: {'model', 'adapter'},
}


def sent_names(source: str) -> list[str]:
    """Return kind and name of each statsd call; a variable part is ``*``."""
    found = []
    for node in ast.walk(ast.parse(source)):
        if not (isinstance(node, ast.Call) and isinstance(node.func, ast.Attribute) and node.args):
            continue
        name = literal(node.args[0])
        if node.func.attr in KINDS and name is not None and '.' in name:
            found.append(f'{KINDS[node.func.attr]} {name}')
    return found


def literal(node: ast.expr) -> str | None:
    if isinstance(node, ast.Constant) and isinstance(node.value, str):
        return node.value
    if isinstance(node, ast.JoinedStr):
        return ''.join(literal(part) or '*' for part in node.values)
    return None


def test_statsd_names_are_the_recorded_ones() -> None:
    sources = [path.read_text() for path in (ROOT / 'limeshelf').rglob('*.py')]
    found = {name for source in sources for name in sent_names(source)}
    check_recorded('statsd.txt', sorted(found), WHAT_TO_DO)


def test_statsd_names_are_those_of_the_reference_page() -> None:
    """A variable part stands there as a word in capitals or as one of its values."""
    page = (ROOT / 'docs' / 'reference' / 'metrics.rst').read_text()
    rows = re.findall(r'^``(\S+)``\s+(counter|gauge|timer)\s', page, re.MULTILINE)
    named = {
        f'{kind} {re.sub("[A-Z]+|(?<=refused.)(starting|stopping)", "*", name)}'
        for name, kind in rows
    }
    check_recorded('statsd.txt', sorted(named), WHAT_TO_DO)


@pytest.mark.parametrize(('kind', 'values'), VARIABLE_PARTS.items())
def test_variable_parts_are_the_recorded_ones(kind: type[enum.Enum], values: set[str]) -> None:
    assert {str(member) for member in kind} == values, WHAT_TO_DO


def test_programs_keep_the_names_that_metrics_begin_with() -> None:
    names = (ADMIN_PROGRAM, ENTRY_PROGRAM, PLACER_PROGRAM)
    assert names == ('admin', 'entry', 'placer'), WHAT_TO_DO


def test_statsd_lines_on_the_wire() -> None:
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as receiver:
        receiver.bind(('127.0.0.1', 0))
        receiver.settimeout(5)
        settings = MetricsSettings(statsd_host='127.0.0.1', statsd_port=receiver.getsockname()[1])
        metrics = Metrics(settings, 'limeshelf.entry')
        metrics.count('entry.requests', 2)
        metrics.gauge('config.revision', 7)
        metrics.time_s('entry.first_token', 0.25)
        metrics.flush()
        assert receiver.recv(1500).decode().split('\n') == [
            'limeshelf.entry.entry.requests:2|c',
            'limeshelf.entry.config.revision:7|g',
            'limeshelf.entry.entry.first_token:250.000000|ms',
        ]


def scrape() -> tuple[str, str]:
    """Return content type and text of a scrape after one of each was observed."""

    async def play() -> tuple[str, str]:
        figures = GatewayMetrics()
        figures.observe_call(200, 0.3)
        figures.observe_config_lag(0.4)
        figures.observe_order('taken')
        figures.observe_store_call('read', 'members')
        figures.observe_unreadable_row('servers')
        figures.observe_restart('row')
        figures.observe_notice('rate')
        figures.observe_era_change('servers', 2)
        figures.observe_forwarded('Delivered')
        figures.observe_carried()
        figures.observe_peer_frame('table-words', 500, 0.02)
        figures.observe_rows('polled', 400)
        figures.watch_peers(lambda: 900, lambda: 2)
        figures.watch_unreachable(lambda: 3)
        figures.watch_unserved('model', lambda: 12.5, lambda: 2)
        figures.watch('some_gauge', 'Meaning.', lambda: 4.0)
        server = MetricsServer(figures)
        with socket.socket() as probe:
            probe.bind(('127.0.0.1', 0))
            port = probe.getsockname()[1]
        await server.start('127.0.0.1', port)
        try:
            url = f'http://127.0.0.1:{port}/metrics'
            async with aiohttp.ClientSession() as session, session.get(url) as answer:
                return answer.headers['Content-Type'], await answer.text()
        finally:
            await server.close()

    return asyncio.run(play())


def test_scrape_is_the_recorded_one() -> None:
    content_type, text = scrape()
    assert content_type == 'text/plain'
    # The time of the first observation differs from run to run.
    text = re.sub(r'^(\w+_created(?:{.*})?) \S+$', r'\1 TIME', text, flags=re.MULTILINE)
    lines = [line.removeprefix('# ') for line in text.splitlines()]
    lines = [line for line in lines if not line.startswith('HELP ')]
    check_recorded('scrape.txt', lines, WHAT_TO_DO)
