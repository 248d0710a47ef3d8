"""The callers' side of a host: takes requests, finds route and workspace, answers."""

import logging
from collections.abc import Callable, Iterable, Iterator
from http.client import responses
from typing import Any

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.histograms import Histograms, Measure

from ruddersaddle_serving.caller_bodies import read_body
from ruddersaddle_serving.caller_watches import CallerLeftError, CallerWatch
from ruddersaddle_serving.forwarders import Forwarder, Forwarding, Whole
from ruddersaddle_serving.patient_timeouts import PatientTimeout
from ruddersaddle_serving.ports import AnswerHead, Wire
from ruddersaddle_serving.prompts import CallerHead, CallerRequest
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.request_ends import CutRequest, count_end, count_none, kind_of_end
from ruddersaddle_serving.request_sizes import SizeBand, SizeCounts
from ruddersaddle_serving.routes import CallerLimits, Route, RouteTable, Workspace

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
"""Statuses of failures; all others get `NOT_RUN_STATUS`."""
NOT_RUN_STATUS = 503
"""Promises that the request has not run and never will."""
UNKNOWN_YET_S = 0.5
"""When to come back to a host that knows no configuration yet; it reads it every 0.3 to 0.6 s."""
START_LOOK_S = 0.01
"""Pause of a request between looks whether a start has ended."""
PUBLIC = "public"
ANSWERED = "answered"
"""Outcome of a request whose whole answer was written."""
NOT_TAKEN = "not taken"
"""Outcome of a request whose answer could not be written: the connection had failed."""


class RouteTimeout(PatientTimeout):
    """Raised into a request whose time, or whose route's time, is over."""


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
        self.closing = False
        """Whether answers tell callers to open no further request on their connection."""
        self.visits: set[_Visit] = set()
        """Requests under way."""
        self.counts: dict[str, int] = {}
        self.ends = count_none()
        """Requests that have ended, by kind of end."""
        self.sizes = SizeCounts()

    @property
    def active(self) -> int:
        """Number of requests under way."""
        return len(self.visits)

    @property
    def limits(self) -> CallerLimits:
        """The limits on callers that are in force."""
        table = self.publications.table
        return CallerLimits() if table is None else table.published.limits

    def __call__(self, environ: dict[str, Any], start: StartResponse) -> Iterable[bytes]:
        """Serve one request."""
        return _Visit(self, environ, start).run()

    def count(self, name: str) -> None:
        """Count an event by name."""
        self.counts[name] = self.counts.get(name, 0) + 1

    def under_way(self) -> list[CutRequest]:
        """Return the requests that the end of this process would cut."""
        return [visit.describe() for visit in self.visits]


