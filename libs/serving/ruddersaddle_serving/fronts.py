"""The caller-facing WSGI application: authenticates and routes requests, and writes answers."""

import logging
from collections.abc import Callable, Iterable, Iterator
from http.client import responses
from typing import Any

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.histograms import Histograms, Measure

from ruddersaddle_serving.authorizations import RequestTarget, authorize
from ruddersaddle_serving.caller_bodies import read_body
from ruddersaddle_serving.caller_protocols import CallerProtocol
from ruddersaddle_serving.caller_watches import CallerLeftError, CallerWatch
from ruddersaddle_serving.deferred_timeouts import DeferredTimeout
from ruddersaddle_serving.forwarders import BufferedAnswer, Forwarder, Forwarding
from ruddersaddle_serving.ports import AnswerHead, Wire
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, RelayTerms
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.relays import (
    FRAMING_HEADER,
    NOT_RUN_STATUS,
    REFUSAL_HEADER,
    read_terms,
    refusal_of,
    without_answer_headers,
    without_terms,
)
from ruddersaddle_serving.request_ends import (
    InterruptedRequest,
    count_outcome,
    kind_of_outcome,
    zero_counts,
)
from ruddersaddle_serving.request_sizes import SizeBand, SizeCounts
from ruddersaddle_serving.routes import CallerLimits, Route, RouteTable
from ruddersaddle_serving.socket_liveness import bounded_writes

logger = logging.getLogger(__name__)

StartResponse = Callable[[str, list[tuple[str, str]]], Any]

STATUS_BY_CODE = {
    Code.BAD_REQUEST: 400,
    Code.UNAUTHORIZED: 401,
    Code.NOT_FOUND: 404,
    Code.TOO_LARGE: 413,
    Code.DEADLINE: 504,
    Code.UPSTREAM_FAILED: 502,
    Code.INTERNAL: 502,
}
"""Status by failure code; all other codes get `NOT_RUN_STATUS`, if the request has not run."""
UNKNOWN_STATUS = 502
"""Says nothing on whether the request has run."""
LASTING_CODES = frozenset({Code.FITS_NO_ENGINE, Code.UNKNOWN_STREAM, Code.STREAM_VERSION_GONE})
"""Refusals that a retry would get as well; the detail says what a caller may do instead."""
NOT_READY_RETRY_S = 0.5
"""Retry delay while a host has no configuration yet; it polls for one every 0.3 to 0.6 s."""
STARTUP_POLL_S = 0.01
"""Interval at which a waiting request checks whether the host has finished starting."""
LOGGED_PARTS_MAX = 8
"""Shared parts of a prompt that its line names, the first ones."""
LONG_ANSWER_BYTES = 16384
"""Longer answers may block until the caller reads."""
WRITTEN_BYTES = 65536
"""Bytes of a long answer that are written at once."""
ROOM_WAIT_SHARE = 2 / 3
"""Longest wait of a large body for its room, as a share of the request's time: the rest is for the
caller's next attempt."""
PUBLIC = "public"
ANSWERED = "answered"
"""Outcome of a request whose answer was written completely."""
NOT_TAKEN = "not taken"
"""Outcome of a request whose answer could not be written as the connection had failed."""


class RouteTimeout(DeferredTimeout):
    """Raised into a request whose deadline, or whose route's timeout, has passed."""


