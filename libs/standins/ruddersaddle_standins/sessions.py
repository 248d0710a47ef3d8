"""Records sessions of a caller as text: all bytes in both directions, ids and times normalised."""

import re
import socket

import msgspec

from ruddersaddle_standins.clients import TIMEOUT_S
from ruddersaddle_standins.fleets import caller_key

READ_BYTES = 65536
PLACEHOLDER_BY_PATTERN = (
    (re.compile(r"\b[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[0-9a-f]{4}-[0-9a-f]{12}\b"), "KEY"),
    (re.compile(r"ticket:[^\"\s]+"), "TICKET"),
    (re.compile(r"\b[0-9a-f]{16}\b"), "REQUEST"),
    (re.compile(r"127\.0\.0\.1:\d+"), "ADDRESS"),
    (re.compile(r"(?m)^Date: .*$"), "Date: DATE"),
    (re.compile(r"host-\d\.[0-9a-f]{12}"), "INCARNATION"),
    (re.compile(r'("number":|"retry_token":|Retry-Token: )\d+'), r"\1NUMBER"),
)


class Exchange(msgspec.Struct, frozen=True):
    """One request of a session; `headers` follow the standard ones."""

    method: str
    path: str
    body: str = ""
    headers: tuple[tuple[str, str], ...] = ()
    workspace: str = "clinic-1"
    length: int | None = None

    def to_bytes(self, address: str) -> bytes:
        """Return the request as sent on the wire."""
        data = self.body.encode()
        lines = [f"{self.method} {self.path} HTTP/1.1", f"Host: {address}", "Connection: close"]
        if self.workspace:
            lines.append(f"Authorization: Bearer {caller_key(self.workspace)}")
        lines += [f"{name}: {value}" for name, value in self.headers]
        length = len(data) if self.length is None else self.length
        if data or length:
            lines.append(f"Content-Length: {length}")
        return "\r\n".join([*lines, "", ""]).encode() + data


def exchange_raw(address: str, data: bytes, half_closes: bool = False) -> bytes:
    """Send bytes and return everything received until the connection closes."""
    host, _, port = address.partition(":")
    parts = []
    with socket.create_connection((host, int(port)), timeout=TIMEOUT_S) as connection:
        connection.sendall(data)
        if half_closes:
            connection.shutdown(socket.SHUT_WR)
        while True:
            part = connection.recv(READ_BYTES)
            if not part:
                return b"".join(parts)
            parts.append(part)


def unchunk(data: bytes) -> bytes:
    """Return a response with its chunks joined, as chunk sizes vary."""
    head, blank, body = data.partition(b"\r\n\r\n")
    if b"Transfer-Encoding: chunked" not in head:
        return data
    joined = b""
    while body:
        size, _, rest = body.partition(b"\r\n")
        length = int(size, 16)
        joined += rest[:length]
        body = rest[length + 2 :]
        if length == 0:
            break
    return head + blank + joined


def normalise(data: bytes) -> str:
    """Return bytes as text, with placeholders for values that differ between runs."""
    text = data.decode().replace("\r\n", "\n")
    for pattern, placeholder in PLACEHOLDER_BY_PATTERN:
        text = pattern.sub(placeholder, text)
    return text


def record_session(address: str, exchanges: list[Exchange]) -> str:
    """Send the requests of a session and return the session as text."""
    parts = []
    for each in exchanges:
        sent = each.to_bytes(address)
        received = unchunk(exchange_raw(address, sent))
        parts.append(f">>>\n{normalise(sent)}\n<<<\n{normalise(received)}\n")
    return "".join(parts)
