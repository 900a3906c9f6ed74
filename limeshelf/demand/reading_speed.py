"""How fast the prompts of each model are read.

Learned from the time to the first event of requests whose prompt was the only one that
their replica read meanwhile.
Owns the speed of each model; relies on nothing.
"""

from __future__ import annotations

#: Reading time of a prompt token before anything was seen.
FIRST_GUESS_MS = 0.055
#: Bounds of what one sample may say of a token.
LEAST_MS = 0.002
MOST_MS = 0.4
#: Weight of the newest sample.
NEWEST_SHARE = 0.2
#: In shorter prompts the round trip outweighs the reading.
LEAST_TOKENS = 250
#: Part of the time to the first event that is not reading: the round trip, and two steps of the
#: batch. Not the steps that :mod:`~limeshelf.dispatch.limits` counts in an event, nor the delay
#: after which :mod:`~limeshelf.dispatch.granted_load` takes a prompt as read: the three
#: do not add up.
FIRST_EVENT_OVERHEAD_MS = 22.0


class ReadingSpeed:
    """Milliseconds for each prompt token, by model."""

    def __init__(self) -> None:
        self._ms_per_token: dict[str, float] = {}
        self._learned: set[str] = set()

    def read_ms(self, model: str, tokens: float) -> float:
        """Return the time that reading *tokens* tokens likely takes, in milliseconds."""
        return tokens * self._ms_per_token.get(model, FIRST_GUESS_MS)

    def learn(self, model: str, tokens: int, first_event_ms: float) -> None:
        """Take the time from the grant to the first event of a prompt that was read alone.

        :param tokens: that the replica had to read.
        """
        if tokens < LEAST_TOKENS:
            return
        sample_ms = (first_event_ms - FIRST_EVENT_OVERHEAD_MS) / tokens
        sample_ms = min(MOST_MS, max(LEAST_MS, sample_ms))
        self._take(model, sample_ms)
        self._learned.add(model)

    def take_learned(self) -> dict[str, float]:
        """Return what was learned here since the last call, for the other gateways."""
        learned = {model: self._ms_per_token[model] for model in self._learned}
        self._learned.clear()
        return learned

    def take_from_peer(self, ms_per_token: dict[str, float]) -> None:
        """Take what another gateway has learned: only who grants calls sees them read."""
        for model, ms in ms_per_token.items():
            self._take(model, ms)

    def _take(self, model: str, sample_ms: float) -> None:
        known_ms = self._ms_per_token.get(model, FIRST_GUESS_MS)
        self._ms_per_token[model] = known_ms + NEWEST_SHARE * (sample_ms - known_ms)
