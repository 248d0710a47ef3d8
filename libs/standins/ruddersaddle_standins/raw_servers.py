"""Server that sends fixed bytes on every connection and closes it, for truncated responses."""

import socket
import threading

from ruddersaddle_standins.port_blocks import LOOPBACK

READ_BYTES = 65536


class RawServer:
    """Listens on a free loopback port; a context manager."""

    def __init__(self, answer: bytes) -> None:
        self.answer = answer
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.thread = threading.Thread(target=self._run, daemon=True)

    def __enter__(self) -> "RawServer":
        self.thread.start()
        return self

    def __exit__(self, *_: object) -> None:
        self.listener.shutdown(socket.SHUT_RDWR)
        self.listener.close()
        self.thread.join()

    def _run(self) -> None:
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            connection.recv(READ_BYTES)
            connection.sendall(self.answer)
            connection.shutdown(socket.SHUT_WR)
            # Closing with unread data would reset the connection and could discard what was sent.
            while connection.recv(READ_BYTES):
                pass
            connection.close()
