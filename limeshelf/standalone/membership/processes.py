"""Which processes of limeshelf are alive, from the list and from heartbeats.

Owns the last heartbeat of each peer and the listed entry instances; chooses which
process does a duty for its data centre. Relies on nothing else.
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
class _Heard:
    heartbeat: Heartbeat
    heard_s: float


class ProcessDirectory:
    """Knows the peers of this process.

    Peers are dialled wherever the instance list or the seeds name them; they
    count as alive only when heard of lately.

    :param silence_s: a peer unheard for this long counts as gone.
    """

    def __init__(self, own: Heartbeat, seeds: list[str], silence_s: float) -> None:
        self.own = own
        self._seeds = seeds
        self._silence_s = silence_s
        self._listed: dict[str, Listed] = {}
        self._heard: dict[tuple[str, str], _Heard] = {}
        self._new_listeners: list[Callable[[Heartbeat], None]] = []

    def add_new_listener(self, listener: Callable[[Heartbeat], None]) -> None:
        """Call *listener* with the first heartbeat of each boot of a peer."""
        self._new_listeners.append(listener)

    def take_listed(self, instances: list[Listed]) -> None:
        """Take in a new instance list."""
        self._listed = {
            listed.instance_id: listed for listed in instances if listed.kind is ListedKind.ENTRY
        }

    def take_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Note that a process is alive."""
        key = (heartbeat.instance_id, heartbeat.program)
        known = self._heard.get(key)
        self._heard[key] = _Heard(heartbeat, boottime_s())
        if known is None or known.heartbeat.boot_id != heartbeat.boot_id:
            logging.info('peer=%s/%s state=heard boot=%s', *key, heartbeat.boot_id)
            for listener in self._new_listeners:
                listener(heartbeat)

    def forget_silent(self) -> None:
        """Drop the peers that have fallen silent."""
        limit_s = boottime_s() - self._silence_s
        for key in [key for key, heard in self._heard.items() if heard.heard_s < limit_s]:
            del self._heard[key]
            logging.info('peer=%s/%s state=silent', *key)

    def heard(self) -> list[Heartbeat]:
        """Return the last heartbeats of all processes that are alive, own first."""
        return [self.own, *(heard.heartbeat for heard in self._heard.values())]

    def centre_addresses(self, *programs: str) -> list[str]:
        """Return peer addresses inside the own data centre, without the own.

        :param programs: only of these programs; of all if none is named.
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
        """Return whether the own entry process is among those chosen for *duty*.

        Two may think so for a short while, and none may; each duty bears both.
        """
        entries = set(self.live_entries()) | {self.own.instance_id}
        return self.own.instance_id in rank(duty, entries)[:count]

    def remote_entries(self) -> dict[str, list[str]]:
        """Return entry peer addresses by other data centre."""
        found: dict[str, list[str]] = {}
        for listed in self._listed.values():
            if listed.data_centre != self.own.data_centre:
                addresses = _addresses(listed, (ENTRY_PROGRAM,))
                found.setdefault(listed.data_centre, []).extend(addresses)
        return found

    def listed_addresses(self, *programs: str) -> list[str]:
        """Return peer addresses of all data centres, as the list has them."""
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
