"""Exchanges the calls suspected of crashing replicas with the other gateways.

Suspects are broadcast through :mod:`~limeshelf.membership.broadcast_queue`. A gateway that is cut
off from all others receives a call only once the call is quarantined, with its row in the store
(:mod:`limeshelf.crashes.quarantine_sync`).
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import attrs

from limeshelf.calls.fingerprint import Fingerprint
from limeshelf.crashes.suspects import (
    CallCrash,
    ReplicaCrash,
    SuspectState,
    Trial,
    UpdateSource,
)
from limeshelf.membership.broadcast_queue import BroadcastQueue
from limeshelf.membership.messages import CrashedReplica, CrashSuspects, TriedReplica

if TYPE_CHECKING:
    from collections.abc import Iterator

    from limeshelf.crashes.suspects import Suspects
    from limeshelf.membership.members import Members
    from limeshelf.peers.codec import Envelope
    from limeshelf.peers.node import PeerNode

#: Suspects added within this time are sent in one message. When a replica crashes, its calls break
#: off within 3 ms at all gateways, but a relay receives the reports of the gateways one by one.
BATCH_WINDOW_S = 0.05
#: Each suspect takes about 10 bytes in a message.
MAX_SUSPECTS_PER_MESSAGE = 200


@attrs.define
class CrashExchange:
    """Broadcasts changes of suspects and merges those received."""

    node: PeerNode
    members: Members
    suspects: Suspects
    _broadcasts: BroadcastQueue[SuspectState] = attrs.field(init=False)
    _sender_centre: str = ''

    def __attrs_post_init__(self) -> None:
        self._broadcasts = BroadcastQueue(self.members, BATCH_WINDOW_S, self._send_to)

    def start(self) -> None:
        """Register for messages, and for changes of the suspects at this gateway."""
        self.suspects.add_listener(self._on_change)
        self.node.add_handler(CrashSuspects, self._handle_suspects)

    def _on_change(self, state: SuspectState, source: UpdateSource) -> None:
        if source is UpdateSource.OWN:
            self._broadcasts.publish(state.fingerprint, state)
        elif source is UpdateSource.PEER:
            self._broadcasts.relay(state.fingerprint, state, self._sender_centre)

    def _handle_suspects(self, envelope: Envelope) -> None:
        self._sender_centre = envelope.data_centre
        for state in _states_from_message(envelope.message):
            self.suspects.merge(state, UpdateSource.PEER)

    async def run(self) -> None:
        """Send queued changes in batches; runs until cancelled."""
        await self._broadcasts.run()

    def _send_to(self, addresses: list[str], states: list[SuspectState]) -> None:
        for first in range(0, len(states), MAX_SUSPECTS_PER_MESSAGE):
            self.node.send_all(
                addresses, _message_from_states(states[first : first + MAX_SUSPECTS_PER_MESSAGE])
            )


def _message_from_states(states: list[SuspectState]) -> CrashSuspects:
    crashes: dict[CallCrash, list[bytes]] = {}
    trials: dict[tuple[Trial, bool], list[bytes]] = {}
    for state in states:
        suspect = bytes.fromhex(state.fingerprint)
        for call_crash in state.call_crashes():
            crashes.setdefault(call_crash, []).append(suspect)
        for trial in state.trials:
            trials.setdefault((trial, trial in state.passed_trials), []).append(suspect)
    return CrashSuspects(
        [_crashed_replica(call_crash, calls) for call_crash, calls in crashes.items()],
        [
            TriedReplica(trial.replica_id, trial.born_ms, has_passed, parts)
            for (trial, has_passed), parts in trials.items()
        ],
    )


def _crashed_replica(call_crash: CallCrash, calls: list[bytes]) -> CrashedReplica:
    crash = call_crash.crash
    return CrashedReplica(
        crash.replica_id, crash.born_ms, call_crash.is_cleared, call_crash.is_coincident, calls
    )


def _states_from_message(message: CrashSuspects) -> Iterator[SuspectState]:
    """Yield a state for each suspect and crash, and for each suspect and trial in the message.

    Trials come first: the crash of a trial has to be recognised as such when it arrives.
    """
    for tried in message.trials:
        trials = frozenset({Trial(tried.replica_id, tried.born_ms)})
        for part in tried.parts:
            yield SuspectState(
                Fingerprint(part.hex()),
                frozenset(),
                trials=trials,
                passed_trials=trials if tried.passed else frozenset(),
            )
    for group in message.ends:
        crash = ReplicaCrash(group.replica_id, group.born_ms)
        call_crash = CallCrash(crash, group.cleared, group.coincident)
        for call in group.calls:
            yield SuspectState.from_crashes(Fingerprint(call.hex()), [call_crash])
