"""Closes connections with a TCP reset, as crashes and some faults of the network do."""

from __future__ import annotations

import contextlib
import socket
import struct
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Reset the connection of *writer*, unless it is closed already."""
    raw = writer.get_extra_info('socket')
    if raw is not None:
        with contextlib.suppress(OSError):
            raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0))
    writer.transport.abort()
