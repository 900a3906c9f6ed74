"""The decision log of the own wire's programs: one line for each decision.

Owns the latest lines by subject, which the operator's ``explain`` reads. Unlike
the event log it writes ``name=value`` pairs through absl, as all lines of those
programs do, and keeps what it wrote. Relies on nothing of the product.
"""

from __future__ import annotations

import logging as std_logging
from collections import OrderedDict

from absl import logging

#: Subjects (request ids or models) whose lines are kept.
KEPT_SUBJECTS = 4096
#: Lines kept for one subject; older ones are dropped.
KEPT_LINES = 20


class DecisionLog:
    """Writes decision lines and remembers the latest.

    :param enabled: whether lines go to the log; they are kept in any case.
    """

    def __init__(self, enabled: bool) -> None:
        self._enabled = enabled
        self._lines: OrderedDict[str, list[str]] = OrderedDict()

    def add(self, subject: str, decision: str, **fields: object) -> None:
        """Note a decision.

        :param subject: request id or model that the decision is about.
        :param decision: kind of decision, for example ``route``.
        :param fields: what decided it; the name carries the unit.
        """
        pairs = ' '.join(f'{name}={_text(value)}' for name, value in fields.items())
        line = f'decision={decision} subject={subject} {pairs}'
        kept = self._lines.setdefault(subject, [])
        kept.append(line)
        del kept[:-KEPT_LINES]
        self._lines.move_to_end(subject)
        if len(self._lines) > KEPT_SUBJECTS:
            self._lines.popitem(last=False)
        if self._enabled:
            _write(line)

    def lines(self, subject: str) -> list[str]:
        """Return the kept lines about *subject*, oldest first."""
        return list(self._lines.get(subject, ()))


def _write(line: str) -> None:
    # Straight to the handler: the logger would walk the stack for the place of
    # the call, which took a tenth of a request's time and is always this one.
    logging.get_absl_handler().handle(
        std_logging.LogRecord('absl', std_logging.INFO, __file__, 0, line, None, None)
    )


def _text(value: object) -> str:
    if isinstance(value, float):
        return f'{value:.4g}'
    return str(value).replace(' ', '_')
