"""Estimates an engine's service time from observed times to first event.

The time to a first event has a fixed overhead (the first decoding steps and the network round trip)
and the prefill of the missing tokens and of what is queued ahead. Engines work on many prompts at
once, so the overhead is not added up over the queue.
"""

import msgspec

NOMINAL_PREFILL_TOKENS_S = 50_000.0
"""Assumed prefill rate of an idle engine before the first observation. Known engine types reach
48,000 to 112,000 tokens a second; `ServiceTime.prefill_factor` covers the difference."""
OVERHEAD_S = 0.04
"""Assumed time to a first event beside prefill and queueing, before the first observation."""
STEP_FACTOR = 1.03
"""Factor by which one observation moves the estimates: from 1 to 2 takes 24 observations, which is
5 s at five requests a second."""
PREFILL_FACTOR_MAX = 8.0
PREFILL_FACTOR_MIN = 0.25
"""Bounds of the estimated factor: an engine four times as fast as the nominal one, or eight times
as slow because the engine or its network links are slowed down."""
OVERHEAD_MIN_S = 0.002
OVERHEAD_MAX_S = 0.5
"""Bounds of the estimated overhead."""


def nominal_prefill_s(missing_tokens: int) -> float:
    """Return the prefill time of a prompt's missing tokens on a nominal engine, in seconds."""
    return missing_tokens / NOMINAL_PREFILL_TOKENS_S


class Observation(msgspec.Struct, frozen=True):
    """Nominal prefill and fetch time ahead of a request's first event, in seconds."""

    queued_prefill_s: float
    fetch_s: float


class ServiceTime:
    """Running medians of the ratio of observed to nominal prefill time, and of the overhead.

    A median is not moved by single stalls, which are frequent on busy engines: one of ten requests
    takes three times the median.
    """

    def __init__(self, prefill_factor: float = 1.0, overhead_s: float = OVERHEAD_S) -> None:
        self.prefill_factor = prefill_factor
        self.overhead_s = overhead_s

    def record(self, observation: Observation, observed_s: float) -> None:
        """Record an observed time to first event.

        Each estimate moves by its share of the predicted time: small prompts mainly adjust the
        overhead, large ones the prefill factor.
        """
        prefill_s = observation.queued_prefill_s * self.prefill_factor
        predicted_s = self.overhead_s + prefill_s
        share = prefill_s / predicted_s
        step = STEP_FACTOR if observed_s - observation.fetch_s > predicted_s else 1.0 / STEP_FACTOR
        self.prefill_factor = min(
            PREFILL_FACTOR_MAX, max(PREFILL_FACTOR_MIN, self.prefill_factor * step**share)
        )
        overhead_s = self.overhead_s * step ** (1.0 - share)
        self.overhead_s = min(OVERHEAD_MAX_S, max(OVERHEAD_MIN_S, overhead_s))
