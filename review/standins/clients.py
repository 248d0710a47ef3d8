"""A stand-in of a client: requests on its own channels."""

import socket
import time

from records import Record

HOST_NAME = "desk.example"


class Answer:
    """A whole answer, or none if `status` is 0."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes) -> None:
        self.status = status
        self.headers = headers
        self.body = body


def make_head(method: str, path: str, request: str, key: str, **more: str) -> bytes:
    """Return the head of a request; underscores in names of further headers become dashes."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST_NAME}", f"Request-Id: {request}"]
    lines += [f"Deadline-Ms: {more.pop('Deadline_Ms', '2500')}", f"Api-Key: {key}"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
    return "\r\n".join(lines).encode("latin-1") + b"\r\n\r\n"


class Channel:
    """One open channel to a host; keeps to one request at a time."""

    def __init__(self, address: tuple[str, int], record: Record, name: str = "client") -> None:
        self.connection = socket.create_connection(address, timeout=10)
        self.connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.file = self.connection.makefile("rb")
        self.record = record
        self.name = name

    def send(self, data: bytes) -> None:
        """Send bytes."""
        self.connection.sendall(data)

    def read(self, timeout_s: float = 10.0) -> Answer:
        """Read one answer; status 0 if the channel ends or stays silent."""
        self.connection.settimeout(timeout_s)
        try:
            return self._read()
        except (OSError, ValueError):
            return Answer(0, {}, b"")

    def _read(self) -> Answer:
        line = self.file.readline()
        if not line:
            return Answer(0, {}, b"")
        status = int(line.split()[1])
        headers: dict[str, str] = {}
        while (line := self.file.readline()) not in (b"\r\n", b""):
            name, _, value = line.decode("latin-1").partition(":")
            headers[name.lower()] = value.strip()
        body = self.file.read(int(headers.get("content-length", 0)))
        return Answer(status, headers, body)

    def call(self, method: str, path: str, request: str, key: str, body: bytes = b"") -> Answer:
        """Send one request and read its answer."""
        more = {"Content_Length": str(len(body))} if body else {}
        self.record.line(self.name, f"sends {request}: {method} {path}")
        self.send(make_head(method, path, request, key, **more) + body)
        answer = self.read()
        self.record.line(
            self.name,
            f"gets for {request}: {answer.status}, signature "
            f"{answer.headers.get('response-signature', 'none')}, body {answer.body[:80]!r}",
        )
        return answer

    def close(self) -> None:
        """Close the channel."""
        self.file.close()
        self.connection.close()


def wait_until(moment: float) -> None:
    """Sleep until a moment of the monotonic clock."""
    time.sleep(max(0.0, moment - time.monotonic()))
