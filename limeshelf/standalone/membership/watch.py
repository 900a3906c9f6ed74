"""Watches upstreams and shares their states with the peers."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from limeshelf.errors import LimeshelfError
from limeshelf.standalone.membership.rendezvous import rank
from limeshelf.standalone.messages import LeavingNotice, UpstreamState, UpstreamStates
from limeshelf.standalone.services.instances import ListedKind
from limeshelf.standalone.upstreams.messages import EngineReport, ItemState, PlainReport
from limeshelf.util.backoff import jittered_s
from limeshelf.util.clock import boottime_s
from limeshelf.util.tasks import TaskSet

if TYPE_CHECKING:
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.membership.processes import ProcessDirectory
    from limeshelf.standalone.membership.upstreams import Upstream, UpstreamDirectory
    from limeshelf.standalone.messages import Heartbeat
    from limeshelf.standalone.upstreams.pool import UpstreamPool

#: Entry instances that watch each upstream.
WATCHERS = 2
#: Item lists are sent again after this time, for peers that missed the change.
REFRESH_S = 5.0
#: Failed looks in a row after which an upstream counts as unreachable.
FAILED_LOOKS = 3
#: Pause between two sendings of own states to the other data centres.
REMOTE_PERIOD_S = 1.0
REPORT_TIMEOUT_S = 1.0
#: Running counts are rounded up to this step before they count as a change.
RUNNING_STEP = 4
#: An unchanged state is sent again after this time.
MAX_REPORT_GAP_S = 1.5
#: Looks at upstreams that one process makes in a second, over all of them.
LOOKS_PER_S = 10.0


class UpstreamWatch:
    """Looks at the upstreams that fall to this instance.

    :param report_s: pause between two looks at one upstream.
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
        self._sent: dict[str, tuple[UpstreamState, float]] = {}
        self._items_sent_s: dict[str, float] = {}
        upstreams.add_leaving_listener(self._spread_leaving)
        processes.add_new_listener(self._tell_newcomer)

    def start(self) -> None:
        """Start to assign, watch and share."""
        self._tasks.keep(self._assign, 'watch-assign')
        self._tasks.keep(self._share, 'watch-share')
        self._tasks.keep(self._share_remote, 'watch-share-remote')

    async def close(self) -> None:
        """Stop watching."""
        await self._tasks.close()

    def _is_ours(self, upstream: Upstream) -> bool:
        entries = set(self._processes.live_entries()) | {self._processes.own.instance_id}
        chosen = rank(upstream.upstream_id, entries)[:WATCHERS]
        return self._processes.own.instance_id in chosen

    async def _assign(self) -> None:
        while True:
            ours = {u.upstream_id for u in self._upstreams.own_centre() if self._is_ours(u)}
            for upstream_id in set(self._watched) - ours:
                self._watched.pop(upstream_id).cancel()
            for upstream_id in ours - set(self._watched):
                task = self._tasks.keep(self._watch, f'watch-{upstream_id}', upstream_id)
                self._watched[upstream_id] = task
            await asyncio.sleep(jittered_s(self._report_s))

    async def _watch(self, upstream_id: str) -> None:
        failed = 0
        while True:
            upstream = self._upstreams.get(upstream_id)
            if upstream is None:
                return
            try:
                self._note(await self._look(upstream))
                failed = 0
            except LimeshelfError:
                failed += 1
                if failed >= FAILED_LOOKS:
                    self._note(_unreachable(upstream))
            await asyncio.sleep(jittered_s(self._look_pause_s))

    @property
    def _look_pause_s(self) -> float:
        """Return the pause between two looks at one upstream.

        It grows with the number of upstreams watched, so that looking costs the
        same however many there are.
        """
        return max(self._report_s, len(self._watched) / LOOKS_PER_S)

    async def _look(self, upstream: Upstream) -> UpstreamState:
        if upstream.listed.kind is ListedKind.ENGINE:
            report = await self._pool.engine(upstream).report(REPORT_TIMEOUT_S)
            return _engine_state(upstream.upstream_id, report)
        plain = await self._pool.plain(upstream).report(REPORT_TIMEOUT_S)
        return _plain_state(upstream.upstream_id, plain)

    def _note(self, state: UpstreamState) -> None:
        self._upstreams.take_state(state)
        self._unsent[state.upstream_id] = state

    async def _share(self) -> None:
        while True:
            await asyncio.sleep(jittered_s(self._report_s))
            states = [self._shortened(state) for state in self._unsent.values()]
            self._unsent.clear()
            worth = [state for state in states if state is not None]
            if worth:
                message = UpstreamStates(self._upstreams.data_centre, worth)
                self._node.send_all(self._processes.centre_addresses(), message)

    def _shortened(self, state: UpstreamState) -> UpstreamState | None:
        """Return *state* without what peers know, ``None`` if they know it all."""
        now_s = boottime_s()
        before, sent_s = self._sent.get(state.upstream_id, (None, 0.0))
        same_items = before is not None and before.ready_items == state.ready_items
        items_age_s = now_s - self._items_sent_s.get(state.upstream_id, 0.0)
        with_items = not same_items or items_age_s > REFRESH_S
        recent = now_s - sent_s < MAX_REPORT_GAP_S
        if before is not None and not with_items and recent and _alike(before, state):
            return None
        self._sent[state.upstream_id] = (state, now_s)
        if with_items:
            self._items_sent_s[state.upstream_id] = now_s
            return state
        return UpstreamState(
            state.upstream_id,
            state.boot_id,
            state.sequence,
            state.reachable,
            state.leaving,
            state.running,
            None,
        )

    async def _share_remote(self) -> None:
        while True:
            await asyncio.sleep(jittered_s(REMOTE_PERIOD_S))
            if not self._processes.is_chosen('gateway'):
                continue
            states = [
                _state_of(u) for u in self._upstreams.own_centre() if self._upstreams.is_fresh(u)
            ]
            message = UpstreamStates(self._upstreams.data_centre, states, relay=True)
            for addresses in self._processes.remote_entries().values():
                if addresses:
                    self._node.send(random.choice(addresses), message)

    def _tell_newcomer(self, heartbeat: Heartbeat) -> None:
        """Send all that is watched here to a process that has just started."""
        watched = filter(None, map(self._upstreams.get, self._watched))
        states = [_state_of(upstream) for upstream in watched if upstream.boot_id]
        if states and heartbeat.data_centre == self._upstreams.data_centre:
            message = UpstreamStates(self._upstreams.data_centre, states)
            self._node.send(heartbeat.address, message)

    def _spread_leaving(self, upstream_id: str, boot_id: str) -> None:
        notice = LeavingNotice(upstream_id, boot_id)
        self._node.send_all(self._processes.centre_addresses(), notice)
        relayed = LeavingNotice(upstream_id, boot_id, relay=True)
        for addresses in self._processes.remote_entries().values():
            if addresses:
                self._node.send(random.choice(addresses), relayed)


