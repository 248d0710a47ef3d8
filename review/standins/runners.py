"""A stand-in of a runner of a plain service."""

import socket
import threading
import time
from collections.abc import Callable
from typing import BinaryIO

from records import Record
from stores import MetadataStore

HEARTBEAT_S = 1.2
IDLE_S = 10.0


class Request:
    """One request as it arrived."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    @property
    def id(self) -> str:
        """The request's id; empty if it has none."""
        return self.headers.get("request-id", "")


def read_request(file: BinaryIO) -> Request | None:
    """Read one request; None at the end of the connection."""
    line = file.readline()
    if not line.strip():
        return None
    method, target, _ = line.decode("latin-1").split(" ", 2)
    headers: dict[str, str] = {}
    while (line := file.readline()) not in (b"\r\n", b""):
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.lower()] = value.strip(" \t\r\n")
    if headers.get("transfer-encoding", "").lower() == "chunked":
        body = b""
        while size := int(file.readline(), 16):
            body += file.read(size)
            file.readline()
        file.readline()
    else:
        body = file.read(int(headers.get("content-length") or 0))
    return Request(method, target, headers, body)


def write_answer(
    connection: socket.socket, status: int, request: str, body: bytes = b"", **headers: str
) -> None:
    """Send a whole answer with its length and the id of its request."""
    lines = [f"HTTP/1.1 {status} Answer", f"Content-Length: {len(body)}"]
    lines += [f"Request-Id: {request}"] if request else []
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in headers.items()]
    connection.sendall("\r\n".join(lines).encode() + b"\r\n\r\n" + body)


class Runner:
    """Handles `slots` requests at once and rejects others, as it has no queue.

    `runs` lists all requests that it began to work on, by time.
    """

    def __init__(
        self,
        name: str,
        ip: str,
        service: str,
        store: MetadataStore,
        record: Record,
        slots: int = 4,
        zone: str = "zone-a",
    ) -> None:
        self.name = name
        self.service = service
        self.store = store
        self.record = record
        self.slots = slots
        self.zone = zone
        self.state = "ready"
        self.runs: list[tuple[float, Request]] = []
        self.rejected: list[str] = []
        self.work_s: Callable[[Request], float] = lambda request: 0.02
        self.before_request: Callable[[socket.socket, Request], None] = lambda *_: None
        """Called as a request arrives on a connection, before it is rejected or run."""
        self.after_rejection: Callable[[socket.socket, Request], None] = lambda *_: None
        self._active = 0
        self._sequence = 0
        self._lock = threading.Lock()
        self._stopped = threading.Event()
        self._listener = socket.create_server((ip, 0), backlog=128)
        self.address = f"{ip}:{self._listener.getsockname()[1]}"
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._write_entries, daemon=True).start()

    def announce(self) -> float:
        """Write the entry to the store; return the time of the acknowledgement."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._sequence,
        }
        return self.store.put("keyed.servers", self.name, entry)

    def _write_entries(self) -> None:
        while not self._stopped.is_set():
            self.announce()
            self._stopped.wait(HEARTBEAT_S)

    def _accept(self) -> None:
        while True:
            try:
                connection, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(IDLE_S)
        try:
            with connection, connection.makefile("rb") as file:
                while (request := read_request(file)) is not None:
                    self._answer(connection, request)
        except (OSError, ValueError):
            # The other end has closed or reset its connection.
            return

    def _answer(self, connection: socket.socket, request: Request) -> None:
        if request.target.startswith("/health"):
            status = 200 if self.state == "ready" else 503
            write_answer(connection, status, request.id, Instance_Id=self.name)
            return
        self.before_request(connection, request)
        if request.headers.get("target-instance", self.name) != self.name:
            write_answer(connection, 421, request.id, Not_Executed="1", Instance_Id=self.name)
            return
        if not request.id:
            write_answer(connection, 400, "", Not_Executed="1", Instance_Id=self.name)
            return
        with self._lock:
            is_full = self._active >= self.slots
            self._active += not is_full
        if is_full:
            self.rejected.append(request.id)
            self.record.line(self.name, f"rejects {request.id}: 503, Not-Executed")
            write_answer(connection, 503, request.id, Not_Executed="1", Instance_Id=self.name)
            self.after_rejection(connection, request)
            return
        try:
            self._run(connection, request)
        finally:
            with self._lock:
                self._active -= 1

    def _run(self, connection: socket.socket, request: Request) -> None:
        self.runs.append((time.monotonic(), request))
        self.record.line(
            self.name,
            f"runs {request.id}: {request.method} {request.target}, "
            f"tenant {request.headers.get('tenant')}, body of {len(request.body)} bytes",
        )
        time.sleep(self.work_s(request))
        write_answer(
            connection,
            200,
            request.id,
            b"done by " + self.name.encode(),
            Response_Signature=f"signed-{self.name}-{request.id}",
            Instance_Id=self.name,
        )
        self.record.line(self.name, f"answers {request.id}: 200")

    def stop(self) -> None:
        """Accept no more connections, and write no more entries."""
        self._stopped.set()
        self._listener.close()
