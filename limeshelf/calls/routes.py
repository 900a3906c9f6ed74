"""Data types of the operator's configuration: routes, services, models and limits.

The platform's adapter parses them from the operator's document.
"""

from __future__ import annotations

import random

import attrs

from limeshelf.calls.call import CallKind
from limeshelf.organisations.organisation import Organisations

#: Callers abandon a stream after a gap, also before its first event, that is longer than each of:
#: this time, so many objectives, and so many pauses (the platform's page on requests).
MIN_FIRST_EVENT_TIMEOUT_S = 2.0
FIRST_EVENT_TIMEOUT_OBJECTIVES = 4
FIRST_EVENT_TIMEOUT_PAUSES = 8
#: Pause limit of a route that states none, as in the platform's configuration.
DEFAULT_PAUSE_S = 0.3


@attrs.frozen
class WeightedService:
    """One target of a route.

    :param service: name of the service.
    :param weight: share of the route's calls, relative to the other weights.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Target services and time limits of the calls to a host under a path prefix.

    :param targets: services with their weights; at least one.
    :param timeout_s: longest time for a call.
    :param objective_s: latency objective; an answer within this time counts in full.
    :param pause_s: longest pause between events at which a stream still meets its objective.
    :param max_attempts: largest number of replicas that may run one call, including the first;
        always 1 for calls that are not :attr:`repeatable`.
    :param priority: priority of its calls; 0 is the most urgent.
    :param resumable: whether a stream may continue at another replica.
    :param is_public: whether its calls need no key.
    """

    name: str
    host: str
    path_prefix: str
    kind: CallKind
    targets: tuple[WeightedService, ...]
    timeout_s: float
    objective_s: float
    max_attempts: int
    priority: int
    resumable: bool
    pause_s: float = DEFAULT_PAUSE_S
    is_public: bool = False

    @property
    def first_event_timeout_s(self) -> float:
        """Return the time after which callers give up waiting for the first event, in seconds."""
        return max(
            MIN_FIRST_EVENT_TIMEOUT_S,
            FIRST_EVENT_TIMEOUT_OBJECTIVES * self.objective_s,
            FIRST_EVENT_TIMEOUT_PAUSES * self.pause_s,
        )

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once: a safe call or a resumable stream."""
        return self.kind is CallKind.SAFE or (self.kind is CallKind.STREAM and self.resumable)

    def leads_to(self, service: str) -> bool:
        """Return whether a service is one of the targets."""
        return any(target.service == service for target in self.targets)

    def draw_service(self) -> str:
        """Return one of the services, chosen at random by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return random.choices(self.targets, weights)[0].service


@attrs.frozen
class ModelSpec:
    """Configuration of a model.

    :param size_mb: size of its weights, in megabytes.
    :param load_s: duration of a load from the weight store, in seconds.
    :param warm_load_s: duration of a load from the memory of the replica's machine.
    :param adapters: names of its adapters.
    :param adapter_mb: size of one adapter, in megabytes.
    :param disk_load_s: duration of a load from the disk of the replica's machine.
    """

    name: str
    size_mb: float
    load_s: float
    warm_load_s: float
    adapters: frozenset[str]
    adapter_mb: float
    disk_load_s: float = attrs.field(
        default=attrs.Factory(lambda spec: spec.warm_load_s, takes_self=True)
    )


@attrs.frozen
class EngineSpec:
    """Capacity of the replicas of an engine service, and its models.

    :param slots: number of calls that a replica runs concurrently.
    :param memory_tokens: memory for running calls and cached prompts, in tokens.
    :param event_tokens: tokens in an event of a stream; each takes one step of the batch.
    :param capacity_mb: memory for weights and adapters together, in megabytes.
    :param adapter_places: number of adapters that a replica holds at once.
    :param models: models by name.
    :param loads_per_s: rate of loads from the weight store, over all replicas.
    """

    slots: int
    memory_tokens: int
    capacity_mb: float
    adapter_places: int
    loads_per_s: float
    models: dict[str, ModelSpec]
    event_tokens: int = 1

    def has_model(self, model: str, adapter: str = '') -> bool:
        """Return whether a model, and its adapter if one is given, is configured."""
        spec = self.models.get(model)
        return spec is not None and (not adapter or adapter in spec.adapters)


@attrs.frozen
class ServiceSpec:
    """Configuration of a service: a named group of replicas.

    :param max_connections: connections that a replica accepts from all gateways together.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


@attrs.frozen
class ClientLimits:
    """Limits of callers' requests and connections.

    :param header_bytes: largest request line and header fields together.
    :param body_bytes: largest body.
    :param header_timeout_s: longest time from the first byte of a head to its end.
    :param idle_timeout_s: longest time that a connection stays open without a request.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class ServingConfig:
    """One version of the whole configuration.

    :param version: increases with each change.
    :param services: services by name.
    :param organisations: organisations with their keys; ``None`` where calls need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    limits: ClientLimits
    organisations: Organisations | None = attrs.field(default=None, eq=False)
    _by_host: dict[str, list[Route]] = attrs.field(init=False, factory=dict, eq=False)

    def __attrs_post_init__(self) -> None:
        for route in self.routes:
            self._by_host.setdefault(route.host.lower(), []).append(route)
        for routes in self._by_host.values():
            routes.sort(key=lambda route: len(route.path_prefix), reverse=True)

    def route_for(self, host: str, path: str) -> Route | None:
        """Return the route of *host* with the longest prefix of *path*."""
        for route in self._by_host.get(host.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def engine_services(self) -> list[ServiceSpec]:
        """Return the services whose replicas hold models."""
        return [service for service in self.services.values() if service.engine is not None]
