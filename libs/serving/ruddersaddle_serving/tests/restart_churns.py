"""Program for a test: one host tells many things to peers that end and start again all the time.

The peers listen on threads of this process; the green library is not in it.
"""

import os
import random
import sys
import threading
import time

import pynng

from ruddersaddle_serving.peers import Peers

CHURN_S = 12.0
"""Four programs of four ended before that, after 1.1 to 4.9 s, with 23 peers."""
LIVES_S = 0.06
"""Longest life of a peer."""
PAUSE_S = 0.002
"""Pause where a peer's port is not free yet."""
SIZES = (20, 500)


def live_and_die(port: str, until: float) -> None:
    """Listen for a short while, again and again."""
    while time.monotonic() < until:
        try:
            listener = pynng.Bus0(listen=f"tcp://127.0.0.1:{port}", recv_buffer_size=64)
        except pynng.NNGException:
            time.sleep(PAUSE_S)
            continue
        time.sleep(random.random() * LIVES_S)
        listener.close()


def main(ports: list[str]) -> None:
    """Tell all peers, as often as it goes, while they come and go."""
    own, *others = ports
    until = time.monotonic() + CHURN_S
    for port in others:
        threading.Thread(target=live_and_die, args=(port, until), daemon=True).start()
    peers = Peers(f"127.0.0.1:{own}", lambda message: message, str)
    addresses = [f"127.0.0.1:{port}" for port in others]
    while time.monotonic() < until:
        peers.broadcast(addresses, "x" * random.choice(SIZES))
    print("done", flush=True)
    # Listeners may be in a call of the library; its own end would wait for them.
    os._exit(0)


if __name__ == "__main__":
    main(sys.argv[1:])
