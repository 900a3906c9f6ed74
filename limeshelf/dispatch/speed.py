"""How fast replicas read prompts of a model, from calls that read alone."""

from __future__ import annotations

#: Milliseconds a token before anything was seen.
FIRST_GUESS_MS = 0.055
LEAST_MS = 0.002
MOST_MS = 0.4
#: Weight of the newest sample.
NEWEST_SHARE = 0.2
#: Shorter prompts tell of the way there rather than of reading.
LEAST_TOKENS = 250
#: What the way there and back, and the two steps of the first event, take, in milliseconds.
OVERHEAD_MS = 22.0


class ReadSpeed:
    """Milliseconds for each prompt token, by model."""

    def __init__(self) -> None:
        self._ms_per_token: dict[str, float] = {}

    def read_ms(self, model: str, tokens: float) -> float:
        """Return the time that reading *tokens* tokens likely takes."""
        return tokens * self._ms_per_token.get(model, FIRST_GUESS_MS)

    def learn(self, model: str, tokens: int, first_ms: float) -> None:
        """Take the time to the first event of a call that read alone."""
        if tokens < LEAST_TOKENS:
            return
        sample = (first_ms - OVERHEAD_MS) / tokens
        sample = min(MOST_MS, max(LEAST_MS, sample))
        known = self._ms_per_token.get(model, FIRST_GUESS_MS)
        self._ms_per_token[model] = known + NEWEST_SHARE * (sample - known)
