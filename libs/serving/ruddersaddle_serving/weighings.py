"""What a prompt would cost at each of some engines."""

import random

import msgspec
from ruddersaddle_base.ids import HallId, ModelId

from ruddersaddle_serving.admissions import (
    Backlog,
    Capacity,
    admission_wait_s,
    excess_s,
    predict_wait_s,
)
from ruddersaddle_serving.context_stores import KeptStore
from ruddersaddle_serving.kept_parts import KeptParts, make_salt
from ruddersaddle_serving.paces import nominal_prefill_s
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.trackers import Tracker


class Estimate(msgspec.Struct, frozen=True):
    """What a prompt would cost at one engine, in seconds."""

    tracker: Tracker
    version: int | None
    salt: str
    wait_s: float
    """Wait for what is as urgent as the request."""
    admission_wait_s: float
    """The same as it decides: longer where the request would take what is kept for others."""
    backlog: Backlog
    """What stands at the engine for what is as urgent."""
    capacity: Capacity
    fetch_s: float
    prefill_s: float
    """Nominal time that the engine reads until the first event."""
    prefill_factor: float
    """What the engine takes to read, as a multiple of the nominal time."""
    overhead_s: float
    """What its first events take beside reading."""
    tokens: int
    """Memory that the request needs at the engine."""
    covered_tokens: int
    missing_tokens: int

    @property
    def first_s(self) -> float:
        """Predicted time until the first event."""
        return self.wait_s + self.overhead_s + self.fetch_s + self.prefill_s * self.prefill_factor

    @property
    def admission_s(self) -> float:
        """Time until the first event as it decides where a request goes, and whether."""
        return self.first_s - self.wait_s + self.admission_wait_s

    def excess_s(self, request: CallerRequest, share: float = 1.0) -> float:
        """Return how much too late the first event would come; at most 0 if it is let in.

        `share` is the part that is counted of what the request needs: reading, fetching and memory.
        """
        tokens = round(self.tokens * share)
        wait_s = admission_wait_s(self.backlog, self.capacity, tokens, request.priority)
        first_s = (
            wait_s + self.overhead_s + share * (self.fetch_s + self.prefill_s * self.prefill_factor)
        )
        memory_share = tokens / max(1, self.capacity.tokens)
        return excess_s(first_s, wait_s, request.route.target_latency_s, memory_share)

    def summary(self) -> str:
        """Return the engine, its predicted time and wait in ms, and the tokens it has to read."""
        first_ms, wait_ms = round(self.first_s * 1000), round(self.wait_s * 1000)
        return f"{self.tracker.id} {first_ms} {wait_ms} {self.missing_tokens}"


class CostEstimator:
    """Estimates of one prompt; stores are looked through once for each salt."""

    def __init__(self, request: CallerRequest, prompt: Prompt, kept: KeptParts) -> None:
        self.request = request
        self.prompt = prompt
        self.kept = kept
        self.estimates: list[Estimate] = []
        self.holders_by_salt: dict[str, list[KeptStore | None]] = {}

    def pick_earliest(self, trackers: list[Tracker], margin_s: float = 0.0) -> Estimate:
        """Return the estimate that admission finds earliest; of equal ones the first tracker's.

        What is later by less than `margin_s` is as good: of these one is drawn to which a
        connection stands, so that hosts with the same old belief don't all send to one engine.
        """
        estimates = [self._estimate(each) for each in trackers]
        self.estimates += estimates
        best = min(estimates, key=lambda each: each.admission_s)
        if margin_s <= 0:
            return best
        tied = [each for each in estimates if each.admission_s <= best.admission_s + margin_s]
        connected = [each for each in tied if each.tracker.connections.has_idle]
        return random.choice(connected or tied)

    def _estimate(self, tracker: Tracker) -> Estimate:
        prompt = self.prompt
        version = tracker.version_by_model.get(prompt.model) or None
        priority = self.request.priority
        salt = self._salt(prompt.model, version)
        if salt not in self.holders_by_salt:
            self.holders_by_salt[salt] = self.kept.find_holders(salt, prompt)
        covered = tracker.memory.cached_prefix_tokens(salt, prompt.shared_parts)
        fetched, fetch_s = _fetchable_parts(
            prompt, covered, self.holders_by_salt[salt], tracker.entry.hall
        )
        missing = max(0, prompt.tokens_in - covered - fetched)
        tokens = prompt.tokens
        capacity = Capacity(tracker.entry.slots, tracker.memory.capacity_tokens)
        backlog = tracker.load.backlog(priority)
        return Estimate(
            tracker=tracker,
            version=version,
            salt=salt,
            wait_s=predict_wait_s(backlog, capacity, tokens),
            admission_wait_s=admission_wait_s(backlog, capacity, tokens, priority),
            backlog=backlog,
            capacity=capacity,
            fetch_s=fetch_s,
            prefill_s=nominal_prefill_s(missing),
            prefill_factor=tracker.load.service_time.factor,
            overhead_s=tracker.load.service_time.overhead_s,
            tokens=tokens,
            covered_tokens=covered,
            missing_tokens=missing,
        )

    def _salt(self, model: ModelId, version: int | None) -> str:
        """Return the name under which parts are kept: one for each weights and each wall."""
        workspace = self.request.workspace
        wall = workspace.id if workspace is not None and workspace.dedicated else None
        return make_salt(model, version or 0, wall)


def _fetchable_parts(
    prompt: Prompt, covered: int, holders: list[KeptStore | None], hall: HallId
) -> tuple[int, float]:
    """Return the tokens of the parts after the covered ones that can be fetched, and the time."""
    fetched = 0
    fetch_s = 0.0
    passed = 0
    for part, holder in zip(prompt.shared_parts, holders, strict=True):
        passed += part.tokens
        if passed <= covered:
            continue
        if holder is None:
            break
        fetched += part.tokens
        fetch_s += holder.move_s(part.tokens, hall)
    return fetched, fetch_s
