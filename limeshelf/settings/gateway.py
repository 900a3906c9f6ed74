"""Settings of a gateway process, checked before anything starts."""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs
import msgspec

from limeshelf.errors import InvalidDocument, Problem
from limeshelf.settings.structure import structure

if TYPE_CHECKING:
    from pathlib import Path


@attrs.frozen
class RetrySettings:
    """What all gateways together may repeat at one service.

    :param ratio: retries for each call.
    :param slack: retries beyond that in a window of *window_s* seconds.
    """

    ratio: float
    slack: float
    window_s: float


@attrs.frozen
class PlacementSettings:
    """Bounds of the leader's work.

    :param lease_s: life of the lease without renewal.
    :param window_s: window in which loads from the weight store are counted.
    """

    lease_s: float
    window_s: float


@attrs.frozen
class GatewaySettings:
    """Everything that a gateway process is told at its start.

    :param instance_id: name of the machine.
    :param ip: its address; peers, figures and calls are listened for there.
    :param calls_address: where callers connect.
    :param readiness_address: where the balancer asks.
    :param store_address: of the platform's store.
    :param peer_ports: first and last port for traffic between gateways; alike
        on all machines.
    :param seeds: addresses of other machines, which may be stale.
    :param weight: how much the machine can carry; the heaviest pass words on.
    :param grace_s: time between the signal to stop and the end by force.
    :param figures_port: where the figures are served.
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

    @property
    def peer_port(self) -> int:
        """Return the port that this gateway listens on for peers."""
        return self.peer_ports[0]


def load_gateway_settings(path: Path) -> GatewaySettings:
    """Read and check a settings file.

    :raises InvalidDocument: with one problem for each fault.
    """
    try:
        document = msgspec.json.decode(path.read_bytes())
    except OSError as error:
        raise InvalidDocument([Problem('.', f'cannot be read: {error.strerror}')]) from None
    except msgspec.DecodeError as error:
        raise InvalidDocument([Problem('.', f'no JSON: {error}')]) from None
    settings = structure(document, GatewaySettings)
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
    if settings.placement.lease_s <= 1.0:
        problems.append(Problem('placement.lease_s', 'expected more than 1 second'))
    return problems
