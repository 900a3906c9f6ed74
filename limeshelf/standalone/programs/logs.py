"""Sets up absl logging: plain lines, or one JSON object a line.

Owns nothing; the modules write ``key=value`` lines, which become the fields of an object.
"""

from __future__ import annotations

import logging as std_logging
from typing import TYPE_CHECKING

import msgspec
from absl import flags, logging

if TYPE_CHECKING:
    from limeshelf.settings.model import LogSettings


class JsonFormatter(std_logging.Formatter):
    """Writes a line as JSON; ``key=value`` pairs become fields."""

    def format(self, record: std_logging.LogRecord) -> str:
        """Return the JSON text of *record*."""
        message = record.getMessage()
        line: dict[str, object] = {
            'unix_s': round(record.created, 6),
            'level': record.levelname.lower(),
            'module': record.module,
            'message': message,
        }
        for part in message.split(' '):
            name, mark, value = part.partition('=')
            if mark and name.isidentifier():
                line.setdefault(name, value)
        return msgspec.json.encode(line).decode()


def set_up_logs(settings: LogSettings) -> None:
    """Send log lines to standard error in the form that *settings* ask for."""
    # Settings take the place of absl's flags; unparsed ones make it warn.
    flags.FLAGS.mark_as_parsed()
    logging.use_absl_handler()
    logging.set_verbosity(logging.INFO)
    if settings.json_lines:
        logging.get_absl_handler().setFormatter(JsonFormatter())
