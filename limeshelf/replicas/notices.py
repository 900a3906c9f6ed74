"""Takes what replicas ask for, whoever heard it, and logs what changes.

The one place that takes notices: of the head of an answer to a call, as soon as it is there (a
stream goes on for seconds), of other answers, and of peers. Owns nothing but what was
logged; what holds is kept with the start of the replica (:mod:`limeshelf.replicas.backpressure`).
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
    from limeshelf.replicas.directory import ReplicaDirectory
    from limeshelf.replicas.replica import Replica
    from limeshelf.replicas.starts import ReplicaStart


class NoticeWay(enum.StrEnum):
    """How a notice came."""

    CALL = 'call'
    #: An answer to an order, or a report.
    ORDER = 'order'
    #: Another gateway's message.
    PEER = 'peer'


class Statement(enum.StrEnum):
    """What a replica asks for, as the label of a counter."""

    RATE = 'rate'
    PAUSE = 'pause'
    LEAVING = 'leaving'


@attrs.frozen
class _Asked:
    """What a replica asks of all gateways at a moment."""

    rate_per_s: float | None
    leaving: bool

    @classmethod
    def by(cls, replica: Replica) -> _Asked:
        backpressure = replica.backpressure
        return cls(backpressure.rate_per_s, backpressure.leaving)


@attrs.define
class NoticeTaker:
    """Takes notices.

    :ivar on_change: called with a replica when what it asks for has changed, and how that was
        learned.
    :ivar count: called when a replica begins to ask for something, or names another rate.
    :ivar unusable: starts of replicas that said something that cannot be read; logged once.
    """

    directory: ReplicaDirectory
    on_change: Callable[[Replica, NoticeWay], None] = lambda replica, way: None
    count: Callable[[Statement], None] = lambda statement: None
    unusable: set[ReplicaStart] = attrs.field(factory=set)

    def take_of_call(self, replica: Replica, head: AnswerHead, sent_s: float) -> None:
        """Take what the head of an answer to a call says.

        That it names no rate counts only where the replica ran the call.

        :param sent_s: when the call was sent, on the boot clock.
        """
        before = _Asked.by(replica)
        self._take(replica, head.notice, NoticeWay.CALL)
        if not head.notice.names_rate and not head.not_run:
            replica.backpressure.note_no_rate(sent_s)
        self._note_change(replica, before, NoticeWay.CALL)

    def take_of_order(self, replica_id: str, notice: ReplicaNotice) -> None:
        """Take what the head of an answer to an order says, or of a report.

        That it names no rate says nothing: replicas in need may name it to callers alone.
        """
        replica = self.directory.get(replica_id)
        if replica is not None and notice != NO_NOTICE:
            before = _Asked.by(replica)
            self._take(replica, notice, NoticeWay.ORDER)
            self._note_change(replica, before, NoticeWay.ORDER)

    def _take(self, replica: Replica, notice: ReplicaNotice, way: NoticeWay) -> None:
        if notice.leaving:
            self.directory.mark_leaving(replica, way)
        if notice.rate_per_s is not None:
            replica.backpressure.note_rate(notice.rate_per_s, boottime_s())
        if notice.pause_s is not None:
            self._pause(replica, notice.pause_s, way)
        if notice.unusable:
            self._log_unusable(replica)

    def _pause(self, replica: Replica, pause_s: float, way: NoticeWay) -> None:
        was_paused = replica.backpressure.is_paused
        replica.backpressure.note_pause(pause_s)
        if not was_paused and pause_s:
            self.count(Statement.PAUSE)
            log_change(
                'replica_pause',
                replica=replica.replica_id,
                pause_ms=int(replica.backpressure.pause_left_s * MS_PER_S),
                learned_by=way,
            )

    def take_leaving_of_peer(self, replica: Replica) -> None:
        """Take that another gateway has heard that a replica leaves."""
        before = _Asked.by(replica)
        self.directory.mark_leaving(replica, NoticeWay.PEER)
        self._note_change(replica, before, NoticeWay.PEER)

    def take_rate_of_peer(
        self, replica: Replica, rate_per_s: float | None, known_s: float
    ) -> None:
        """Take what another gateway knows of the rate of a replica.

        :param known_s: of a rate, when an answer named it; without one, when the latest call was
            sent whose answer named none; on the boot clock.
        """
        before = _Asked.by(replica)
        if rate_per_s is not None:
            replica.backpressure.note_rate(rate_per_s, known_s)
        else:
            replica.backpressure.note_no_rate(known_s)
        self._note_change(replica, before, NoticeWay.PEER)

    def _note_change(self, replica: Replica, before: _Asked, way: NoticeWay) -> None:
        now = _Asked.by(replica)
        if now.rate_per_s != before.rate_per_s:
            log_change(
                'replica_rate',
                replica=replica.replica_id,
                rate_per_s=now.rate_per_s,
                earlier_per_s=before.rate_per_s,
                learned_by=way,
            )
            if now.rate_per_s is not None:
                self.count(Statement.RATE)
        if now.leaving and not before.leaving:
            self.count(Statement.LEAVING)
        if now != before:
            self.on_change(replica, way)

    def _log_unusable(self, replica: Replica) -> None:
        if replica.start not in self.unusable:
            self.unusable.add(replica.start)
            log_change('replica_notice_unusable', replica=replica.replica_id)
