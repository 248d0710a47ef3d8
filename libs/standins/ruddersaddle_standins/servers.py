"""Base of all stand-ins: a WSGI server on green threads, typed bodies, and injected faults."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import eventlet
import eventlet.wsgi
import msgspec

T = TypeVar("T")
Environ = dict[str, Any]
BACKLOG = 1024


class Fault(msgspec.Struct):
    """A fault to inject: its kind, its strength and its duration in seconds."""

    kind: str
    value: float = 1.0
    seconds: float = 1e9


class Answer(msgspec.Struct):
    """A response of a stand-in: a status with a body, or with chunks."""

    status: int = 200
    body: bytes = b""
    chunks: Iterable[bytes] | None = None
    kind: str = "application/json"


class Server:
    """Server of a stand-in; subclasses handle requests by method and path."""

    def __init__(self) -> None:
        self.until_by_kind: dict[str, float] = {}
        self.strength_by_kind: dict[str, float] = {}

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Handle one request."""
        raise NotImplementedError

    def is_active(self, kind: str) -> bool:
        """Return whether a fault is active."""
        return self.until_by_kind.get(kind, 0.0) > eventlet.hubs.get_hub().clock()

    def strength(self, kind: str) -> float:
        """Return the strength of a fault, 0 if it is inactive."""
        return self.strength_by_kind[kind] if self.is_active(kind) else 0.0

    def consume(self, kind: str) -> bool:
        """Consume one occurrence of a counted fault; return whether one was left."""
        if self.strength(kind) < 1:
            return False
        self.strength_by_kind[kind] -= 1
        return True

    def _apply_fault(self, fault: Fault) -> None:
        now = eventlet.hubs.get_hub().clock()
        self.until_by_kind[fault.kind] = now + fault.seconds
        self.strength_by_kind[fault.kind] = fault.value

    def __call__(self, environ: Environ, start: Callable) -> Iterable[bytes]:
        """Serve one request over WSGI."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/faults":
            self._apply_fault(read_json(environ, Fault))
            answer = Answer()
        elif path == "/healthz":
            answer = Answer()
        else:
            answer = self.answer(method, path, environ)
        headers = [("Content-Type", answer.kind)]
        if answer.chunks is None:
            headers.append(("Content-Length", str(len(answer.body))))
        start(f"{answer.status} Answered", headers)
        return [answer.body] if answer.chunks is None else answer.chunks

    def run(self, port: int) -> None:
        """Serve on loopback until the process is ended."""
        listener = eventlet.listen(("127.0.0.1", port), backlog=BACKLOG)
        eventlet.wsgi.server(
            listener, self, log_output=False, minimum_chunk_size=1, max_size=10_000, debug=False
        )


def read_bytes(environ: Environ) -> bytes:
    """Return the body of a request."""
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def read_json(environ: Environ, kind: type[T]) -> T:
    """Return the JSON body of a request, decoded to a type."""
    return msgspec.json.decode(read_bytes(environ), type=kind)


def read_query(environ: Environ, name: str, default: float) -> float:
    """Return a number from the query string, or a default."""
    for pair in environ.get("QUERY_STRING", "").split("&"):
        key, _, value = pair.partition("=")
        if key == name:
            return float(value)
    return default


def json_answer(value: object, status: int = 200) -> Answer:
    """Return a value as a JSON response."""
    return Answer(status, msgspec.json.encode(value))
