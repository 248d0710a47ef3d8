"""Program for a test: one host sends many messages to peers that restart all the time.

The peers listen on threads of this process; the program uses no green threads.
"""

import os
import random
import sys
import threading
import time

import pynng

from ruddersaddle_serving.peers import Peers

CHURN_S = 12.0
"""Duration of the churn. With push sockets and 23 peers, 4 of 4 programs crashed within 1.1 to
4.9 s."""
LIFETIME_MAX_S = 0.06
"""Longest lifetime of a peer."""
PAUSE_S = 0.002
"""Pause before the next attempt if a peer's port is not free yet."""
SIZES = (20, 500)


def restart_repeatedly(port: str, until: float) -> None:
    """Listen for a short while, repeatedly."""
    while time.monotonic() < until:
        try:
            listener = pynng.Bus0(listen=f"tcp://127.0.0.1:{port}", recv_buffer_size=64)
        except pynng.NNGException:
            time.sleep(PAUSE_S)
            continue
        time.sleep(random.random() * LIFETIME_MAX_S)
        listener.close()


def main(ports: list[str]) -> None:
    """Send to all peers, without pauses, while they restart."""
    own, *others = ports
    until = time.monotonic() + CHURN_S
    for port in others:
        threading.Thread(target=restart_repeatedly, args=(port, until), daemon=True).start()
    peers = Peers(f"127.0.0.1:{own}", lambda message: message, str)
    addresses = [f"127.0.0.1:{port}" for port in others]
    while time.monotonic() < until:
        peers.broadcast(addresses, "x" * random.choice(SIZES))
    print("done", flush=True)
    # Listeners may be inside a call of the library, and a normal exit would wait for them.
    os._exit(0)


if __name__ == "__main__":
    main(sys.argv[1:])
