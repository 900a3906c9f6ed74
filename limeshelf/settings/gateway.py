"""Settings of a gateway process, validated before anything starts.

Owns their classes and value ranges; relies on :mod:`limeshelf.settings.structure` for types.

The deployment template (``deploy/settings.json.in``) has a value for each; their names and
types are recorded in tests/forms/test_settings.py.
"""

from __future__ import annotations

import os
import resource
from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.settings.structure import read_content, structure_content
from limeshelf.util.clock import MS_PER_S

if TYPE_CHECKING:
    from pathlib import Path


BYTES_PER_MB = 1 << 20
#: Share of the machine's memory for requests and answers in progress. A process takes some 65 MB
#: without any, and what it gives back stays fragmented for a while.
BUFFERS_SHARE = 0.15
#: Share of the descriptors for callers' connections; the others are for replicas and peers.
CALLER_CONNECTIONS_SHARE = 0.5
MIN_CALLER_CONNECTIONS = 64
#: Lower bound of the freshness settings: the store is queried several times within that time,
#: so shorter times cannot be met.
MIN_FRESHNESS_MS = 500.0
#: Leases of this length or less are rejected.
MIN_LEASE_S = 1.0
#: Upper bound of the lease time as a share of the platform's limit, so that a successor's first
#: order is sent within the limit.
LEASE_LIMIT_SHARE = 0.8


@attrs.frozen
class RetrySettings:
    """Limits on the retries of all gateways together to one service.

    :param ratio: retries per call, 0 to 1.
    :param slack: number of additional retries in a window of *window_s*.
    :param window_s: length of the window, in seconds.
    """

    ratio: float
    slack: float
    window_s: float


@attrs.frozen
class PlacementSettings:
    """Limits on the leader and its placement.

    :param lease_s: duration of the lease without renewal, in seconds.
    :param window_s: window in which loads from the weight store are counted, in
        seconds.
    :param replicas_check_fences: whether replicas refuse an order with a lower fence than
        one they have received; if not, a holder sends orders only while its lease is valid.
    :param lease_limit_ms: time within which the platform requires the next lease holder to follow
        the previous one, in milliseconds; 0 for no limit.
    """

    lease_s: float
    window_s: float
    replicas_check_fences: bool = True
    lease_limit_ms: float = 0.0

    @property
    def order_gap_s(self) -> float:
        """Return the time within which two machines may not order in turn; 0 for no bound."""
        return self.lease_limit_ms / MS_PER_S

    @property
    def effective_lease_s(self) -> float:
        """Return the duration of the lease, which the platform's limit may shorten."""
        if not self.lease_limit_ms:
            return self.lease_s
        return min(self.lease_s, LEASE_LIMIT_SHARE * self.lease_limit_ms / MS_PER_S)


@attrs.frozen
class FreshnessSettings:
    """Time within which a change in the store must reach every gateway.

    :param config_ms: limit for a change of the configuration, in milliseconds.
    :param replica_ms: limit for a replica that leaves or is gone, in milliseconds.
    """

    config_ms: float = 2000.0
    replica_ms: float = 2000.0

    @property
    def config_s(self) -> float:
        """Return the limit for a change of the configuration, in seconds."""
        return self.config_ms / MS_PER_S

    @property
    def replica_s(self) -> float:
        """Return the limit for a replica that leaves or is gone, in seconds."""
        return self.replica_ms / MS_PER_S


@attrs.frozen
class OrganisationSettings:
    """Guarantees for the keys and usage limits of organisations.

    :param strict_revocation: whether every gateway, even a partitioned one, must refuse a
        revoked key in time.
    :param revoke_ms: time after which a revoked key must be refused, in milliseconds.
    :param limit_window_s: length of any window in which usage must stay within its limit, in
        seconds.
    :param limit_overrun: share by which usage may exceed a limit in a window, 0 or more.
    :param limit_slack: number of units by which usage may exceed it in addition.
    """

    strict_revocation: bool = False
    revoke_ms: float = 5000.0
    limit_window_s: float = 10.0
    limit_overrun: float = 0.0
    limit_slack: float = 0.0

    @property
    def revoked_within_s(self) -> float | None:
        """Return the time within which a revoked key must be refused; ``None`` for no bound."""
        return self.revoke_ms / MS_PER_S if self.strict_revocation else None


