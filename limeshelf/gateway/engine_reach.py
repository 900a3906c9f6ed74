"""Whether this gateway reaches the replicas that take orders, on which a leader depends.

Owns no state; the health of replicas and the calls that others carried are kept elsewhere.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.gateway.forwarder import Forwarder
    from limeshelf.replicas.directory import ReplicaDirectory


@attrs.frozen
class EngineReach:
    """Tells whether orders can be sent from here."""

    active_config: ActiveConfig
    directory: ReplicaDirectory
    forwarder: Forwarder

    def is_cut_off(self) -> bool:
        """Return whether other gateways reach replicas, and this one none that takes orders."""
        return self.forwarder.was_carried_recently() and self.reaches_none()

    def reaches_none(self) -> bool:
        """Return whether this gateway can connect to none of the replicas that take orders.

        Not so while there are none.
        """
        config = self.active_config.config
        if config is None:
            return False
        replicas = [
            replica
            for service in config.services.values()
            if service.engine is not None
            for replica in self.directory.of_service(service.name)
        ]
        return bool(replicas) and all(replica.health.awaits_probe for replica in replicas)