class Front:
    """The WSGI application for callers; one instance serves all connections of a host."""

    def __init__(
        self,
        wire: Wire,
        publications: Publications,
        forwarder: Forwarder,
        histograms: Histograms,
    ) -> None:
        self.wire = wire
        self.publications = publications
        self.forwarder = forwarder
        self.histograms = histograms
        self.draining = False
        """Whether answers ask callers to close their connections, as the host is stopping."""
        self.exchanges: set[_CallerExchange] = set()
        """Active requests."""
        self.counts: dict[str, int] = {}
        self.head_faults: dict[str, int] = {}
        """Numbers of requests whose heads were refused, by reason."""
        self.outcome_counts = zero_counts()
        """Numbers of ended requests by kind of outcome."""
        self.sizes = SizeCounts()

    @property
    def active(self) -> int:
        """Number of active requests."""
        return len(self.exchanges)

    @property
    def limits(self) -> CallerLimits:
        """The limits on callers that are in effect."""
        table = self.publications.table
        return CallerLimits() if table is None else table.published.limits

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        return _CallerExchange(self, environ, start).run()

    def count(self, name: str) -> None:
        """Count an event by name."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def active_requests(self) -> list[InterruptedRequest]:
        """Return the requests that would be interrupted if this process ended."""
        return [exchange.describe() for exchange in self.exchanges]


class _CallerExchange:
    """One caller's request, from its head to the end of its answer."""

    def __init__(self, front: Front, environ: dict[str, Any], start: StartResponse) -> None:
        self.front = front
        self.environ = environ
        self.start = start
        self.began: float = environ["caller.began"]
        self.head: CallerHead | None = None
        self.terms: RelayTerms | None = None
        """Set if another host relayed the request."""
        self.failure: Failure | None = None
        self.request: CallerRequest | None = None
        self.forwarding: Forwarding | None = None
        self.size_band: SizeBand | None = None
        self.watch: CallerWatch | None = None
        self.timer: RouteTimeout | None = None
        self.status = 0

    def run(self) -> Iterable[bytes]:
        """Return the answer; a stream continues after this has returned."""
        self.front.exchanges.add(self)
        try:
            request = self._read_request()
            if isinstance(request, Failure):
                return self._end_after(self._refuse(request))
            self.request = request
            prompt = request.head.prompt
            if prompt is not None:
                self.size_band = self.front.sizes.record(request.route.name, prompt.tokens)
            return self._forward(request)
        except CallerLeftError:
            return self._end_after(self._refuse(self._caller_left()), "caller left")
        except RouteTimeout as timeout:
            if timeout is not self.timer:
                raise
            return self._end_after(self._refuse(self._deadline_passed()))
        except Exception:
            self._log_fault()
            self._end("failed")
            raise
        except BaseException:
            self._end("ended with its task")
            raise

    def _end_after(self, body: list[bytes], outcome: str = ANSWERED) -> "_CompleteBody":
        """Return a buffered answer; the request ends once it is written."""
        self._release()
        return _CompleteBody(body, outcome, self._finish, self._protocol)

    # Reading the request

    def _read_request(self) -> CallerRequest | Failure:
        headers = self.environ["headers_raw"]
        if self.environ.get("caller.is_relayed", False):
            terms = read_terms(headers)
            headers = without_terms(headers)
            if isinstance(terms, Failure):
                return terms
            self.terms = terms
        head = self.front.wire.read_caller(headers)
        if isinstance(head, Failure):
            return head
        self.head = head
        self._await_startup()
        table = self.front.publications.table
        if table is None:
            detail = "the host has no configuration yet"
            return Failure(
                Code.NOT_READY, Step.ADMIT, "store", detail, retry_after_s=NOT_READY_RETRY_S
            )
        refusal = self._check_terms()
        if refusal is not None:
            return refusal
        target = self.environ["caller.target"]
        asked = RequestTarget(self.environ.get("HTTP_HOST", ""), target.partition("?")[0])
        allowed = authorize(table, asked, head.key)
        if isinstance(allowed, Failure):
            return allowed
        body = self._read_body(table, allowed.route)
        if isinstance(body, Failure):
            return body
        request = CallerRequest(
            head,
            self.environ["REQUEST_METHOD"],
            target,
            body,
            allowed.route,
            allowed.workspace,
            self.began,
            headers,
            self.terms,
        )
        request.asked, request.version = asked, allowed.version
        return request

    def _check_terms(self) -> Failure | None:
        """Refuse a relayed request if another host should serve it."""
        if self.terms is None:
            return None
        if self.front.draining:
            return Failure(Code.STOPPING, Step.PEER, self.terms.sender, "the host is stopping")
        version = self.front.publications.version
        if version >= self.terms.version:
            return None
        detail = f"configuration {version} is older than {self.terms.version}"
        return Failure(Code.OTHER_VERSION, Step.PEER, self.terms.sender, detail)

    def _await_startup(self) -> None:
        """Wait while this host is still starting, for some hundred milliseconds at most.

        If all hosts start at once, callers reach hosts that are not ready; refusing them would
        delay them for longer than the start takes.
        """
        while self.front.publications.is_settling:
            eventlet.sleep(STARTUP_POLL_S)

    def _read_body(self, table: RouteTable, route: Route) -> bytes | Failure:
        wait_s = ROOM_WAIT_SHARE * self.head.time_budget_s(route.timeout_s)
        with DeferredTimeout(route.timeout_s, False):
            return read_body(self.environ, table.published.limits.body_bytes, wait_s)
        return Failure(Code.DEADLINE, Step.PARSE, "caller", "the body did not arrive in time")

    # Forwarding

    def _forward(self, request: CallerRequest) -> Iterable[bytes]:
        self.timer = RouteTimeout(max(0.001, request.remaining_s))
        self.watch = CallerWatch(self.environ["caller.connection"])
        if self.watch.has_left():
            raise CallerLeftError
        self.forwarding = self.front.forwarder.start(request)
        result = self.forwarding.begin()
        if isinstance(result, Failure):
            return self._end_after(self._refuse(result))
        if isinstance(result, BufferedAnswer):
            return self._end_after(self._answer(result))
        return self._stream(result)

    def _answer(self, answer: BufferedAnswer) -> list[bytes]:
        headers = self._headers_of(answer)
        if answer.framing is Framing.CONNECTION and self.terms is None:
            self._protocol.begin_unframed_answer()
        else:
            headers.append(_length_header(answer.body))
        self._start(answer.status, headers)
        return [answer.body]

    def _stream(self, head: AnswerHead) -> Iterator[bytes]:
        is_unframed = head.framing is Framing.CONNECTION and self.terms is None
        if is_unframed or not self._protocol.can_use_chunks:
            self._protocol.begin_unframed_answer()
        self._start(head.status, self._headers_of(head))
        return self._events()

    @property
    def _protocol(self) -> CallerProtocol:
        return self.environ["caller.protocol"]

    def _headers_of(self, answer: AnswerHead | BufferedAnswer) -> list[tuple[str, str]]:
        """Return the headers of an upstream's answer as this host sends them.

        Another host is told of an answer that ended with its connection: the answer to that host
        is framed, so that it notices if this host fails.
        """
        headers = list(without_answer_headers(answer.headers))
        if self.terms is not None and answer.framing is Framing.CONNECTION:
            headers.append((FRAMING_HEADER, answer.framing.value))
        return headers

    def _events(self) -> Iterator[bytes]:
        outcome = "ended with its task"
        try:
            for data in self.forwarding.events():
                if isinstance(data, Failure):
                    outcome = f"stream broke: {data.detail}"
                    # Raising closes the connection without the last chunk, or resets it, so that
                    # the caller can't take a partial answer for a complete one.
                    raise StreamBrokenError(data.detail)
                yield data
            self._protocol.end_unframed_answer()
            outcome = ANSWERED
        except CallerLeftError:
            outcome = "caller left"
            raise
        except RouteTimeout:
            outcome = "time is over"
            raise
        except GeneratorExit:
            outcome = self._outcome_of_close()
            raise
        except StreamBrokenError:
            raise
        except Exception:
            outcome = "failed"
            self._log_fault()
            raise
        finally:
            self._end(outcome)

    def _outcome_of_close(self) -> str:
        """Return the outcome of a stream that the server closed as writing to the caller failed."""
        if self.request.remaining_s <= 0:
            return "time is over"
        return "caller left" if self.watch.has_left() else NOT_TAKEN

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status
        # A caller that was not sent "100 Continue" may still send its body, which would be taken
        # for the next request.
        body = self.environ["eventlet.input"]
        if self.front.draining or body.should_send_hundred_continue:
            self._protocol.close_connection = 1
        if body.will_be_left:
            self._protocol.leave_rest()
        self.start(f"{status} {responses.get(status, 'Unknown')}", headers)

    def _deadline_passed(self) -> Failure:
        detail = "the request's deadline has passed"
        return Failure(Code.DEADLINE, Step.READ, "upstream", detail, Ran.UNKNOWN)

    def _caller_left(self) -> Failure:
        """Return the failure for a caller that has closed its connection.

        It may have closed only its sending side and still read the answer. Unlike the library's
        500, this one says whether the request may have run; before forwarding it has not.
        """
        self._protocol.close_connection = 1
        detail = "the caller has closed its side of the connection"
        if self.forwarding is None:
            return Failure(Code.PEER_GONE, Step.ADMIT, "caller", detail)
        return Failure(Code.UPSTREAM_FAILED, Step.READ, "caller", detail, Ran.UNKNOWN)

    def _refuse(self, failure: Failure) -> list[bytes]:
        status = _status_of(failure)
        body = msgspec.json.encode({"error": failure.code.value, "detail": failure.detail})
        headers = [("Content-Type", "application/json"), _length_header(body)]
        request = None if self.head is None else self.head.id
        may_retry = status == NOT_RUN_STATUS and not _is_lasting(failure)
        retry_after_s = failure.retry_after_s if may_retry else None
        headers += self.front.wire.write_refusal(request, retry_after_s)
        relay_refusal = refusal_of(failure) if self._may_be_relayed_again() else None
        if relay_refusal is not None:
            headers.append((REFUSAL_HEADER, relay_refusal.value))
        if failure.code is Code.TOO_LARGE or failure.step is Step.PARSE:
            # The unread rest of the body would be taken for the next request.
            self._protocol.leave_rest()
        self.failure = failure
        self._start(status, headers)
        # A body after the head of an answer to HEAD would be taken for the next answer.
        return [] if self.environ["REQUEST_METHOD"] == "HEAD" else [body]

    def _may_be_relayed_again(self) -> bool:
        """Return whether a relayed request may go to another host: it was sent nowhere from here.

        That host would count neither its attempts nor its retries.
        """
        was_sent = self.forwarding is not None and self.forwarding.was_sent
        return self.terms is not None and not was_sent

    # Ending the request

    def _end(self, outcome: str) -> None:
        """Release the request's resources and log its end."""
        self._release()
        self._finish(outcome)

    def _release(self) -> None:
        """Release the request's resources; it stays among the active requests."""
        if self.timer is not None:
            self.timer.cancel()
        if self.watch is not None:
            self.watch.stop()
        if self.forwarding is not None:
            self.forwarding.finish()

    def describe(self) -> InterruptedRequest:
        """Return what operators need to know about a request that is interrupted."""
        request = None if self.head is None else self.head.id
        route = None if self.request is None else self.request.route.name
        upstream = None if self.forwarding is None else self.forwarding.trace.upstream
        return InterruptedRequest(request, route, upstream, clocks.now_s() - self.began)

    def _log_fault(self) -> None:
        details = self.describe()
        fields = {"request": details.request, "route": details.route, "upstream": details.upstream}
        logger.exception("Request failed with an unhandled exception.", extra=fields)

    def _finish(self, outcome: str) -> None:
        self.front.exchanges.discard(self)
        self._log_end(outcome)

    def _log_end(self, outcome: str) -> None:
        front = self.front
        front.count(f"answers_{self.status or 'none'}")
        count_outcome(front.outcome_counts, outcome)
        if self.size_band is not None:
            front.sizes.count_end(
                self.request.route.name, self.size_band, self._size_outcome(outcome)
            )
        total_s = clocks.now_s() - self.began
        fields: dict[str, Any] = {
            "status": self.status,
            "outcome": outcome,
            "total_ms": round(total_s * 1000),
            "configuration": front.publications.version,
            "configuration_age_ms": _milliseconds(front.publications.age_s),
        }
        fields["request"] = None if self.head is None else self.head.id
        failure = self.failure
        if failure is not None:
            fields["reason"] = f"{failure.step.value} at {failure.peer}: {failure.detail}"
        if self.terms is not None:
            fields["relayed_from"] = self.terms.sender
        if self.request is not None:
            self._add_request_fields(fields)
        logger.info("Request ended.", extra=fields)

    def _size_outcome(self, outcome: str) -> str:
        """Return the result from the caller's view: served, or why it was refused or failed."""
        if self.failure is not None:
            return self.failure.code.value
        return "served" if outcome == ANSWERED and self.status < 300 else kind_of_outcome(outcome)

    def _add_request_fields(self, fields: dict[str, Any]) -> None:
        request = self.request
        workspace = PUBLIC if request.workspace is None else request.workspace.id
        fields["route"] = request.route.name
        fields["workspace"] = workspace
        fields["fingerprint"] = request.fingerprint
        if self.forwarding is None:
            return
        trace = self.forwarding.trace
        fields["upstream"] = trace.upstream
        fields["weights"] = trace.version
        if trace.take_up is not None:
            fields.update(trace.take_up.fields(request.head))
        if trace.software_version is not msgspec.UNSET and (
            request.route.resumable or self.front.forwarder.outcomes is not None
        ):
            fields["software_version"] = trace.software_version
        fields["wait_ms"] = round(trace.wait_s * 1000)
        fields["covered_tokens"] = trace.covered_tokens
        fields["missing_tokens"] = trace.missing_tokens
        if request.head.prompt is not None:
            fields["prompt_tokens"] = request.head.prompt.tokens_in
            fields["size"] = self.size_band.value
            fields["affinity"] = request.head.prompt.affinity_key
            fields["parts"] = [
                each.id for each in request.head.prompt.shared_parts[:LOGGED_PARTS_MAX]
            ]
        fields["candidates"] = trace.candidates
        fields["weighed"] = trace.weighed
        fields["fetched_parts"] = trace.fetched_parts
        fields["saved_parts"] = trace.saved_parts
        fields["tries"] = trace.attempts
        if trace.retries:
            fields["retries"] = trace.retries
        if trace.refused_after_s is not None:
            fields["refused_after_ms"] = round(trace.refused_after_s * 1000, 1)
        if trace.relay_reason is not None:
            fields["relayed_to"] = trace.relayed_to
            fields["relay_reason"] = trace.relay_reason
        entries_s = clocks.now_s() - self.front.forwarder.placement.upstreams.confirmed_at
        fields["entries_age_ms"] = _milliseconds(entries_s)
        if trace.first_s is not None:
            fields["first_ms"] = round(trace.first_s * 1000)
            self._record(Measure.FIRST_TOKEN, trace.first_s)
        if self.status == 200:
            self._record(Measure.TOTAL, clocks.now_s() - self.began)

    def _record(self, measure: Measure, elapsed_s: float) -> None:
        request = self.request
        workspace = PUBLIC if request.workspace is None else request.workspace.id
        self.front.histograms.record(measure, workspace, request.route.name, elapsed_s * 1000)


