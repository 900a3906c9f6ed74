"""Keeps the instance list: read from the platform, or sent by the process that reads it.

Owns the list last known. Relies on the client of the instance list and on the peers; one
entry process of a data centre reads the list and sends it to the others.
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

#: An unchanged instance list is sent again after this time, for peers that missed it; a
#: starting process reads the list by itself.
LISTED_REFRESH_S = 30.0


class InstanceListSync:
    """Reads the instance list, sends it to peers and takes it from them.

    :param reads_platform: tells whether this process is the data centre's
        reader of the platform at the moment.
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
        node.add_handler(ListedInstances, self._take)
        processes.add_new_listener(self._send_to_newcomer)

    def add_listener(self, listener: Callable[[list[Listed]], None]) -> None:
        """Call *listener* with each new instance list."""
        self._listeners.append(listener)

    async def read(self) -> bool:
        """Read the list from the platform; return whether it answered."""
        try:
            listed = await self._instances.list()
        except (PlatformUnavailable, PlatformUnknown) as error:
            # The list known so far stays good: an upstream that is gone is found by
            # its failed connections, and the next read brings what is new.
            logging.log_every_n_seconds(
                logging.WARNING, 'instances=not_read error=%r', OUTAGE_LOG_S, error
            )
            return False
        self._use(listed)
        if self._reads_platform():
            self._send(listed)
        return True

    def _send(self, listed: list[Listed]) -> None:
        """Send the list to the data centre when it changed, and now and then."""
        now_s = boottime_s()
        if listed == self._sent and now_s - self._sent_s < LISTED_REFRESH_S:
            return
        self._sent, self._sent_s = listed, now_s
        self._node.send_all(self._processes.centre_addresses(), ListedInstances(listed))

    def _use(self, listed: list[Listed]) -> None:
        self._listed = listed
        self._processes.take_listed(listed)
        for listener in self._listeners:
            listener(listed)

    def _take(self, envelope: Envelope) -> None:
        self._use(envelope.message.instances)

    def _send_to_newcomer(self, newcomer: Heartbeat) -> None:
        """Send the instance list to a process that has just started.

        It may have started while the platform is down
        (tests/features/configuration.feature).
        """
        near = newcomer.data_centre == self._processes.own.data_centre
        if near and self._listed and self._reads_platform():
            self._node.send(newcomer.address, ListedInstances(self._listed))
