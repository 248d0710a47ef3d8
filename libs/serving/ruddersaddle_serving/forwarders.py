"""Sends a request to an upstream, and to another one where that is allowed."""

import logging
from collections.abc import Callable, Iterator

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import PoolId, UpstreamId
from ruddersaddle_routing.retries import RetryBudget

from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.crash_watches import CrashWatch
from ruddersaddle_serving.event_streams import EventSplitter
from ruddersaddle_serving.placements import (
    RETRY_SOON_S,
    Choice,
    Placement,
)
from ruddersaddle_serving.ports import AnswerHead, Wire
from ruddersaddle_serving.prompts import CallerRequest, Headers
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import RouteKind
from ruddersaddle_serving.trackers import Notice

logger = logging.getLogger(__name__)

ANSWER_MAX = 16 * 1024 * 1024
"""Longest answer that is read whole before it is passed on, in bytes."""
CONNECTS_MAX = 6
"""Upstreams that are tried for a connection; nothing was sent to those that gave none."""
SILENT_FACTOR = 3.0
"""A request that ends without a first byte after this many latency targets, or as many times what
was predicted, counts against its upstream; a caller that leaves earlier says nothing about it."""
LEAST_REMAINING_S = 0.02
"""With less time than this left nothing is sent any more."""


FINAL_CODES = frozenset(
    {
        Code.STALE_CONFIGURATION,
        Code.NO_UPSTREAM,
        Code.DEADLINE,
        Code.CRASHES_UPSTREAMS,
        Code.FITS_NO_ENGINE,
        Code.EVACUATED,
    }
)
"""After these another upstream would not do better."""


class Whole(msgspec.Struct, frozen=True):
    """A whole answer."""

    status: int
    headers: Headers
    body: bytes


class Trail:
    """What was done with a request, for its line in the log."""

    def __init__(self) -> None:
        self.tries: list[str] = []
        self.upstream = ""
        self.version: int | None = None
        self.wait_s = 0.0
        self.covered_tokens = 0
        self.missing_tokens = 0
        self.candidates = 0
        self.weighed: tuple[str, ...] = ()
        self.fetched = 0
        self.saved = 0
        self.first_s: float | None = None


class Forwarder:
    """Carries requests to upstreams; shared by all requests of a host."""

    def __init__(
        self,
        placement: Placement,
        wire: Wire,
        publications: Publications,
        budget: RetryBudget,
        key_age_max_s: float,
        tell: Callable[[Notice], None],
        crashes: CrashWatch,
    ) -> None:
        self.tell = tell
        self.crashes = crashes
        self.placement = placement
        self.wire = wire
        self.publications = publications
        self.budget = budget
        self.key_age_max_s = key_age_max_s

    def start(self, request: CallerRequest) -> "Forwarding":
        """Return the forwarding of one request."""
        return Forwarding(self, request)

    def check_key_age(self, request: CallerRequest) -> Failure | None:
        """Refuse a request with a key while the configuration may be too old to know of its end."""
        if request.workspace is None:
            return None
        age_s = self.publications.age_s
        if age_s <= self.key_age_max_s:
            return None
        detail = f"the configuration was confirmed {age_s:.1f} s ago"
        return Failure(
            Code.STALE_CONFIGURATION, Step.AUTHENTICATE, "store", detail, retry_after_s=0.5
        )