class _Visit:
    """One request of a caller, from its head to the end of its answer."""

    def __init__(self, front: Front, environ: dict[str, Any], start: StartResponse) -> None:
        self.front = front
        self.environ = environ
        self.start = start
        self.began: float = environ["caller.began"]
        self.head: CallerHead | None = None
        self.failure: Failure | None = None
        self.request: CallerRequest | None = None
        self.forwarding: Forwarding | None = None
        self.size_band: SizeBand | None = None
        self.watch: CallerWatch | None = None
        self.timer: RouteTimeout | None = None
        self.status = 0

    def run(self) -> Iterable[bytes]:
        """Return the answer; a stream goes on after this has returned."""
        self.front.visits.add(self)
        try:
            request = self._read_request()
            if isinstance(request, Failure):
                return self._end_with(self._refuse(request))
            self.request = request
            prompt = request.head.prompt
            if prompt is not None:
                self.size_band = self.front.sizes.record(request.route.name, prompt.tokens)
            return self._forward(request)
        except CallerLeftError:
            return self._end_with(self._refuse(self._caller_left()), "caller left")
        except RouteTimeout as timeout:
            if timeout is not self.timer:
                raise
            return self._end_with(self._refuse(self._time_over()))
        except Exception:
            self._note_fault()
            self._end("failed")
            raise
        except BaseException:
            self._end("ended with its task")
            raise

    def _end_with(self, body: list[bytes], word: str = ANSWERED) -> "_WholeBody":
        """Return an answer that is here whole; the request ends once it was written."""
        self._release()
        return _WholeBody(body, word, self._note_end)

    # What the request is

    def _read_request(self) -> CallerRequest | Failure:
        head = self.front.wire.read_caller(self.environ["headers_raw"])
        if isinstance(head, Failure):
            return head
        self.head = head
        self._await_start()
        table = self.front.publications.table
        if table is None:
            detail = "no configuration is known yet"
            return Failure(Code.NOT_READY, Step.ADMIT, "store", detail, retry_after_s=UNKNOWN_YET_S)
        target = self.environ["caller.target"]
        route = table.find(self.environ.get("HTTP_HOST", ""), target.partition("?")[0])
        if route is None:
            return Failure(Code.NOT_FOUND, Step.ADMIT, "routes", "no route")
        workspace = self._find_workspace(table, route, head)
        if isinstance(workspace, Failure):
            return workspace
        body = self._read_body(table, route)
        if isinstance(body, Failure):
            return body
        method = self.environ["REQUEST_METHOD"]
        return CallerRequest(head, method, target, body, route, workspace, self.began)

    def _await_start(self) -> None:
        """Wait while this host has just started, for some hundred milliseconds at most.

        Where all hosts start at once callers come to hosts that are not ready; a refusal sent them
        away for longer than the start took.
        """
        while self.front.publications.is_settling:
            eventlet.sleep(START_LOOK_S)

    def _find_workspace(
        self, table: RouteTable, route: Route, head: CallerHead
    ) -> Workspace | None | Failure:
        if route.public or not table.published.checks_keys:
            return None
        found = table.published.workspace_by_key.get(head.key or "")
        if found is None:
            return Failure(Code.UNAUTHORIZED, Step.AUTHENTICATE, "keys", "the key is not known")
        return found

    def _read_body(self, table: RouteTable, route: Route) -> bytes | Failure:
        with PatientTimeout(route.timeout_s, False):
            return read_body(self.environ, table.published.limits.body_bytes)
        return Failure(Code.DEADLINE, Step.PARSE, "caller", "the body did not come in time")

    # Carrying it

    def _forward(self, request: CallerRequest) -> Iterable[bytes]:
        self.timer = RouteTimeout(max(0.001, request.remaining_s))
        self.watch = CallerWatch(self.environ["caller.connection"])
        if self.watch.has_left():
            raise CallerLeftError
        self.forwarding = self.front.forwarder.start(request)
        result = self.forwarding.begin()
        if isinstance(result, Failure):
            return self._end_with(self._refuse(result))
        if isinstance(result, Whole):
            return self._end_with(self._answer(result))
        return self._stream(result)

    def _answer(self, whole: Whole) -> list[bytes]:
        headers = [*whole.headers, ("Content-Length", str(len(whole.body)))]
        self._start(whole.status, headers)
        return [whole.body]

    def _stream(self, head: AnswerHead) -> Iterator[bytes]:
        self._start(head.status, list(head.headers))
        return self._events()

    def _events(self) -> Iterator[bytes]:
        word = "ended with its task"
        try:
            for data in self.forwarding.events():
                if isinstance(data, Failure):
                    word = f"stream broke: {data.detail}"
                    # Raising ends the connection without the stream's end, so that what the
                    # caller has cannot pass for a whole answer.
                    raise StreamBrokenError(data.detail)
                yield data
            word = ANSWERED
        except CallerLeftError:
            word = "caller left"
            raise
        except RouteTimeout:
            word = "time is over"
            raise
        except GeneratorExit:
            word = self._word_for_close()
            raise
        except StreamBrokenError:
            raise
        except Exception:
            word = "failed"
            self._note_fault()
            raise
        finally:
            self._end(word)

    def _word_for_close(self) -> str:
        """Return why the runner closed a stream before its end: writing to the caller failed."""
        if self.request.remaining_s <= 0:
            return "time is over"
        return "caller left" if self.watch.has_left() else NOT_TAKEN

    def _start(self, status: int, headers: list[tuple[str, str]]) -> None:
        self.status = status
        # A body that was never asked for may still come; no next request could be told from it.
        if self.front.closing or self.environ["eventlet.input"].should_send_hundred_continue:
            self.environ["caller.protocol"].close_connection = 1
        self.start(f"{status} {responses.get(status, 'Unknown')}", headers)

    def _time_over(self) -> Failure:
        return Failure(Code.DEADLINE, Step.READ, "upstream", "the time for the request is over")

    def _caller_left(self) -> Failure:
        """Return what a caller is told that has closed, perhaps its sending side alone.

        The library's 500 told it nothing; before anything was sent it is sure that nothing ran.
        """
        self.environ["caller.protocol"].close_connection = 1
        detail = "the caller has closed its side of the connection"
        if self.forwarding is None:
            return Failure(Code.PEER_GONE, Step.ADMIT, "caller", detail)
        return Failure(Code.UPSTREAM_FAILED, Step.READ, "caller", detail, Ran.UNKNOWN)

    def _refuse(self, failure: Failure) -> list[bytes]:
        status = STATUS_BY_CODE.get(failure.code, NOT_RUN_STATUS)
        body = msgspec.json.encode({"error": failure.code.value, "detail": failure.detail})
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        request = None if self.head is None else self.head.id
        may_come_back = status == NOT_RUN_STATUS and failure.code is not Code.FITS_NO_ENGINE
        retry_after_s = failure.retry_after_s if may_come_back else None
        headers += self.front.wire.write_refusal(request, retry_after_s)
        if failure.code is Code.TOO_LARGE or failure.step is Step.PARSE:
            # What is left of the body can't be told from a next request.
            self.environ["caller.protocol"].close_connection = 1
        self.failure = failure
        self._start(status, headers)
        # Bytes behind the head of an answer to HEAD would be taken for the next answer.
        return [] if self.environ["REQUEST_METHOD"] == "HEAD" else [body]

    # The end of it

    def _end(self, word: str) -> None:
        """Give back what the request holds and write its line."""
        self._release()
        self._note_end(word)

    def _release(self) -> None:
        """Give back what the request holds, beside its place among those under way."""
        if self.timer is not None:
            self.timer.cancel()
        if self.watch is not None:
            self.watch.stop()
        if self.forwarding is not None:
            self.forwarding.finish()

    def describe(self) -> CutRequest:
        """Return what on-call needs to know of a request that is cut."""
        request = None if self.head is None else self.head.id
        route = None if self.request is None else self.request.route.name
        upstream = None if self.forwarding is None else self.forwarding.trail.upstream
        return CutRequest(request, route, upstream, clocks.now_s() - self.began)

    def _note_fault(self) -> None:
        cut = self.describe()
        fields = {"request": cut.request, "route": cut.route, "upstream": cut.upstream}
        logger.exception("Request failed for a fault of this program.", extra=fields)

    def _note_end(self, word: str) -> None:
        self.front.visits.discard(self)
        self._note(word)

    def _note(self, word: str) -> None:
        front = self.front
        front.count(f"answers_{self.status or 'none'}")
        count_end(front.ends, word)
        if self.size_band is not None:
            front.sizes.count_end(self.request.route.name, self.size_band, self._size_end(word))
        total_s = clocks.now_s() - self.began
        fields: dict[str, Any] = {
            "status": self.status,
            "outcome": word,
            "total_ms": round(total_s * 1000),
            "configuration": front.publications.version,
            "configuration_age_ms": _milliseconds(front.publications.age_s),
        }
        fields["request"] = None if self.head is None else self.head.id
        failure = self.failure
        if failure is not None:
            fields["reason"] = f"{failure.step.value} at {failure.peer}: {failure.detail}"
        if self.request is not None:
            self._note_request(fields)
        logger.info("Request ended.", extra=fields)

    def _size_end(self, word: str) -> str:
        """Return what the end means to the caller: served, or what it was refused or lost for."""
        if self.failure is not None:
            return self.failure.code.value
        return "served" if word == ANSWERED and self.status < 300 else kind_of_end(word)

    def _note_request(self, fields: dict[str, Any]) -> None:
        request = self.request
        workspace = PUBLIC if request.workspace is None else request.workspace.id
        fields["route"] = request.route.name
        fields["workspace"] = workspace
        fields["fingerprint"] = request.fingerprint
        if self.forwarding is None:
            return
        trail = self.forwarding.trail
        fields["upstream"] = trail.upstream
        fields["weights"] = trail.version
        fields["wait_ms"] = round(trail.wait_s * 1000)
        fields["covered_tokens"] = trail.covered_tokens
        fields["missing_tokens"] = trail.missing_tokens
        if request.head.prompt is not None:
            fields["prompt_tokens"] = request.head.prompt.tokens_in
            fields["size"] = self.size_band.value
            fields["affinity"] = request.head.prompt.affinity_key
        fields["candidates"] = trail.candidates
        fields["weighed"] = trail.weighed
        fields["fetched_parts"] = trail.fetched
        fields["saved_parts"] = trail.saved
        fields["tries"] = trail.tries
        entries_s = clocks.now_s() - self.front.forwarder.placement.upstreams.confirmed_at
        fields["entries_age_ms"] = _milliseconds(entries_s)
        if trail.first_s is not None:
            fields["first_ms"] = round(trail.first_s * 1000)
            self._record(Measure.FIRST_TOKEN, trail.first_s)
        if self.status == 200:
            self._record(Measure.WHOLE, clocks.now_s() - self.began)

    def _record(self, measure: Measure, elapsed_s: float) -> None:
        request = self.request
        workspace = PUBLIC if request.workspace is None else request.workspace.id
        self.front.histograms.record(measure, workspace, request.route.name, elapsed_s * 1000)


class _WholeBody:
    """An answer that is here whole; the runner closes it once it was written.

    A planned stop waits for that. Counted as ended before, an answer of which the caller had not
    read all was cut off by the end of the process.
    """

    def __init__(self, parts: list[bytes], word: str, note_end: Callable[[str], None]) -> None:
        self.parts = parts
        self.word = word
        self.note_end = note_end
        self.written = False
        """Whether the runner has come back after the last part, so that writing it did not fail."""

    def __iter__(self) -> Iterator[bytes]:
        yield from self.parts
        self.written = True

    def close(self) -> None:
        """End the request."""
        was_lost = self.word == ANSWERED and not self.written
        self.note_end(NOT_TAKEN if was_lost else self.word)


class StreamBrokenError(Exception):
    """Raised to end a caller's connection when its stream can't be finished."""


def _milliseconds(seconds: float) -> int | None:
    return round(seconds * 1000) if seconds < 1e6 else None
