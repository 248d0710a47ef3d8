"""Forwards requests to upstreams, and retries them at another upstream where that is allowed."""

import logging
from collections.abc import Callable, Iterator

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import PoolId, SoftwareVersion, UpstreamId
from ruddersaddle_routing.retry_budgets import RetryBudgets

from ruddersaddle_serving.answer_ends import AnswerEnd, AnswerEnds, ordinary_end
from ruddersaddle_serving.attempts import NOT_RUN_STATUSES, Attempt
from ruddersaddle_serving.authorizations import authorize
from ruddersaddle_serving.crash_watches import BrokenRun, CrashWatch
from ruddersaddle_serving.event_streams import (
    EVENT_BYTES_MAX,
    EVENT_STREAM,
    ByteStream,
    EventSplitter,
    content_type,
)
from ruddersaddle_serving.placements import (
    RETRY_SOON_S,
    Choice,
    Placement,
)
from ruddersaddle_serving.ports import AnswerHead, BufferedAnswer, Wire
from ruddersaddle_serving.prompts import CallerRequest, RelayTerms, VersionPin
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.relays import Relaying, RelayPeers
from ruddersaddle_serving.request_traces import RequestTrace
from ruddersaddle_serving.rollouts.attempt_outcomes import AttemptOutcome, AttemptOutcomes
from ruddersaddle_serving.room_waits import RoomWaits
from ruddersaddle_serving.routes import RouteKind
from ruddersaddle_serving.run_statements import RefusalCounts
from ruddersaddle_serving.stream_origins import StreamOrigins
from ruddersaddle_serving.trackers import Notice
from ruddersaddle_serving.upstream_connections import ANSWER_BYTES_MAX
from ruddersaddle_serving.upstream_paths import ReachedBy

logger = logging.getLogger(__name__)

CONNECT_ATTEMPTS_MAX = 6
"""Upstreams tried for a connection; nothing was sent to those that could not be connected to."""
UNRESPONSIVE_FACTOR = 3.0
"""A request that ends without a first byte after this multiple of its latency target, or of the
predicted time if that is longer, counts as a failure of its upstream. A caller that disconnects
earlier says nothing about the upstream."""
ROOM_WAIT_SHARE = 0.25
"""Share of the target latency for which a request waits until brittle upstreams have room: without
a wait, each slot is idle from its last answer until the next request arrives. A request that is
refused instead comes back after `RETRY_SOON_S`; three quarters of the target are left for the
answer."""
ROOM_POLL_S = 0.01
REMAINING_MIN_S = 0.02
"""Nothing is sent with less time than this left before the deadline."""
PROGRESS_S = 0.5
"""An answer that has gone on for this long after its first event shows that its upstream can run
all parts of its prompt."""
LOGGED_ID_CHARS = 40
"""Characters of an event's id in the log."""


FINAL_CODES = frozenset(
    {
        Code.STALE_CONFIGURATION,
        Code.UNAUTHORIZED,
        Code.NOT_FOUND,
        Code.NO_UPSTREAM,
        Code.DEADLINE,
        Code.CRASHES_UPSTREAMS,
        Code.PART_CRASHES_UPSTREAMS,
        Code.FITS_NO_ENGINE,
        Code.EVACUATED,
        Code.NO_ALLOWED_REGION,
        Code.UNKNOWN_STREAM,
        Code.STREAM_VERSION_GONE,
    }
)
"""Failures that are not retried, as another upstream would give the same result."""


