"""Reads the operator's configuration row into routes and services.

Owns the format and its defaults; unused fields are not declared. Comments explain fields
whose platform name is misleading.
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
    from limeshelf.feeds.restore_rule import WriterVersion

#: Table and key of the row that holds the complete latest configuration.
CONFIG_TABLE = 'op'
CONFIG_KEY = 'config'

_CALL_KINDS = {'safe': CallKind.SAFE, 'unsafe': CallKind.UNSAFE, 'streaming': CallKind.STREAM}
_MS_PER_S = 1000.0


class _Target(msgspec.Struct, rename='pascal'):
    service: str
    #: Relative share of the route's calls; unrelated to model weights.
    weight: float


class _Route(msgspec.Struct, rename='pascal'):
    name: str
    host: str
    path_prefix: str
    route_kind: str
    #: Longest time for a call; the deadline of the caller may be shorter.
    timeout_ms: float
    #: Latency objective: to the end of a plain response, but to the first event of a stream.
    latency_slo_ms: float = 1000.0
    #: 0 is the most urgent.
    priority: int = 5
    #: The only target if ``split`` is empty.
    service: str = ''
    split: list[_Target] = []
    #: Attempts that ran or may have run the call, including the first one; an attempt that
    #: a replica refused does not count.
    max_attempts: int = 1
    resumable: bool = False
    #: Longest pause between two events; one event may contain several tokens.
    itl_slo_ms: float = 300.0
    #: Not a matter of visibility: calls of a public route need no key.
    public: bool = False


class _Model(msgspec.Struct, rename='pascal'):
    name: str
    #: Size of this model's weights.
    weights_mb: float
    #: Load time from the weight store; loads from the machine's memory or disk are faster.
    load_time_s: float
    #: Number of adapters; they are named a1, a2 and so on.
    adapters: int = 0
    #: Size of one adapter.
    adapter_size_mb: float = 0.0
    #: Load time from the memory of the replica's machine.
    warm_s: float | None = None
    #: Load time from the disk of the replica's machine.
    disk_load_s: float | None = None


class _Engine(msgspec.Struct, rename='pascal'):
    #: Number of calls that a replica runs in one batch.
    slots: int
    #: Capacity of a replica for the tokens of running calls and cached prompts together.
    kv_capacity: int = 0
    models: list[_Model] = []
    #: Not the size of a model: capacity of a replica for weights and adapters together.
    weights_mb: float = 0.0
    #: Maximum number of adapters on a replica, over all models.
    max_adapters: int = 0
    #: Rate limit on loads from the weight store, over all replicas.
    loads_per_s: float = 1.0
    #: Number of tokens in one event of a stream.
    stride: int = 1


class _Service(msgspec.Struct, rename='pascal'):
    name: str
    #: Maximum number of connections to one replica, over all its clients.
    max_conns: int = 100
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename='pascal'):
    """Size limits and timeouts of client connections."""

    max_header_bytes: int = 16384
    max_body_bytes: int = 4 << 20
    header_timeout_ms: float = 3000.0
    idle_timeout_ms: float = 15000.0


class _Config(msgspec.Struct, rename='pascal'):
    version: int
    routes: list[_Route]
    services: list[_Service]
    #: ``None`` if calls need no key.
    tenants: list[OrganisationEntry] | None = None
    limits: _Limits = msgspec.field(default_factory=_Limits)


class _VersionOnly(msgspec.Struct, rename='pascal'):
    """The version alone, which can be read even if the rest of a configuration is invalid."""

    version: int


_config_decoder = msgspec.json.Decoder(_Config, strict=False)
_version_decoder = msgspec.json.Decoder(_VersionOnly, strict=False)


def config_writer_version(value: bytes) -> WriterVersion:
    """Return the version that the operator gave a configuration; empty if unreadable."""
    try:
        return (_version_decoder.decode(value).version,)
    except DECODE_ERRORS:
        return ()


def read_config(value: bytes) -> ServingConfig:
    """Return the configuration in a row.

    A route of unknown kind is treated as unsafe: its calls may run at most once.

    :raises InvalidDocument: the value is not a valid configuration; lists the faults.
    """
    try:
        document = _config_decoder.decode(value)
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
            header_timeout_s=limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=limits.idle_timeout_ms / _MS_PER_S,
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
        kind=_CALL_KINDS.get(route.route_kind, CallKind.UNSAFE),
        targets=tuple(targets),
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=route.latency_slo_ms / _MS_PER_S,
        max_attempts=max(1, route.max_attempts),
        priority=route.priority,
        resumable=route.resumable,
        pause_s=route.itl_slo_ms / _MS_PER_S,
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
