"""Chooses the upstream of a request."""

import random
import time
from collections.abc import Iterator
from enum import Enum

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.context_stores import KeptStore
from ruddersaddle_serving.engine_loads import PRIORITIES
from ruddersaddle_serving.kept_parts import (
    FRESH_S,
    REPLACED_FETCH_S,
    KeptParts,
    make_salt,
)
from ruddersaddle_serving.ports import Transfer
from ruddersaddle_serving.prompts import CallerRequest, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Route
from ruddersaddle_serving.trackers import Assignment, Tracker, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamList

PREFILL_TOKENS_S = 100_000.0
"""Prompt tokens that an idle engine reads in a second (112 a millisecond on the sheets, less what
decoding takes). It weighs reading against waiting and moving; a prompt whose first event has come
counts no more, so that errors don't add up."""
HOME_S = 0.02
"""Requests that share most of their prompt go to one engine, unless another one is this much
sooner: what they share is then in its memory more often than by chance."""
CANDIDATES_MAX = 8
"""Engines that are weighed for a prompt; choosing costs 9 us an engine. Which ones follows from
what prompts share, so that few engines keep it."""
OVERFLOW_SAMPLE = 2
"""Engines that are drawn where all candidates make a request wait too long."""
CROWD_SHARE = 0.5
"""What is less urgent at an engine counts this much: it gives way, but is read again then."""
FULL_SHARE = 1.35
"""An engine is full when its requests' tokens are this much of its memory: what requests share is
counted for each of them here and once there (230,000 stood for 175,000 in a trial)."""
RESERVED_SHARE = 0.1
"""Share of an engine's memory that each step of urgency has for itself. An engine that runs out of
memory preempts the least urgent run and reads its prompt again."""
RESERVED_STEPS = 3
WAIT_SHARE_MOST = 1.1
WAIT_SHARE_LEAST = 0.3
WAIT_SHARE_SLOPE = 12.0
"""Share of the latency target that the predicted wait may take; beyond it a request is refused at
once. Late answers are worth a fifth, and what is not sent lets others be in time. The share falls
with the part of an engine's memory that a request needs: one that needs 12,000 of 180,000 tokens
keeps out a dozen short ones."""
REQUEST_S = 0.004
"""Work of a request beside reading: the steps that decode it, shared with others at the engine."""
OLD_WEIGHTS_S = 0.1
"""Engines with replaced weights are taken if they are this much sooner: their answers lose a fifth
of their benefit, engines with new ones have everything to read again."""
OLD_WEIGHTS_FREE_S = 0.5
"""Answers on replaced weights lose nothing for the first 1.5 s, of which hosts hear late."""
VERSION_MARGIN_S = 2.5
"""Old weights are left this long before the bound on them: it counts from the operator's write,
of which this host hears up to a second later, and the request has to get there."""
RETRY_SOON_S = 0.25
"""When a caller should come back to a pool that has no usable upstream just now; a refused engine
is back, or another one found, within some hundred milliseconds."""


class Patience(Enum):
    """What may be done with a request while engines are full."""

    REFUSE = "refuse"
    """It has just come: it may be refused, or held."""
    HOLD = "hold"
    """It was held, so that a refusal would come late: it may be held on."""
    SEND = "send"
    """It has to be sent now."""


class Choice(msgspec.Struct, frozen=True):
    """An upstream for one try of a request, and what decided it."""

    tracker: Tracker
    version: int | None
    transfer: Transfer | None
    candidates: int
    assignment: Assignment | None = None
    wait_s: float = 0.0
    """Predicted wait at the upstream before it begins to read."""
    covered_tokens: int = 0
    """Tokens of the prompt that the engine is believed to keep."""
    missing_tokens: int = 0
    """Tokens that it has to read."""


class Full(msgspec.Struct, frozen=True):
    """No engine has memory for the request now."""


class Estimate(msgspec.Struct, frozen=True):
    """What a prompt would cost at one engine, in seconds."""

    tracker: Tracker
    version: int | None
    salt: str
    wait_s: float
    """Wait for what is as urgent as the request."""
    crowd_s: float
    """Wait for all that is at the engine."""
    fetch_s: float
    work_s: float
    tokens: int
    """Memory that the request needs at the engine."""
    covered_tokens: int
    missing_tokens: int
    penalty_s: float

    @property
    def total_s(self) -> float:
        """Predicted time until the prompt is read, and what speaks against the engine."""
        crowd_s = CROWD_SHARE * (self.crowd_s - self.wait_s)
        return self.wait_s + crowd_s + self.fetch_s + self.work_s + self.penalty_s