class Forwarder:
    """Forwards requests to upstreams; shared by all requests of a host."""

    def __init__(
        self,
        placement: Placement,
        wire: Wire,
        publications: Publications,
        retry_budgets: RetryBudgets,
        key_age_max_s: float,
        broadcast_notice: Callable[[Notice], None],
        crash_watch: CrashWatch,
    ) -> None:
        self.broadcast_notice = broadcast_notice
        self.crash_watch = crash_watch
        self.placement = placement
        self.wire = wire
        self.publications = publications
        self.retry_budgets = retry_budgets
        self.key_age_max_s = key_age_max_s
        self.ends = AnswerEnds()
        self.refusals = RefusalCounts()
        self.room_waits = RoomWaits()
        self.relay_peers: RelayPeers | None = None
        """Hosts that requests may be relayed to; None if there are no relays."""
        self.origins: StreamOrigins | None = None
        """Knows at which software versions streams began; None if callers can't take them up."""
        self.outcomes: AttemptOutcomes | None = None
        """Records outcomes by software version; None on deployments without rollouts."""

    def start(self, request: CallerRequest) -> "Forwarding":
        """Return a new forwarding of one request."""
        return Forwarding(self, request)

    def renew(self, request: CallerRequest) -> bool | Failure:
        """Authorize a request anew if another configuration is in force than when it last was.

        Return whether it changes where or for whom the request runs, or why it may not run.
        """
        table = self.publications.table
        if request.asked is None or table.published.version == request.version:
            return False
        allowed = authorize(table, request.asked, request.head.key)
        return allowed if isinstance(allowed, Failure) else request.apply(allowed)

    def check_key_age(self, request: CallerRequest) -> Failure | None:
        """Refuse a keyed request while the configuration may be too old to show a revoked key."""
        if request.workspace is None:
            return None
        age_s = self.publications.age_s
        if age_s <= self.key_age_max_s:
            return None
        detail = f"the configuration was last confirmed {age_s:.1f} s ago"
        return Failure(
            Code.STALE_CONFIGURATION, Step.AUTHENTICATE, "store", detail, retry_after_s=0.5
        )


