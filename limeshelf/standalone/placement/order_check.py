"""Final check immediately before an order is sent.

Holds no state: the worker passes in the state of the lease and the time
(docs/design/memory.rst).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from limeshelf.standalone.upstreams.messages import Order


class OrderCheck(enum.StrEnum):
    """Whether an order may be sent, and if not, why."""

    ALLOWED = 'allowed'
    OTHER_EPOCH = 'other_epoch'
    EXPIRED = 'expired'
    LEASE_NOT_VALID = 'lease_not_valid'
    INTENT_NOT_WRITTEN = 'intent_not_written'


def check_order(
    order: Order, epoch: int | None, unix_s: float, checks_fence: bool, lease_is_valid: bool
) -> OrderCheck:
    """Return whether *order* may be sent, given the lease and the time.

    An engine that checks the fence refuses the orders of a former leader itself, so the last
    lease holder may go on sending it orders while the table is unreachable. An engine that
    does not is sent orders only under a valid lease, each after its intent was written.

    :param epoch: epoch held now, ``None`` if this placer does not lead.
    :param unix_s: wall clock time; orders state their expiry on this clock.
    """
    if epoch != order.epoch:
        return OrderCheck.OTHER_EPOCH
    if unix_s >= order.expires_unix_s:
        return OrderCheck.EXPIRED
    if not checks_fence and not lease_is_valid:
        return OrderCheck.LEASE_NOT_VALID
    return OrderCheck.ALLOWED
