"""Listens for operators: gRPC with a token and TLS as the settings say.

Owns the listener, the check of the token and the certificate in use. Relies on the
service for the answers.
"""

from __future__ import annotations

import hmac
from pathlib import Path
from typing import TYPE_CHECKING, Any

import grpc
import grpc.aio
from absl import logging

from limeshelf.admin import admin_pb2_grpc
from limeshelf.errors import InvalidDocument, Problem
from limeshelf.settings.tls import create_server_context

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from limeshelf.settings.model import AdminSettings
    from limeshelf.standalone.admin.service import AdminService

#: Metadata key under which operators send their token.
TOKEN_KEY = 'authorization'
TOKEN_PREFIX = 'Bearer '
#: Largest message: a configuration of some thousand models.
MAX_MESSAGE_BYTES = 16 << 20


class TokenCheck(grpc.aio.ServerInterceptor):  # type: ignore[type-arg]
    """Refuses calls that do not carry the token."""

    def __init__(self, token: str) -> None:
        self._expected = (TOKEN_PREFIX + token).encode()

    async def intercept_service(
        self, continuation: Callable[[Any], Awaitable[Any]], details: Any
    ) -> Any:
        """Let the call through if its token is right."""
        given = dict(details.invocation_metadata).get(TOKEN_KEY, '')
        if hmac.compare_digest(str(given).encode(), self._expected):
            return await continuation(details)

        async def refuse(request: Any, context: Any) -> Any:
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, 'wrong or missing token')

        return grpc.unary_unary_rpc_method_handler(refuse)


class AdminServer:
    """The gRPC listener."""

    def __init__(self, service: AdminService, settings: AdminSettings) -> None:
        self._settings = settings
        interceptors = []
        if settings.token_file is not None:
            interceptors.append(TokenCheck(Path(settings.token_file).read_text().strip()))
        self._server = grpc.aio.server(
            interceptors=interceptors,
            options=[('grpc.max_receive_message_length', MAX_MESSAGE_BYTES)],
        )
        admin_pb2_grpc.add_AdminServicer_to_server(service, self._server)

    async def start(self, host: str) -> int:
        """Listen, and return the port."""
        address = f'{host}:{self._settings.rpc_port}'
        if self._settings.tls is None:
            port = self._server.add_insecure_port(address)
        else:
            port = self._server.add_secure_port(address, self._credentials())
        await self._server.start()
        return int(port)

    def _credentials(self) -> Any:
        """Return credentials that read the files again when they change."""
        tls = self._settings.tls
        assert tls is not None
        create_server_context(tls, 'admin.tls')
        first = _read_pair(tls.certificate_file, tls.key_file)
        seen = [first]

        def fetch() -> Any:
            try:
                pair = _read_pair(tls.certificate_file, tls.key_file)
            except InvalidDocument as error:
                logging.error('tls=reload_failed error=%s', error)
                return None
            if pair == seen[0]:
                return None
            seen[0] = pair
            logging.info('tls=reloaded')
            return grpc.ssl_server_certificate_configuration([pair])

        return grpc.dynamic_ssl_server_credentials(
            grpc.ssl_server_certificate_configuration([first]), fetch
        )

    async def close(self, grace_s: float) -> None:
        """Let running calls end within *grace_s*, then close."""
        await self._server.stop(grace_s)


def _read_pair(certificate_file: str, key_file: str) -> tuple[bytes, bytes]:
    """Return key and certificate, in the order that gRPC wants them."""
    try:
        return Path(key_file).read_bytes(), Path(certificate_file).read_bytes()
    except OSError as error:
        problem = Problem('admin.tls', f'cannot be read: {error.strerror}')
        raise InvalidDocument([problem]) from None
