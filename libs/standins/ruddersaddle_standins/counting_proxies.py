"""Counts the bytes between a host and one address, for measures of control traffic."""

import socket
import threading

from ruddersaddle_standins.port_blocks import LOOPBACK

READ_BYTES = 65536


class CountingProxy:
    """Passes connections on to an address and counts the bytes of both directions."""

    def __init__(self, target: str) -> None:
        self.target = target
        self.listener = socket.create_server((LOOPBACK, 0))
        self.address = f"{LOOPBACK}:{self.listener.getsockname()[1]}"
        self.bytes = 0
        self._lock = threading.Lock()
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                near, _ = self.listener.accept()
            except OSError:
                return
            host, _, port = self.target.partition(":")
            try:
                far = socket.create_connection((host, int(port)))
            except OSError:
                near.close()
                continue
            for source, sink in ((near, far), (far, near)):
                threading.Thread(target=self._pass, args=(source, sink), daemon=True).start()

    def _pass(self, source: socket.socket, sink: socket.socket) -> None:
        try:
            while data := source.recv(READ_BYTES):
                with self._lock:
                    self.bytes += len(data)
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            source.close()
            sink.close()

    def close(self) -> None:
        """Take no more connections."""
        self.listener.close()
