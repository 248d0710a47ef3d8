"""Program for a test: peers that connect and disconnect all the time, on green threads."""

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
"""Switch interval of threads; so short that the library's threads contend in its callbacks."""


def reconnect_repeatedly(peers: Peers, address: str, until: float) -> None:
    """Connect to a peer and close the connection repeatedly."""
    while time.monotonic() < until:
        peers.ask(address, "question", ASK_S)
        eventlet.sleep(random.random() * PAUSE_S)
        peers.keep_only(set(peers.connected()) - {address})
        eventlet.sleep(random.random() * PAUSE_S)


def churn(ports: list[str]) -> None:
    """Run a peer at each port; each connects to all others and disconnects repeatedly."""
    addresses = [f"127.0.0.1:{port}" for port in ports]
    all_peers = [Peers(address, lambda message: message, str) for address in addresses]
    for peers in all_peers:
        peers.start()
    until = time.monotonic() + CHURN_S
    tasks = [
        eventlet.spawn(reconnect_repeatedly, peers, address, until)
        for peers in all_peers
        for address in addresses
        if address != peers.address
    ]
    for task in tasks:
        task.wait()


def main(ports: list[str]) -> None:
    """Run the churn, then exit as a host does."""
    limit_threads()
    sys.setswitchinterval(SWITCH_S)
    churn(ports)
    print("done", flush=True)


if __name__ == "__main__":
    main(sys.argv[1:])
