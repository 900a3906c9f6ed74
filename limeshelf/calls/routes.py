"""Routes, services and limits: what an operator's configuration says of calls.

Values only: the adapter reads them from the operator's document, and all that decides
on calls or places models relies on them.
"""

from __future__ import annotations

import random

import attrs

from limeshelf.calls.call import CallKind
from limeshelf.organisations.organisation import Organisations

#: Callers give up a stream after a gap of this time, so many objectives or so many pauses,
#: whichever is longest, and before its first event too (the platform's page on requests).
MIN_PATIENCE_S = 2.0
PATIENCE_OBJECTIVES = 4
PATIENCE_PAUSES = 8
#: Pause of a route that names none, as in the platform's configuration.
DEFAULT_PAUSE_S = 0.3


@attrs.frozen
class WeightedService:
    """One target of a route.

    :param weight: share of the route's calls, in proportion to the other weights.
    """

    service: str
    weight: float


@attrs.frozen
class Route:
    """Where the calls below a path of a host go, and what they may cost.

    :param targets: services with their weights; one at least.
    :param timeout_s: the longest time that a call is held.
    :param objective_s: an answer within this time earns its full worth.
    :param pause_s: the longest pause between events that keeps a stream in time.
    :param max_attempts: the most replicas that may run one call, the first one included;
        of calls that are not :attr:`repeatable`, one may, whatever this says.
    :param priority: rank among the routes; 0 is the most urgent.
    :param resumable: whether a stream may go on at another replica.
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
    def patience_s(self) -> float:
        """Return how long a caller waits for the first event, in seconds, at the least."""
        return max(
            MIN_PATIENCE_S,
            PATIENCE_OBJECTIVES * self.objective_s,
            PATIENCE_PAUSES * self.pause_s,
        )

    @property
    def repeatable(self) -> bool:
        """Return whether a call may run more than once: a safe one, or a resumable stream."""
        return self.kind is CallKind.SAFE or (self.kind is CallKind.STREAM and self.resumable)

    def draw_service(self) -> str:
        """Return one of the services, drawn by weight."""
        if len(self.targets) == 1:
            return self.targets[0].service
        weights = [target.weight for target in self.targets]
        return random.choices(self.targets, weights)[0].service


@attrs.frozen
class ModelSpec:
    """A model as the configuration describes it.

    :param size_mb: megabytes of its weights.
    :param load_s: time of a load from the weight store, in seconds.
    :param warm_load_s: time of a load from the memory of the replica's machine.
    :param adapters: names of its adapters.
    :param adapter_mb: megabytes of one adapter.
    :param disk_load_s: time of a load from the disk of the replica's machine.
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
    """What the replicas of an engine service can hold.

    :param slots: calls that run at once.
    :param memory_tokens: tokens of running calls and kept prompts.
    :param event_tokens: tokens, each a step of the batch, in an event of a stream.
    :param capacity_mb: megabytes for weights and adapters together.
    :param adapter_places: adapters that a replica holds at once.
    :param models: by name.
    :param loads_per_s: loads from the weight store, over all replicas.
    """

    slots: int
    memory_tokens: int
    capacity_mb: float
    adapter_places: int
    loads_per_s: float
    models: dict[str, ModelSpec]
    event_tokens: int = 1

    def knows(self, model: str, adapter: str = '') -> bool:
        """Return whether the configuration names a model, with an adapter if one is given."""
        spec = self.models.get(model)
        return spec is not None and (not adapter or adapter in spec.adapters)


@attrs.frozen
class ServiceSpec:
    """A service: the replicas behind its name.

    :param max_connections: connections that a replica takes from all gateways together.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int
    engine: EngineSpec | None


@attrs.frozen
class ClientLimits:
    """What a caller may send, and how long its connection may rest.

    :param header_bytes: request line and header fields together.
    :param body_bytes: largest body.
    :param header_timeout_s: from the first byte of a head to its end.
    :param idle_timeout_s: without a request.
    """

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@attrs.frozen
class ServingConfig:
    """One whole configuration; a later one takes its place at once.

    :param version: rises with each change.
    :param services: by name.
    :param organisations: who may send calls, by their keys; ``None`` where no key is needed.
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
