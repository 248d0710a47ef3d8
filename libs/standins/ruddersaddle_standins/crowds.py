"""Crowds of clients that break the limits, or never finish what they send."""

import contextlib
import selectors
import socket
import struct
import threading
import time
from collections.abc import Callable
from pathlib import Path

import msgspec

from ruddersaddle_standins.processes import wait_until

LARGE_CHUNK = 65536
MISSING_BYTES = 6
"""How far from their end unfinished bodies and messages stop."""
LONG_LINE = b"X-Long: " + b"v" * 60_000 + b"\r\n"
UNENDED_BYTES = 16 << 20
"""Bytes that a client sends of what has no end."""
BUS_GREETING = b"\x00SP\x00\x00\x70\x00\x00"
"""The start of a connection of a bus socket (SP protocol 7/0)."""
MESSAGE_LENGTH = struct.Struct(">Q")
SEND_BYTES = 262144
SETTLED_S = 1.0
"""A crowd has settled once nobody could send a byte for this long."""
SETTLE_MAX_S = 60.0
SELECT_S = 0.05
CONNECT_S = 5.0


class Sending(msgspec.Struct, frozen=True):
    """What one client sends: `head`, `block` again and again up to `size` bytes, and `tail`.

    The connection then stays open. No answer is read unless `reads`.
    """

    head: bytes
    block: bytes = b""
    size: int = 0
    tail: bytes = b""
    reads: bool = True

    @classmethod
    def in_chunks(cls, head: bytes, body_bytes: int, chunk_bytes: int) -> "Sending":
        """Return a sending of a whole body in chunks; `head` has no blank line yet."""
        chunk = f"{chunk_bytes:x}\r\n".encode() + b"t" * chunk_bytes + b"\r\n"
        # Long blocks keep the client itself fast.
        count = max(1, min(SEND_BYTES // len(chunk), body_bytes // chunk_bytes))
        size = body_bytes // chunk_bytes * len(chunk)
        head += b"Transfer-Encoding: chunked\r\n\r\n"
        return cls(head, chunk * count, size, b"0\r\n\r\n")

    @classmethod
    def long_head(cls, head: bytes) -> "Sending":
        """Return a sending of a head far over any limit, without its end."""
        return cls(head, LONG_LINE, 15 * len(LONG_LINE))

    @classmethod
    def unfinished_message(cls, size: int) -> "Sending":
        """Return a sending of a message between hosts that stops short of its end."""
        announced = BUS_GREETING + MESSAGE_LENGTH.pack(size)
        return cls(announced, b"m" * LARGE_CHUNK, size - MISSING_BYTES)

    def cut(self) -> "Sending":
        """Return the same sending that stops short of its end."""
        whole = self.size + len(self.tail)
        return msgspec.structs.replace(self, size=whole - MISSING_BYTES, tail=b"")


class Member:
    """One client of a crowd."""

    def __init__(self, address: tuple[str, int], sending: Sending) -> None:
        self.sending = sending
        self.received = b""
        self.is_closed = False
        """Whether the other end has closed or reset the connection."""
        self._left = sending.size
        self._pending = memoryview(sending.head)
        self._has_tail = bool(sending.tail)
        self.connection = socket.create_connection(address, timeout=CONNECT_S)
        self.connection.setblocking(False)

    @property
    def is_sending(self) -> bool:
        """Whether it has more to send."""
        return not self.is_closed and bool(self._pending or self._left or self._has_tail)

    def send(self) -> int:
        """Send what fits; return the number of bytes."""
        if not self._pending:
            self._pending = self._next_block()
        try:
            count = self.connection.send(self._pending)
        except BlockingIOError:
            return 0
        except OSError:
            self.is_closed = True
            return 0
        self._pending = self._pending[count:]
        return count

    def _next_block(self) -> memoryview:
        if self._left:
            block = memoryview(self.sending.block)[: self._left]
            self._left -= len(block)
            return block
        self._has_tail = False
        return memoryview(self.sending.tail)

    def receive(self) -> None:
        """Read what has come of an answer."""
        try:
            data = self.connection.recv(SEND_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        self.received = (self.received + data)[:SEND_BYTES]
        self.is_closed |= not data


class Crowd:
    """Clients that send at the same time, as fast as they can; a context manager."""

    def __init__(self, address: str, *sendings: Sending) -> None:
        host, _, port = address.rpartition(":")
        self.members: list[Member] = []
        try:
            for each in sendings:
                self.members.append(Member((host, int(port)), each))
        except OSError:
            self._close()
            raise
        self._moved_at = time.monotonic()
        self._ended = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "Crowd":
        self._thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self._ended.set()
        self._thread.join()
        self._close()

    def _close(self) -> None:
        for member in self.members:
            member.connection.close()

    @property
    def statuses(self) -> list[bytes]:
        """The status of each answer that has come."""
        return [each.received[9:12] for each in self.members if len(each.received) >= 12]

    def settle(self) -> None:
        """Wait until nobody can send any more, for a while at most."""
        await_condition(lambda: time.monotonic() - self._moved_at > SETTLED_S)

    def _run(self) -> None:
        selector = selectors.DefaultSelector()
        for member in self.members:
            selector.register(member.connection, self._events_of(member), member)
        while not self._ended.is_set():
            for key, events in selector.select(SELECT_S):
                member = key.data
                if events & selectors.EVENT_WRITE and member.send():
                    self._moved_at = time.monotonic()
                if events & selectors.EVENT_READ:
                    member.receive()
                self._update(selector, member)
        selector.close()

    def _events_of(self, member: Member) -> int:
        reads = selectors.EVENT_READ if member.sending.reads else 0
        return reads | (selectors.EVENT_WRITE if member.is_sending else 0)

    def _update(self, selector: selectors.BaseSelector, member: Member) -> None:
        events = 0 if member.is_closed else self._events_of(member)
        with contextlib.suppress(KeyError):
            if events:
                selector.modify(member.connection, events, member)
            else:
                selector.unregister(member.connection)


class Footprint:
    """What a process takes of its machine."""

    def __init__(self, process: int) -> None:
        self.folder = Path(f"/proc/{process}")

    @property
    def peak_mb(self) -> float:
        """The largest resident memory that the process has had."""
        status = (self.folder / "status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0]) / 1024

    @property
    def descriptors(self) -> int:
        """The number of open descriptors."""
        return len(list((self.folder / "fd").iterdir()))

    def await_descriptors(self, count_max: int) -> bool:
        """Wait until no more descriptors are open; return whether it came to that."""
        return await_condition(lambda: self.descriptors <= count_max)


def await_condition(condition: Callable[[], bool]) -> bool:
    """Wait until a condition holds, for a while at most; return whether it does."""
    try:
        wait_until(condition, "the condition", SETTLE_MAX_S)
    except TimeoutError:
        return False
    return True
