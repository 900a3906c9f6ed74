"""Settings of a gateway process, checked before anything starts.

Owns their classes and ranges; relies on :mod:`limeshelf.settings.structure` for types.

The deploy file's template (``deploy/settings.json.in``) has a value for each; names
and types are recorded in tests/forms/test_settings.py.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.settings.structure import structure_file
from limeshelf.util.clock import MS_PER_S

if TYPE_CHECKING:
    from pathlib import Path


#: Changes cannot be known sooner: the store is asked some times within that.
LEAST_FRESHNESS_MS = 500.0
#: Leases of this length or less are a fault of the file.
LEAST_LEASE_S = 1.0
#: Share of the platform's limit that a lease lasts at the most, so that a successor's first
#: order comes within the limit.
LEASE_LIMIT_SHARE = 0.8


@attrs.frozen
class RetrySettings:
    """What all gateways together may send again at one service.

    :param ratio: retries for each call, 0 to 1.
    :param slack: number of retries beyond that in a window of *window_s*.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@attrs.frozen
class PlacementSettings:
    """Bounds of the leader's work.

    :param lease_s: life of the lease without renewal, in seconds.
    :param window_s: window in which loads from the weight store are counted, in
        seconds.
    :param replicas_check_fences: whether replicas refuse an order with a lower fence than
        one they have seen; where they do not, a holder orders only while its lease lasts.
    :param lease_limit_ms: time within which the platform wants one holder followed by the
        next, in milliseconds; 0 for no limit.
    """

    lease_s: float
    window_s: float
    replicas_check_fences: bool = True
    lease_limit_ms: float = 0.0

    @property
    def effective_lease_s(self) -> float:
        """Return the life of the lease, which the platform's limit may shorten."""
        if not self.lease_limit_ms:
            return self.lease_s
        return min(self.lease_s, LEASE_LIMIT_SHARE * self.lease_limit_ms / MS_PER_S)


@attrs.frozen
class FreshnessSettings:
    """How soon every gateway has to know what changed in the store.

    :param config_ms: of a configuration, in milliseconds.
    :param replica_ms: of a replica that leaves, in milliseconds.
    """

    config_ms: float = 2000.0
    replica_ms: float = 2000.0

    @property
    def config_s(self) -> float:
        """Return the time for a configuration, in seconds."""
        return self.config_ms / MS_PER_S

    @property
    def replica_s(self) -> float:
        """Return the time for a replica that leaves, in seconds."""
        return self.replica_ms / MS_PER_S


@attrs.frozen
class OrganisationSettings:
    """What is promised of the keys and limits of organisations.

    :param strict_revocation: whether a key that was taken away must be out of use everywhere,
        also at gateways that are cut off.
    :param revoke_ms: within which it must, in milliseconds.
    :param limit_window_s: any window in which usage stays within a limit, in seconds.
    :param limit_overrun: share by which a limit may be exceeded there, 0 or more.
    :param limit_slack: units beyond that.
    """

    strict_revocation: bool = False
    revoke_ms: float = 5000.0
    limit_window_s: float = 10.0
    limit_overrun: float = 0.0
    limit_slack: float = 0.0

    @property
    def revoked_within_s(self) -> float | None:
        """Return the time within which a key must be out of use; ``None`` for no bound."""
        return self.revoke_ms / MS_PER_S if self.strict_revocation else None


@attrs.frozen
class GatewaySettings:
    """Everything that a gateway process reads at its start.

    :param instance_id: name of this instance, unique everywhere.
    :param ip: its IP number; peers and scrapers of metrics connect there.
    :param data_centre: where it stands; replicas there are preferred.
    :param calls_address: where callers connect, as ``IP:PORT``.
    :param readiness_address: where the balancer asks for readiness, as ``IP:PORT``.
    :param store_address: of the platform's store, as ``IP:PORT``.
    :param peer_ports: first and last port for traffic between gateways, alike on
        all instances; the first is used.
    :param seeds: peer addresses of other gateways, as ``IP:PORT``; may be stale.
    :param grace_s: time between the signal to stop and the end by force, in seconds.
    :param figures_port: port at which metrics are served.
    :param retries: what may be sent again.
    :param placement: bounds of the leader.
    :param freshness: how soon changes have to be known.
    :param organisations: what is promised of their keys and limits.
    :param data_centres: all in which gateways stand; empty where there is no other than
        this one.
    :param weight: how much traffic the instance can carry, in proportion to the
        others (the deploy file gives its link's Mbit/s); the heaviest are relays.
    """

    instance_id: str
    ip: str
    data_centre: str
    calls_address: str
    readiness_address: str
    store_address: str
    peer_ports: list[int]
    seeds: list[str]
    grace_s: float
    figures_port: int
    retries: RetrySettings
    placement: PlacementSettings
    weight: float = 1.0
    freshness: FreshnessSettings = attrs.field(factory=FreshnessSettings)
    organisations: OrganisationSettings = attrs.field(factory=OrganisationSettings)
    data_centres: list[str] = attrs.field(factory=list)

    @property
    def peer_port(self) -> int:
        """Return the port that this gateway listens on for peers."""
        return self.peer_ports[0]


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    :raises InvalidDocument: with one problem for each fault.
    """
    settings = structure_file(path, GatewaySettings)
    problems = list(_problems(settings))
    if problems:
        raise InvalidDocument(problems)
    return settings


def _problems(settings: GatewaySettings) -> list[Problem]:
    problems = []
    for name in ('calls_address', 'readiness_address', 'store_address'):
        host, _, port = getattr(settings, name).rpartition(':')
        if not host or not port.isdigit():
            problems.append(Problem(name, 'expected IP:PORT'))
    if not settings.peer_ports:
        problems.append(Problem('peer_ports', 'expected one port at least'))
    if settings.grace_s <= 0:
        problems.append(Problem('grace_s', 'expected more than 0 seconds'))
    for name in ('config_ms', 'replica_ms'):
        if getattr(settings.freshness, name) < LEAST_FRESHNESS_MS:
            text = f'expected {LEAST_FRESHNESS_MS:.0f} milliseconds or more'
            problems.append(Problem(f'freshness.{name}', text))
    problems += _organisation_problems(settings.organisations)
    if settings.placement.effective_lease_s <= LEAST_LEASE_S:
        problems.append(Problem('placement.lease_s', 'expected more than 1 second'))
    return problems


def _organisation_problems(settings: OrganisationSettings) -> list[Problem]:
    problems = []
    for name in ('revoke_ms', 'limit_window_s'):
        if getattr(settings, name) <= 0:
            problems.append(Problem(f'organisations.{name}', 'expected more than 0'))
    for name in ('limit_overrun', 'limit_slack'):
        if getattr(settings, name) < 0:
            problems.append(Problem(f'organisations.{name}', 'expected 0 or more'))
    return problems
