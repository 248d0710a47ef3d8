"""How fast an engine really reads, learned from when first events came."""

NOMINAL_TOKENS_S = 50_000.0
"""Prompt tokens that an idle engine reads in a second, before anything was seen of it. Engines of
the known kinds read 48,000 to 112,000; the learned factor takes up the rest."""
NOMINAL_START_S = 0.02
"""Time to a first event beside reading and waiting: the first steps, the way there and back."""
STEP = 1.03
"""Factor by which one observation moves the learned one: from 1 to 2 in 24 observations, which an
engine gives in 5 s at five requests a second."""
SLOWEST = 8.0
FASTEST = 0.25
"""Bounds of the learned factor: an engine four times as fast as the nominal one, or eight times as
slow, as where it is slowed down or its links are."""


def nominal_work_s(missing_tokens: int) -> float:
    """Return how long a nominal engine works until the first event of a prompt, in seconds."""
    return NOMINAL_START_S + missing_tokens / NOMINAL_TOKENS_S


class Pace:
    """The ratio of observed to nominal times until first events, as a running median.

    A median is not moved by single stalls, of which busy engines have many: observed times are
    three times their median in one of ten requests.
    """

    def __init__(self) -> None:
        self.factor = 1.0

    def note(self, nominal_s: float, observed_s: float) -> None:
        """Take how long a first event took, and how long it would take a nominal engine."""
        if observed_s > nominal_s * self.factor:
            self.factor = min(SLOWEST, self.factor * STEP)
        else:
            self.factor = max(FASTEST, self.factor / STEP)
