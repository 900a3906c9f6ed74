"""Estimates the prefill speed of each model.

A sample is the time to the first event of a request whose prompt was the only one that its
replica prefilled in that time. Owns the estimate for each model.
"""

from __future__ import annotations

#: Estimate before the first sample.
INITIAL_MS_PER_TOKEN = 0.055
#: Bounds to which a single sample is clamped.
MIN_MS_PER_TOKEN = 0.002
MAX_MS_PER_TOKEN = 0.4
#: Weight of the newest sample in the moving average.
SAMPLE_WEIGHT = 0.2
#: Shorter prompts give no sample, because the round trip outweighs the prefill.
MIN_SAMPLE_TOKENS = 250
#: Part of the time to the first event that is not prefill: the round trip and two steps of the
#: batch. It is independent of the steps that :mod:`~limeshelf.dispatch.limits` counts in an event
#: and of the delay after which :mod:`~limeshelf.dispatch.granted_load` counts a prefill as
#: finished; the three must not be added up.
FIRST_EVENT_OVERHEAD_MS = 22.0


class PrefillSpeed:
    """Prefill time per prompt token, by model."""

    def __init__(self) -> None:
        self._ms_per_token: dict[str, float] = {}
        self._updated_models: set[str] = set()

    def prefill_ms(self, model: str, tokens: float) -> float:
        """Return the expected prefill time of *tokens* prompt tokens, in milliseconds."""
        return tokens * self._ms_per_token.get(model, INITIAL_MS_PER_TOKEN)

    def add_sample(self, model: str, tokens: int, first_event_ms: float) -> None:
        """Add a sample: a prompt that was prefilled alone.

        :param tokens: prompt tokens that the replica had to prefill.
        :param first_event_ms: time from the grant to the first event.
        """
        if tokens < MIN_SAMPLE_TOKENS:
            return
        sample_ms = (first_event_ms - FIRST_EVENT_OVERHEAD_MS) / tokens
        sample_ms = min(MAX_MS_PER_TOKEN, max(MIN_MS_PER_TOKEN, sample_ms))
        self._update(model, sample_ms)
        self._updated_models.add(model)

    def take_updates(self) -> dict[str, float]:
        """Return the estimates that own samples changed since the last call, to send to peers."""
        updated = {model: self._ms_per_token[model] for model in self._updated_models}
        self._updated_models.clear()
        return updated

    def merge_peer_estimates(self, ms_per_token: dict[str, float]) -> None:
        """Merge the estimates of a peer; a gateway measures only the calls that it grants."""
        for model, ms in ms_per_token.items():
            self._update(model, ms)

    def _update(self, model: str, sample_ms: float) -> None:
        estimate_ms = self._ms_per_token.get(model, INITIAL_MS_PER_TOKEN)
        self._ms_per_token[model] = estimate_ms + SAMPLE_WEIGHT * (sample_ms - estimate_ms)
