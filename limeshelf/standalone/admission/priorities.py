"""Priority policies: the rank that goes to the engine; the lower rank runs first.

Owns the registry of priority policies. Relies on the order of the classes in
``config.document``.
"""

from __future__ import annotations

from typing import TYPE_CHECKING, Protocol

import attrs

from limeshelf.registry import Registry
from limeshelf.standalone.config.document import PRIORITY_RANK, PriorityClass

if TYPE_CHECKING:
    from limeshelf.standalone.config.document import Policy

#: Ranks of one class: a class never overtakes a higher one, and remaining time ranks by the
#: second up to 999 s.
RANKS_PER_CLASS = 1000


class PriorityPolicy(Protocol):
    """Ranks a request."""

    @classmethod
    def from_config(cls, policy: Policy) -> PriorityPolicy:
        """Build the policy with the numbers of *policy*."""
        ...

    def rank(self, priority_class: PriorityClass, remaining_s: float) -> int:
        """Return the rank.

        :param remaining_s: time to the request's deadline.
        """
        ...


priority_policies: Registry[PriorityPolicy] = Registry('priority policy')


@priority_policies.register('flat')
@attrs.define
class Flat:
    """All requests are equal: first come, first served."""

    @classmethod
    def from_config(cls, policy: Policy) -> Flat:
        """Build the policy; it has no numbers."""
        return cls()

    def rank(self, priority_class: PriorityClass, remaining_s: float) -> int:
        """Return 0."""
        return 0


@priority_policies.register('class-rank')
@attrs.define
class ClassRank:
    """The class decides; within it, first come, first served."""

    @classmethod
    def from_config(cls, policy: Policy) -> ClassRank:
        """Build the policy; it has no numbers."""
        return cls()

    def rank(self, priority_class: PriorityClass, remaining_s: float) -> int:
        """Return the rank of the class."""
        return PRIORITY_RANK[priority_class] * RANKS_PER_CLASS


@priority_policies.register('deadline-first')
@attrs.define
class DeadlineFirst:
    """The class decides; within it, the nearest deadline first."""

    @classmethod
    def from_config(cls, policy: Policy) -> DeadlineFirst:
        """Build the policy; it has no numbers."""
        return cls()

    def rank(self, priority_class: PriorityClass, remaining_s: float) -> int:
        """Return the class's rank plus the remaining seconds."""
        seconds = min(max(int(remaining_s), 0), RANKS_PER_CLASS - 1)
        return PRIORITY_RANK[priority_class] * RANKS_PER_CLASS + seconds
