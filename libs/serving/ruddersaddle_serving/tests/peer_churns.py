"""Program for a test: peers that come and go all the time, on the green library."""

import random
import sys
import time

import ruddersaddle_base  # noqa: F401  (quiets the notice that the next import would print)

# isort: split
import eventlet

eventlet.monkey_patch()

from ruddersaddle_serving.peers import Peers, limit_threads  # noqa: E402

CHURN_S = 3.0
ASK_S = 0.5
PAUSE_S = 0.02
SWITCH_S = 1e-6
"""Threads take turns this often, so that the library's own meet in its callbacks."""


def come_and_go(peers: Peers, address: str, until: float) -> None:
    """Connect to a peer and close the connection, again and again."""
    while time.monotonic() < until:
        peers.ask(address, "question", ASK_S)
        eventlet.sleep(random.random() * PAUSE_S)
        peers.keep_only(set(peers.connected()) - {address})
        eventlet.sleep(random.random() * PAUSE_S)


def churn(ports: list[str]) -> None:
    """Let a peer at each port come and go, from the point of view of all others."""
    addresses = [f"127.0.0.1:{port}" for port in ports]
    every = [Peers(address, lambda message: message, str) for address in addresses]
    for peers in every:
        peers.start()
    until = time.monotonic() + CHURN_S
    tasks = [
        eventlet.spawn(come_and_go, peers, address, until)
        for peers in every
        for address in addresses
        if address != peers.address
    ]
    for task in tasks:
        task.wait()


def main(ports: list[str]) -> None:
    """Let all peers come and go, then end as a host does."""
    limit_threads()
    sys.setswitchinterval(SWITCH_S)
    churn(ports)
    print("done", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
