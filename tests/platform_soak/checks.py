"""The promises, checked from what callers and replicas saw."""

from __future__ import annotations

import collections
from typing import TYPE_CHECKING

from tests.platform_soak.callers import NOT_RUN, Asked
from tests.platform_soak.keys import (
    LIMIT_BURST,
    LIMIT_PER_S,
    LIMIT_WINDOW_S,
    LIMITED,
)
from tests.platform_soak.world import MOST_ADAPTERS, MOST_MODELS

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from standins.users_platform.replica import ReplicaStandIn
    from tests.platform_soak.keys import Keys


def broken_promises(
    history: list[Asked], replicas: Iterable[ReplicaStandIn], keys: Keys | None = None
) -> list[str]:
    """Return one line for each promise that did not hold.

    :param keys: that the calls carried; ``None`` where they carried none.
    """
    replicas = list(replicas)
    runs = collections.Counter(call_id for one in replicas for call_id in one.runs)
    lines = [line for asked in history for line in _of_call(asked, runs[asked.call_id])]
    known = {asked.call_id for asked in history}
    lines += [f'{call_id}: ran, but nobody asked' for call_id in runs if call_id not in known]
    if keys is not None:
        asked_of = {asked.call_id: asked for asked in history}
        lines += [line for one in replicas for line in _of_keys(one, asked_of, keys)]
        lines += _of_limit(replicas)
    return [*lines, *_of_replicas(replicas), *_of_holders(replicas)]


def _of_keys(replica: ReplicaStandIn, asked_of: dict[str, Asked], keys: Keys) -> Iterator[str]:
    for seen in replica.received_calls:
        asked = asked_of.get(seen.call_id)
        if asked is None:
            continue
        key = keys.get(asked.key)
        if 'Authorization' in seen.headers or asked.key in str(seen.headers):
            yield f'{seen.call_id}: its key reached {replica.replica_id}'
        if key is None:
            yield f'{seen.call_id}: ran with a key that nobody holds'
        elif seen.headers.get('Limeshelf-Tenant') != key.organisation:
            yield f'{seen.call_id}: not said to be of {key.organisation}: {seen.headers}'
        elif key.is_revoked(asked.sent_s):
            assert key.taken_s is not None
            late_s = asked.sent_s - key.taken_s
            yield f'{seen.call_id}: sent {late_s:.2f} s after its key was taken away, and ran'


def _of_limit(replicas: list[ReplicaStandIn]) -> Iterator[str]:
    runs = sorted(
        seen.at_s
        for one in replicas
        for seen in one.received_calls
        if seen.headers.get('Limeshelf-Tenant') == LIMITED and seen.call_id in one.runs
    )
    most = LIMIT_PER_S * LIMIT_WINDOW_S + LIMIT_BURST
    for place, at_s in enumerate(runs):
        count = sum(at_s <= other_s < at_s + LIMIT_WINDOW_S for other_s in runs[place:])
        if count > most:
            yield f'{LIMITED}: {count} calls in {LIMIT_WINDOW_S:.0f} s, {most:.0f} allowed'
            return


def _of_call(asked: Asked, runs: int) -> Iterator[str]:
    once = asked.kind in ('unsafe', 'stream')
    if once and runs > 1:
        yield f'{asked.call_id}: {asked.kind} ran {runs} times'
    if once and asked.status in NOT_RUN and runs:
        yield f'{asked.call_id}: {asked.kind} told {asked.status} but ran'
    if asked.status != 200:
        return
    if asked.stamp != f's.{asked.call_id}':
        yield f'{asked.call_id}: answer of another call: {asked.stamp!r}'
    if not runs:
        yield f'{asked.call_id}: success, but it never ran'
    if asked.model:
        whole = b''.join(b'id: %d\ndata: token %d\n\n' % (n, n) for n in range(1, 6))
    else:
        whole = b'answer of ' + asked.call_id.encode()
    if asked.body != whole:
        yield f'{asked.call_id}: {asked.kind} success with {asked.body[:80]!r}'


def _of_replicas(replicas: list[ReplicaStandIn]) -> Iterator[str]:
    for one in replicas:
        if one.peak_models > MOST_MODELS:
            yield f'{one.replica_id}: {one.peak_models} models at once'
        if one.peak_adapters > MOST_ADAPTERS:
            yield f'{one.replica_id}: {one.peak_adapters} adapters at once'


def _of_holders(replicas: list[ReplicaStandIn]) -> Iterator[str]:
    holders: dict[int, set[str]] = collections.defaultdict(set)
    for one in replicas:
        for order in one.orders:
            holders[order.fence].add(order.holder)
    for fence, names in holders.items():
        if len(names) > 1:
            yield f'fence {fence} used by {sorted(names)}'