class Forwarding:
    """The forwarding of one request, over all of its attempts."""

    def __init__(self, forwarder: Forwarder, request: CallerRequest) -> None:
        self.forwarder = forwarder
        self.request = request
        self.trace = RequestTrace()
        self.attempt: Attempt | None = None
        self.outcome: AttemptOutcome | None = None
        """Record of the attempt's outcome, once it was sent."""
        self.relaying: Relaying | None = None
        """The relayed attempt whose answer is being read."""
        self._has_relayed = False
        """Whether another host has accepted the request, or may have; it is offered once."""
        self.splitter: EventSplitter | ByteStream = EventSplitter()
        self.pool: PoolId | None = None
        self._excluded: set[UpstreamId] = set()
        self._sent_count = 0
        self._charged_pool: PoolId | None = None
        """Pool whose retry budget was charged for a retry that is not sent yet."""
        self._may_have_run = False
        self._first_events = b""
        self._began_at: float | None = None
        """When the attempt's first event was read."""
        self._has_cleared_parts = False
        """Whether the attempt has shown that upstreams can run the parts of its prompt."""
        self._is_recorded = False
        """Whether it is recorded at which software version the stream began."""

    def begin(self) -> BufferedAnswer | AnswerHead | Failure:
        """Return a complete answer, a stream's head once its first event is read, or a failure."""
        self.forwarder.crash_watch.record_request(self.request.part_keys)
        refusal = self._renew() or self._pick_pool() or self._pin_return()
        if refusal is not None:
            return refusal
        relayed = self._relay_if_reached_elsewhere()
        if relayed is not None:
            return self._as_unknown(relayed) if _may_have_run(relayed) else relayed
        if self.forwarder.outcomes is not None:
            self.forwarder.outcomes.record_request(self.pool, self.request.route)
        while True:
            result = self._attempt_once(self.request.head.last_event_id)
            if not isinstance(result, Failure):
                return result
            self._may_have_run = self._may_have_run or _may_have_run(result)
            if not self._may_retry(result):
                return (
                    self._as_unknown(result) if self._may_have_run else self._with_backoff(result)
                )

    @property
    def was_sent(self) -> bool:
        """Whether this host has sent it to an upstream, also if that has refused it."""
        return self._sent_count > 0

    def _pick_pool(self) -> Failure | None:
        self.pool = self.forwarder.placement.pick_pool(self.request.route)
        if self.pool is None:
            return Failure(Code.NO_UPSTREAM, Step.ADMIT, self.request.route.name, "no target pool")
        return None

    def _renew(self) -> Failure | None:
        """Authorize the request by the configuration in force; return why it may not run."""
        changed = self.forwarder.renew(self.request)
        if isinstance(changed, Failure):
            logger.info("Request %s may not run any more: %s.", self.request.id, changed.detail)
            return changed
        if changed and self.pool is not None and self.request.pin is None:
            return self._pick_pool()
        return None

    def _pin_return(self) -> Failure | None:
        """Pin a stream that its caller takes up again to the version that began it."""
        origins, request = self.forwarder.origins, self.request
        if origins is None or not request.takes_up_stream:
            return None
        found = self.trace.take_up = origins.find(request, self.pool)
        if found.failure is not None:
            return found.failure
        request.pin = found.pin
        self.pool = found.pin.pool
        return None

    def _relay_if_reached_elsewhere(self) -> BufferedAnswer | AnswerHead | Failure | None:
        """Relay the request if other hosts reach more of the pool's upstreams than this one.

        With no path to any, it is relayed as well if this host hasn't heard yet whether others have
        one.
        """
        if not self.forwarder.placement.trackers.paths.has_lost:
            return None
        beliefs = self.forwarder.placement.path_beliefs(self.pool)
        reached_by = [each.reached_by for each in beliefs]
        here = reached_by.count(ReachedBy.THIS_HOST)
        if not beliefs or (here and reached_by.count(ReachedBy.OTHER_HOSTS) <= here):
            return None
        age_s = max(each.age_s for each in beliefs)
        reason = f"path to {len(beliefs) - here} of {len(beliefs)} upstreams lost for {age_s:.1f} s"
        relayed = self._relay(reason)
        is_known = self.request.terms is not None or all(each.is_tested for each in beliefs)
        if relayed is None and is_known and not here:
            # The paths are probed all the time; trying them again would cost connect timeouts.
            return Failure(
                Code.NO_UPSTREAM, Step.CONNECT, str(self.pool), reason, retry_after_s=RETRY_SOON_S
            )
        return relayed

    def _relay(self, reason: str) -> BufferedAnswer | AnswerHead | Failure | None:
        """Return another host's answer; None if no host accepts the request."""
        peers = self.forwarder.relay_peers
        if peers is None or self.request.terms is not None or self._has_relayed:
            return None
        # A stream that is under way is not resumed by another host.
        upstreams_max = self.request.upstreams_max - self._sent_count
        if upstreams_max < 1 or self.splitter.last_id is not None:
            return None
        if self.request.remaining_s < REMAINING_MIN_S:
            return None
        if self._sent_count and self._charge() is not None:
            return None
        self.trace.relay_reason = reason
        terms = RelayTerms(peers.hosts.own_id, self.forwarder.publications.version, upstreams_max)
        self.relaying = Relaying(peers, self.request, terms, self.trace)
        result = self.relaying.begin()
        if isinstance(result, BufferedAnswer) and self._sent_count:
            result = self._as_refusal(result) if result.status in NOT_RUN_STATUSES else result
        self._has_relayed = result is not None
        if self._has_relayed:
            self._charged_pool = None
        if result is None or isinstance(result, Failure):
            # A later attempt of this host reads its own answer.
            self.relaying.finish()
            self.relaying = None
        elif isinstance(result, BufferedAnswer):
            self._record_first()
        return result

    def _as_refusal(self, answer: BufferedAnswer) -> Failure:
        """Return another host's refusal as a failure.

        It speaks of its own attempts alone, and an earlier one of this host may have run.
        """
        detail = f"relayed after an attempt, status {answer.status}"
        return Failure(
            Code.NO_UPSTREAM, Step.PEER, str(self.pool), detail, retry_after_s=RETRY_SOON_S
        )

    def _with_backoff(self, failure: Failure) -> Failure:
        """Extend an overload refusal's retry delay until the first backoff in the pool ends."""
        if failure.step is not Step.SEND or failure.code is not Code.OVERLOADED:
            return failure
        backoff_remaining_s = self.forwarder.placement.backoff_remaining_s(self.pool)
        return msgspec.structs.replace(
            failure, retry_after_s=max(failure.retry_after_s, backoff_remaining_s)
        )

    def _as_unknown(self, failure: Failure) -> Failure:
        """Return a failure that doesn't promise "not run": an earlier attempt may have run."""
        code = Code.DEADLINE if failure.code is Code.DEADLINE else Code.UPSTREAM_FAILED
        return msgspec.structs.replace(failure, code=code, ran=Ran.UNKNOWN)

    def _attempt_once(self, last_event: str | None) -> BufferedAnswer | AnswerHead | Failure:
        opened = self._open(last_event)
        if isinstance(opened, Failure) or self.relaying is not None:
            return opened
        if opened.status == 200 and self.request.route.kind is RouteKind.STREAM:
            return self._await_first(opened)
        return self._read_complete(opened)

    def _open(self, last_event: str | None) -> BufferedAnswer | AnswerHead | Failure:
        """Send the request to the best upstream that accepts a connection, or relay it."""
        forwarder = self.forwarder
        relayed = self._relay_if_reached_elsewhere() if self._sent_count else None
        if relayed is not None:
            return relayed
        failure: Failure | None = None
        for _ in range(CONNECT_ATTEMPTS_MAX):
            if self.request.remaining_s < REMAINING_MIN_S:
                return Failure(Code.DEADLINE, Step.CONNECT, str(self.pool), "deadline too close")
            refusal = self._renew()
            if refusal is not None:
                return refusal
            choice = self._choose()
            if isinstance(choice, Failure):
                if failure is None or choice.code is Code.NO_ALLOWED_REGION:
                    return choice
                return self._relay_without_connection() or self._without_connection(failure)
            failure = self._connect(choice, last_event)
            if failure is None:
                return self._send()
            if forwarder.placement.trackers.paths.is_isolated:
                # Each further upstream may cost a connect timeout.
                relayed = self._relay_without_connection()
                if relayed is not None:
                    return relayed
        return self._relay_without_connection() or self._without_connection(failure)

    def _connect(self, choice: Choice, last_event: str | None) -> Failure | None:
        """Begin an attempt; return why the request can't be sent to the chosen upstream."""
        forwarder = self.forwarder
        self.attempt = Attempt(
            self.request, choice, forwarder.wire, last_event, forwarder.broadcast_notice
        )
        self._record_choice()
        failure = self.attempt.connect()
        outcome = "no connection"
        if failure is None:
            failure = self._check_unchanged() or forwarder.placement.check_available(
                self.request, choice.tracker
            )
            if failure is None:
                return None
            outcome = failure.detail
        if failure.code is not Code.OTHER_VERSION:
            self._excluded.add(choice.tracker.id)
        self._end_attempt(None, f"{choice.tracker.id} {outcome}")
        return failure

    def _check_unchanged(self) -> Failure | None:
        """Refuse an upstream that was chosen by an earlier configuration.

        The request may have another route or workspace now, or none.
        """
        version = self.forwarder.publications.version
        if self.request.asked is None or version == self.request.version:
            return None
        detail = f"since it was chosen, configuration {version} came into force"
        return Failure(
            Code.OTHER_VERSION, Step.CONNECT, str(self.pool), detail, retry_after_s=RETRY_SOON_S
        )

    def _relay_without_connection(self) -> BufferedAnswer | AnswerHead | Failure | None:
        """Relay a request that got no connection; None if no host accepts it."""
        return self._relay("no upstream accepted a connection")

    def _without_connection(self, failure: Failure) -> Failure:
        """Return a failure stating that nothing was sent, so that the caller may retry soon.

        An upstream failure would reach the caller as a 502, which doesn't say whether the request
        ran.
        """
        return msgspec.structs.replace(failure, code=Code.NO_UPSTREAM, retry_after_s=RETRY_SOON_S)

    def _choose(self) -> Choice | Failure:
        """Return the upstream for the next attempt."""
        self.forwarder.crash_watch.wait_for_outcome(
            self.request.fingerprint, self.request.part_keys
        )
        refusal = self._check_crashes()
        if refusal is not None:
            return refusal
        choice: Choice | Failure | None = None
        if not self.forwarder.room_waits.has_any(self.pool):
            choice = self._choose_now()
            if not self._may_get_room(choice):
                return choice
        return self._wait_for_room(choice)

    def _choose_now(self) -> Choice | Failure:
        may_refuse = self._sent_count == 0
        return self.forwarder.placement.choose(self.request, self.pool, self._excluded, may_refuse)

    def _wait_for_room(self, choice: Choice | Failure | None) -> Choice | Failure:
        """Choose again until there is room, after requests that have waited for longer.

        A request looks the less often the more have waited for longer: looking costs CPU time, and
        later ones might take what frees up. None is kept from room that others can't use.
        """
        waits = self.forwarder.room_waits
        wait_s = ROOM_WAIT_SHARE * self.request.route.target_latency_s
        until = clocks.now_s() + min(wait_s, self.request.remaining_s - REMAINING_MIN_S)
        waits.enter(self.pool, self)
        try:
            while choice is None or (self._may_get_room(choice) and clocks.now_s() < until):
                pause_s = ROOM_POLL_S * (1 + waits.count_before(self.pool, self))
                eventlet.sleep(max(0.0, min(pause_s, until - clocks.now_s())))
                choice = self._choose_now()
            return choice
        finally:
            waits.leave(self.pool, self)

    def _may_get_room(self, choice: Choice | Failure) -> bool:
        """Return whether brittle upstreams had no room, which may change with any answer."""
        if not isinstance(choice, Failure) or choice.code is not Code.NO_UPSTREAM:
            return False
        return self.forwarder.placement.trackers.brittle_pools.find(self.pool) is not None

    def _check_crashes(self) -> Failure | None:
        """Refuse a request that has crashed upstreams, or that holds a part which has."""
        crash_watch, request = self.forwarder.crash_watch, self.request
        return crash_watch.check_parts(
            request.part_keys, request.id, self.pool
        ) or crash_watch.check(request.fingerprint, self.pool)

    def _send(self) -> AnswerHead | Failure:
        refusal = (
            self._renew()
            or self.forwarder.check_key_age(self.request)
            or self._check_crashes()
            or self._charge()
        )
        if refusal is not None:
            self._end_attempt(None, f"not sent: {refusal.detail}")
            return refusal
        self._sent_count += 1
        self._charged_pool = None
        self._began_at, self._has_cleared_parts = None, False
        tracker = self.attempt.choice.tracker
        upstream = tracker.id
        self._excluded.add(upstream)
        placement = self.forwarder.placement
        placement.quotas.record_sent(tracker)
        if placement.region_chooser is not None:
            placement.region_chooser.record_sent(self.request, tracker)
        if self.forwarder.outcomes is not None:
            self.outcome = self.forwarder.outcomes.start(self.attempt)
        head = self.attempt.open()
        if self.outcome is not None:
            self.outcome.record_head(head)
        if isinstance(head, Failure):
            refused = head.ran is Ran.NOT_RUN
            if self.attempt.refusal is not None:
                self.forwarder.refusals.record(self.attempt.refusal)
                self.trace.refused_after_s = clocks.now_s() - self.attempt.sent_at
            self._end_attempt(None if refused else True, f"{upstream} {head.detail}")
        return head

    def _record_choice(self) -> None:
        choice = self.attempt.choice
        trace = self.trace
        trace.upstream = choice.tracker.id
        trace.version = choice.version
        trace.software_version = choice.tracker.entry.software_version
        trace.wait_s = choice.wait_s
        trace.covered_tokens = choice.covered_tokens
        trace.missing_tokens = choice.missing_tokens
        trace.candidates = choice.candidates
        trace.weighed = choice.weighed
        if choice.transfer is not None:
            trace.fetched_parts = sum(place is not None for place in choice.transfer.fetch_from)
            trace.saved_parts = sum(place is not None for place in choice.transfer.save_to)

    def _read_complete(self, head: AnswerHead) -> BufferedAnswer | Failure:
        body = self.attempt.exchange.read_all(ANSWER_BYTES_MAX)
        upstream = self.attempt.choice.tracker.id
        if not isinstance(body, Failure) and _ends_inside_event(head, body):
            body = self.attempt.break_off("ended inside an event")
        if isinstance(body, Failure):
            self._end_broken(body)
            return body
        self._record_data(body)
        failed = head.status >= 500
        is_complete = self._record_ordinary_end(head) is AnswerEnd.COMPLETE
        note = "" if is_complete else ", ended with its connection"
        self._end_attempt(failed, f"{upstream} status {head.status}{note}")
        if failed and self._may_repeat():
            again = self._retry_after_error()
            if again is not None:
                return again
        self._record_first()
        return BufferedAnswer(head.status, head.headers, body, head.framing)

    def _retry_after_error(self) -> BufferedAnswer | AnswerHead | None:
        """Retry a repeatable request after an error answer; None if no upstream did better."""
        failure = Failure(Code.UPSTREAM_FAILED, Step.READ, self.trace.upstream, "", Ran.RAN)
        if not self._may_retry(failure):
            return None
        result = self._attempt_once(self.request.head.last_event_id)
        return None if isinstance(result, Failure) else result

    def _await_first(self, head: AnswerHead) -> AnswerHead | Failure:
        """Read up to the first complete event; a stream that breaks before it can be retried."""
        self._first_events = b""
        if self.request.pin is not None and not self._has_same_upstream():
            return self._leave_replaced()
        events = self._read_first_events(head)
        if isinstance(events, Failure):
            self._end_broken(events)
            return events
        self._first_events = events
        if events:
            self._began_at = clocks.now_s()
        self._record_data(events)
        self.attempt.record_first_event()
        self._record_first()
        self._pin_to_attempt()
        return head

    def _read_first_events(self, head: AnswerHead) -> bytes | Failure:
        if content_type(head.headers) not in (None, EVENT_STREAM):
            if self.splitter.last_id is not None:
                return self.attempt.break_off("the resumed part is not a stream of events")
            self.splitter = ByteStream()
        else:
            if isinstance(self.splitter, ByteStream):
                self.splitter = EventSplitter()
            self.splitter.begin_answer()
        return self._read_events()

    def _has_same_upstream(self) -> bool:
        """Return whether the chosen process is still the newest that is known under its id."""
        entry = self.attempt.entry
        listed = self.forwarder.placement.upstreams.by_id.get(entry.id, entry)
        return (
            listed.instance == entry.instance and listed.software_version == entry.software_version
        )

    def _leave_replaced(self) -> Failure:
        """Leave an upstream that may have another software version than the stream's."""
        upstream = self.attempt.entry.id
        detail = "another process has taken its place since it was chosen"
        self._end_attempt(None, f"{upstream} {detail}")
        return Failure(Code.UPSTREAM_FAILED, Step.READ, upstream, detail, Ran.UNKNOWN)

    def _pin_to_attempt(self) -> None:
        """Pin a stream to the software version of the upstream that brought its first event.

        If another process may have sent it, its version is unknown and the stream can't go on.
        """
        request = self.request
        if not request.route.resumable:
            return
        if request.pin is None and self._has_same_upstream():
            request.pin = VersionPin(self.pool, self.attempt.entry.software_version)
        if request.pin is not None and not self._is_recorded and self.forwarder.origins is not None:
            self._is_recorded = True
            self.forwarder.origins.record_first_event(request)

    def _read_events(self) -> bytes | Failure:
        """Return the next complete events of the attempt's stream; empty at its end."""
        exchange = self.attempt.exchange
        while True:
            data = exchange.read_some()
            if isinstance(data, Failure):
                return data
            cut_short = None if data else self._find_early_end()
            if cut_short is not None:
                return self.attempt.break_off(cut_short)
            events = self.splitter.feed(data) if data else self.splitter.flush()
            buffered = self.splitter.buffered_bytes
            has_room = exchange.has_room_for(buffered)
            if events or not data:
                return events
            if self.splitter.has_endless_event:
                return self.attempt.refuse_rest(f"an event of more than {EVENT_BYTES_MAX} bytes")
            if not has_room:
                return self.attempt.refuse_rest(f"{buffered} bytes of an event, beside others")

    def _find_early_end(self) -> str | None:
        """Return what shows that the attempt's stream has ended too early; None if nothing does."""
        if self.splitter.is_inside_event:
            return f"ended inside an event after {self._last_event()}"
        # A part that goes on after an event may have nothing left to send.
        is_resumed = self.attempt.last_event is not None
        is_unframed = self.attempt.exchange.head.framing is Framing.CONNECTION
        if is_unframed and not self.splitter.has_event and not is_resumed:
            return "the connection ended before the first event"
        return None

    def _last_event(self) -> str:
        last_id = self.splitter.last_id
        return "no event" if last_id is None else f"event {last_id[:LOGGED_ID_CHARS]}"

    def _record_first(self) -> None:
        if self.trace.first_s is None:
            self.trace.first_s = clocks.now_s() - self.request.started_at

    def events(self) -> Iterator[bytes | Failure]:
        """Yield complete events as they arrive; a failure, if any, comes last."""
        if self.relaying is not None:
            yield from self._relayed_events()
            return
        framing = self.attempt.exchange.head.framing
        events = self._first_events
        while True:
            yield events
            events = self._read_events()
            failure = events if isinstance(events, Failure) else None
            if failure is not None:
                self._end_broken(failure)
            elif events:
                self._record_data(events)
                self._record_progress()
            else:
                failure = self._end_stream(framing)
                if failure is None:
                    return
            if failure is not None:
                failure = self._resume(failure)
                if failure is not None:
                    yield failure
                    return
                events = self._first_events

    def _end_stream(self, framing: Framing) -> Failure | None:
        """End a stream that ended between events; `framing` is that of the caller's answer.

        The caller isn't told that it is complete if its last part ended with its connection: more
        may follow at another upstream.
        """
        outcome = "whole"
        is_complete = self._record_ordinary_end(self.attempt.exchange.head) is AnswerEnd.COMPLETE
        if not is_complete:
            outcome = f"ended with its connection after {self._last_event()}"
        self._end_attempt(False, outcome)
        if is_complete or framing is Framing.CONNECTION:
            return None
        detail = f"the resumed part {outcome}"
        return Failure(Code.UPSTREAM_FAILED, Step.READ, self.trace.upstream, detail, Ran.RAN)

    def _relayed_events(self) -> Iterator[bytes | Failure]:
        for events in self.relaying.events():
            if not isinstance(events, Failure):
                self._record_first()
            yield events

    def _resume(self, failure: Failure) -> Failure | None:
        """Resume after the last complete event at another upstream, if the route allows it."""
        if not self.request.route.resumable or self.splitter.last_id is None:
            return failure
        if self.request.pin is None:
            logger.info("Stream of %s not resumed: its version is unknown.", self.request.id)
            return failure
        while self._may_retry(failure):
            result = self._attempt_once(self.splitter.last_id)
            if isinstance(result, AnswerHead):
                logger.info(
                    "Stream of %s resumed after event %s.",
                    self.request.id,
                    self.splitter.last_id,
                    extra={"software_version": self._pinned_version()},
                )
                return None
            if isinstance(result, BufferedAnswer):
                return failure
            failure = result
        return failure

    def _pinned_version(self) -> SoftwareVersion | None:
        pin = self.request.pin
        return None if pin is None or pin.version is msgspec.UNSET else pin.version

    def _may_repeat(self) -> bool:
        return self.request.route.is_repeatable

    def _may_retry(self, failure: Failure) -> bool:
        """Return whether the request may be retried at another upstream after this failure."""
        if failure.code in FINAL_CODES:
            return False
        if failure.ran is not Ran.NOT_RUN and not self._may_repeat():
            return False
        if self._sent_count == 0 or self._sent_count >= self.request.upstreams_max:
            return False
        if self._has_relayed:
            # The other host was given all attempts that were left.
            return False
        if self.request.remaining_s < REMAINING_MIN_S:
            return False
        if self.forwarder.retry_budgets.has_retry(self.pool):
            return True
        self._record_retry("denied")
        return False

    def _charge(self) -> Failure | None:
        """Charge the retry budget, unless nothing was sent yet; return why it may not be sent.

        It is charged at the send: a configuration may have moved the request to another pool since
        it was decided to retry it.
        """
        budgets = self.forwarder.retry_budgets
        if self._sent_count == 0:
            if self.request.is_first_send:
                budgets.record_request(self.pool)
            return None
        if self._charged_pool == self.pool:
            return None
        is_allowed = budgets.try_spend(self.pool)
        self._record_retry("sent" if is_allowed else "denied")
        if is_allowed:
            self._charged_pool = self.pool
            return None
        return Failure(
            Code.NO_UPSTREAM,
            Step.SEND,
            str(self.pool),
            "the retry budget is used up",
            retry_after_s=RETRY_SOON_S,
        )

    def _record_retry(self, outcome: str) -> None:
        budgets = self.forwarder.retry_budgets
        left = budgets.balance(self.pool)
        divided = "undivided" if budgets.hosts is None else f"of {budgets.hosts} hosts"
        self.trace.retries.append(f"{outcome} at {self.pool}, {left:.1f} left, {divided}")

    def _record_data(self, data: bytes | Failure) -> None:
        """Record what arrived for the outcome by software version."""
        if self.outcome is None:
            return
        if isinstance(data, Failure):
            self.outcome.record_failure(data)
        else:
            self.outcome.record_data()

    def _record_progress(self) -> None:
        """Record that the upstream has gone on with an answer for some time."""
        if self._has_cleared_parts or self._began_at is None:
            return
        if clocks.now_s() - self._began_at >= PROGRESS_S:
            self._clear_parts()

    def _clear_parts(self) -> None:
        self._has_cleared_parts = True
        began_at = self.attempt.sent_at if self._began_at is None else self._began_at
        self.forwarder.crash_watch.record_answer(self.request.part_keys, began_at)

    def _record_ordinary_end(self, head: AnswerHead) -> AnswerEnd:
        """Record that an answer came to its end; a complete success clears its request."""
        end = ordinary_end(head.framing)
        self.forwarder.ends.record(end)
        crash_watch, fingerprint = self.forwarder.crash_watch, self.request.fingerprint
        if head.status < 300 and end is AnswerEnd.COMPLETE:
            crash_watch.record_complete(fingerprint)
            self._clear_parts()
        elif head.status < 300 and end is AnswerEnd.CONNECTION_CLOSED:
            crash_watch.record_closed(self.attempt.choice.tracker, self._broken_run())
        return end

    def _end_broken(self, failure: Failure) -> None:
        """End an attempt whose answer broke off."""
        is_cut_short = self.attempt.is_cut_short
        self.forwarder.ends.record(AnswerEnd.CUT_SHORT if is_cut_short else AnswerEnd.BROKEN_OFF)
        self._record_data(failure)
        self._end_attempt(True, f"{self.attempt.choice.tracker.id} {failure.detail}")

    def _finish_outcome(self, is_cut: bool) -> None:
        if self.outcome is not None:
            self.outcome.finish(is_cut)
            self.outcome = None

    def _end_attempt(self, failed: bool | None, outcome: str) -> None:
        self.trace.attempts.append(outcome)
        if self.attempt.is_broken:
            self.forwarder.crash_watch.record_broken(
                self.attempt.choice.tracker, self._broken_run()
            )
        self._finish_outcome(is_cut=False)
        self.attempt.finish(failed)

    def _broken_run(self) -> BrokenRun:
        request = self.request
        has_begun = self.attempt.exchange.head is not None
        # What crashes upstreams as they begin to answer would have done so.
        parts = () if self._has_cleared_parts else request.part_keys
        return BrokenRun(request.fingerprint, parts, has_begun, self._began_at)

    def finish(self) -> None:
        """End the request at any stage; an incomplete answer's connection is closed."""
        if self.relaying is not None:
            self.relaying.finish()
        if self.attempt is not None:
            self._finish_outcome(is_cut=True)
            self.attempt.finish(True if self._was_unresponsive() else None)

    def _was_unresponsive(self) -> bool:
        """Return whether the upstream sent nothing for far longer than expected."""
        sent_at = self.attempt.sent_at
        if sent_at is None or self.trace.first_s is not None:
            return False
        waited_s = clocks.now_s() - sent_at
        # By the target alone, a large prompt would count against any upstream that reads it.
        expected_s = max(self.request.route.target_latency_s, self.attempt.choice.first_s)
        return waited_s > UNRESPONSIVE_FACTOR * expected_s


def _ends_inside_event(head: AnswerHead, body: bytes) -> bool:
    """Return whether a buffered answer is a stream that was broken off."""
    if content_type(head.headers) != EVENT_STREAM:
        return False
    splitter = EventSplitter()
    splitter.feed(body)
    return splitter.is_inside_event


def _may_have_run(result: BufferedAnswer | AnswerHead | Failure) -> bool:
    return isinstance(result, Failure) and result.ran is not Ran.NOT_RUN
