"""Handles rate limits, pauses and leaving announcements of replicas, and logs changes.

All notices are handled here: those in the head of a response to a call, as soon as the head
arrives (a stream takes seconds more), those in responses to orders and reports, and those from
peers. Owns only the set of replicas whose unusable notices have been logged; the active
requests are kept per start of a replica (:mod:`limeshelf.replicas.backpressure`).
"""

from __future__ import annotations

import enum
from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.notice import NO_NOTICE
from limeshelf.metrics.event_log import log_change
from limeshelf.util.clock import MS_PER_S, boottime_s

if TYPE_CHECKING:
    from collections.abc import Callable

    from limeshelf.calls.notice import ReplicaNotice
    from limeshelf.calls.wire import AnswerHead
    from limeshelf.replicas.backpressure import StatedLimit
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart


class NoticeSource(enum.StrEnum):
    """Where a notice was received from."""

    CALL = 'call'
    #: A response to an order, or a report.
    ORDER = 'order'
    #: A message of another gateway.
    PEER = 'peer'


class NoticeKind(enum.StrEnum):
    """What a replica requests, as the label of a counter."""

    RATE = 'rate'
    PAUSE = 'pause'
    REJECTIONS = 'rejections'
    LEAVING = 'leaving'


@attrs.frozen
class _Requested:
    """Requests of a replica to all gateways, to detect changes."""

    rate_per_s: float | None
    rejections_per_s: float | None
    leaving: bool

    @classmethod
    def from_replica(cls, replica: Replica) -> _Requested:
        backpressure = replica.backpressure
        return cls(backpressure.rate_per_s, backpressure.rejections_per_s, backpressure.leaving)


@attrs.define
class NoticeHandler:
    """Applies notices to replicas.

    :ivar on_change: called with a replica whose rate limit or leaving state has changed, and the
        source of the notice.
    :ivar count: called when a replica starts to request something, or changes its rate limit.
    :ivar gateways: returns the number of gateways that may send to a replica.
    :ivar unusable: starts of replicas that have sent an unusable notice, which is logged once.
    """

    directory: ReplicaDirectory
    on_change: Callable[[Replica, NoticeSource], None] = lambda replica, source: None
    count: Callable[[NoticeKind], None] = lambda kind: None
    gateways: Callable[[], int] = lambda: 1
    unusable: set[ReplicaStart] = attrs.field(factory=set)

    def handle_call_response(self, replica: Replica, head: AnswerHead, sent_s: float) -> None:
        """Apply the notice in the head of a response to a call.

        A response without a rate limit ends the limit only if the replica ran the call.

        :param sent_s: when the call was sent, on the boot clock.
        """
        before = _Requested.from_replica(replica)
        self._apply(replica, head.notice, NoticeSource.CALL)
        if not head.notice.names_rate and not head.not_run:
            replica.backpressure.rate.record_absent(sent_s)
        if not head.notice.names_rejections and not head.not_run:
            replica.backpressure.rejections.record_absent(sent_s)
        if head.not_run and not head.misdirected:
            replica.backpressure.record_rejection(self.gateways())
        self._report_change(replica, before, NoticeSource.CALL)

    def handle_order_response(self, replica_id: str, notice: ReplicaNotice) -> None:
        """Apply the notice in the head of a response to an order, or of a report.

        One without a rate limit does not end the limit: an overloaded replica may state it only
        in responses to calls.
        """
        replica = self.directory.get(replica_id)
        if replica is not None and notice != NO_NOTICE:
            before = _Requested.from_replica(replica)
            self._apply(replica, notice, NoticeSource.ORDER)
            self._report_change(replica, before, NoticeSource.ORDER)

    def _apply(self, replica: Replica, notice: ReplicaNotice, source: NoticeSource) -> None:
        if notice.leaving:
            self.directory.mark_leaving(replica, source)
        if notice.rate_per_s is not None:
            replica.backpressure.rate.record(notice.rate_per_s, boottime_s())
        if notice.rejections_per_s is not None:
            replica.backpressure.rejections.record(notice.rejections_per_s, boottime_s())
        if notice.pause_s is not None:
            self._apply_pause(replica, notice.pause_s, source)
        if notice.unusable:
            self._log_unusable(replica)

    def _apply_pause(self, replica: Replica, pause_s: float, source: NoticeSource) -> None:
        was_paused = replica.backpressure.is_paused
        replica.backpressure.record_pause(pause_s)
        if not was_paused and pause_s:
            self.count(NoticeKind.PAUSE)
            log_change(
                'replica_pause',
                replica=replica.replica_id,
                pause_ms=int(replica.backpressure.remaining_pause_s * MS_PER_S),
                learned_by=source,
            )

    def handle_peer_leaving(self, replica: Replica) -> None:
        """Apply a leaving announcement that another gateway received."""
        before = _Requested.from_replica(replica)
        self.directory.mark_leaving(replica, NoticeSource.PEER)
        self._report_change(replica, before, NoticeSource.PEER)

    def handle_peer_rate(self, replica: Replica, rate_per_s: float | None, known_s: float) -> None:
        """Apply the rate limit of a replica that another gateway knows, or that there is none.

        :param known_s: with a rate limit, when the response with it arrived; without one, when
            the latest call was sent whose response had none; on the boot clock.
        """
        before = _Requested.from_replica(replica)
        _apply_stated(replica.backpressure.rate, rate_per_s, known_s)
        self._report_change(replica, before, NoticeSource.PEER)

    def handle_peer_rejections(
        self, replica: Replica, rejections_per_s: float | None, known_s: float
    ) -> None:
        """Apply the limit on rejections that another gateway knows, or that there is none.

        :param known_s: as for :meth:`handle_peer_rate`.
        """
        before = _Requested.from_replica(replica)
        _apply_stated(replica.backpressure.rejections, rejections_per_s, known_s)
        self._report_change(replica, before, NoticeSource.PEER)

    def _report_change(self, replica: Replica, before: _Requested, source: NoticeSource) -> None:
        now = _Requested.from_replica(replica)
        if now.rate_per_s != before.rate_per_s:
            log_change(
                'replica_rate',
                replica=replica.replica_id,
                rate_per_s=now.rate_per_s,
                earlier_per_s=before.rate_per_s,
                learned_by=source,
            )
            if now.rate_per_s is not None:
                self.count(NoticeKind.RATE)
        if now.rejections_per_s != before.rejections_per_s:
            log_change(
                'replica_rejection_limit',
                replica=replica.replica_id,
                rejections_per_s=now.rejections_per_s,
                learned_by=source,
            )
            if now.rejections_per_s is not None:
                self.count(NoticeKind.REJECTIONS)
        if now.leaving and not before.leaving:
            self.count(NoticeKind.LEAVING)
        if now != before:
            self.on_change(replica, source)

    def _log_unusable(self, replica: Replica) -> None:
        if replica.start not in self.unusable:
            self.unusable.add(replica.start)
            log_change('replica_notice_unusable', replica=replica.replica_id)


def _apply_stated(limit: StatedLimit, value: float | None, known_s: float) -> None:
    if value is not None:
        limit.record(value, known_s)
    else:
        limit.record_absent(known_s)
