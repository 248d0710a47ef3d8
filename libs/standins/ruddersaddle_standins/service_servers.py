"""Stand-in for a plain service that records every run.

Faults: `refuse` responds with 503 without running, `slow` makes a run take that many seconds,
`drop` runs that many calls without responding to them.
"""

import time
from pathlib import Path

import eventlet
import msgspec

from ruddersaddle_standins.servers import Answer, Environ, Server, json_answer, read_bytes
from ruddersaddle_standins.speeds import Speeds

DROP_WAIT_S = 60.0


class Run(msgspec.Struct):
    """One run of a call."""

    at: float
    method: str
    path: str
    key: str
    workspace: str
    body: str


class ServiceServer(Server):
    """One plain service; it records runs in a file, so that they outlive the process."""

    def __init__(self, speeds: Speeds, record: str) -> None:
        super().__init__()
        self.speeds = speeds
        self.run_file = Path(record).open("ab")  # noqa: SIM115
        self.run_count = 0

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Run a call."""
        body = read_bytes(environ).decode(errors="replace")
        if self.is_active("refuse"):
            return Answer(503)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        workspace = environ.get("HTTP_WORKSPACE", "")
        self._record_run(Run(time.time(), method, path, key, workspace, body))
        eventlet.sleep(self.strength("slow") or self.speeds.service_s)
        if self.consume("drop"):
            eventlet.sleep(DROP_WAIT_S)
        return json_answer({"number": self.run_count, "echo": body})

    def _record_run(self, run: Run) -> None:
        self.run_count += 1
        self.run_file.write(msgspec.json.encode(run) + b"\n")
        self.run_file.flush()


def read_runs(path: Path) -> list[Run]:
    """Return the runs that a service has recorded."""
    lines = path.read_bytes().splitlines() if path.exists() else []
    return [msgspec.json.decode(line, type=Run) for line in lines]
