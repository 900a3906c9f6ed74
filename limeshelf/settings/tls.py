"""TLS contexts from certificate files, reloaded when the files change.

Used by the listeners of the standalone programs. The settings state the paths and the
interval between checks.
"""

from __future__ import annotations

import asyncio
import os
import ssl
from typing import TYPE_CHECKING

from absl import logging

from limeshelf.errors import InvalidDocument, Problem

if TYPE_CHECKING:
    from limeshelf.settings.model import TlsSettings


def create_server_context(settings: TlsSettings, path: str) -> ssl.SSLContext:
    """Return a server context.

    :param path: path of the settings in their file, for error messages.
    :raises InvalidDocument: if the files cannot be read or the key does not match.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.certificate_file, settings.key_file)
    except (ssl.SSLError, OSError) as error:
        problem = Problem(path, f'certificate and key cannot be used: {error}')
        raise InvalidDocument([problem]) from None
    return context


async def reload_on_change(context: ssl.SSLContext, settings: TlsSettings) -> None:
    """Reload the files into *context* whenever they change, until cancelled.

    New connections use the new certificate; existing ones are unaffected. If the files do not
    match or cannot be read, an error is logged and the old certificate stays in use.
    """
    loaded_times = _modification_times(settings)
    while True:
        await asyncio.sleep(settings.reload_check_s)
        times = _modification_times(settings)
        if times == loaded_times:
            continue
        try:
            context.load_cert_chain(settings.certificate_file, settings.key_file)
        except (ssl.SSLError, OSError) as error:
            logging.error('tls=reload_failed error=%r', error)
            continue
        loaded_times = times
        logging.info('tls=reloaded')


def _modification_times(settings: TlsSettings) -> tuple[float, ...]:
    try:
        return tuple(
            os.stat(name).st_mtime for name in (settings.certificate_file, settings.key_file)
        )
    except OSError:
        # A file may be missing while it is replaced. This counts as a change; the reload then
        # fails and is logged.
        return ()
