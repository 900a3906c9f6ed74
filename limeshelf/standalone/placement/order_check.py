"""Decides whether an order may still go out, judged immediately before it does.

Owns nothing and relies on nothing: the worker gives what the lease and the clock say
(docs/design/memory.rst).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.standalone.upstreams.messages import Order


class OrderCheck(enum.StrEnum):
    """Whether an order may go out, and if not, why."""

    ALLOWED = 'allowed'
    OTHER_EPOCH = 'other_epoch'
    EXPIRED = 'expired'
    LEASE_NOT_VALID = 'lease_not_valid'
    INTENT_NOT_WRITTEN = 'intent_not_written'


def check_order(
    order: Order, epoch: int | None, unix_s: float, checks_fence: bool, lease_is_valid: bool
) -> OrderCheck:
    """Return whether *order* may go out by what the lease and the clock say.

    An engine that checks the fence refuses a deposed holder by itself, so the last holder
    may order it while the table is out of reach. One that checks none gets orders only
    under a valid lease, and each has to be an intent in the table first.

    :param epoch: epoch held now, ``None`` if none is.
    :param unix_s: time on the wall clock, to which orders expire.
    """
    if epoch != order.epoch:
        return OrderCheck.OTHER_EPOCH
    if unix_s >= order.expires_unix_s:
        return OrderCheck.EXPIRED
    if not checks_fence and not lease_is_valid:
        return OrderCheck.LEASE_NOT_VALID
    return OrderCheck.ALLOWED
