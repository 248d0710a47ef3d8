"""Loads of the simulation, and the outcomes for their callers."""

import math
import random

import msgspec

LATE_SHARE = 0.2
"""Worth of a late answer, as a share of the worth of one in time."""


class Kind(msgspec.Struct, frozen=True):
    """A kind of prompt: its rate, its size in tokens and its latency target."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    tokens_out: int
    target_s: float
    priority: int
    worth: float
    """Worth of an answer in time; a late one has `LATE_SHARE` of it."""
    shared_parts: int
    """Number of shared parts, which are used equally often."""
    spread: float = 0.0
    """Log-normal spread of own tokens around `own_tokens`; 0 if all are equal."""
    own_tokens_max: int = 24_000
    """Upper bound of the drawn own tokens."""
    shared_spread: float = 0.0
    """Log-normal spread of shared parts around `shared_tokens`; each part has a fixed size."""

    @property
    def tokens(self) -> int:
        """Memory that a request uses at its engine."""
        return self.shared_tokens + self.own_tokens + self.tokens_out


def draw_size(kind: Kind, rng: random.Random) -> Kind:
    """Return the kind with the own tokens drawn for one request."""
    if not kind.spread:
        return kind
    drawn = rng.lognormvariate(math.log(kind.own_tokens), kind.spread)
    own_tokens = max(1, min(kind.own_tokens_max, round(drawn)))
    return msgspec.structs.replace(kind, own_tokens=own_tokens)


def draw_shared_size(kind: Kind, shared_part: str) -> Kind:
    """Return the kind with the tokens of the named shared part."""
    if not kind.shared_spread:
        return kind
    rng = random.Random(shared_part)
    drawn = rng.lognormvariate(math.log(kind.shared_tokens), kind.shared_spread)
    return msgspec.structs.replace(kind, shared_tokens=max(1, round(drawn)))


class Load(msgspec.Struct, frozen=True):
    """A load pattern; times are in seconds from its start.

    An engine has `slots` and `memory_tokens`, prefills `tokens_s` tokens a second, and takes
    `first_s` from the end of a prefill to the first event and `step_s` for each output token.
    """

    kinds: tuple[Kind, ...]
    hosts: int = 40
    halls: int = 5
    engines: int = 50
    slots: int = 12
    memory_tokens: int = 100_000
    tokens_s: float = 90_000.0
    first_s: float = 0.047
    step_s: float = 0.005
    length_s: float = 8.0
    surge: tuple[float, float, float] = (0.0, 0.0, 1.0)
    """Start and end of a surge, and the factor by which it multiplies the rate."""
    outage: tuple[float, float, float] = (0.0, 0.0, 0.0)
    """Start and end of an outage, and the share of the engines that is down."""
    seed: int = 1


class Tally(msgspec.Struct):
    """Outcome counts of the callers of one kind."""

    kind: Kind
    asked: int = 0
    in_time: int = 0
    late: int = 0
    late_after_refusal: int = 0
    """Late ones that had been refused first."""
    interrupted: int = 0
    """Interrupted in the middle of their stream by a preemption or a crash; they count as late."""
    refused: int = 0
    unserved: int = 0
    unserved_s: float = 0.0
    """Total waiting time of callers who were then refused or gave up."""
    prefilled_tokens: int = 0
    connections: int = 0
    asked_at: list[float] = []
    """When each request was first sent; `in_time_at` has those that were served in time."""
    in_time_at: list[float] = []
    first_event_times_s: list[float] = []
    sizes: list[int] = []
    """Tokens of each request."""
    served_sizes: list[int] = []
    """Tokens of each request that got a first event."""

    @property
    def served_share(self) -> float:
        """Share of the requests of this kind that were served."""
        return len(self.served_sizes) / max(1, len(self.sizes))

    def served_between(self, low: float, high: float) -> float:
        """Return the served share of the requests between two quantiles of their sizes."""
        bounds = [*sorted(self.sizes), math.inf]
        least, most = (bounds[round(share * len(self.sizes))] for share in (low, high))
        asked = sum(least <= size < most for size in self.sizes)
        return sum(least <= size < most for size in self.served_sizes) / max(1, asked)

    @property
    def share(self) -> float:
        """Earned share of the possible worth."""
        late = self.late + self.interrupted
        return (self.in_time - self.interrupted + LATE_SHARE * late) / max(1, self.asked)


class Outcome(msgspec.Struct):
    """Outcome for all callers, by name of their kind."""

    tally_by_kind: dict[str, Tally]

    @property
    def worth(self) -> float:
        """Earned share of the possible worth of all kinds."""
        tallies = self.tally_by_kind.values()
        asked = sum(each.kind.worth * each.asked for each in tallies)
        return sum(each.kind.worth * each.asked * each.share for each in tallies) / asked

    def in_time_between(self, begin: float, end: float) -> float:
        """Return the share in time of the requests first sent between two times."""
        tallies = self.tally_by_kind.values()
        asked = sum(begin <= at < end for each in tallies for at in each.asked_at)
        in_time = sum(begin <= at < end for each in tallies for at in each.in_time_at)
        return in_time / max(1, asked)

    def describe(self) -> str:
        """Return the worth, and for each kind the shares in time, late, refused and unserved."""
        rows = [f"worth {self.worth:.3f}"]
        for name, tally in self.tally_by_kind.items():
            counts = (tally.in_time, tally.late, tally.refused, tally.unserved)
            shares = " ".join(f"{count / max(1, tally.asked):.2f}" for count in counts)
            rows.append(f"{name} {shares}")
        return ", ".join(rows)
