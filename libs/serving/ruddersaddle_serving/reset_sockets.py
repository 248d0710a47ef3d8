"""Sockets that distinguish a connection reset from an orderly close.

eventlet's green sockets return an empty read for both. An answer without a length ends with its
connection, so an answer cut off by a reset would pass for complete.
"""

import fcntl
import socket
import struct
import termios
from array import array
from typing import Any

import eventlet
from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline
from ruddersaddle_base.ids import RequestId
from ruddersaddle_base.strict_answers import StrictAnswer
from urllib3.connection import HTTPConnection

MS_PER_S = 1000
READS_MAX = 2
"""Reads without a wait until other tasks may run."""
LINE_BUFFER_BYTES = 1024
"""Bytes that are read ahead for lines. The usual 8 KB hold 1,365 chunks of a byte, which take some
10 ms; larger reads of bodies pass the buffer by."""
COUNT = struct.Struct("i")


class ResetAwareSocket(GreenSocket):
    """A green socket whose reads raise `ConnectionResetError`, and let other tasks run.

    A task whose reads never wait would stop all other tasks and all timers, its own as well, for as
    long as bytes arrive faster than it reads them.
    """

    _reads = 0
    """Reads since the task last let others run."""

    def makefile(self, mode: str = "r", buffering: int | None = None, **options: Any) -> Any:
        """Return a file; called by the library, which reads lines through its buffer."""
        size = LINE_BUFFER_BYTES if buffering is None else buffering
        return super().makefile(mode, size, **options)

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read into a buffer, waiting until something has arrived."""
        if self._reads >= READS_MAX:
            self._reads = 0
            eventlet.sleep(0)
        while True:
            try:
                size = self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                timeout_s = self.gettimeout()
                trampoline(self.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError)
                self._reads = 0
            else:
                self._reads += 1
                return size


class UpstreamConnection(HTTPConnection):
    """A connection of the HTTP library on a `ResetAwareSocket`."""

    response_class = StrictAnswer

    def __init__(self, *args: Any, **options: Any) -> None:
        super().__init__(*args, **options)
        self._carried = array("q")
        """Hashes of the ids of all requests that it was opened or reused for."""

    @property
    def carried_count(self) -> int:
        """Number of requests that it was opened or reused for."""
        return len(self._carried)

    def record_carried(self, request: RequestId) -> None:
        """Record that it is used for a request."""
        self._carried.append(hash(request))

    def may_have_carried(self, request: RequestId) -> bool:
        """Return whether it was used for a request of this id, or of one with the same hash."""
        return hash(request) in self._carried

    def _new_conn(self) -> ResetAwareSocket:
        """Return a connected socket; called by the library."""
        plain = super()._new_conn()
        aware = ResetAwareSocket(plain.fd)
        # The plain socket would close the descriptor when it is collected, so it is referenced.
        aware.plain = plain
        return aware

    @property
    def is_idle(self) -> bool:
        """Whether the connection is open and nothing has arrived on it.

        Checked without yielding: the library's own check lets other tasks run meanwhile, which
        could take the same connection.
        """
        try:
            self.sock.fd.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except OSError:
            return False
        return False

    @property
    def has_unacknowledged_bytes(self) -> bool:
        """Whether bytes that were sent are not acknowledged yet."""
        # TIOCOUTQ and SIOCOUTQ are the same number (tcp(7)).
        unacknowledged = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
        return COUNT.unpack(unacknowledged)[0] > 0

    def set_user_timeout(self, unacknowledged_s: float) -> None:
        """Set how long sent bytes may be unacknowledged before the connection is aborted."""
        timeout_ms = max(1, int(unacknowledged_s * MS_PER_S))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, timeout_ms)
