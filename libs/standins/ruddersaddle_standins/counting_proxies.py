"""TCP proxy that counts bytes, for measurements of control traffic."""

import socket
import threading

from ruddersaddle_standins.port_blocks import LOOPBACK

READ_BYTES = 65536


class CountingProxy:
    """Forwards connections to an address and counts the bytes in both directions."""

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
                client, _ = self.listener.accept()
            except OSError:
                return
            host, _, port = self.target.partition(":")
            try:
                server = socket.create_connection((host, int(port)))
            except OSError:
                client.close()
                continue
            for source, sink in ((client, server), (server, client)):
                threading.Thread(target=self._forward, args=(source, sink), daemon=True).start()

    def _forward(self, source: socket.socket, sink: socket.socket) -> None:
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
        """Accept no more connections."""
        self.listener.close()