class Placement:
    """Chooses upstreams from entries, versions of weights, kept parts and this host's requests."""

    def __init__(
        self,
        hall: HallId,
        version_bound_s: float,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
        kept: KeptParts,
    ) -> None:
        self.hall = hall
        self.version_bound_s = version_bound_s
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.kept = kept

    def pick_pool(self, route: Route) -> PoolId | None:
        """Return the pool of a request, drawn by the route's shares."""
        if not route.targets:
            return None
        weights = [max(0.0, target.weight) for target in route.targets]
        if len(weights) == 1 or not any(weights):
            return route.targets[0].pool
        return random.choices(route.targets, weights)[0].pool

    def choose(
        self,
        request: CallerRequest,
        pool: PoolId,
        excluded: set[UpstreamId],
        patience: Patience = Patience.SEND,
    ) -> Choice | Full | Failure:
        """Return the upstream for the next try, or why there is none.

        `patience` says what may be done with the request while every engine's memory is taken.
        """
        trackers = [self.trackers.at(entry) for entry in self.upstreams.of_pool(pool)]
        left = [tracker for tracker in trackers if tracker.id not in excluded]
        if not left:
            detail = f"{len(trackers)} upstreams, {len(excluded)} tried"
            return Failure(Code.NO_UPSTREAM, Step.ADMIT, pool, detail, retry_after_s=RETRY_SOON_S)
        prompt = request.head.prompt
        if prompt is None:
            return self._choose_plain(left)
        return self._choose_engine(request, prompt, left, patience)

    def _choose_plain(self, trackers: list[Tracker]) -> Choice:
        usable = [tracker for tracker in trackers if tracker.is_sound] or trackers
        chosen = min(usable, key=self._plain_order)
        return Choice(chosen, None, None, len(usable))

    def _plain_order(self, tracker: Tracker) -> tuple[float, bool, float]:
        share = tracker.in_flight / max(1, tracker.entry.slots)
        return share, tracker.entry.hall != self.hall, random.random()

    def _choose_engine(
        self, request: CallerRequest, prompt: Prompt, trackers: list[Tracker], patience: Patience
    ) -> Choice | Full | Failure:
        allowed = self._of_allowed_weights(prompt.model, trackers)
        if not allowed:
            detail = f"no engine has the newest weights of {prompt.model}"
            peer = trackers[0].entry.pool
            return Failure(Code.OTHER_VERSION, Step.ADMIT, peer, detail, retry_after_s=RETRY_SOON_S)
        sound = [tracker for tracker in allowed if tracker.is_sound] or allowed
        usable = [tracker for tracker in sound if not tracker.is_avoided] or sound
        by_id = {tracker.id: tracker for tracker in usable}
        ranked = [by_id[name] for name in rank_names(prompt.affinity_key, by_id)]
        holders_by_salt: dict[str, list[KeptStore | None]] = {}
        best = self._weigh(request, prompt, ranked[:CANDIDATES_MAX], holders_by_salt)
        for group in self._beyond(ranked[CANDIDATES_MAX:]):
            if best.wait_s <= self._wait_max_s(request, best):
                break
            best = self._weigh(request, prompt, [best.tracker, *group], holders_by_salt)
        if patience is Patience.REFUSE and best.wait_s > self._wait_max_s(request, best):
            return self._refuse(request, best)
        if patience is not Patience.SEND and self._is_full(best, request):
            return Full()
        hall = best.tracker.entry.hall
        is_newest = not self.publications.replaced_at_least_s(prompt.model, best.version or 0)
        transfer = self.kept.plan(
            best.salt,
            prompt,
            holders_by_salt[best.salt],
            hall,
            best.covered_tokens,
            is_newest,
        )
        assignment = Assignment(
            best.salt, prompt.shared_parts, best.work_s, best.tokens, request.priority
        )
        return Choice(
            best.tracker,
            best.version,
            transfer,
            len(usable),
            assignment,
            best.wait_s,
            best.covered_tokens,
            best.missing_tokens,
        )

    def _beyond(self, others: list[Tracker]) -> Iterator[list[Tracker]]:
        """Yield the engines to weigh once all candidates make a request wait too long.

        Any engine may take it then, at the price of reading it: first a few that are drawn, so that
        hosts don't all find the same one, then all, before a request is refused.
        """
        if others:
            yield random.sample(others, min(OVERFLOW_SAMPLE, len(others)))
            yield others

    def _weigh(
        self,
        request: CallerRequest,
        prompt: Prompt,
        ranked: list[Tracker],
        holders_by_salt: dict[str, list[KeptStore | None]],
    ) -> Estimate:
        """Return the best estimate; the first of the trackers is the prompt's home."""
        estimates = [self._estimate(request, prompt, each, holders_by_salt) for each in ranked]
        home = ranked[0].id
        return min(estimates, key=lambda each: each.total_s - HOME_S * (each.tracker.id == home))

    def _estimate(
        self,
        request: CallerRequest,
        prompt: Prompt,
        tracker: Tracker,
        holders_by_salt: dict[str, list[KeptStore | None]],
    ) -> Estimate:
        version = tracker.version_by_model.get(prompt.model) or None
        salt = self._salt(request, prompt.model, version)
        if salt not in holders_by_salt:
            may_fetch = self._may_fetch(prompt.model, version or 0)
            holders_by_salt[salt] = self.kept.find_holders(salt, prompt, may_fetch)
        covered = tracker.memory.leading_tokens(salt, prompt.shared_parts)
        fetched, fetch_s = _add_fetched(prompt, covered, holders_by_salt[salt], tracker.entry.hall)
        missing = max(0, prompt.tokens_in - covered - fetched)
        tokens = prompt.tokens_in + prompt.tokens_out
        capacity = tracker.memory.capacity_tokens
        slots = tracker.entry.slots
        return Estimate(
            tracker=tracker,
            version=version,
            salt=salt,
            wait_s=tracker.load.wait_s(request.priority, tokens, capacity, slots),
            crowd_s=tracker.load.wait_s(PRIORITIES - 1, tokens, capacity, slots),
            fetch_s=fetch_s,
            work_s=REQUEST_S + missing / PREFILL_TOKENS_S,
            tokens=tokens,
            covered_tokens=covered,
            missing_tokens=missing,
            penalty_s=self._penalty_s(prompt.model, version),
        )

    def _wait_max_s(self, request: CallerRequest, best: Estimate) -> float:
        """Return the longest predicted wait with which a request is still sent to an engine."""
        needed = best.tokens / max(1, best.tracker.memory.capacity_tokens)
        share = WAIT_SHARE_MOST - WAIT_SHARE_SLOPE * needed
        return request.route.target_latency_s * max(WAIT_SHARE_LEAST, share)

    def _refuse(self, request: CallerRequest, best: Estimate) -> Failure:
        detail = f"the wait is {best.wait_s:.2f} s, the target {request.route.target_latency_s} s"
        retry_after_s = max(RETRY_SOON_S, best.wait_s)
        pool = best.tracker.entry.pool
        return Failure(Code.OVERLOADED, Step.ADMIT, pool, detail, retry_after_s=retry_after_s)

    def _is_full(self, best: Estimate, request: CallerRequest) -> bool:
        """Return whether the request would crowd out runs; the urgent ones may fill it up."""
        capacity = best.tracker.memory.capacity_tokens
        taken = best.tracker.load.tokens
        share = FULL_SHARE - RESERVED_SHARE * min(request.priority, RESERVED_STEPS)
        return taken > 0 and capacity > 0 and taken + best.tokens > capacity * share

    def _may_fetch(self, model: ModelId, version: int) -> bool:
        """Return whether parts that these weights made may be fetched; see `kept_parts`."""
        if self.publications.age_s > FRESH_S:
            return False
        return self.publications.replaced_at_most_s(model, version) < REPLACED_FETCH_S

    def _penalty_s(self, model: ModelId, version: int | None) -> float:
        newest = self.publications.version_by_model.get(model, 0)
        if (version or 0) >= newest:
            return 0.0
        known_s = time.monotonic() - self.publications.named_at_by_model[model]
        return OLD_WEIGHTS_S if known_s > OLD_WEIGHTS_FREE_S else 0.0

    def _of_allowed_weights(self, model: ModelId, trackers: list[Tracker]) -> list[Tracker]:
        newest = self.publications.version_by_model.get(model)
        if newest is None:
            return trackers
        known_s = time.monotonic() - self.publications.named_at_by_model[model]
        if known_s < self.version_bound_s - VERSION_MARGIN_S:
            return trackers
        return [each for each in trackers if each.version_by_model.get(model, 0) >= newest]

    def _salt(self, request: CallerRequest, model: ModelId, version: int | None) -> str:
        """Return the name under which parts are kept: one for each weights and each wall."""
        workspace = request.workspace
        wall = workspace.id if workspace is not None and workspace.dedicated else None
        return make_salt(model, version or 0, wall)


def _add_fetched(
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
