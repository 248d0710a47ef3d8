"""Loads that are replayed, and what became of their callers."""

import math
import random

import msgspec

LATE_SHARE = 0.2
"""What a late answer is worth, as a share of one in time."""


class Kind(msgspec.Struct, frozen=True):
    """A kind of prompt: how often it is asked, its size in tokens, its target."""

    name: str
    per_s: float
    shared_tokens: int
    own_tokens: int
    tokens_out: int
    target_s: float
    priority: int
    worth: float
    """Worth of an answer in time; a late one is worth `LATE_SHARE` of it."""
    shared_parts: int
    """Shared parts that are asked for, alike often."""
    spread: float = 0.0
    """Spread of own tokens, log-normal around `own_tokens`; 0 where all are alike."""
    own_tokens_max: int = 24_000
    """Most own tokens that are drawn."""
    shared_spread: float = 0.0
    """The same for shared parts, around `shared_tokens`; each has one size."""

    @property
    def tokens(self) -> int:
        """Memory that a request takes at its engine."""
        return self.shared_tokens + self.own_tokens + self.tokens_out


def draw_size(kind: Kind, rng: random.Random) -> Kind:
    """Return the kind with the own tokens of one request."""
    if not kind.spread:
        return kind
    drawn = rng.lognormvariate(math.log(kind.own_tokens), kind.spread)
    own_tokens = max(1, min(kind.own_tokens_max, round(drawn)))
    return msgspec.structs.replace(kind, own_tokens=own_tokens)


def draw_shared_size(kind: Kind, shared_part: str) -> Kind:
    """Return the kind with the tokens of the shared part of this name."""
    if not kind.shared_spread:
        return kind
    rng = random.Random(shared_part)
    drawn = rng.lognormvariate(math.log(kind.shared_tokens), kind.shared_spread)
    return msgspec.structs.replace(kind, shared_tokens=max(1, round(drawn)))


class Load(msgspec.Struct, frozen=True):
    """A load pattern. Times are in seconds from its start, shares of the engines or the rate."""

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
    """From when to when the rate is multiplied, and by what."""
    outage: tuple[float, float, float] = (0.0, 0.0, 0.0)
    """From when to when a share of the engines is dark, and which share."""
    seed: int = 1


class Tally(msgspec.Struct):
    """What became of the callers of one kind."""

    kind: Kind
    asked: int = 0
    in_time: int = 0
    late: int = 0
    late_after_refusal: int = 0
    """Of the late ones those that had been refused first."""
    interrupted: int = 0
    """Preempted in the middle of their stream; they count as late."""
    refused: int = 0
    unserved: int = 0
    unserved_s: float = 0.0
    """Time that callers waited who were then refused or left."""
    prefilled_tokens: int = 0
    connections: int = 0
    asked_at: list[float] = []
    """When each request was first asked, and of those in time when they were."""
    in_time_at: list[float] = []
    first_event_times_s: list[float] = []
    sizes: list[int] = []
    """Tokens of each request that was asked for."""
    served_sizes: list[int] = []
    """Tokens of those of which a first event came."""

    @property
    def served_share(self) -> float:
        """Share of all requests of the kind that were served."""
        return len(self.served_sizes) / max(1, len(self.sizes))

    def served_between(self, low: float, high: float) -> float:
        """Return the share served of the requests between two shares of the sizes in order."""
        bounds = [*sorted(self.sizes), math.inf]
        least, most = (bounds[round(share * len(self.sizes))] for share in (low, high))
        asked = sum(least <= size < most for size in self.sizes)
        return sum(least <= size < most for size in self.served_sizes) / max(1, asked)

    @property
    def share(self) -> float:
        """Share of the worth asked for that was earned."""
        late = self.late + self.interrupted
        return (self.in_time - self.interrupted + LATE_SHARE * late) / max(1, self.asked)


class Outcome(msgspec.Struct):
    """What became of all callers, by name of their kind."""

    tally_by_kind: dict[str, Tally]

    @property
    def worth(self) -> float:
        """Share of the worth asked for that was earned."""
        tallies = self.tally_by_kind.values()
        asked = sum(each.kind.worth * each.asked for each in tallies)
        return sum(each.kind.worth * each.asked * each.share for each in tallies) / asked

    def in_time_between(self, begin: float, end: float) -> float:
        """Return the share in time of what was asked first between two moments."""
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
