"""Broadcasts items from one gateway to all others through relays, without loops.

A gateway sends its own items to the relays of its data centre. A relay forwards items that are
new to it to all gateways of its data centre and, if they originate there, to the relays of the
other data centres. Messages may be lost.

Owns the items not sent yet. :mod:`~limeshelf.membership.receivers` decides on the receivers.
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

#: A batch is complete after a pause without new items; the pause is this fraction of the batch
#: window. A pause that ended late does not count: while the event loop is delayed, items that
#: have arrived may not have been read yet.
PAUSE_FRACTION = 0.2
#: Longest wait for a batch, in batch windows.
MAX_BATCH_WINDOWS = 3


class BroadcastQueue(Generic[ItemT]):
    """Batches the items of one kind that a gateway has to send.

    :param batch_window_s: items added within this time after the first one are sent with it.
    :param send_to: sends items to the gateways at the given addresses.
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
        # Whether no item was added since the last pause began.
        self._is_pause_unbroken = True

    def publish(self, key: Hashable, item: ItemT) -> None:
        """Queue an item that originates at this gateway.

        :param key: a later item with the same key replaces one that is not sent yet.
        """
        self._for_own_centre[key] = self._for_other_centres[key] = item
        self._mark_pending()

    def relay(self, key: Hashable, item: ItemT, sender_centre: str) -> None:
        """Queue an item received from another gateway, if this gateway is a relay.

        :param sender_centre: data centre of the gateway from which it was received.
        """
        if not self._members.is_relay:
            return
        self._for_own_centre[key] = item
        if sender_centre == self._members.own.data_centre:
            self._for_other_centres[key] = item
        self._mark_pending()

    def _mark_pending(self) -> None:
        self._is_pause_unbroken = False
        self._has_items.set()

    async def run(self) -> None:
        """Send queued items in batches; runs until cancelled."""
        while True:
            await self._has_items.wait()
            await self._wait_for_batch()
            self._has_items.clear()
            self._send()

    async def _wait_for_batch(self) -> None:
        """Wait until the batch is complete, also while the event loop is delayed."""
        pause_s = PAUSE_FRACTION * self._batch_window_s
        deadline_s = boottime_s() + MAX_BATCH_WINDOWS * self._batch_window_s
        await asyncio.sleep(self._batch_window_s - pause_s)
        while boottime_s() < deadline_s:
            self._is_pause_unbroken = True
            due_s = boottime_s() + pause_s
            await asyncio.sleep(pause_s)
            if self._is_pause_unbroken and boottime_s() - due_s < pause_s:
                return

    def _send(self) -> None:
        own_centre_items, self._for_own_centre = list(self._for_own_centre.values()), {}
        other_centre_items, self._for_other_centres = list(self._for_other_centres.values()), {}
        members = self._members
        if not members.is_relay:
            self._send_to(members.addresses_to_contact(members.own_relays()), own_centre_items)
            return
        self._send_to(receivers.own_centre(members), own_centre_items)
        self._send_to(sorted(receivers.other_centre_relays(members)), other_centre_items)
