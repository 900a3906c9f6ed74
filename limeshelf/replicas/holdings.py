"""What a replica no longer holds, as refusals and orders show before its next report.

Owns nothing; changes the holdings of one :class:`~limeshelf.replicas.replica.Replica`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.replicas.replica import Replica


def drop_adapter(replica: Replica, model: str, adapter: str) -> None:
    """Note that an order has unloaded an adapter, before a report shows it."""
    forget_holding(replica, model, adapter)
    report = replica.report
    if report is not None:
        holdings = tuple(
            attrs.evolve(held, adapters=held.adapters - {adapter}) if held.model == model else held
            for held in report.holdings
        )
        replica.report = attrs.evolve(report, holdings=holdings)


def forget_holding(replica: Replica, model: str, adapter: str) -> None:
    """Note that a replica refused a call for lack of a model or an adapter.

    Calls go elsewhere from now on. The report stays as it is: a refusal is no proof that the
    replica has room for another load (tests/placement/test_service.py).

    :param adapter: empty where the model itself is not there.
    """
    adapters = replica.holdings.get(model)
    if adapters is None:
        return
    if adapter and adapter in adapters:
        replica.holdings[model] = adapters - {adapter}
    elif not adapter:
        del replica.holdings[model]
