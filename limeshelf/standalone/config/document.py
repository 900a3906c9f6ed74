"""The operator's configuration as typed entities.

The stored form: field names are those of the rows and of an operator's JSON, and stay.
Relies on nothing.
"""

from __future__ import annotations

import enum

import attrs


class PriorityClass(enum.StrEnum):
    """How urgent a deployment's requests are; high goes first."""

    HIGH = 'high'
    NORMAL = 'normal'
    LOW = 'low'


#: Rank sent to engines; the lower rank runs first.
PRIORITY_RANK = {PriorityClass.HIGH: 0, PriorityClass.NORMAL: 1, PriorityClass.LOW: 2}


class PolicyKind(enum.StrEnum):
    """What a policy decides."""

    PLACEMENT = 'placement'
    ADMISSION = 'admission'
    PRIORITY = 'priority'
    ROUTING = 'routing'


@attrs.frozen
class Adapter:
    """A small set of weights that is loaded beside its base model."""

    name: str
    weights_bytes: int


@attrs.frozen
class Deployment:
    """A model in one version with its adapters, targets and policies.

    :param name: what callers write in the ``model`` field.
    :param weights_bytes: memory of the weights.
    :param kv_reserve_bytes: memory kept for the KV cache of each replica.
    :param min_replicas: replicas kept ready over all data centres.
    :param first_token_target_s: time to the first token that admission and the measures
        judge by.
    :param next_token_target_s: time between tokens. Stored configurations carry it, so it
        is accepted; only experiments judge by it.
    :param repeatable: whether a broken answer may be asked for again.
    :param policies: kind of policy to policy name; the split, if any, decides
        between names.
    """

    name: str
    version: str
    weights_bytes: int
    kv_reserve_bytes: int = 0
    adapters: list[Adapter] = attrs.field(factory=list)
    priority_class: PriorityClass = PriorityClass.NORMAL
    first_token_target_s: float = 1.5
    next_token_target_s: float = 0.035
    min_replicas: int = 1
    repeatable: bool = True
    policies: dict[PolicyKind, str] = attrs.field(factory=dict)


@attrs.frozen
class NumberParameter:
    """One named number of a policy."""

    name: str
    value: float


@attrs.frozen
class Policy:
    """A named policy: an implementation from a registry and its numbers."""

    name: str
    kind: PolicyKind
    implementation: str
    parameters: list[NumberParameter] = attrs.field(factory=list)

    def number(self, name: str, default: float) -> float:
        """Return the parameter called *name*, or *default*."""
        for parameter in self.parameters:
            if parameter.name == name:
                return parameter.value
        return default


@attrs.frozen
class PlainRoute:
    """A path prefix that leads to a plain service.

    :param path_prefix: longest prefix wins; the rest of the path is passed on.
    :param service: name of the service in the instance list.
    :param repeatable: whether a call may be sent a second time.
    """

    name: str
    path_prefix: str
    service: str
    repeatable: bool = False
    timeout_s: float = 30.0
    priority_class: PriorityClass = PriorityClass.NORMAL


@attrs.frozen
class Split:
    """Traffic of one kind of decision divided between two policies."""

    name: str
    kind: PolicyKind
    policy_a: str
    policy_b: str
    share_b_ratio: float


@attrs.frozen
class Binding:
    """The policy that decides where a deployment names none.

    :param name: the kind of policy, which has one binding.
    """

    name: PolicyKind
    policy: str


@attrs.frozen
class Document:
    """The whole configuration at one revision."""

    deployments: list[Deployment] = attrs.field(factory=list)
    policies: list[Policy] = attrs.field(factory=list)
    routes: list[PlainRoute] = attrs.field(factory=list)
    splits: list[Split] = attrs.field(factory=list)
    bindings: list[Binding] = attrs.field(factory=list)
    drained_upstreams: list[str] = attrs.field(factory=list)
