"""Directory of the upstreams: their state, their items and whether they accept requests.

Owns the last state of each upstream and the boots that announced their shutdown. Fed from the
instance list and from state messages.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from absl import logging

from limeshelf.standalone.config.items import unversioned
from limeshelf.standalone.services.instances import Listed, ListedKind, ListedState
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.standalone.messages import UpstreamState


#: Maximum number of states kept for upstreams that are not listed yet.
UNLISTED_STATES_LIMIT = 10_000


@attrs.define
class Upstream:
    """One upstream as this process knows it.

    :param left_boot_ids: boots that announced their shutdown; they get no new requests,
        regardless of their state in the instance list.
    :param heard_s: when the last state arrived, on the boot clock.
    :param avoid_until_s: no new requests before this time, after a failed connection.
    """

    listed: Listed
    boot_id: str = ''
    sequence: int = -1
    reachable: bool = False
    running: int = 0
    ready_items: frozenset[str] = frozenset()
    heard_s: float = float('-inf')
    avoid_until_s: float = float('-inf')
    left_boot_ids: set[str] = attrs.field(factory=set)

    @property
    def upstream_id(self) -> str:
        """Return the id of the upstream."""
        return self.listed.instance_id

    @property
    def leaving(self) -> bool:
        """Return whether the upstream is shutting down and gets no new requests."""
        announced = bool(self.left_boot_ids) and (
            not self.boot_id or self.boot_id in self.left_boot_ids
        )
        return announced or self.listed.state is ListedState.LEAVING


class UpstreamDirectory:
    """All upstreams of all data centres.

    :param stale_s: age beyond which a state is stale.
    """

    def __init__(self, data_centre: str, stale_s: float) -> None:
        self.data_centre = data_centre
        self._stale_s = stale_s
        self._upstreams: dict[str, Upstream] = {}
        #: Upstreams that hold some version of an item, by its unversioned name.
        self._holders: dict[str, set[str]] = {}
        self._unlisted_states: dict[str, UpstreamState] = {}
        self._leaving_listeners: list[Callable[[str, str], None]] = []

    def add_leaving_listener(self, listener: Callable[[str, str], None]) -> None:
        """Call *listener* with upstream id and boot id once for each boot that is leaving."""
        self._leaving_listeners.append(listener)

    def take_listed(self, instances: list[Listed]) -> None:
        """Apply a new instance list; upstreams no longer listed are removed."""
        listed = {
            line.instance_id: line for line in instances if line.kind is not ListedKind.ENTRY
        }
        for upstream_id in [known for known in self._upstreams if known not in listed]:
            self._set_items(self._upstreams.pop(upstream_id), frozenset())
            logging.info('upstream=%s state=unlisted', upstream_id)
        for upstream_id, line in listed.items():
            self._apply_listed(upstream_id, line)

    def _apply_listed(self, upstream_id: str, line: Listed) -> None:
        known = self._upstreams.get(upstream_id)
        if known is None:
            self._upstreams[upstream_id] = Upstream(line)
            logging.info('upstream=%s state=listed kind=%s', upstream_id, line.kind)
            unlisted_state = self._unlisted_states.pop(upstream_id, None)
            if unlisted_state is not None:
                self.take_state(unlisted_state)
            return
        if line.address != known.listed.address:
            self._set_items(known, frozenset())
            self._upstreams[upstream_id] = Upstream(line, left_boot_ids=known.left_boot_ids)
            return
        known.listed = line

    def take_state(self, state: UpstreamState) -> None:
        """Record a state, unless it is older than the last one."""
        known = self._upstreams.get(state.upstream_id)
        if known is None:
            self._keep_unlisted_state(state)
            return
        if state.boot_id == known.boot_id and state.sequence < known.sequence:
            return
        if state.boot_id and state.boot_id != known.boot_id:
            known.boot_id = state.boot_id
            self._set_items(known, frozenset())
        known.sequence = state.sequence
        if state.reachable != known.reachable:
            logging.info(
                'upstream=%s state=%s',
                state.upstream_id,
                'reachable' if state.reachable else 'unreachable',
            )
        known.reachable = state.reachable
        known.running = state.running
        known.heard_s = boottime_s()
        if state.ready_items is not None:
            self._set_items(known, frozenset(state.ready_items))
        if state.leaving:
            self.mark_leaving(state.upstream_id, state.boot_id)

    def _keep_unlisted_state(self, state: UpstreamState) -> None:
        """Keep a state that arrived before the instance list that names its upstream."""
        if len(self._unlisted_states) < UNLISTED_STATES_LIMIT and state.ready_items is not None:
            self._unlisted_states[state.upstream_id] = state

    def _set_items(self, upstream: Upstream, items: frozenset[str]) -> None:
        """Record the items that an upstream holds and update the index of holders."""
        if items == upstream.ready_items:
            return
        for name in map(unversioned, upstream.ready_items - items):
            self._holders.get(name, set()).discard(upstream.upstream_id)
        for name in map(unversioned, items):
            self._holders.setdefault(name, set()).add(upstream.upstream_id)
        upstream.ready_items = items

    def mark_leaving(self, upstream_id: str, boot_id: str) -> None:
        """Mark this boot of the upstream as leaving: it gets no new requests."""
        known = self._upstreams.get(upstream_id)
        if known is None:
            return
        boot_id = boot_id or known.boot_id
        if boot_id in known.left_boot_ids:
            return
        known.left_boot_ids.add(boot_id)
        logging.info('upstream=%s state=leaving boot=%s', upstream_id, boot_id)
        for listener in self._leaving_listeners:
            listener(upstream_id, boot_id)

    def avoid(self, upstream_id: str, for_s: float) -> None:
        """Send the upstream no new requests for *for_s* seconds, after a failed connection."""
        known = self._upstreams.get(upstream_id)
        if known is not None:
            known.avoid_until_s = boottime_s() + for_s

    def get(self, upstream_id: str) -> Upstream | None:
        """Return the upstream, ``None`` if it is not listed."""
        return self._upstreams.get(upstream_id)

    def all(self) -> list[Upstream]:
        """Return all upstreams."""
        return list(self._upstreams.values())

    def engines(self) -> list[Upstream]:
        """Return all engines."""
        return [u for u in self._upstreams.values() if u.listed.kind is ListedKind.ENGINE]

    def holders(self, item_id: str) -> list[Upstream]:
        """Return the engines that hold the item in this or another version."""
        ids = self._holders.get(unversioned(item_id), ())
        return [self._upstreams[upstream_id] for upstream_id in ids]

    def plain(self, service: str) -> list[Upstream]:
        """Return all replicas of a plain service."""
        return [
            u
            for u in self._upstreams.values()
            if u.listed.kind is ListedKind.PLAIN and u.listed.service == service
        ]

    def own_centre(self) -> list[Upstream]:
        """Return all upstreams of the own data centre."""
        return [u for u in self._upstreams.values() if u.listed.data_centre == self.data_centre]

    def all_heard(self) -> bool:
        """Return whether a state of every upstream that is not leaving has arrived."""
        return all(
            upstream.heard_s > float('-inf') or upstream.leaving
            for upstream in self._upstreams.values()
        )

    def is_fresh(self, upstream: Upstream) -> bool:
        """Return whether the last state is recent and says that the upstream is reachable."""
        return upstream.reachable and boottime_s() - upstream.heard_s <= self._stale_s

    def takes_work(self, upstream: Upstream, drained: frozenset[str]) -> bool:
        """Return whether new requests may be sent to the upstream."""
        return (
            not upstream.leaving
            and upstream.upstream_id not in drained
            and upstream.avoid_until_s <= boottime_s()
        )
