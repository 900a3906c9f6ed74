"""Brings news from the gateway that has it to all others, through relays, and round no circle.

Each gateway tells the relays of its data centre what it learned itself; relays pass on what was
new to them, to all gateways of their data centre and, if it comes from there, to the relays of the
others. Messages may be lost. Owns what is still to be sent; relies on
:mod:`~limeshelf.membership.receivers` for who is sent it.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Generic, TypeVar

from limeshelf.membership import receivers
from limeshelf.util.clock import boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable, Hashable

    from limeshelf.membership.members import Members

ItemT = TypeVar('ItemT')

#: Gathering ends with a pause of this share of it in which nothing came, and that was not late:
#: while the processor is short, news that came is not read yet.
QUIET_FRACTION = 0.2
#: Gathering lasts no longer than so many times its usual length.
MAX_BATCH_WINDOWS = 3


class BroadcastQueue(Generic[ItemT]):
    """What a gateway has to tell of one kind.

    :param batch_window_s: after the first news, in seconds, others that come with it are sent
        with it.
    :param send_to: sends items to the gateways at some addresses.
    """

    def __init__(
        self,
        members: Members,
        batch_window_s: float,
        send_to: Callable[[list[str], list[ItemT]], None],
    ) -> None:
        self._members = members
        self._batch_window_s = batch_window_s
        self._send_to = send_to
        self._for_own_centre: dict[Hashable, ItemT] = {}
        self._for_other_centres: dict[Hashable, ItemT] = {}
        self._has_items = asyncio.Event()
        # Whether nothing came since the last pause began.
        self._is_quiet = True

    def publish(self, key: Hashable, item: ItemT) -> None:
        """Tell what this gateway learned itself.

        :param key: a later item with the same key takes the place of one that is not sent yet.
        """
        self._for_own_centre[key] = self._for_other_centres[key] = item
        self._mark_pending()

    def relay(self, key: Hashable, item: ItemT, sender_centre: str) -> None:
        """Pass on, as a relay, what was new.

        :param centre: data centre of the gateway that told it.
        """
        if not self._members.is_relay:
            return
        self._for_own_centre[key] = item
        if sender_centre == self._members.own.data_centre:
            self._for_other_centres[key] = item
        self._mark_pending()

    def _mark_pending(self) -> None:
        self._is_quiet = False
        self._has_items.set()

    async def run(self) -> None:
        """Send news as it comes."""
        while True:
            await self._has_items.wait()
            await self._wait_for_batch()
            self._has_items.clear()
            self._send()

    async def _wait_for_batch(self) -> None:
        """Wait for news that comes with the first, also while the processor is short."""
        pause_s = QUIET_FRACTION * self._batch_window_s
        limit_s = boottime_s() + MAX_BATCH_WINDOWS * self._batch_window_s
        await asyncio.sleep(self._batch_window_s - pause_s)
        while boottime_s() < limit_s:
            self._is_quiet = True
            due_s = boottime_s() + pause_s
            await asyncio.sleep(pause_s)
            if self._is_quiet and boottime_s() - due_s < pause_s:
                return

    def _send(self) -> None:
        near, self._for_own_centre = list(self._for_own_centre.values()), {}
        far, self._for_other_centres = list(self._for_other_centres.values()), {}
        members = self._members
        if not members.is_relay:
            self._send_to(members.addresses_to_contact(members.own_relays()), near)
            return
        self._send_to(receivers.own_centre(members), near)
        self._send_to(sorted(receivers.other_centre_relays(members)), far)
