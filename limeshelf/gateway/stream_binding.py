"""Binds a stream that goes on at another replica to the software version that began it.

Stateless; :mod:`limeshelf.streams` knows where streams began, and
:mod:`limeshelf.gateway.selection` selects replicas of that version only.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.errors import RefusalReason
from limeshelf.gateway.endings import refuse_unavailable
from limeshelf.streams.exchange import UnknownOrigin
from limeshelf.streams.records import StreamOrigin

if TYPE_CHECKING:
    from limeshelf.calls.active_config import ActiveConfig
    from limeshelf.gateway.endings import Ending
    from limeshelf.gateway.state import CallState
    from limeshelf.replicas.replica import Replica
    from limeshelf.streams.exchange import StreamExchange


@attrs.frozen
class StreamBinder:
    """Records where streams begin, and binds those that go on."""

    streams: StreamExchange
    active_config: ActiveConfig

    def record_first_event(self, state: CallState, replica: Replica) -> None:
        """Bind a stream that may go on at another replica to the version that brings it now."""
        if state.is_resumable_stream:
            state.version = replica.record.version
            origin = StreamOrigin(state.service.name, replica.record.version)
            self.streams.record(state.call.stream_id, origin)

    async def bind(self, state: CallState) -> Ending | None:
        """Bind a stream that goes on; return how its call ends if that is not possible.

        The caller resumes it, or another gateway has carried it so far.
        """
        goes_on = state.call.last_event_id is not None or state.answer.started
        if not state.is_resumable_stream or not goes_on or state.version is not None:
            return None
        stream_id = state.call.stream_id if state.answer.started else state.call.resumes
        services = [target.service for target in state.route.targets]
        origin = await self.streams.find(stream_id, state.service.name, services, state.left_s)
        if isinstance(origin, UnknownOrigin):
            return refuse_unavailable(state.progress(), RefusalReason.STREAM_ORIGIN_UNKNOWN)
        if origin is not None:
            self._bind_to(state, origin)
        return None

    def _bind_to(self, state: CallState, origin: StreamOrigin) -> None:
        config = self.active_config.config
        service = config.services.get(origin.service) if config is not None else None
        if service is None or not state.route.leads_to(origin.service):
            # The route has moved to another service meanwhile.
            return
        state.service = service
        state.version = origin.version
