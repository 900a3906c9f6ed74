"""Call histories as recorded by clients, and the invariants that they are checked against.

The fault soak, the features and ``make recovery`` all use these checks.
"""

from __future__ import annotations

import json
import zlib
from collections import Counter
from typing import TYPE_CHECKING, Any

import attrs

if TYPE_CHECKING:
    from standins.launcher import System


@attrs.frozen
class Call:
    """One call and its result, as the client observed it.

    :param outcome: ``completed``, ``not_run`` or ``may_have_run`` as stated by the response;
        ``refused`` or ``dropped`` if the connection failed; ``missing`` if none was stated.
    """

    kind: str
    caller: str
    key: str
    instance: str
    started_s: float
    ended_s: float
    status: int
    outcome: str
    whole: bool
    revision: int
    first_s: float = 0.0
    retry_after: str | None = None
    model: str = ''
    reason: str = ''


def check_stream(text: str, caller: str, prompt: str, tokens: int) -> tuple[str, bool]:
    """Return a streamed response's outcome, and whether its tokens are the expected ones.

    A truncated response must end with an error event; it may not look complete.
    """
    events = [json.loads(e[6:]) for e in text.split('\n\n') if e.startswith('data: {')]
    mark = f'{caller}.{zlib.crc32(f"user: {prompt}".encode()):08x}'
    got = [e['choices'][0]['delta'].get('content', '') for e in events if 'choices' in e]
    got = [token for token in got if token]
    own = all(token == f'{mark}.{index} ' for index, token in enumerate(got))
    errors = [e['error'] for e in events if 'error' in e]
    if errors:
        return errors[-1]['outcome'], own
    ended = text.endswith('data: [DONE]\n\n')
    return ('completed' if ended else 'dropped'), own and (len(got) == tokens or not ended)


def find_history_violations(history: list[Call], runs: dict[str, int]) -> list[str]:
    """Check a history against the upstreams' execution counts; return all violations.

    :param runs: number of executions of each idempotency key, over all upstreams.
    """
    faults = [
        f'response incomplete or of another call: {call}'
        for call in history
        if call.outcome == 'completed' and not call.whole
    ]
    faults += [
        f'no outcome in the response: {call}' for call in history if call.outcome == 'missing'
    ]
    faults += [f'{key} ran {n} times' for key, n in runs.items() if key and n > 1]
    outcomes_by_key: dict[str, set[str]] = {}
    for call in history:
        if call.key:
            outcomes_by_key.setdefault(call.key, set()).add(call.outcome)
    for key, outcomes in outcomes_by_key.items():
        ran = runs.get(key, 0) > 0
        if outcomes == {'not_run'} and ran:
            faults.append(f'{key} was reported as not run but ran')
        if 'completed' in outcomes and not ran:
            faults.append(f'{key} was reported as completed but did not run')
    return faults + find_revision_violations(history)


def find_revision_violations(history: list[Call]) -> list[str]:
    """Return where an instance reverted to an older revision between non-overlapping calls."""
    faults = []
    highest: dict[str, tuple[float, int]] = {}
    for call in sorted(history, key=lambda c: c.ended_s):
        if not call.revision:
            continue
        ended_s, revision = highest.get(call.instance, (0.0, 0))
        if call.revision < revision and call.started_s > ended_s:
            faults.append(f'{call.instance} reverted to revision {call.revision}: {call}')
        if call.revision >= revision:
            highest[call.instance] = (call.ended_s, call.revision)
    return faults


def count_runs_by_key(system: System) -> dict[str, int]:
    """Return the number of executions of each key, over all plain services."""
    runs: Counter[str] = Counter()
    for upstream in system.upstreams.values():
        if upstream.line['kind'] == 'plain':
            for run in system.record(upstream.upstream_id)['runs']:
                runs[run['key']] += 1
    return dict(runs)


def recorded_overcommits(system: System) -> list[Any]:
    """Return every recorded moment at which an engine exceeded its memory."""
    return [
        found
        for upstream in system.upstreams.values()
        if upstream.line['kind'] == 'engine'
        for found in system.record(upstream.upstream_id)['overcommits']
    ]
