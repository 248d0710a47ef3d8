"""Selects an upstream for a prompt by one of several policies."""

import itertools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from ruddersaddle_base.ids import BlockKey, UpstreamId
from ruddersaddle_upstreams.chains import BLOCK_TOKENS

from ruddersaddle_routing.loads import Load
from ruddersaddle_routing.rendezvous import rank_names

HOME_BONUS_S = 0.1
"""How much slower a home engine may be and still be chosen.

Without it, hosts that see a new prefix at the same time would each compute it on another engine.
"""
CACHE_WEIGHT = 1.0
"""Weight of the time to recompute blocks that new ones evict from the engine's cache."""
WORK_WEIGHT = 1.0
"""Weight of the engine's prefill work relative to the time to first token."""


@dataclass(frozen=True)
class RoundRobin:
    """Chooses each upstream in turn."""

    turn: itertools.count = field(default_factory=itertools.count)


@dataclass(frozen=True)
class LeastLoad:
    """Chooses the lowest reported load, without correcting for its age."""


@dataclass(frozen=True)
class HashAffinity:
    """Chooses the open upstream that rendezvous hashing prefers for the prefix."""


@dataclass(frozen=True)
class Predicted:
    """Chooses the lowest predicted time to first token, over computation and transfers."""


Policy = RoundRobin | LeastLoad | HashAffinity | Predicted
POLICY_BY_NAME = {
    "round_robin": RoundRobin,
    "least_load": LeastLoad,
    "hash": HashAffinity,
    "predicted": Predicted,
}


class Prompt(msgspec.Struct):
    """What a choice needs to know of a prompt.

    `keys_of` returns its block chain for a weight version; `homes` are the home engines of its
    marked template, if it has one.
    """

    tokens: int
    homes: tuple[UpstreamId, ...]
    keys_of: Callable[[str], list[BlockKey]]


class StoredChain(msgspec.Struct, frozen=True):
    """How many leading blocks of a chain a store host holds, and the predicted time to fetch them.

    `wait_s` passes before the first block is fetched.
    """

    blocks: int = 0
    seconds_per_block: float = 0.0
    wait_s: float = 0.0


class Choice(msgspec.Struct):
    """A chosen upstream, with the stored blocks to fetch into it first.

    The prompt's blocks from `cached_blocks` up to `fetch_until` are fetched; it is 0 if none are.
    `predicted_s` is the predicted time to the first token. `missing_tokens` have to be prefilled,
    and `new_blocks` are not in the upstream's cache yet.
    """

    load: Load
    cached_blocks: int
    fetch_until: int
    predicted_s: float
    missing_tokens: int
    new_blocks: int


class Chooser:
    """Chooses upstreams by one policy; `hosts` is the number of hosts that share them."""

    def __init__(self, policy: Policy, prefill_tokens_s: float) -> None:
        self.policy = policy
        self.prefill_tokens_s = prefill_tokens_s
        self.hosts = 1

    @classmethod
    def from_name(cls, name: str, prefill_tokens_s: float) -> "Chooser":
        """Return a chooser with the named policy."""
        return cls(POLICY_BY_NAME[name](), prefill_tokens_s)

    def choose(self, loads: Sequence[Load], prompt: Prompt, stored: StoredChain) -> Choice | None:
        """Return the choice among the open upstreams, or None if none is open."""
        open_loads = [load for load in loads if load.is_open]
        if not open_loads:
            return None
        match self.policy:
            case RoundRobin(turn):
                load = open_loads[next(turn) % len(open_loads)]
            case LeastLoad():
                load = min(open_loads, key=_reported_load)
            case HashAffinity():
                load = self._choose_by_hash(open_loads, prompt)
            case Predicted():
                return self._choose_predicted(open_loads, prompt, stored)
        return self._plan(load, prompt, stored)

    def _choose_predicted(self, loads: list[Load], prompt: Prompt, stored: StoredChain) -> Choice:
        """Return the plan with the lowest sum of time to first token and engine work.

        Work counts because recomputed tokens delay every later request.
        """
        by_id = {load.upstream: self._plan(load, prompt, stored) for load in loads}
        homes = [upstream for upstream in prompt.homes if upstream in by_id]
        if not homes:
            homes = rank_names(_first_key(loads[0], prompt), by_id)[:1]
        return min(by_id.values(), key=lambda plan: self._score(plan, homes))

    def _score(self, plan: Choice, homes: Sequence[UpstreamId]) -> float:
        speed = plan.load.prefill_tokens_s(self.prefill_tokens_s)
        work_s = plan.missing_tokens / speed
        cache_s = plan.new_blocks * BLOCK_TOKENS / speed
        bonus_s = HOME_BONUS_S if plan.load.upstream in homes else 0.0
        return plan.predicted_s + WORK_WEIGHT * work_s + CACHE_WEIGHT * cache_s - bonus_s

    def _choose_by_hash(self, loads: list[Load], prompt: Prompt) -> Load:
        by_id = {load.upstream: load for load in loads}
        return by_id[rank_names(_first_key(loads[0], prompt), by_id)[0]]

    def _plan(self, load: Load, prompt: Prompt, stored: StoredChain) -> Choice:
        """Return the faster plan: computing or fetching what the upstream's cache lacks."""
        keys = prompt.keys_of(load.version)
        # Pending blocks may already be evicted; if a store holds them, a fetch is more reliable.
        cached = load.count_confirmed(keys) if stored.blocks else load.count_cached(keys)
        new = len(keys) - cached
        speed = load.prefill_tokens_s(self.prefill_tokens_s)
        wait_s = load.waiting_tokens(self.hosts) / speed
        compute = self._missing_tokens(prompt, cached)
        compute_s = wait_s + compute / speed
        if stored.blocks <= cached:
            return Choice(load, cached, 0, compute_s, compute, new)
        fetched = stored.blocks - cached
        fetch_s = stored.wait_s + fetched * stored.seconds_per_block
        after_fetch = self._missing_tokens(prompt, stored.blocks)
        fetch_total_s = max(wait_s, fetch_s) + after_fetch / speed
        if fetch_total_s < compute_s:
            return Choice(load, cached, stored.blocks, fetch_total_s, after_fetch, new)
        return Choice(load, cached, 0, compute_s, compute, new)

    def _missing_tokens(self, prompt: Prompt, blocks: int) -> int:
        return max(1, prompt.tokens - blocks * BLOCK_TOKENS)


def _reported_load(load: Load) -> float:
    if load.report is None:
        return 0.0
    return load.report.waiting_tokens + load.report.running


def _first_key(load: Load, prompt: Prompt) -> str:
    keys = prompt.keys_of(load.version)
    return keys[0] if keys else ""
