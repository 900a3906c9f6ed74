"""Finds out which start of a replica a row or report describes.

A replica may restart under the same id. It then holds no models and numbers its heartbeats and
orders from the beginning. Rows and reports may contain the start time
(:attr:`~limeshelf.replicas.record.ReplicaRecord.born_ms`); those without one are attributed to
the known start. Owns the known start of one replica; the time is passed in by the callers.
"""

from __future__ import annotations

import enum

import attrs

#: A start with an earlier start time replaces the known one only if its rows and reports have
#: arrived for longer than this and none with the known start time have: then the clock of the
#: machine was set back between the two starts. The store may apply a write without a reply up to
#: 6 s later, so all writes of an earlier start are visible by then.
CLOCK_STEP_BACK_S = 8.0


class StateSource(enum.StrEnum):
    """Where a row or report of a replica was received from."""

    ROW = 'row'
    #: The response of the replica to this gateway.
    REPORT = 'report'
    #: A message of the leader.
    PEER = 'peer'


class StartOrder(enum.Enum):
    """Which start a row or report describes, compared with the known one."""

    SAME = enum.auto()
    LATER = enum.auto()
    EARLIER = enum.auto()


@attrs.frozen
class ReplicaStart:
    """Identifies one start of a replica within this process.

    Used as the key for state of a replica that a restart invalidates. A row that was deleted and
    written again is not a new start.

    :param number: number of earlier starts that this process has detected.
    """

    replica_id: str
    number: int = 0


@attrs.define
class KnownStart:
    """Start time of one replica, and when this process detected that start.

    :param born_ms: start time in milliseconds since 1970, by the clock of its machine; ``None``
        if not stated yet.
    :param known_since_s: when this process detected the start, on the boot clock.
    """

    born_ms: int | None
    known_since_s: float
    _candidate_born_ms: int | None = None
    _candidate_since_s: float = 0.0

    def compare(
        self, born_ms: int | None, now_s: float, requested_s: float | None = None
    ) -> StartOrder:
        """Return which start a row or report describes.

        :param born_ms: start time in the row or report. The first one received is attributed to
            the known start.
        :param requested_s: when this process requested the report from the replica; ``None`` for
            other sources. A response to a request sent after the known start was detected is from
            the start that runs now, whatever its clock shows.
        """
        if born_ms is None or self.born_ms is None or born_ms == self.born_ms:
            self.born_ms = born_ms if self.born_ms is None else self.born_ms
            if born_ms is not None:
                self._candidate_born_ms = None
            return StartOrder.SAME
        if born_ms > self.born_ms or (
            requested_s is not None and requested_s > self.known_since_s
        ):
            return StartOrder.LATER
        return self._compare_lower(born_ms, now_s)

    def _compare_lower(self, born_ms: int, now_s: float) -> StartOrder:
        if self._candidate_born_ms != born_ms:
            self._candidate_born_ms = born_ms
            self._candidate_since_s = now_s
        has_stepped_back = now_s - self._candidate_since_s > CLOCK_STEP_BACK_S
        return StartOrder.LATER if has_stepped_back else StartOrder.EARLIER
