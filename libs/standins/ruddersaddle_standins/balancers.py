"""Stand-in for the platform's balancer: sends callers to hosts that were ready a lag ago."""

import itertools
import threading
import time

from ruddersaddle_standins.fleets import Fleet
from ruddersaddle_standins.processes import is_good, wait_until

LAG_S = 0.3


class Balancer:
    """Asks every host for readiness in turn, and hands out the ready ones."""

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.ready: list[str] = fleet.host_names()
        self._turn = itertools.count()
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self) -> None:
        while not self._stopped.is_set():
            names = self.fleet.host_names()
            self.ready = [n for n in names if is_good(self.fleet.url(n, "/readyz"))]
            time.sleep(LAG_S)

    def next_address(self) -> str:
        """Return the address of the next ready host."""
        ready = self.ready
        return self.fleet.address_by_name[ready[next(self._turn) % len(ready)]]

    def await_listed(self, name: str) -> None:
        """Wait until a host gets callers again."""
        wait_until(lambda: name in self.ready, f"{name} is sent callers")

    def stop(self) -> None:
        """End the task."""
        self._stopped.set()
        self._thread.join()
