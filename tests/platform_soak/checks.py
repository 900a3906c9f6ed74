"""Checks the gateways' guarantees against the records of callers and replicas."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from tests.platform_soak.callers import NOT_RUN_STATUSES, CallRecord
from tests.platform_soak.keys import (
    LIMIT_BURST,
    LIMIT_PER_S,
    LIMIT_WINDOW_S,
    LIMITED_ORGANISATION,
)
from tests.platform_soak.world import MAX_ADAPTERS, MAX_MODELS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from standins.users_platform.replica import ReplicaStandIn
    from tests.platform_soak.keys import Keys


def find_violations(
    history: list[CallRecord], replicas: Iterable[ReplicaStandIn], keys: Keys | None = None
) -> list[str]:
    """Return one line for each violated guarantee.

    :param keys: API keys that the calls used; ``None`` if they used none.
    """
    replicas = list(replicas)
    runs = collections.Counter(call_id for one in replicas for call_id in one.runs)
    lines = [line for record in history for line in _call_violations(record, runs[record.call_id])]
    sent_ids = {record.call_id for record in history}
    lines += [
        f'{call_id}: ran, but no caller sent it' for call_id in runs if call_id not in sent_ids
    ]
    if keys is not None:
        calls_by_id = {record.call_id: record for record in history}
        lines += [line for one in replicas for line in _key_violations(one, calls_by_id, keys)]
        lines += _limit_violations(replicas)
    return [*lines, *_memory_violations(replicas), *_fence_violations(replicas)]


def _key_violations(
    replica: ReplicaStandIn, calls_by_id: dict[str, CallRecord], keys: Keys
) -> Iterator[str]:
    for seen in replica.received_calls:
        record = calls_by_id.get(seen.call_id)
        if record is None:
            continue
        key = keys.get(record.key)
        if 'Authorization' in seen.headers or record.key in str(seen.headers):
            yield f'{seen.call_id}: its key reached {replica.replica_id}'
        if key is None:
            yield f'{seen.call_id}: ran with a key that never existed'
        elif seen.headers.get('Limeshelf-Tenant') != key.organisation:
            yield f'{seen.call_id}: not attributed to {key.organisation}: {seen.headers}'
        elif key.is_revoked(record.sent_s):
            assert key.revoked_s is not None
            late_s = record.sent_s - key.revoked_s
            yield f'{seen.call_id}: sent {late_s:.2f} s after its key was revoked, and ran'


def _limit_violations(replicas: list[ReplicaStandIn]) -> Iterator[str]:
    runs = sorted(
        seen.at_s
        for one in replicas
        for seen in one.received_calls
        if seen.headers.get('Limeshelf-Tenant') == LIMITED_ORGANISATION
        and seen.call_id in one.runs
    )
    max_calls = LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_BURST
    for index, at_s in enumerate(runs):
        count = sum(at_s <= other_s < at_s + LIMIT_WINDOW_S for other_s in runs[index:])
        if count > max_calls:
            yield (
                f'{LIMITED_ORGANISATION}: {count} calls in {LIMIT_WINDOW_S:.0f} s, '
                f'{max_calls:.0f} allowed'
            )
            return


def _call_violations(record: CallRecord, runs: int) -> Iterator[str]:
    runs_at_most_once = record.kind in ('unsafe', 'stream')
    if runs_at_most_once and runs > 1:
        yield f'{record.call_id}: {record.kind} ran {runs} times'
    if runs_at_most_once and record.status in NOT_RUN_STATUSES and runs:
        yield f'{record.call_id}: {record.kind} answered {record.status} but ran'
    if record.status != 200:
        return
    if record.stamp != f's.{record.call_id}':
        yield f'{record.call_id}: response of another call: {record.stamp!r}'
    if not runs:
        yield f'{record.call_id}: succeeded but never ran'
    if record.model:
        expected = b''.join(b'id: %d\ndata: token %d\n\n' % (n, n) for n in range(1, 6))
    else:
        expected = b'answer of ' + record.call_id.encode()
    if record.body != expected:
        yield f'{record.call_id}: {record.kind} succeeded with {record.body[:80]!r}'


def _memory_violations(replicas: list[ReplicaStandIn]) -> Iterator[str]:
    for one in replicas:
        if one.peak_models > MAX_MODELS:
            yield f'{one.replica_id}: {one.peak_models} models in memory at once'
        if one.peak_adapters > MAX_ADAPTERS:
            yield f'{one.replica_id}: {one.peak_adapters} adapters in memory at once'


def _fence_violations(replicas: list[ReplicaStandIn]) -> Iterator[str]:
    holders: dict[int, set[str]] = collections.defaultdict(set)
    for one in replicas:
        for order in one.orders:
            holders[order.fence].add(order.holder)
    for fence, names in holders.items():
        if len(names) > 1:
            yield f'fence {fence} used by several holders: {sorted(names)}'