@attrs.frozen
class MachineSettings:
    """What the machine gives one process; 0 where the process finds out itself.

    :param memory_mb: memory, in megabytes.
    :param descriptors: number of descriptors that it may open.
    :param link_mbps: width of the machine's network link, in Mbit/s; 0 if it is not known, and
        then messages to other gateways are not limited by it.
    """

    memory_mb: float = 0.0
    descriptors: int = 0
    link_mbps: float = 0.0

    @property
    def buffer_bytes(self) -> int:
        """Return the memory for the requests and answers in progress, in bytes."""
        memory_mb = self.memory_mb or _physical_memory_mb()
        return int(memory_mb * BUFFERS_SHARE * BYTES_PER_MB)

    @property
    def caller_connections(self) -> int:
        """Return the number of connections from which on unused ones are closed."""
        descriptors = self.descriptors or resource.getrlimit(resource.RLIMIT_NOFILE)[0]
        return max(MIN_CALLER_CONNECTIONS, int(descriptors * CALLER_CONNECTIONS_SHARE))


def _physical_memory_mb() -> float:
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE') / BYTES_PER_MB


@attrs.frozen
class GatewaySettings:
    """All settings of a gateway process.

    :param instance_id: globally unique name of this instance.
    :param ip: IP address of this instance for peers and metrics scrapers.
    :param data_centre: data centre of this instance, whose replicas are preferred.
    :param calls_address: address for callers, as ``IP:PORT``.
    :param readiness_address: address for readiness checks by the load balancer, as ``IP:PORT``.
    :param store_address: address of the platform's store, as ``IP:PORT``.
    :param peer_ports: first and last port for traffic between gateways, the same on all
        instances. Messages use the first and forwarded calls the last; without a second one, no
        calls are forwarded to this gateway.
    :param seeds: peer addresses of other gateways, as ``IP:PORT``; may be outdated.
    :param grace_s: time between the stop signal and the forced kill, in seconds.
    :param figures_port: port at which metrics are served.
    :param retries: limits on retries.
    :param placement: limits on the leader and its placement.
    :param freshness: time within which changes must reach every gateway.
    :param organisations: guarantees for keys and usage limits.
    :param machine: memory and descriptors of the process, and the link of its machine.
    :param data_centres: all data centres with gateways; empty if there is only this one.
    :param weight: relative traffic capacity of the instance (the deployment file sets the
        Mbit/s of its link); the instances with the highest weight are relays.
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
    machine: MachineSettings = attrs.field(factory=MachineSettings)
    data_centres: list[str] = attrs.field(factory=list)

    @property
    def peer_port(self) -> int:
        """Return the port on which this gateway listens for peers."""
        return self.peer_ports[0]

    @property
    def forward_port(self) -> int:
        """Return the port on which this gateway takes forwarded calls; 0 if it takes none."""
        last = self.peer_ports[-1]
        return last if last != self.peer_port else 0


@attrs.frozen
class SettingsFile:
    """A valid settings file as it was at one moment.

    :param content: bytes of the file, to compare with those of a later moment.
    """

    settings: GatewaySettings
    content: bytes

    @classmethod
    def from_path(cls, path: Path) -> SettingsFile:
        """Read and validate the file at *path*.

        :raises IncompleteDocument: the file cannot be read, or is not JSON.
        :raises InvalidDocument: with one problem for each other fault.
        """
        return cls.from_content(read_content(path))

    @classmethod
    def from_content(cls, content: bytes) -> SettingsFile:
        """Validate the content of a file; raises as :meth:`from_path`."""
        settings = structure_content(content, GatewaySettings)
        problems = list(_problems(settings))
        if problems:
            raise InvalidDocument(problems)
        return cls(settings, content)


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Return the settings of a valid file; raises as :meth:`SettingsFile.from_path`."""
    return SettingsFile.from_path(path).settings


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
        if getattr(settings.freshness, name) < MIN_FRESHNESS_MS:
            text = f'expected {MIN_FRESHNESS_MS:.0f} milliseconds or more'
            problems.append(Problem(f'freshness.{name}', text))
    problems += _organisation_problems(settings.organisations)
    for name in ('memory_mb', 'descriptors', 'link_mbps'):
        if getattr(settings.machine, name) < 0:
            problems.append(Problem(f'machine.{name}', 'expected 0 or more'))
    if settings.placement.effective_lease_s <= MIN_LEASE_S:
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
