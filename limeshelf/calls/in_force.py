"""The operator's configuration that this gateway serves by.

Owns which version is in force here. Everything that depends on the configuration holds
this object, so that one assignment puts a version in force everywhere in the process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.calls.routes import ServingConfig


@attrs.define
class ConfigInForce:
    """The newest configuration that was seen; it never goes back.

    :ivar config: ``None`` until the first is known.
    :ivar is_superseded: whether a later one came that cannot be read, so that nobody knows
        which keys and routes it took away.
    """

    config: ServingConfig | None = None
    is_superseded: bool = False

    @property
    def version(self) -> int:
        """Return the operator's version of it; 0 before any."""
        return self.config.version if self.config is not None else 0

    def get(self) -> ServingConfig | None:
        """Return the configuration in force."""
        return self.config

    def take(self, config: ServingConfig) -> bool:
        """Put *config* in force; return false where a newer one, or the same, already is."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.is_superseded = False
        return True
