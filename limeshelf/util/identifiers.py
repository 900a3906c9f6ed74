"""Random identifiers, unique across instances."""

from __future__ import annotations

import secrets


def new_id(prefix: str) -> str:
    """Return ``prefix-`` followed by 64 random bits in hexadecimal."""
    return f'{prefix}-{secrets.token_hex(8)}'