class Forwarding:
    """One request on its way."""

    def __init__(self, forwarder: Forwarder, request: CallerRequest) -> None:
        self.forwarder = forwarder
        self.request = request
        self.trail = Trail()
        self.attempt: Attempt | None = None
        self.splitter = EventSplitter()
        self.pool: PoolId | None = None
        self._excluded: set[UpstreamId] = set()
        self._sent_count = 0
        self._may_have_run = False
        self._first = b""

    def begin(self) -> Whole | AnswerHead | Failure:
        """Return a whole answer, the head of a stream whose first event is here, or a failure."""
        self.pool = self.forwarder.placement.pick_pool(self.request.route)
        if self.pool is None:
            return Failure(Code.NO_UPSTREAM, Step.ADMIT, self.request.route.name, "no target")
        self.forwarder.budget.note_first()
        while True:
            result = self._try_once(self.request.head.last_event)
            if not isinstance(result, Failure):
                return result
            self._may_have_run = self._may_have_run or result.ran is not Ran.NOT_RUN
            if not self._may_try_again(result):
                return self._without_promise(result) if self._may_have_run else self._dated(result)

    def _dated(self, failure: Failure) -> Failure:
        """Return a refusal of an upstream with when the first of its pool takes requests again."""
        if failure.step is not Step.SEND or failure.code is not Code.OVERLOADED:
            return failure
        rested_in_s = self.forwarder.placement.rested_in_s(self.pool)
        return msgspec.structs.replace(
            failure, retry_after_s=max(failure.retry_after_s, rested_in_s)
        )

    def _without_promise(self, failure: Failure) -> Failure:
        """Return a failure that doesn't say "not run": an earlier try may have run."""
        code = Code.DEADLINE if failure.code is Code.DEADLINE else Code.UPSTREAM_FAILED
        return msgspec.structs.replace(failure, code=code, ran=Ran.UNKNOWN)

    def _try_once(self, last_event: str | None) -> Whole | AnswerHead | Failure:
        opened = self._open(last_event)
        if isinstance(opened, Failure):
            return opened
        if opened.status == 200 and self.request.route.kind is RouteKind.STREAM:
            return self._await_first(opened)
        return self._read_whole(opened)

    def _open(self, last_event: str | None) -> AnswerHead | Failure:
        """Send the request to the best upstream that takes a connection."""
        forwarder = self.forwarder
        failure: Failure | None = None
        for _ in range(CONNECTS_MAX):
            if self.request.remaining_s < LEAST_REMAINING_S:
                return Failure(Code.DEADLINE, Step.CONNECT, str(self.pool), "no time is left")
            choice = self._choose()
            if isinstance(choice, Failure):
                return choice if failure is None else self._without_connection(failure)
            self.attempt = Attempt(self.request, choice, forwarder.wire, last_event, forwarder.tell)
            self._note_choice()
            failure = self.attempt.connect()
            word = "no connection"
            if failure is None:
                failure = forwarder.placement.check_open(choice.tracker)
                if failure is None:
                    return self._send()
                word = failure.detail
            self._excluded.add(choice.tracker.id)
            self._end_attempt(None, f"{choice.tracker.id} {word}")
        return self._without_connection(failure)

    def _without_connection(self, failure: Failure) -> Failure:
        """Return that nothing was sent, so that the caller may come back soon.

        As a failure of the upstream it reached the caller as a 502, which says nothing of whether
        the request ran.
        """
        return msgspec.structs.replace(failure, code=Code.NO_UPSTREAM, retry_after_s=RETRY_SOON_S)

    def _choose(self) -> Choice | Failure:
        """Return the upstream for the next try."""
        self.forwarder.crashes.wait_for_outcome(self.request.fingerprint)
        refusal = self._check_crashes()
        if refusal is not None:
            return refusal
        may_refuse = self._sent_count == 0
        placement = self.forwarder.placement
        return placement.choose(self.request, self.pool, self._excluded, may_refuse)

    def _check_crashes(self) -> Failure | None:
        """Refuse a request that crashes upstreams."""
        return self.forwarder.crashes.check(self.request.fingerprint, self.pool)

    def _send(self) -> AnswerHead | Failure:
        refusal = self.forwarder.check_key_age(self.request) or self._check_crashes()
        if refusal is not None:
            self._end_attempt(None, f"not sent: {refusal.detail}")
            return refusal
        self._sent_count += 1
        tracker = self.attempt.choice.tracker
        upstream = tracker.id
        self._excluded.add(upstream)
        self.forwarder.placement.shares.note_sent(tracker)
        head = self.attempt.open()
        if isinstance(head, Failure):
            refused = head.ran is Ran.NOT_RUN
            self._end_attempt(None if refused else True, f"{upstream} {head.detail}")
        return head

    def _note_choice(self) -> None:
        choice = self.attempt.choice
        trail = self.trail
        trail.upstream = choice.tracker.id
        trail.version = choice.version
        trail.wait_s = choice.wait_s
        trail.covered_tokens = choice.covered_tokens
        trail.missing_tokens = choice.missing_tokens
        trail.candidates = choice.candidates
        trail.weighed = choice.weighed
        if choice.transfer is not None:
            trail.fetched = sum(place is not None for place in choice.transfer.fetch_from)
            trail.saved = sum(place is not None for place in choice.transfer.save_to)

    def _read_whole(self, head: AnswerHead) -> Whole | Failure:
        body = self.attempt.exchange.read_all(ANSWER_MAX)
        upstream = self.attempt.choice.tracker.id
        if isinstance(body, Failure):
            self._end_attempt(True, f"{upstream} {body.detail}")
            return body
        failed = head.status >= 500
        if head.status < 300:
            self.forwarder.crashes.record_completion(self.request.fingerprint)
        self._end_attempt(failed, f"{upstream} status {head.status}")
        if failed and self._may_repeat():
            again = self._try_again_after_error()
            if again is not None:
                return again
        self._note_first()
        return Whole(head.status, head.headers, body)

    def _try_again_after_error(self) -> Whole | AnswerHead | None:
        """Return a better answer of another upstream to a request that may be repeated."""
        failure = Failure(Code.UPSTREAM_FAILED, Step.READ, self.trail.upstream, "", Ran.RAN)
        if not self._may_try_again(failure):
            return None
        result = self._try_once(self.request.head.last_event)
        return None if isinstance(result, Failure) else result

    def _await_first(self, head: AnswerHead) -> AnswerHead | Failure:
        """Read until the first whole event, so that a stream that breaks before can be repeated."""
        self._first = b""
        while not self._first:
            data = self.attempt.exchange.read_some()
            if isinstance(data, Failure):
                self.splitter.drop_rest()
                self._end_attempt(True, f"{self.attempt.choice.tracker.id} {data.detail}")
                return data
            if not data:
                self._first = self.splitter.take_rest()
                break
            self._first = self.splitter.take(data)
        self.attempt.note_first_event()
        self._note_first()
        return head

    def _note_first(self) -> None:
        if self.trail.first_s is None:
            self.trail.first_s = clocks.now_s() - self.request.began

    def events(self) -> Iterator[bytes | Failure]:
        """Yield whole events as they arrive; a failure, if any, comes last."""
        yield self._first
        while True:
            data = self.attempt.exchange.read_some()
            if isinstance(data, Failure):
                self.splitter.drop_rest()
                self._end_attempt(True, f"{self.attempt.choice.tracker.id} {data.detail}")
                failure = self._resume(data)
                if failure is not None:
                    yield failure
                    return
                yield self._first
                continue
            if not data:
                rest = self.splitter.take_rest()
                self.forwarder.crashes.record_completion(self.request.fingerprint)
                self._end_attempt(False, "whole")
                if rest:
                    yield rest
                return
            events = self.splitter.take(data)
            if events:
                yield events

    def _resume(self, failure: Failure) -> Failure | None:
        """Go on after the last whole event at another upstream, where the route allows it."""
        if not self.request.route.resumable or self.splitter.last_id is None:
            return failure
        while self._may_try_again(failure):
            result = self._try_once(self.splitter.last_id)
            if isinstance(result, AnswerHead):
                logger.info(
                    "Stream of %s goes on after %s.", self.request.id, self.splitter.last_id
                )
                return None
            if isinstance(result, Whole):
                return failure
            failure = result
        return failure

    def _may_repeat(self) -> bool:
        return self.request.route.is_repeatable

    def _may_try_again(self, failure: Failure) -> bool:
        """Return whether another upstream may get the request after this failure."""
        if failure.code in FINAL_CODES:
            return False
        if failure.ran is not Ran.NOT_RUN and not self._may_repeat():
            return False
        if self._sent_count == 0 or self._sent_count >= self.request.route.upstreams_max:
            return False
        if self.request.remaining_s < LEAST_REMAINING_S:
            return False
        return self.forwarder.budget.take()

    def _end_attempt(self, failed: bool | None, word: str) -> None:
        self.trail.tries.append(word)
        if self.attempt.is_broken:
            self.forwarder.crashes.record_broken_run(
                self.attempt.choice.tracker, self.request.fingerprint
            )
        self.attempt.finish(failed)

    def finish(self) -> None:
        """End the request wherever it is; an answer that was not read whole is closed."""
        if self.attempt is not None:
            self.attempt.finish(True if self._was_silent() else None)

    def _was_silent(self) -> bool:
        """Return whether the upstream gave nothing for far longer than it should have taken."""
        sent_at = self.attempt.sent_at
        if sent_at is None or self.trail.first_s is not None:
            return False
        silent_s = clocks.now_s() - sent_at
        # By the target alone a large prompt counts against whatever reads it.
        due_s = max(self.request.route.target_latency_s, self.attempt.choice.first_s)
        return silent_s > SILENT_FACTOR * due_s
