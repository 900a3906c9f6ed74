"""Records at other gateways where streams began, and asks them when a stream is resumed.

While the replicas of a service have one version, records stay with the gateway where the stream
began, and nothing is sent. When a second version appears, those that it has are sent as well.
Messages may be lost, and recorders may have ended. The origin of a stream is then unknown, and the
stream is not continued while there are several versions.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import attrs

from limeshelf.metrics.event_log import log_request
from limeshelf.peers.query_client import QueryClient
from limeshelf.streams.messages import StreamAnswer, StreamQuery, StreamRecord, StreamsBegun
from limeshelf.streams.recorders import recorders
from limeshelf.streams.records import StreamOrigin, StreamRecords
from limeshelf.streams.versions import VersionHistory
from limeshelf.util.backoff import equal_jitter_s
from limeshelf.util.identifiers import new_id

if TYPE_CHECKING:
    from collections.abc import Sequence

    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode
    from limeshelf.replicas.directory import ReplicaDirectory


#: Interval between two looks for services that have got a second version.
CHECK_INTERVAL_S = 0.5
#: How long gateways that do not answer are asked again. Their connections to a gateway that has
#: just started may have to be opened anew first.
ASK_LIMIT_S = 1.2
#: Base and limit of the pauses between two queries to the same gateway.
ASK_AGAIN_BASE_S = 0.05
ASK_AGAIN_LIMIT_S = 0.4


@attrs.frozen
class UnknownOrigin:
    """Nobody knows where a stream began, and there are several versions."""


class StreamExchange:
    """Keeps and finds the origins of streams."""

    def __init__(self, node: PeerNode, members: Members, directory: ReplicaDirectory) -> None:
        self.records = StreamRecords()
        self.versions = VersionHistory(directory)
        self._node = node
        self._members = members
        self._client: QueryClient[StreamAnswer] = QueryClient(node, lambda address: None)
        self._mixed: set[str] = set()

    def start(self) -> None:
        """Register the message handlers."""
        self._node.add_handler(StreamsBegun, self._handle_records)
        self._node.add_handler(StreamQuery, self._handle_query)
        self._node.add_handler(StreamAnswer, self._handle_answer)

    async def run(self) -> None:
        """Send the records of services that get a second version; runs until cancelled."""
        while True:
            self.check_versions()
            await asyncio.sleep(CHECK_INTERVAL_S)

    def check_versions(self) -> None:
        """Send the records of the services that have got a second version."""
        self.versions.refresh()
        mixed = {name for name in self.versions.services() if self._is_mixed(name)}
        for service in mixed - self._mixed:
            self._send([*self.records.of_service(service)])
        self._mixed = mixed

    def _is_mixed(self, service: str) -> bool:
        return len(self.versions.lately(service)) > 1

    def record(self, stream_id: str, origin: StreamOrigin) -> None:
        """Record where a stream has begun, before its first event goes out."""
        if origin.version not in self.versions.lately(origin.service):
            self.versions.refresh()
        self.versions.record(origin.service, origin.version)
        self.records.add(stream_id, origin)
        if self._is_mixed(origin.service):
            self._send([(stream_id, origin)])

    def _send(self, streams: Sequence[tuple[str, StreamOrigin]]) -> None:
        by_address: dict[str, list[StreamRecord]] = {}
        for stream_id, origin in streams:
            record = StreamRecord(stream_id, origin.service, origin.version)
            for member in recorders(self._members, stream_id):
                by_address.setdefault(member.address, []).append(record)
        for address, records in by_address.items():
            self._node.send(address, StreamsBegun(records))

    async def find(
        self,
        stream_id: str | None,
        service: str,
        services: Sequence[str],
        limit_s: float = ASK_LIMIT_S,
    ) -> StreamOrigin | UnknownOrigin | None:
        """Return where a stream began that is resumed.

        :param stream_id: id of the call that brought its first event; ``None`` if the caller does
            not state it.
        :param service: at which the stream goes on if that is not known.
        :param services: at which it may have begun.
        :param limit_s: how long the call may wait, in seconds.
        :return: ``None`` if no replica of the service is known.
        """
        known = self.records.get(stream_id) if stream_id is not None else None
        self.versions.refresh()
        versions = set(self.versions.lately(service))
        if known is not None or (len(versions) == 1 and self.versions.is_complete):
            return known or StreamOrigin(service, versions.pop())
        for answer in await self._ask(stream_id or '', services, limit_s):
            if answer.record is not None:
                return StreamOrigin(answer.record.service, answer.record.version)
            versions.update(answer.versions.get(service, []))
        if len(versions) > 1:
            return UnknownOrigin()
        return StreamOrigin(service, versions.pop()) if versions else None

    async def _ask(
        self, stream_id: str, services: Sequence[str], limit_s: float
    ) -> list[StreamAnswer]:
        """Return the answers of the recorders, up to the first one that has the record."""
        limit_s = max(0.0, min(limit_s, ASK_LIMIT_S))
        queries = [
            asyncio.ensure_future(self._ask_until_answered(member.address, stream_id, services))
            for member in recorders(self._members, stream_id)
        ]
        answers: list[StreamAnswer] = []
        try:
            for answered in asyncio.as_completed(queries, timeout=limit_s):
                answers.append(await answered)
                if answers[-1].record is not None:
                    break
        except TimeoutError:
            log_request(
                'stream_recorders_silent',
                asked=len(queries),
                answered=len(answers),
                limit_s=limit_s,
            )
        finally:
            for query in queries:
                query.cancel()
        return answers

    async def _ask_until_answered(
        self, address: str, stream_id: str, services: Sequence[str]
    ) -> StreamAnswer:
        attempt = 0
        while True:
            query = StreamQuery(new_id('s'), stream_id, list(services))
            answer = await self._client.send_query(address, query.query_id, query)
            if answer is not None:
                return answer
            await asyncio.sleep(equal_jitter_s(attempt, ASK_AGAIN_BASE_S, ASK_AGAIN_LIMIT_S))
            attempt += 1

    def _handle_records(self, envelope: Envelope) -> None:
        begun: StreamsBegun = envelope.message
        for record in begun.records:
            self.versions.record(record.service, record.version)
            self.records.add(record.stream_id, StreamOrigin(record.service, record.version))

    def _handle_query(self, envelope: Envelope) -> None:
        query: StreamQuery = envelope.message
        origin = self.records.get(query.stream_id)
        record = None
        if origin is not None:
            record = StreamRecord(query.stream_id, origin.service, origin.version)
        self.versions.refresh()
        versions = {name: sorted(self.versions.lately(name)) for name in query.services}
        self._node.send(envelope.sender, StreamAnswer(query.query_id, record, versions))

    def _handle_answer(self, envelope: Envelope) -> None:
        answer: StreamAnswer = envelope.message
        self._client.handle_answer(answer.query_id, answer)
