"""The choice of an upstream for one prompt, by one of several policies."""

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from ruddersaddle_base.ids import BlockKey, UpstreamId
from ruddersaddle_upstreams.chains import BLOCK_TOKENS

from ruddersaddle_routing.loads import Load
from ruddersaddle_routing.rendezvous import rank_names

HOME_BONUS_S = 0.1
"""By what the prefix's first choice by rendezvous hash may be slower, in seconds.

Hosts that see a new prefix at the same time so agree on one engine to compute it.
"""
CACHE_WEIGHT = 1.0
"""Weight of computing again what new blocks drive out of the engine's cache."""
WORK_WEIGHT = 1.0
"""Weight of the work that a choice costs the engine, beside the wait of its own caller."""


@dataclass(frozen=True)
class RoundRobin:
    """Each upstream in turn."""

    turn: itertools.count = field(default_factory=itertools.count)


@dataclass(frozen=True)
class LeastLoad:
    """The lowest load as reported, lag and all."""


@dataclass(frozen=True)
class HashAffinity:
    """The prefix's first choice by rendezvous hash that is open."""


@dataclass(frozen=True)
class Predicted:
    """The lowest predicted time to the first token, over compute and links."""


Policy = RoundRobin | LeastLoad | HashAffinity | Predicted
POLICY_BY_NAME = {
    "round_robin": RoundRobin,
    "least_load": LeastLoad,
    "hash": HashAffinity,
    "predicted": Predicted,
}


class Prompt(msgspec.Struct):
    """What a choice has to know of a prompt: its tokens, its chain for each weight version, and the
    engines that a marked template is at home on, if it has one.
    """

    tokens: int
    homes: tuple[UpstreamId, ...]
    keys_of: Callable[[str], list[BlockKey]]


class StoredChain(msgspec.Struct, frozen=True):
    """What a store host holds of a chain, and the predicted seconds to fetch each block."""

    blocks: int = 0
    seconds_per_block: float = 0.0
    wait_s: float = 0.0


class Choice(msgspec.Struct):
    """An upstream, how many kept blocks to fetch into it first, and the predicted first token."""

    load: Load
    cached_blocks: int
    fetch_until: int
    predicted_s: float
    missing_tokens: int
    new_blocks: int


class Chooser:
    """Chooses upstreams by one policy; `hosts` is how many entry hosts share the upstreams."""

    def __init__(self, policy: Policy, prefill_tokens_s: float) -> None:
        self.policy = policy
        self.prefill_tokens_s = prefill_tokens_s
        self.hosts = 1

    @classmethod
    def from_name(cls, name: str, prefill_tokens_s: float) -> "Chooser":
        """Return a chooser with the policy of that name."""
        return cls(POLICY_BY_NAME[name](), prefill_tokens_s)

    def choose(self, loads: Sequence[Load], prompt: Prompt, kept: StoredChain) -> Choice | None:
        """Return the choice among the loads that are open, or None."""
        found = [load for load in loads if load.is_open]
        if not found:
            return None
        match self.policy:
            case RoundRobin(turn):
                load = found[next(turn) % len(found)]
            case LeastLoad():
                load = min(found, key=_reported)
            case HashAffinity():
                load = self._first_by_hash(found, prompt)
            case Predicted():
                return self._choose_predicted(found, prompt, kept)
        return self._plan(load, prompt, kept)

    def _choose_predicted(self, loads: list[Load], prompt: Prompt, kept: StoredChain) -> Choice:
        """Return the plan with the lowest predicted first token and work together.

        Work counts, since tokens that are computed again delay all who come after.
        """
        by_id = {load.upstream: self._plan(load, prompt, kept) for load in loads}
        homes = [upstream for upstream in prompt.homes if upstream in by_id]
        if not homes:
            homes = rank_names(_root(loads[0], prompt), by_id)[:1]
        return min(by_id.values(), key=lambda plan: self._score(plan, homes))

    def _score(self, plan: Choice, homes: Sequence[UpstreamId]) -> float:
        speed = plan.load.prefill_tokens_s(self.prefill_tokens_s)
        work_s = plan.missing_tokens / speed
        cache_s = plan.new_blocks * BLOCK_TOKENS / speed
        bonus_s = HOME_BONUS_S if plan.load.upstream in homes else 0.0
        return plan.predicted_s + WORK_WEIGHT * work_s + CACHE_WEIGHT * cache_s - bonus_s

    def _first_by_hash(self, loads: list[Load], prompt: Prompt) -> Load:
        by_id = {load.upstream: load for load in loads}
        return by_id[rank_names(_root(loads[0], prompt), by_id)[0]]

    def _plan(self, load: Load, prompt: Prompt, kept: StoredChain) -> Choice:
        """Return the cheaper of computing and of fetching what the upstream's cache lacks."""
        keys = prompt.keys_of(load.version)
        # Blocks on their way may be gone again; where they are kept, a fetch is the surer way.
        cached = load.count_confirmed(keys) if kept.blocks else load.count_cached(keys)
        new = len(keys) - cached
        speed = load.prefill_tokens_s(self.prefill_tokens_s)
        wait_s = load.waiting_tokens(self.hosts) / speed
        compute = self._missing(prompt, cached)
        compute_s = wait_s + compute / speed
        if kept.blocks <= cached:
            return Choice(load, cached, 0, compute_s, compute, new)
        fetched = kept.blocks - cached
        fetch_s = kept.wait_s + fetched * kept.seconds_per_block
        after_fetch = self._missing(prompt, kept.blocks)
        fetch_total_s = max(wait_s, fetch_s) + after_fetch / speed
        if fetch_total_s < compute_s:
            return Choice(load, cached, kept.blocks, fetch_total_s, after_fetch, new)
        return Choice(load, cached, 0, compute_s, compute, new)

    def _missing(self, prompt: Prompt, blocks: int) -> int:
        return max(1, prompt.tokens - blocks * BLOCK_TOKENS)


def _reported(load: Load) -> float:
    if load.report is None:
        return 0.0
    return load.report.waiting_tokens + load.report.running


def _root(load: Load, prompt: Prompt) -> str:
    keys = prompt.keys_of(load.version)
    return keys[0] if keys else ""
