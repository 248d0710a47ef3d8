"""Estimates the time to first event of a prompt on candidate engines."""

import random
from collections.abc import Callable

import msgspec
from ruddersaddle_base.ids import HallId, ModelId

from ruddersaddle_serving.admissions import (
    Backlog,
    Capacity,
    admission_wait_s,
    excess_s,
    predict_wait_s,
)
from ruddersaddle_serving.cached_parts import CachedParts, make_salt
from ruddersaddle_serving.context_stores import StoreView
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.service_times import nominal_prefill_s
from ruddersaddle_serving.trackers import Tracker


class Estimate(msgspec.Struct, frozen=True):
    """Predicted cost of a prompt on one engine, in seconds; sizes are in tokens.

    `fetch_s` is the time to fetch parts from context stores. `covered_tokens` are estimated to be
    cached by the engine, `missing_tokens` have to be prefilled.
    """

    tracker: Tracker
    version: int | None
    salt: str
    wait_s: float
    """Wait behind requests of the same or a higher priority."""
    admission_wait_s: float
    """Wait used for admission: longer if the request would use capacity reserved for others."""
    backlog: Backlog
    """What is queued and running at the engine, as seen by the request's priority."""
    capacity: Capacity
    fetch_s: float
    prefill_s: float
    """Nominal prefill time until the first event."""
    prefill_factor: float
    """Observed prefill time of the engine, as a multiple of the nominal time."""
    overhead_s: float
    """Time until a first event beside queueing and prefill; includes the way to another region."""
    tokens: int
    """Memory that the request needs on the engine."""
    covered_tokens: int
    missing_tokens: int

    @property
    def first_s(self) -> float:
        """Predicted time until the first event."""
        return self.wait_s + self.overhead_s + self.fetch_s + self.prefill_s * self.prefill_factor

    @property
    def admission_s(self) -> float:
        """Time until the first event as used to choose an engine and to admit the request."""
        return self.first_s - self.wait_s + self.admission_wait_s

    def excess_s(self, request: CallerRequest, share: float = 1.0) -> float:
        """Return by how much the first event would be too late; at most 0 if it is admitted.

        `share` scales what is counted of the request's prefill, fetch time and memory.
        """
        tokens = round(self.tokens * share)
        wait_s = admission_wait_s(self.backlog, self.capacity, tokens, request.priority)
        first_s = (
            wait_s + self.overhead_s + share * (self.fetch_s + self.prefill_s * self.prefill_factor)
        )
        memory_share = tokens / max(1, self.capacity.tokens)
        return excess_s(first_s, wait_s, request.route.target_latency_s, memory_share)

    def summary(self) -> str:
        """Return the engine, its predicted time and wait in ms, and the tokens to prefill."""
        first_ms, wait_ms = round(self.first_s * 1000), round(self.wait_s * 1000)
        return f"{self.tracker.id} {first_ms} {wait_ms} {self.missing_tokens}"


class CostEstimator:
    """Estimates the cost of one prompt on each engine.

    Context stores are searched once for each salt: `holders_by_salt` has a store that holds it, or
    None, for each shared part of the prompt.
    """

    def __init__(
        self,
        request: CallerRequest,
        prompt: Prompt,
        cached_parts: CachedParts,
        crossing_s: Callable[[Tracker], float] = lambda _: 0.0,
        may_fetch: Callable[[ModelId, Tracker], bool] = lambda model, tracker: True,
    ) -> None:
        self.request = request
        self.prompt = prompt
        self.cached_parts = cached_parts
        self.crossing_s = crossing_s
        """How much later a first event arrives from an engine because of its region."""
        self.may_fetch = may_fetch
        """Whether an engine may fetch parts of its weights of a model."""
        self.estimates: list[Estimate] = []
        self.holders_by_salt: dict[str, list[StoreView | None]] = {}
        rule = cached_parts.rule
        self._namespace = "" if rule is None else rule.namespace_of(request)

    def pick_earliest(self, trackers: list[Tracker], margin_s: float = 0.0) -> Estimate:
        """Return the estimate with the earliest first event; the first tracker's among equals.

        Estimates within `margin_s` of the earliest count as tied. One of these is drawn at random,
        preferably with an idle connection, so that hosts with the same outdated view don't all send
        to one engine.
        """
        estimates = self.estimate_all(trackers)
        best = min(estimates, key=lambda each: each.admission_s)
        if margin_s <= 0:
            return best
        tied = [each for each in estimates if each.admission_s <= best.admission_s + margin_s]
        request = self.request.id
        connected = [each for each in tied if each.tracker.connections.has_idle_for(request)]
        return random.choice(connected or tied)

    def estimate_all(self, trackers: list[Tracker]) -> list[Estimate]:
        """Return the estimate for each engine, and record them for the log."""
        estimates = [self._estimate(each) for each in trackers]
        self.estimates += estimates
        return estimates

    def _estimate(self, tracker: Tracker) -> Estimate:
        prompt = self.prompt
        version = tracker.version_by_model.get(prompt.model) or None
        priority = self.request.priority
        salt = self._salt(prompt.model, version)
        if salt not in self.holders_by_salt:
            self.holders_by_salt[salt] = self.cached_parts.find_holders(salt, prompt)
        cached = tracker.memory.cached_prefix_tokens(salt, prompt.shared_parts)
        hall = tracker.entry.hall
        holders = self.holders_for(tracker, salt)
        fetched, fetch_s = _fetchable_parts(prompt, cached, holders, hall)
        missing = max(0, prompt.tokens_in - cached - fetched)
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
            prefill_factor=tracker.load.service_time.prefill_factor,
            overhead_s=tracker.load.service_time.overhead_s + self.crossing_s(tracker),
            tokens=tokens,
            covered_tokens=cached,
            missing_tokens=missing,
        )

    def holders_for(self, tracker: Tracker, salt: str) -> list[StoreView | None]:
        """Return the stores that an engine may fetch each shared part from."""
        if not self.may_fetch(self.prompt.model, tracker):
            return [None] * len(self.prompt.shared_parts)
        return self.cached_parts.holders_for(tracker.entry.hall, self.holders_by_salt[salt])

    def _salt(self, model: ModelId, version: int | None) -> str:
        """Return the salt of cached parts: one per weights, dedicated workspace and namespace."""
        workspace = self.request.workspace
        isolation = workspace.id if workspace is not None and workspace.dedicated else None
        return make_salt(model, version or 0, isolation, self._namespace)


def _fetchable_parts(
    prompt: Prompt, cached: int, holders: list[StoreView | None], hall: HallId
) -> tuple[int, float]:
    """Return the tokens that can be fetched after the `cached` ones, and the time that takes.

    Fetching stops at the first part that no store holds.
    """
    fetched = 0
    fetch_s = 0.0
    passed = 0
    for part, holder in zip(prompt.shared_parts, holders, strict=True):
        passed += part.tokens
        if passed <= cached:
            continue
        if holder is None:
            break
        fetched += part.tokens
        fetch_s += holder.transfer_s(part.tokens, hall)
    return fetched, fetch_s
