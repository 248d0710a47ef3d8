"""What all stand-ins share: a WSGI server on green threads, typed bodies, and faults by request."""

from collections.abc import Callable, Iterable
from typing import Any, TypeVar

import eventlet
import eventlet.wsgi
import msgspec

T = TypeVar("T")
Environ = dict[str, Any]
BACKLOG = 1024


class Fault(msgspec.Struct):
    """A fault to bring about: its kind, its strength and how long it lasts, in seconds."""

    kind: str
    value: float = 1.0
    seconds: float = 1e9


class Answer(msgspec.Struct):
    """A stand-in's answer: a status with bytes, or chunks."""

    status: int = 200
    body: bytes = b""
    chunks: Iterable[bytes] | None = None
    kind: str = "application/json"


class Server:
    """A stand-in's server; subclasses answer requests by method and path."""

    def __init__(self) -> None:
        self.until_by_kind: dict[str, float] = {}
        self.value_by_kind: dict[str, float] = {}

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Answer one request."""
        raise NotImplementedError

    def has(self, kind: str) -> bool:
        """Return whether a fault is on."""
        return self.until_by_kind.get(kind, 0.0) > eventlet.hubs.get_hub().clock()

    def value(self, kind: str) -> float:
        """Return a fault's strength, 0 if it is off."""
        return self.value_by_kind[kind] if self.has(kind) else 0.0

    def spend(self, kind: str) -> bool:
        """Use up one of a fault's counted times; return whether there was one."""
        if self.value(kind) < 1:
            return False
        self.value_by_kind[kind] -= 1
        return True

    def _take_fault(self, fault: Fault) -> None:
        now = eventlet.hubs.get_hub().clock()
        self.until_by_kind[fault.kind] = now + fault.seconds
        self.value_by_kind[fault.kind] = fault.value

    def __call__(self, environ: Environ, start: Callable) -> Iterable[bytes]:
        """Serve one request over WSGI."""
        method, path = environ["REQUEST_METHOD"], environ["PATH_INFO"]
        if path == "/faults":
            self._take_fault(read_json(environ, Fault))
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
    """Return a request's body."""
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))


def read_json(environ: Environ, kind: type[T]) -> T:
    """Return a request's body as a typed value."""
    return msgspec.json.decode(read_bytes(environ), type=kind)


def read_query(environ: Environ, name: str, default: float) -> float:
    """Return a number of the query, or a default."""
    for pair in environ.get("QUERY_STRING", "").split("&"):
        key, _, value = pair.partition("=")
        if key == name:
            return float(value)
    return default


def json_answer(value: object, status: int = 200) -> Answer:
    """Return a value as a JSON answer."""
    return Answer(status, msgspec.json.encode(value))
