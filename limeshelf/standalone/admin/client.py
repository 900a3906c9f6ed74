"""Client side of the operator RPC.

Owns no state: each call opens a connection and closes it. Relies on the schema that
``limeshelf/admin`` holds.
"""

from __future__ import annotations

from pathlib import Path
from typing import TYPE_CHECKING, Any

import attrs
import grpc

from limeshelf.admin import admin_pb2_grpc
from limeshelf.standalone.admin.server import MAX_MESSAGE_BYTES, TOKEN_KEY, TOKEN_PREFIX

if TYPE_CHECKING:
    from collections.abc import Callable

#: Limit of an operator's call.
CALL_TIMEOUT_S = 10.0


@attrs.frozen
class Connection:
    """Where the admin program listens, and which token and certificates it wants.

    :param ca_file: certificates to trust; none for a plain connection.
    """

    address: str
    token_file: Path | None = None
    ca_file: Path | None = None

    def call(self, method: str, request: Any) -> Any:
        """Call *method* and return its reply; raises :exc:`grpc.RpcError`."""
        with self._open() as channel:
            stub = admin_pb2_grpc.AdminStub(channel)
            function: Callable[..., Any] = getattr(stub, method)
            return function(request, timeout=CALL_TIMEOUT_S, metadata=self._metadata())

    def _open(self) -> Any:
        options = [('grpc.max_receive_message_length', MAX_MESSAGE_BYTES)]
        if self.ca_file is None:
            return grpc.insecure_channel(self.address, options=options)
        credentials = grpc.ssl_channel_credentials(self.ca_file.read_bytes())
        return grpc.secure_channel(self.address, credentials, options=options)

    def _metadata(self) -> list[tuple[str, str]]:
        if self.token_file is None:
            return []
        return [(TOKEN_KEY, TOKEN_PREFIX + self.token_file.read_text().strip())]