class _CompleteBody:
    """A buffered answer; the server closes it once it was written.

    The request ends only then, so that a planned stop waits for it: otherwise the process could
    exit before the caller has read all of the answer.
    """

    def __init__(
        self,
        parts: list[bytes],
        outcome: str,
        finish: Callable[[str], None],
        protocol: CallerProtocol,
    ) -> None:
        self.parts = parts
        self.outcome = outcome
        self.finish = finish
        self.protocol = protocol
        self.written = False
        """Whether the server has come back after the last part, so that writing it did not fail."""

    def __iter__(self) -> Iterator[bytes]:
        size = sum(map(len, self.parts))
        if size > LONG_ANSWER_BYTES:
            self.protocol.holding.begin_writing(size)
            with bounded_writes(self.protocol.connection):
                yield from self._pieces()
        else:
            yield from self.parts
        self.protocol.end_unframed_answer()
        self.written = True

    def _pieces(self) -> Iterator[memoryview]:
        """Yield the answer in pieces, so that a caller who takes nothing is noticed."""
        for part in map(memoryview, self.parts):
            for start in range(0, len(part), WRITTEN_BYTES):
                piece = part[start : start + WRITTEN_BYTES]
                yield piece
                self.protocol.holding.record_progress(len(piece))

    def close(self) -> None:
        """End the request."""
        was_lost = self.outcome == ANSWERED and not self.written
        self.finish(NOT_TAKEN if was_lost else self.outcome)


class StreamBrokenError(Exception):
    """Raised to close a caller's connection if its stream can't be completed."""


def _length_header(body: bytes) -> tuple[str, str]:
    return "Content-Length", str(len(body))


def _status_of(failure: Failure) -> int:
    """Return the status for a failure; only one that states "not run" gets `NOT_RUN_STATUS`."""
    status = STATUS_BY_CODE.get(failure.code, NOT_RUN_STATUS)
    is_promise = status == NOT_RUN_STATUS
    return UNKNOWN_STATUS if is_promise and failure.ran is not Ran.NOT_RUN else status


def _is_lasting(failure: Failure) -> bool:
    """Return whether a retry would be refused as well, so that no Retry-After is sent."""
    if failure.code is Code.NO_ALLOWED_REGION:
        return failure.retry_after_s <= 0
    return failure.code in LASTING_CODES


def _milliseconds(seconds: float) -> int | None:
    return round(seconds * 1000) if seconds < 1e6 else None
