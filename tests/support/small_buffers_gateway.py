"""``limeshelf-gateway`` on a machine whose connections buffer little in the operating system."""

from __future__ import annotations

import socket

from aiohttp import web

from limeshelf.programs import gateway

#: Send buffer of each connection; the operating system doubles it.
SEND_BUFFER_BYTES = 1 << 12


class _Site(web.TCPSite):
    """A listener whose connections have small send buffers."""

    async def start(self) -> None:
        await super().start()
        assert self._server is not None
        for listener in self._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)


def main() -> None:
    """Run the gateway program with such listeners."""
    web.TCPSite = _Site  # type: ignore[misc]
    gateway.main()


if __name__ == '__main__':
    main()
