"""A surplus answer that arrives late is a rejection of another request."""

import socket
import sys
import threading
import time
from collections import Counter
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))

from cases import Deployment, make_route, run_case  # noqa: E402
from clients import Channel  # noqa: E402
from records import Record  # noqa: E402
from runners import Request, Runner, write_answer  # noqa: E402

PROMISES = (408, 421, 429, 503)
ROUNDS = 5
OCCUPIED_S = 0.4
KEY = "key-of-clinic"


class FaultyRunner(Runner):
    """Sends each rejection twice; the second one late, where the next answer is expected."""

    surplus_by_connection: dict[socket.socket, str]

    def make_faulty(self) -> None:
        """Begin to send surplus answers."""
        self.surplus_by_connection = {}
        self.after_rejection = self._keep_surplus
        self.before_request = self._send_surplus

    def _keep_surplus(self, connection: socket.socket, request: Request) -> None:
        self.surplus_by_connection[connection] = request.id

    def _send_surplus(self, connection: socket.socket, request: Request) -> None:
        earlier = self.surplus_by_connection.pop(connection, None)
        if earlier is None:
            return
        self.record.line(
            self.name, f"surplus answer of {earlier} (503, Not-Executed) as {request.id} arrives"
        )
        write_answer(connection, 503, earlier, Not_Executed="1", Instance_Id=self.name)


def play(deployment: Deployment, record: Record, has_trouble: bool) -> list[str]:
    """Fill both runners by one host, have the other host's request rejected, then send more."""
    runners = []
    for _ in range(2):
        runner = deployment.add_runner("desk-app", slots=1)
        runner.__class__ = FaultyRunner
        runner.work_s = lambda request: OCCUPIED_S if request.target == "/book/long" else 0.02
        if has_trouble:
            runner.make_faulty()
        runners.append(runner)
    routes = [
        make_route("book", "non_idempotent", "desk-app"),
        make_route("pay", "non_idempotent", "desk-app", max_attempts=2),
    ]
    deployment.publish(routes, [{"name": "clinic", "api_keys": [KEY], "dedicated": False}])
    first, second = deployment.start_hosts(["zone-a", "zone-a"])
    statuses: dict[str, int] = {}

    def call(host_number: int, path: str, request: str) -> None:
        host = (first, second)[host_number]
        channel = Channel((host.ip, host.front), record)
        statuses[request] = channel.call("POST", path, request, KEY, b"x" * 100).status
        channel.close()

    for number in range(ROUNDS):
        occupying = [
            threading.Thread(target=call, args=(0, "/book/long", f"{number}-long-{each}"))
            for each in range(2)
        ]
        for thread in occupying:
            thread.start()
        time.sleep(OCCUPIED_S / 2)
        # Both runners are full: each rejects it, and has its connection kept.
        call(1, "/pay/a", f"{number}-rejected")
        for thread in occupying:
            thread.join()
        time.sleep(0.1)
        path = "/book/b" if number % 2 else "/pay/b"
        call(1, path, f"{number}-next")
        time.sleep(0.2)
    time.sleep(1.0)
    return find_violations(runners, statuses)


def find_violations(runners: list[Runner], statuses: dict[str, int]) -> list[str]:
    """Return what broke REFUSED or TWICE."""
    runs = Counter(request.id for runner in runners for _, request in runner.runs)
    refused = [
        f"REFUSED: {request} got {status} and ran {runs[request]} times"
        for request, status in statuses.items()
        if status in PROMISES and runs[request]
    ]
    twice = [f"TWICE: {request} ran {count} times" for request, count in runs.items() if count > 1]
    return refused + twice


if __name__ == "__main__":
    run_case(FOLDER, play)
