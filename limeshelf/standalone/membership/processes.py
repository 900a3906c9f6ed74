"""Tracks the live limeshelf processes by heartbeats and the instance list.

Owns the last heartbeat of each peer and the listed entry instances; assigns duties to the
entry processes of the data centre.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
from absl import logging

from limeshelf.standalone.membership.rendezvous import rank
from limeshelf.standalone.services.instances import Listed, ListedKind
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.standalone.messages import Heartbeat

ENTRY_PROGRAM = 'entry'
PLACER_PROGRAM = 'placer'
ADMIN_PROGRAM = 'admin'


@attrs.define
class _ReceivedHeartbeat:
    heartbeat: Heartbeat
    received_s: float


class ProcessDirectory:
    """The peers of this process.

    Messages go to the peers in the instance list, the seeds and the heartbeats. Only peers
    with a recent heartbeat count as alive.

    :param silence_s: time without a heartbeat after which a peer counts as gone.
    """

    def __init__(self, own: Heartbeat, seeds: list[str], silence_s: float) -> None:
        self.own = own
        self._seeds = seeds
        self._silence_s = silence_s
        self._listed: dict[str, Listed] = {}
        self._heard: dict[tuple[str, str], _ReceivedHeartbeat] = {}
        self._new_listeners: list[Callable[[Heartbeat], None]] = []

    def add_new_listener(self, listener: Callable[[Heartbeat], None]) -> None:
        """Call *listener* with the first heartbeat of each boot of a peer."""
        self._new_listeners.append(listener)

    def take_listed(self, instances: list[Listed]) -> None:
        """Replace the instance list."""
        self._listed = {
            listed.instance_id: listed for listed in instances if listed.kind is ListedKind.ENTRY
        }

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Record the heartbeat of a peer."""
        key = (heartbeat.instance_id, heartbeat.program)
        known = self._heard.get(key)
        self._heard[key] = _ReceivedHeartbeat(heartbeat, boottime_s())
        if known is None or known.heartbeat.boot_id != heartbeat.boot_id:
            logging.info('peer=%s/%s state=heard boot=%s', *key, heartbeat.boot_id)
            for listener in self._new_listeners:
                listener(heartbeat)

    def forget_silent(self) -> None:
        """Remove the peers without a heartbeat for ``silence_s``."""
        limit_s = boottime_s() - self._silence_s
        for key in [key for key, heard in self._heard.items() if heard.received_s < limit_s]:
            del self._heard[key]
            logging.info('peer=%s/%s state=silent', *key)

    def heard(self) -> list[Heartbeat]:
        """Return the last heartbeats of all processes that are alive, own first."""
        return [self.own, *(heard.heartbeat for heard in self._heard.values())]

    def centre_addresses(self, *programs: str) -> list[str]:
        """Return the addresses of the peers in the own data centre, without this process.

        :param programs: programs to include; all if none is given.
        """
        found = {
            beat.address
            for beat in self.heard()
            if beat.data_centre == self.own.data_centre
            and (not programs or beat.program in programs)
        }
        for listed in self._listed.values():
            if listed.data_centre == self.own.data_centre:
                found.update(_addresses(listed, programs))
        if not programs:
            found.update(self._seeds)
        return sorted(found - {self.own.address, ''})

    def live_entries(self) -> list[str]:
        """Return instance ids of the serving entry processes of the data centre."""
        return sorted(
            beat.instance_id
            for beat in self.heard()
            if beat.program == ENTRY_PROGRAM
            and beat.data_centre == self.own.data_centre
            and beat.serving
        )

    def is_chosen(self, duty: str, count: int = 1) -> bool:
        """Return whether the own entry process is among the *count* chosen for *duty*.

        While membership changes, more or fewer processes may consider themselves chosen, also
        none; every duty must tolerate both.
        """
        entries = set(self.live_entries()) | {self.own.instance_id}
        return self.own.instance_id in rank(duty, entries)[:count]

    def remote_entries(self) -> dict[str, list[str]]:
        """Return the listed addresses of entry processes in other data centres, by data centre."""
        found: dict[str, list[str]] = {}
        for listed in self._listed.values():
            if listed.data_centre != self.own.data_centre:
                addresses = _addresses(listed, (ENTRY_PROGRAM,))
                found.setdefault(listed.data_centre, []).extend(addresses)
        return found

    def listed_addresses(self, *programs: str) -> list[str]:
        """Return the listed peer addresses of all data centres."""
        return [
            address for listed in self._listed.values() for address in _addresses(listed, programs)
        ]

    def listed_ids(self) -> list[str]:
        """Return the ids of all listed entry instances."""
        return sorted(self._listed)


def _addresses(listed: Listed, programs: tuple[str, ...]) -> list[str]:
    return [
        address
        for program, address in listed.peer_addresses.items()
        if not programs or program in programs
    ]
