"""Generations: choose an engine, fetch stored context, stream, and resume if the engine fails."""

import logging
import time
from collections.abc import Iterator

import eventlet
import msgspec
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.histograms import Histograms, Measure
from ruddersaddle_base.ids import BlockKey
from ruddersaddle_routing.choices import Choice, Prompt, StoredChain
from ruddersaddle_routing.loads import Load, SentRequest
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Model
from ruddersaddle_upstreams.chains import block_keys, context_salt, count_tokens
from ruddersaddle_upstreams.engines import EngineClient, EngineRequest, TokenStream

from ruddersaddle.callers import PromptRequest
from ruddersaddle.contexts import ContextCache, ContextLookup
from ruddersaddle.pools import PoolView, Slot

logger = logging.getLogger(__name__)

ATTEMPTS_MAX = 4
"""Attempts to start a stream, including the first; a resume resets the count."""
RESUMES_MAX = 4
"""Most resumes of one request."""
RESUME_S = 10.0
"""Time for an interrupted stream to continue on another engine."""
NO_ENGINE_S = 5.0
"""Longest wait of a new request for a circuit to close before it is refused."""
VERSION_CHANGES_MAX = 8
"""Most answers to one request that an engine's weight version has changed."""
BUSY_PAUSE_S = 0.02
"""Pause before choosing again when all engines are busy."""
SLOW_FACTOR = 4.0
SLOW_FLOOR_S = 1.0
"""A first token later than both the floor and the factor times its prediction means overload."""
PRIORITY_STEP = 100
"""Number of priorities of one class; the next class begins after them."""
MS_PER_S = 1000.0


class GenerationCounts(msgspec.Struct):
    """Counts of one host's generations."""

    started: int = 0
    finished: int = 0
    resumed: int = 0
    failed: int = 0
    refused: int = 0


class Generator:
    """Starts generations on the engines of a pool."""

    def __init__(
        self, contexts: ContextCache, configuration: Configuration, histograms: Histograms
    ) -> None:
        self.contexts = contexts
        self.configuration = configuration
        self.histograms = histograms
        self.counts = GenerationCounts()

    def start(self, request: PromptRequest, view: PoolView) -> "Generation | Failure":
        """Wait for a slot and start a generation; its first events have not been read yet."""
        cost = count_tokens(request.text)
        limits = request.limits
        slot = view.acquire_slot(request.workspace, cost, limits.remaining_s(), limits.urgency)
        if isinstance(slot, Failure):
            self.counts.refused += 1
            return slot
        view.budget.record_first()
        generation = Generation(self, request, view, slot)
        generation.expected_tokens = view.record_granted(cost)
        try:
            failure = generation.begin()
        except BaseException:
            generation.finish()
            raise
        if failure is not None:
            generation.finish()
            self.counts.failed += 1
            return failure
        self.counts.started += 1
        return generation

    def published_version(self, model: str) -> str:
        """Return the published weight version of a model."""
        found = self.configuration.get(Model, model)
        return found.version if isinstance(found, Model) else ""


