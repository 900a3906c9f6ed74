"""The decision log of the standalone programs: one line for each decision.

Owns the latest lines for each subject, which the operator's ``explain`` command reads. Unlike the
event log, it writes ``name=value`` pairs through absl, as these programs do for all log lines,
and keeps the lines in memory.
"""

from __future__ import annotations

import logging as std_logging
from collections import OrderedDict

from absl import logging

#: Maximum number of subjects (request ids or models) whose lines are kept.
MAX_SUBJECTS = 4096
#: Maximum number of lines kept for one subject; older ones are dropped.
MAX_LINES_PER_SUBJECT = 20


class DecisionLog:
    """Writes decision lines and keeps the latest in memory.

    :param enabled: whether lines are written to the log; they are kept in either case.
    """

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._lines: OrderedDict[str, list[str]] = OrderedDict()

    def add(self, subject: str, decision: str, **fields: object) -> None:
        """Record a decision.

        :param subject: request id or model that the decision is about.
        :param decision: kind of the decision, for example ``route``.
        :param fields: inputs of the decision; their names include the unit.
        """
        pairs = ' '.join(f'{name}={_text(value)}' for name, value in fields.items())
        line = f'decision={decision} subject={subject} {pairs}'
        kept = self._lines.setdefault(subject, [])
        kept.append(line)
        del kept[:-MAX_LINES_PER_SUBJECT]
        self._lines.move_to_end(subject)
        if len(self._lines) > MAX_SUBJECTS:
            self._lines.popitem(last=False)
        if self._enabled:
            _write(line)

    def lines(self, subject: str) -> list[str]:
        """Return the kept lines about *subject*, oldest first."""
        return list(self._lines.get(subject, ()))


def _write(line: str) -> None:
    # Bypasses the logger, which would walk the stack to find the caller: this took a tenth of
    # a request's time and would always yield this function.
    logging.get_absl_handler().handle(
        std_logging.LogRecord('absl', std_logging.INFO, __file__, 0, line, None, None)
    )


def _text(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.4g}'
    return str(value).replace(' ', '_')
