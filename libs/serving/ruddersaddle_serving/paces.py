"""How fast an engine really is, learned from when first events came.

A first event takes a time of its own (the first steps, the way there and back), whatever is read,
and the reading of what the engine lacks and of what waits before it. Engines work on many prompts
at once, so that the first part is not added up over what waits.
"""

import msgspec

NOMINAL_PREFILL_TOKENS_S = 50_000.0
"""Prompt tokens that an idle engine reads in a second, before anything was seen of it. Engines of
the known kinds read 48,000 to 112,000; the learned factor takes up the rest."""
OVERHEAD_S = 0.04
"""Time to a first event beside reading and waiting, before anything was seen of an engine."""
STEP_FACTOR = 1.03
"""Factor by which one observation moves what is learned: from 1 to 2 in 24 observations, which an
engine gives in 5 s at five requests a second."""
FACTOR_MAX = 8.0
FACTOR_MIN = 0.25
"""Bounds of the learned factor: an engine four times as fast as the nominal one, or eight times as
slow, as where it is slowed down or its links are."""
OVERHEAD_MIN_S = 0.002
OVERHEAD_MAX_S = 0.5
"""Bounds of the learned time beside reading."""


def nominal_prefill_s(missing_tokens: int) -> float:
    """Return how long a nominal engine reads what it lacks of a prompt, in seconds."""
    return missing_tokens / NOMINAL_PREFILL_TOKENS_S


class Observation(msgspec.Struct, frozen=True):
    """What stood before a request's first event: nominal reading and fetching, in seconds."""

    queued_prefill_s: float
    fetch_s: float


class ServiceTime:
    """The ratio of observed to nominal reading, and the time beside it, as running medians.

    A median is not moved by single stalls, of which busy engines have many: observed times are
    three times their median in one of ten requests.
    """

    def __init__(self, factor: float = 1.0, overhead_s: float = OVERHEAD_S) -> None:
        self.factor = factor
        self.overhead_s = overhead_s

    def record(self, seen: Observation, observed_s: float) -> None:
        """Take how long a first event took.

        Each part moves by its share of what was predicted: small prompts tell the time beside
        reading, large ones the reading.
        """
        prefill_s = seen.queued_prefill_s * self.factor
        predicted_s = self.overhead_s + prefill_s
        share = prefill_s / predicted_s
        step = STEP_FACTOR if observed_s - seen.fetch_s > predicted_s else 1.0 / STEP_FACTOR
        self.factor = min(FACTOR_MAX, max(FACTOR_MIN, self.factor * step**share))
        overhead_s = self.overhead_s * step ** (1.0 - share)
        self.overhead_s = min(OVERHEAD_MAX_S, max(OVERHEAD_MIN_S, overhead_s))
