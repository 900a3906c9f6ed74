"""TLS contexts from certificate files, reloaded when the files change.

Serves the listeners of the own wire's programs. Relies on the settings for the
paths and for how often they are checked.
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


def open_context(settings: TlsSettings, path: str) -> ssl.SSLContext:
    """Return a server context.

    :param path: place of the settings in their file, for the error.
    :raises InvalidDocument: when certificate and key are no pair.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(settings.certificate_file, settings.key_file)
    except (ssl.SSLError, OSError) as error:
        problem = Problem(path, f'certificate and key cannot be used: {error}')
        raise InvalidDocument([problem]) from None
    return context


async def follow_files(context: ssl.SSLContext, settings: TlsSettings) -> None:
    """Load the files into *context* again whenever they change.

    New connections get the new certificate; running ones are left alone. Files
    that do not fit together are logged and the old certificate stays.
    """
    seen = _stamp(settings)
    while True:
        await asyncio.sleep(settings.reload_check_s)
        stamp = _stamp(settings)
        if stamp == seen:
            continue
        try:
            context.load_cert_chain(settings.certificate_file, settings.key_file)
        except (ssl.SSLError, OSError) as error:
            logging.error('tls=reload_failed error=%r', error)
            continue
        seen = stamp
        logging.info('tls=reloaded')


def _stamp(settings: TlsSettings) -> tuple[float, ...]:
    try:
        return tuple(
            os.stat(name).st_mtime for name in (settings.certificate_file, settings.key_file)
        )
    except OSError:
        # A file is missing, for example while it is replaced. That counts as a
        # change; the load that follows fails and is logged.
        return ()
