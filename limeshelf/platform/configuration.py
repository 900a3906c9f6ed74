"""The operator's configuration row, read into the product's routes and services.

Owns the format and its defaults; fields that nothing reads are not declared.
The comments stand where the platform's name misleads.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from limeshelf.calls.call import CallKind
from limeshelf.calls.routes import (
    ClientLimits,
    EngineSpec,
    ModelSpec,
    Route,
    ServiceSpec,
    ServingConfig,
    WeightedService,
)
from limeshelf.errors import InvalidDocument, Problem
from limeshelf.platform.organisations import OrganisationEntry, read_organisations
from limeshelf.util.decoding import DECODE_ERRORS

if TYPE_CHECKING:
    from limeshelf.feeds.return_rule import Newness

#: Table and key of the row that holds the newest configuration, whole.
CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'

_KINDS = {'safe': CallKind.SAFE, 'unsafe': CallKind.UNSAFE, 'streaming': CallKind.STREAM}
_MS = 1000.0


class _Target(msgspec.Struct, rename='pascal'):
    service: str
    #: Share of the route's calls, in proportion to the others' weights; no weights of a model.
    weight: float


class _Route(msgspec.Struct, rename='pascal'):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    #: How long a call may be held; the caller's own limit may be shorter.
    timeout_ms: float
    #: To the end of a plain answer, but only to the first event of a stream.
    latency_slo_ms: float = 1000.0
    #: 0 is the most urgent.
    priority: int = 5
    #: The only target where ``split`` is empty.
    service: str = ''
    split: list[_Target] = []
    #: Counted in replicas that ran the call or may have run it, the first one included; one
    #: that refused it does not count.
    max_attempts: int = 1
    resumable: bool = False
    #: Longest pause between two events; one event may hold several tokens.
    itl_slo_ms: float = 300.0
    #: Not who may see it: its calls need no key.
    public: bool = False


class _Model(msgspec.Struct, rename='pascal'):
    name: str
    #: Size of this model.
    weights_mb: float
    #: From the weight store; sooner from the machine's memory or disk.
    load_time_s: float
    #: How many there are; they are called a1, a2 and so on.
    adapters: int = 0
    #: Size of one adapter.
    adapter_size_mb: float = 0.0
    #: From the memory of the replica's machine.
    warm_s: float | None = None
    #: From the disk of the replica's machine.
    disk_load_s: float | None = None


class _Engine(msgspec.Struct, rename='pascal'):
    #: Calls that run in one batch of a replica.
    slots: int
    #: Tokens of running calls and kept prompts together, a replica.
    kv_capacity: int = 0
    models: list[_Model] = []
    #: Not the size of a model: room of a replica for weights and adapters together.
    weights_mb: float = 0.0
    #: Adapters of all models together, a replica.
    max_adapters: int = 0
    #: Loads from the weight store by all replicas together.
    loads_per_s: float = 1.0
    #: Tokens in one event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    #: Connections that one replica takes from all callers together.
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='pascal'):
    """What a caller may send, and how long it may take or rest."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Config(msgspec.Struct, rename='pascal'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    #: ``None`` where no key is needed.
    tenants: list[OrganisationEntry] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _Versioned(msgspec.Struct, rename='pascal'):
    """What every configuration has, also one that cannot be read as a whole."""

    version: int


_configs = msgspec.json.Decoder(_Config, strict=False)
_versioned = msgspec.json.Decoder(_Versioned, strict=False)


def config_newness(value: bytes) -> Newness:
    """Return how new the configuration in a row is: the operator's version."""
    try:
        return (_versioned.decode(value).version,)
    except DECODE_ERRORS:
        return ()


def read_config(value: bytes) -> ServingConfig:
    """Return the configuration in a row.

    A route of unknown kind is read as one whose calls may run at most once.

    :raises InvalidDocument: it is no configuration, with what is wrong with it.
    """
    try:
        document = _configs.decode(value)
    except DECODE_ERRORS as error:
        raise InvalidDocument([Problem(CONFIG_KEY, str(error))]) from None
    limits = document.limits
    return ServingConfig(
        version=document.version,
        routes=tuple(_route(route) for route in document.routes),
        services={service.name: _service(service) for service in document.services},
        limits=ClientLimits(
            header_bytes=limits.max_header_bytes,
            body_bytes=limits.max_body_bytes,
            header_timeout_s=limits.header_timeout_ms / _MS,
            idle_timeout_s=limits.idle_timeout_ms / _MS,
        ),
        organisations=None if document.tenants is None else read_organisations(document.tenants),
    )


def _route(route: _Route) -> Route:
    targets = [WeightedService(target.service, target.weight) for target in route.split]
    if not targets:
        targets = [WeightedService(route.service, 1.0)]
    return Route(
        name=route.name,
        host=route.host,
        path_prefix=route.path_prefix,
        kind=_KINDS.get(route.route_kind, CallKind.UNSAFE),
        targets=tuple(targets),
        timeout_s=route.timeout_ms / _MS,
        objective_s=route.latency_slo_ms / _MS,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        resumable=route.resumable,
        pause_s=route.itl_slo_ms / _MS,
        is_public=route.public,
    )


def _service(service: _Service) -> ServiceSpec:
    engine = service.engine
    return ServiceSpec(
        name=service.name,
        max_connections=service.max_conns,
        engine=None if engine is None else _engine(engine),
    )


def _engine(engine: _Engine) -> EngineSpec:
    return EngineSpec(
        slots=engine.slots,
        memory_tokens=engine.kv_capacity,
        capacity_mb=engine.weights_mb,
        adapter_places=engine.max_adapters,
        loads_per_s=engine.loads_per_s,
        models={model.name: _model(model) for model in engine.models},
        event_tokens=max(1, engine.stride),
    )


def _model(model: _Model) -> ModelSpec:
    warm_load_s = model.warm_s if model.warm_s is not None else model.load_time_s
    return ModelSpec(
        name=model.name,
        size_mb=model.weights_mb,
        load_s=model.load_time_s,
        warm_load_s=warm_load_s,
        adapters=frozenset(f'a{number}' for number in range(1, model.adapters + 1)),
        adapter_mb=model.adapter_size_mb,
        disk_load_s=model.disk_load_s if model.disk_load_s is not None else warm_load_s,
    )
