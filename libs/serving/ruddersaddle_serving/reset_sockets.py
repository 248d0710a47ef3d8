"""Sockets that tell a reset from an orderly end.

eventlet's green sockets return an empty read for both. An answer without a length ends with its
connection, so that one which was reset on the way would pass for whole.
"""

import fcntl
import socket
import struct
import termios
from typing import Any

from eventlet.greenio import GreenSocket
from eventlet.hubs import trampoline
from urllib3.connection import HTTPConnection

MS_PER_S = 1000
COUNT = struct.Struct("i")


class ResetAwareSocket(GreenSocket):
    """A green socket whose reads raise `ConnectionResetError`."""

    def recv_into(self, buffer: Any, nbytes: int = 0, flags: int = 0) -> int:
        """Read into a buffer; wait until something has arrived."""
        while True:
            try:
                return self.fd.recv_into(buffer, nbytes, flags)
            except BlockingIOError:
                timeout_s = self.gettimeout()
                trampoline(self.fd, read=True, timeout=timeout_s, timeout_exc=TimeoutError)


class UpstreamConnection(HTTPConnection):
    """A connection of the HTTP library on such a socket."""

    def _new_conn(self) -> ResetAwareSocket:
        """Connect; the library calls this for its socket."""
        plain = super()._new_conn()
        aware = ResetAwareSocket(plain.fd)
        # A green socket closes its descriptor when it is collected, so the plain one has to stay.
        aware.plain = plain
        return aware

    @property
    def is_idle(self) -> bool:
        """Whether the connection stands and nothing has arrived on it.

        It is asked without waiting: the library's own check lets other tasks run meanwhile, who
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
        """Whether bytes that were sent have not arrived at the other end."""
        # TIOCOUTQ is the number of SIOCOUTQ, too (tcp(7)).
        held = fcntl.ioctl(self.sock.fileno(), termios.TIOCOUTQ, bytes(COUNT.size))
        return COUNT.unpack(held)[0] > 0

    def set_user_timeout(self, unacknowledged_s: float) -> None:
        """End the connection when sent bytes are not acknowledged for this long."""
        bound_ms = max(1, int(unacknowledged_s * MS_PER_S))
        self.sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, bound_ms)