class Generation:
    """One request's stream, continued on other engines when one fails."""

    def __init__(
        self, generator: Generator, request: PromptRequest, view: PoolView, slot: Slot
    ) -> None:
        self.generator = generator
        self.request = request
        self.view = view
        self.slot = slot
        self.version = ""
        self.expected_tokens = 0.0
        self.tokens = 0
        self.attempts = 0
        self.choice: Choice | None = None
        self.stream: TokenStream | None = None
        self._began = time.monotonic()
        self._last_event = self._began
        self.resumes = 0
        self._deadline = request.limits.deadline
        self._version_changes = 0
        self._keys_by_version: dict[str, list[BlockKey]] = {}
        self._attempted: set[str] = set()
        self._was_slow = False
        self._sent: SentRequest | None = None

    def keys_of(self, version: str) -> list[BlockKey]:
        """Return the prompt's block chain for a weight version."""
        keys = self._keys_by_version.get(version)
        if keys is None:
            keys = block_keys(self._salt(version), self.request.text)
            self._keys_by_version[version] = keys
        return keys

    def _salt(self, version: str) -> str:
        body = self.request.body
        workspace = self.request.workspace.id
        return context_salt(workspace, body.model, version, body.adapter)

    def begin(self) -> Failure | None:
        """Open a stream on the best engine; try others if the failure and the budget allow.

        The failure says "not run" only if no attempt may have run.
        """
        failure = self._no_engine_failure()
        may_have_run = False
        while self.attempts < ATTEMPTS_MAX and time.monotonic() < self._deadline:
            opened = self._open_best()
            if not isinstance(opened, Failure):
                return None
            may_have_run = may_have_run or opened.ran is not Ran.NOT_RUN
            failure = opened.with_ran(Ran.UNKNOWN) if may_have_run else opened
            if not self._may_retry(opened):
                return failure
        return failure

    def _may_retry(self, failure: Failure) -> bool:
        """Return whether another engine may be tried, and count the attempt.

        An engine that has changed its weights is not counted as an attempt, since it did no work. A
        failed connection takes nothing from the retry budget for the same reason.
        """
        if failure.code is Code.OTHER_VERSION:
            self._version_changes += 1
            return self._version_changes <= VERSION_CHANGES_MAX
        self.attempts += 1
        if failure.code is Code.NO_UPSTREAM:
            return False
        return failure.step is Step.CONNECT or self.view.budget.try_spend()

    def _no_engine_failure(self) -> Failure:
        detail = "no engine is open"
        return Failure(Code.NO_UPSTREAM, Step.CONNECT, self.view.pool.id, detail, retry_after_s=1.0)

    def _open_best(self) -> Failure | None:
        homes = self.view.homes_by_template.get(self.request.body.template, ())
        prompt = Prompt(count_tokens(self.request.text), homes, self.keys_of)
        found = self._find_stored()
        choice = self._choose(prompt, found.chain)
        if choice is None:
            return self._no_engine_failure()
        load = choice.load
        self.choice = choice
        self.version = self.version or load.version
        self._attempted.add(load.address)
        load.limit.begin()
        load.circuit.begin()
        self._record_sent(choice.missing_tokens, prompt.tokens)
        self._sent = load.record_sent(choice.missing_tokens, self.keys_of(self.version))
        engine = self.view.engine_by_address[load.address]
        self._fetch(choice, found, engine)
        opened = engine.generate(self._engine_request())
        if isinstance(opened, Failure):
            self._end_attempt(opened)
            self._apply_engine_version(load, opened)
            return opened
        self.stream = opened
        return None

    def _record_sent(self, missing: int, tokens: int) -> None:
        self.view.record_sent(self.expected_tokens, missing, tokens)
        self.expected_tokens = 0.0

    def _apply_engine_version(self, load: Load, failure: Failure) -> None:
        """Apply the weight version from an engine's answer, which is newer than its load report."""
        if failure.code is not Code.OTHER_VERSION:
            return
        load.record_version(failure.detail)
        if self.tokens == 0:
            self.version = ""
            self._attempted.discard(load.address)

    def _find_stored(self) -> ContextLookup:
        version = self.version or self._likely_version()
        return self.generator.contexts.find(self.keys_of(version))

    def _likely_version(self) -> str:
        published = self.generator.published_version(self.request.body.model)
        versions = [load.version for load in self.view.loads() if load.version]
        return published if published in versions or not versions else versions[0]

    def _choose(self, prompt: Prompt, stored: StoredChain) -> Choice | None:
        """Choose among the engines of one weight version; wait while all are at their limits."""
        began = time.monotonic()
        while time.monotonic() < self._deadline:
            version = self.version or self._likely_version()
            candidates = [load for load in self.view.loads() if load.version in (version, "")]
            if not candidates:
                return None
            unattempted = [load for load in candidates if load.address not in self._attempted]
            choice = self.view.chooser.choose(unattempted or candidates, prompt, stored)
            if choice is not None:
                return choice
            waited_s = time.monotonic() - began
            may_become_free = any(load.may_accept_work for load in candidates)
            if not may_become_free and self.tokens == 0 and waited_s > NO_ENGINE_S:
                return None
            eventlet.sleep(BUSY_PAUSE_S)
        return None

    def _fetch(self, choice: Choice, found: ContextLookup, engine: EngineClient) -> None:
        keys = self.keys_of(self.version)[: choice.fetch_until]
        if found.store is None or choice.fetch_until <= choice.cached_blocks:
            return
        self.generator.contexts.fetch(found, engine, keys, choice.cached_blocks)

    def _engine_request(self) -> EngineRequest:
        body = self.request.body
        return EngineRequest(
            id=self.request.id,
            model=body.model,
            version=self.version,
            adapter=body.adapter,
            salt=self._salt(self.version),
            prompt=self.request.text,
            max_tokens=body.max_tokens,
            priority=self._priority(),
            chat=self.request.chat,
            first_token=self.tokens,
        )

    def _priority(self) -> int:
        """Return the priority for the engine: by class, then by the workspace's active requests.

        Workspaces with fewer active requests go first, so the engine's queue is fair too.
        """
        active = self.view.queue.count_of(self.request.workspace.id)
        return self.request.limits.priority * PRIORITY_STEP + min(active, PRIORITY_STEP - 1)

    def events(self) -> Iterator[bytes | Failure]:
        """Yield complete events as they arrive; a failure, if any, comes last."""
        while True:
            data = self.stream.read_some()
            if isinstance(data, Failure):
                failure = self._resume(data)
                if failure is not None:
                    self.generator.counts.failed += 1
                    yield failure
                    return
                continue
            if not data:
                self.generator.counts.finished += 1
                return
            self._record_events()
            yield data

    def _record_events(self) -> None:
        now = time.monotonic()
        added = self.stream.next_token - self.tokens
        first = self.tokens == 0
        self.tokens = self.stream.next_token
        measure = Measure.FIRST_TOKEN if first else Measure.BETWEEN_TOKENS
        elapsed_s = (now - self._last_event) / max(1, added)
        self._last_event = now
        self._record_latency(measure, elapsed_s)
        self._sent.finish()
        if first:
            self._check_first_token(elapsed_s)

    def _check_first_token(self, elapsed_s: float) -> None:
        logger.debug(
            "First token of %s after %.0f ms, predicted %.0f ms. Cached %d, fetched to %d.",
            self.request.id,
            elapsed_s * MS_PER_S,
            self.choice.predicted_s * MS_PER_S,
            self.choice.cached_blocks,
            self.choice.fetch_until,
        )
        expected_s = max(SLOW_FLOOR_S, self.choice.predicted_s * SLOW_FACTOR)
        self._was_slow = elapsed_s > expected_s

    def _record_latency(self, measure: Measure, elapsed_s: float) -> None:
        workspace = self.request.workspace.id
        group = self.request.limits.group
        self.generator.histograms.record(measure, workspace, group, elapsed_s * MS_PER_S)

    def _resume(self, failure: Failure) -> Failure | None:
        """Continue after the last delivered token, on another engine of the same weight version."""
        self._close_stream()
        self._end_attempt(failure)
        self.resumes += 1
        if self.resumes > RESUMES_MAX:
            return failure
        self.attempts = 0
        self._deadline = max(self._deadline, time.monotonic() + RESUME_S)
        logger.info(
            "Resuming the stream of %s at token %d.",
            self.request.id,
            self.tokens,
            extra={"request": self.request.id},
        )
        failure_after_resume = self.begin()
        if failure_after_resume is None:
            self.generator.counts.resumed += 1
            return None
        return failure_after_resume.with_ran(Ran.UNKNOWN)

    def _end_attempt(self, failure: Failure | None) -> None:
        if self.choice is None:
            return
        load = self.choice.load
        self._sent.finish()
        tolerated_codes = (Code.OVERLOADED, Code.OTHER_VERSION)
        overloaded = failure is not None and failure.code is Code.OVERLOADED
        failed = failure is not None and failure.code not in tolerated_codes
        load.limit.end(overloaded or self._was_slow)
        load.circuit.end(failed)
        self.choice = None

    def _close_stream(self) -> None:
        if self.stream is not None:
            self.stream.finish()
            self.stream = None

    def finish(self) -> None:
        """End the request: release its resources and save its context in the background."""
        complete = self.stream is not None and self.stream.done
        choice = self.choice
        self.view.unsent_tokens -= self.expected_tokens
        self._close_stream()
        self._end_attempt(None)
        self.slot.release()
        if complete and choice is not None:
            self._record_latency(Measure.TOTAL, time.monotonic() - self._began)
            engine = self.view.engine_by_address.get(choice.load.address)
            if engine is not None:
                self.generator.contexts.save_in_background(engine, self.request.id)
