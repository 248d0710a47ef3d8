"""Responses to callers: status lines, the error body, and headers."""

import math
from collections.abc import Callable, Iterable

import msgspec
from ruddersaddle_base.codecs import encode_json
from ruddersaddle_base.failures import Code, Failure, Ran
from ruddersaddle_base.ids import RequestId

JSON_TYPE = "application/json"
EVENT_TYPE = "text/event-stream"
TEXT_TYPE = "text/plain; version=0.0.4"
STATUS_BY_CODE = {
    Code.BAD_REQUEST: "400 Bad Request",
    Code.KEY_NOT_DATED: "400 Bad Request",
    Code.UNAUTHORIZED: "401 Unauthorized",
    Code.NOT_FOUND: "404 Not Found",
    Code.KEY_IN_USE: "409 Conflict",
    Code.KEY_EXPIRED: "410 Gone",
    Code.TOO_LARGE: "413 Content Too Large",
    Code.KEY_MISMATCH: "422 Unprocessable Content",
    Code.INTERNAL: "500 Internal Server Error",
    Code.UPSTREAM_FAILED: "502 Bad Gateway",
    Code.CORRUPT: "502 Bad Gateway",
    Code.DEADLINE: "504 Gateway Timeout",
}
UNAVAILABLE = "503 Service Unavailable"
GOOD = "200 OK"

StartResponse = Callable[[str, list[tuple[str, str]]], object]


class ErrorBody(msgspec.Struct, frozen=True):
    """The body of every error, inside `{"error": …}`."""

    code: str
    step: str
    peer: str
    ran: str
    detail: str
    request: str
    retry_after_s: float
    retry_token: int | None = None


class ErrorEnvelope(msgspec.Struct, frozen=True):
    """The response body of a failed request."""

    error: ErrorBody


def error_envelope(failure: Failure, request: RequestId) -> ErrorEnvelope:
    """Return the response body for a failure."""
    body = ErrorBody(
        failure.code.value,
        failure.step.value,
        failure.peer,
        failure.ran.value,
        failure.detail,
        request,
        failure.retry_after_s,
        failure.retry_token,
    )
    return ErrorEnvelope(body)


class Responder:
    """Starts one request's response; closes the connection while the host is stopping."""

    def __init__(
        self, start: StartResponse, request: RequestId, stopping: bool, has_key: bool
    ) -> None:
        self.start = start
        self.request = request
        self.stopping = stopping
        self.has_key = has_key

    def headers(self, kind: str) -> list[tuple[str, str]]:
        """Return the headers of every response."""
        headers = [("Content-Type", kind), ("Request-Id", self.request)]
        if self.stopping:
            headers.append(("Connection", "close"))
        return headers

    def send_json(self, value: object, status: str = GOOD) -> Iterable[bytes]:
        """Respond with a value as JSON."""
        return self.send_bytes(encode_json(value), JSON_TYPE, status)

    def send_bytes(self, data: bytes, kind: str, status: str = GOOD) -> Iterable[bytes]:
        """Respond with bytes."""
        self.start(status, [*self.headers(kind), ("Content-Length", str(len(data)))])
        return [data]

    def send_refusal(self, failure: Failure) -> Iterable[bytes]:
        """Respond to a request that is refused before the state of its key is known.

        `not_run` is a statement about the key. An earlier attempt with the key may be running on
        another host, so the answer to a request with a key is `unknown`.
        """
        return self.send_failure(failure.with_ran(Ran.UNKNOWN) if self.has_key else failure)

    def send_failure(self, failure: Failure) -> Iterable[bytes]:
        """Respond with a failure, including the retry delay and the retry token."""
        headers = self.headers(JSON_TYPE)
        if failure.retry_after_s > 0:
            headers.append(("Retry-After", str(math.ceil(failure.retry_after_s))))
        if failure.retry_token is not None:
            headers.append(("Retry-Token", str(failure.retry_token)))
        data = encode_json(error_envelope(failure, self.request))
        headers.append(("Content-Length", str(len(data))))
        self.start(STATUS_BY_CODE.get(failure.code, UNAVAILABLE), headers)
        return [data]

    def start_events(self) -> None:
        """Start a response of server-sent events."""
        self.start(GOOD, [*self.headers(EVENT_TYPE), ("Cache-Control", "no-store")])


def encode_error_event(failure: Failure, request: RequestId) -> bytes:
    """Return a failure as the last event of a stream that has already begun."""
    return b"data: " + encode_json(error_envelope(failure, request)) + b"\n\n"
