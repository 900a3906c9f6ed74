"""Removes models and adapters from a replica's state before its next report shows the change.

Stateless; changes the holdings of a :class:`~limeshelf.replicas.replica.Replica`.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.replicas.replica import Replica


def drop_adapter(replica: Replica, model: str, adapter: str) -> None:
    """Remove an adapter that an order has unloaded from the holdings and the last report."""
    forget_holding(replica, model, adapter)
    report = replica.report
    if report is not None:
        holdings = tuple(
            attrs.evolve(held, adapters=held.adapters - {adapter}) if held.model == model else held
            for held in report.holdings
        )
        replica.report = attrs.evolve(report, holdings=holdings)


def forget_holding(replica: Replica, model: str, adapter: str) -> None:
    """Remove a model or adapter from the holdings after a replica refused a call for lack of it.

    Further calls are sent to other replicas. The last report is not changed, because a refusal
    does not show that the replica has room for another load (tests/placement/test_service.py).

    :param adapter: empty if the model itself is missing.
    """
    adapters = replica.holdings.get(model)
    if adapters is None:
        return
    if adapter and adapter in adapters:
        replica.holdings[model] = adapters - {adapter}
    elif not adapter:
        del replica.holdings[model]
