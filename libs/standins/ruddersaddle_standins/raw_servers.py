"""A server that answers every connection with given bytes and closes it, for cut answers."""

import socket
import threading

from ruddersaddle_standins.port_blocks import LOOPBACK

ENOUGH_BYTES = 65536


class RawServer:
    """Listens on a free port of loopback; use as a context."""

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
            connection.recv(ENOUGH_BYTES)
            connection.sendall(self.answer)
            connection.shutdown(socket.SHUT_WR)
            # Reading on to the end keeps the close from resetting what was just sent.
            while connection.recv(ENOUGH_BYTES):
                pass
            connection.close()
