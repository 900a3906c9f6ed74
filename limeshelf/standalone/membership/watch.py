"""Probes the upstreams assigned to this instance and sends their states to the peers.

Owns the set of upstreams probed here and the states not yet sent. The assignment follows from
the live entry processes (docs/design/membership.rst).
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from limeshelf.errors import LimeshelfError
from limeshelf.standalone.membership.rendezvous import rank
from limeshelf.standalone.membership.states import (
    SentStates,
    engine_state,
    known_state,
    plain_state,
    unreachable_state,
)
from limeshelf.standalone.messages import LeavingNotice, UpstreamState, UpstreamStates
from limeshelf.standalone.services.instances import ListedKind
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.membership.processes import ProcessDirectory
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.messages import Heartbeat
    from limeshelf.standalone.upstreams.pool import UpstreamPool

#: Number of entry instances that probe each upstream (docs/design/membership.rst).
PROBERS_PER_UPSTREAM = 2
#: Consecutive failed probes after which an upstream counts as unreachable.
FAILED_PROBES = 3
#: Interval between messages with own states to the other data centres.
REMOTE_SHARE_INTERVAL_S = 1.0
#: Timeout of one probe.
REPORT_TIMEOUT_S = 1.0
#: Limit of probes per second in one process, over all upstreams: one costs about 0.9 ms
#: (docs/CAPACITY.md).
PROBES_PER_S = 10.0


class UpstreamWatch:
    """Probes the upstreams assigned to this instance.

    :param report_s: minimum pause between two probes of one upstream.
    """

    def __init__(
        self,
        processes: ProcessDirectory,
        upstreams: UpstreamDirectory,
        pool: UpstreamPool,
        node: PeerNode,
        report_s: float,
    ) -> None:
        self._processes = processes
        self._upstreams = upstreams
        self._pool = pool
        self._node = node
        self._report_s = report_s
        self._tasks = TaskSet()
        self._watched: dict[str, asyncio.Task[None]] = {}
        self._unsent: dict[str, UpstreamState] = {}
        self._sent = SentStates()
        upstreams.add_leaving_listener(self._broadcast_leaving)
        processes.add_new_listener(self._send_to_new_process)

    def start(self) -> None:
        """Start the tasks that assign upstreams, probe them and send their states."""
        self._tasks.supervise(self._assign, 'watch-assign')
        self._tasks.supervise(self._share, 'watch-share')
        self._tasks.supervise(self._share_remote, 'watch-share-remote')

    async def close(self) -> None:
        """Stop all tasks."""
        await self._tasks.close()

    def _is_assigned(self, upstream: Upstream) -> bool:
        entries = set(self._processes.live_entries()) | {self._processes.own.instance_id}
        chosen = rank(upstream.upstream_id, entries)[:PROBERS_PER_UPSTREAM]
        return self._processes.own.instance_id in chosen

    async def _assign(self) -> None:
        while True:
            ours = {u.upstream_id for u in self._upstreams.own_centre() if self._is_assigned(u)}
            for upstream_id in set(self._watched) - ours:
                self._watched.pop(upstream_id).cancel()
            for upstream_id in ours - set(self._watched):
                task = self._tasks.supervise(self._watch, f'watch-{upstream_id}', upstream_id)
                self._watched[upstream_id] = task
            await asyncio.sleep(jittered_s(self._report_s))

    async def _watch(self, upstream_id: str) -> None:
        failed = 0
        while True:
            upstream = self._upstreams.get(upstream_id)
            if upstream is None:
                return
            try:
                self._record_state(await self._probe(upstream))
                failed = 0
            except LimeshelfError:
                # One failed probe changes no state; the directory logs each change.
                failed += 1
                if failed >= FAILED_PROBES:
                    self._record_state(unreachable_state(upstream))
            await asyncio.sleep(jittered_s(self._probe_pause_s))

    @property
    def _probe_pause_s(self) -> float:
        """Return the pause between two probes of one upstream.

        It grows with the number of probed upstreams, so that the total rate of probes
        stays within ``PROBES_PER_S``.
        """
        return max(self._report_s, len(self._watched) / PROBES_PER_S)

    async def _probe(self, upstream: Upstream) -> UpstreamState:
        if upstream.listed.kind is ListedKind.ENGINE:
            report = await self._pool.engine(upstream).report(REPORT_TIMEOUT_S)
            return engine_state(upstream.upstream_id, report)
        plain = await self._pool.plain(upstream).report(REPORT_TIMEOUT_S)
        return plain_state(upstream.upstream_id, plain)

    def _record_state(self, state: UpstreamState) -> None:
        self._upstreams.take_state(state)
        self._unsent[state.upstream_id] = state

    async def _share(self) -> None:
        while True:
            await asyncio.sleep(jittered_s(self._report_s))
            now_s = boottime_s()
            shortened = [self._sent.shorten(state, now_s) for state in self._unsent.values()]
            self._unsent.clear()
            states = [state for state in shortened if state is not None]
            if states:
                message = UpstreamStates(self._upstreams.data_centre, states)
                self._node.send_all(self._processes.centre_addresses(), message)

    async def _share_remote(self) -> None:
        while True:
            await asyncio.sleep(jittered_s(REMOTE_SHARE_INTERVAL_S))
            if not self._processes.is_chosen('gateway'):
                continue
            states = [
                known_state(u) for u in self._upstreams.own_centre() if self._upstreams.is_fresh(u)
            ]
            message = UpstreamStates(self._upstreams.data_centre, states, relay=True)
            for addresses in self._processes.remote_entries().values():
                if addresses:
                    self._node.send(random.choice(addresses), message)

    def _send_to_new_process(self, heartbeat: Heartbeat) -> None:
        """Send the states of the upstreams probed here to a process that has just started."""
        watched = filter(None, map(self._upstreams.get, self._watched))
        states = [known_state(upstream) for upstream in watched if upstream.boot_id]
        if states and heartbeat.data_centre == self._upstreams.data_centre:
            message = UpstreamStates(self._upstreams.data_centre, states)
            self._node.send(heartbeat.address, message)

    def _broadcast_leaving(self, upstream_id: str, boot_id: str) -> None:
        notice = LeavingNotice(upstream_id, boot_id)
        self._node.send_all(self._processes.centre_addresses(), notice)
        relayed = LeavingNotice(upstream_id, boot_id, relay=True)
        for addresses in self._processes.remote_entries().values():
            if addresses:
                self._node.send(random.choice(addresses), relayed)
