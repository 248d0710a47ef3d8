"""Stand-in for the platform's balancer: distributes callers over hosts that were recently ready."""

import itertools
import threading
import time

from ruddersaddle_standins.fleets import Fleet
from ruddersaddle_standins.processes import is_good, wait_until

POLL_INTERVAL_S = 0.3


class Balancer:
    """Polls the readiness of all hosts, and returns ready hosts in rotation."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ready: list[str] = fleet.host_names()
        self._requests = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopped.is_set():
            names = self.fleet.host_names()
            self.ready = [n for n in names if is_good(self.fleet.url(n, "/readyz"))]
            time.sleep(POLL_INTERVAL_S)

    def next_address(self) -> str:
        """Return the address of the next ready host."""
        ready = self.ready
        return self.fleet.address_by_name[ready[next(self._requests) % len(ready)]]

    def wait_until_ready(self, name: str) -> None:
        """Wait until a host is in rotation."""
        wait_until(lambda: name in self.ready, f"{name} in rotation")

    def stop(self) -> None:
        """Stop polling."""
        self._stopped.set()
        self._thread.join()