def _engine_state(upstream_id: str, report: EngineReport) -> UpstreamState:
    ready = [item.item_id for item in report.items if item.state is ItemState.READY]
    running = report.running + report.queued
    return UpstreamState(
        upstream_id,
        report.boot_id,
        report.sequence,
        True,
        report.leaving,
        running,
        sorted(ready),
    )


def _plain_state(upstream_id: str, report: PlainReport) -> UpstreamState:
    return UpstreamState(
        upstream_id, report.boot_id, report.sequence, True, report.leaving, report.running, []
    )


def _unreachable(upstream: Upstream) -> UpstreamState:
    return UpstreamState(
        upstream.upstream_id, upstream.boot_id, upstream.sequence, False, False, 0, None
    )


def _state_of(upstream: Upstream) -> UpstreamState:
    return UpstreamState(
        upstream.upstream_id,
        upstream.boot_id,
        upstream.sequence,
        upstream.reachable,
        upstream.leaving,
        upstream.running,
        sorted(upstream.ready_items),
    )


def _alike(before: UpstreamState, after: UpstreamState) -> bool:
    return (
        before.boot_id == after.boot_id
        and before.reachable == after.reachable
        and before.leaving == after.leaving
        and before.running // RUNNING_STEP == after.running // RUNNING_STEP
    )
