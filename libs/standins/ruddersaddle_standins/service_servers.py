"""Stand-in for a plain service: records every run.

Faults: `refuse` answers 503 without running, `slow` makes a run take that many seconds, `drop`
ends that many calls after they ran, without an answer.
"""

import time
from pathlib import Path

import eventlet
import msgspec

from ruddersaddle_standins.servers import Answer, Environ, Server, json_answer, read_bytes
from ruddersaddle_standins.speeds import Speeds

DROP_S = 60.0


class Run(msgspec.Struct):
    """One run of a call."""

    at: float
    method: str
    path: str
    key: str
    workspace: str
    body: str


class ServiceServer(Server):
    """One plain service; its record of runs is a file, so that it outlives the process."""

    def __init__(self, speeds: Speeds, record: str) -> None:
        super().__init__()
        self.speeds = speeds
        self.record = Path(record).open("ab")  # noqa: SIM115
        self.count = 0

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Run a call."""
        body = read_bytes(environ).decode(errors="replace")
        if self.has("refuse"):
            return Answer(503)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        workspace = environ.get("HTTP_WORKSPACE", "")
        self._note(Run(time.time(), method, path, key, workspace, body))
        eventlet.sleep(self.value("slow") or self.speeds.service_s)
        if self.spend("drop"):
            eventlet.sleep(DROP_S)
        return json_answer({"number": self.count, "echo": body})

    def _note(self, run: Run) -> None:
        self.count += 1
        self.record.write(msgspec.json.encode(run) + b"\n")
        self.record.flush()


def read_runs(path: Path) -> list[Run]:
    """Return the runs that a service has recorded."""
    lines = path.read_bytes().splitlines() if path.exists() else []
    return [msgspec.json.decode(line, type=Run) for line in lines]
