"""Keeps the instance list up to date, from the platform or from a peer.

One entry process of a data centre reads the list and sends it to the others. Owns the list
last known.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from absl import logging

from limeshelf.errors import PlatformUnavailable, PlatformUnknown
from limeshelf.standalone.messages import Heartbeat, ListedInstances
from limeshelf.standalone.services.outages import OUTAGE_LOG_S
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.standalone.membership.processes import ProcessDirectory
    from limeshelf.standalone.services.instances import InstanceListClient, Listed

#: An unchanged instance list is sent again after this time, for peers that missed it. A
#: starting process reads the list itself.
LISTED_REFRESH_S = 30.0


class InstanceListSync:
    """Reads the instance list, sends it to peers and receives it from them.

    :param reads_platform: returns whether this process currently reads the list for its
        data centre.
    """

    def __init__(
        self,
        instances: InstanceListClient,
        processes: ProcessDirectory,
        node: PeerNode,
        reads_platform: Callable[[], bool],
    ) -> None:
        self._instances = instances
        self._processes = processes
        self._node = node
        self._reads_platform = reads_platform
        self._listeners: list[Callable[[list[Listed]], None]] = []
        self._listed: list[Listed] = []
        self._sent: list[Listed] = []
        self._sent_s = float('-inf')
        node.add_handler(ListedInstances, self._handle_listed_instances)
        processes.add_new_listener(self._send_to_new_process)

    def add_listener(self, listener: Callable[[list[Listed]], None]) -> None:
        """Call *listener* with each new instance list."""
        self._listeners.append(listener)

    async def read(self) -> bool:
        """Read the list from the platform; return whether it answered."""
        try:
            listed = await self._instances.list()
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The last list stays in use: failed connections reveal upstreams that are gone, and
            # the next successful read adds new ones.
            logging.log_every_n_seconds(
                logging.WARNING, 'instances=not_read error=%r', OUTAGE_LOG_S, error
            )
            return False
        self._apply(listed)
        if self._reads_platform():
            self._send(listed)
        return True

    def _send(self, listed: list[Listed]) -> None:
        """Send the list to the data centre if it changed or ``LISTED_REFRESH_S`` have passed."""
        now_s = boottime_s()
        if listed == self._sent and now_s - self._sent_s < LISTED_REFRESH_S:
            return
        self._sent, self._sent_s = listed, now_s
        self._node.send_all(self._processes.centre_addresses(), ListedInstances(listed))

    def _apply(self, listed: list[Listed]) -> None:
        self._listed = listed
        self._processes.take_listed(listed)
        for listener in self._listeners:
            listener(listed)

    def _handle_listed_instances(self, envelope: Envelope) -> None:
        self._apply(envelope.message.instances)

    def _send_to_new_process(self, newcomer: Heartbeat) -> None:
        """Send the instance list to a process that has just started.

        The process may have started while the platform is down
        (tests/features/configuration.feature).
        """
        near = newcomer.data_centre == self._processes.own.data_centre
        if near and self._listed and self._reads_platform():
            self._node.send(newcomer.address, ListedInstances(self._listed))
