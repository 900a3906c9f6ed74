"""The operator's current configuration at this gateway.

Owns the current version. All components that depend on the configuration share one object, so
that one assignment changes the version in the whole process.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

if TYPE_CHECKING:
    from limeshelf.calls.routes import ServingConfig


@attrs.define
class ActiveConfig:
    """The newest configuration read so far; never replaced by an older one.

    :ivar config: ``None`` until the first is known.
    :ivar is_superseded: whether a later version exists that cannot be parsed; the keys and routes
        that it removes are not known then.
    """

    config: ServingConfig | None = None
    is_superseded: bool = False

    @property
    def version(self) -> int:
        """Return the operator's version number; 0 before the first."""
        return self.config.version if self.config is not None else 0

    def get(self) -> ServingConfig | None:
        """Return the current configuration."""
        return self.config

    def replace_if_newer(self, config: ServingConfig) -> bool:
        """Make *config* current if it is newer; return whether it is."""
        if self.config is not None and config.version <= self.config.version:
            return False
        self.config = config
        self.is_superseded = False
        return True
