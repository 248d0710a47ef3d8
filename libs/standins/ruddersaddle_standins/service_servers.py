"""Stand-in for a plain service: records every run.

Faults: `refuse` answers 503 without running, `slow` makes a run take that many seconds, `drop`
ends that many calls after they ran, without an answer.
"""

import time

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
    """One plain service."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.runs: list[Run] = []

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Run a call, or list the runs."""
        if path == "/runs":
            return json_answer(self.runs)
        body = read_bytes(environ).decode(errors="replace")
        if self.has("refuse"):
            return Answer(503)
        key = environ.get("HTTP_IDEMPOTENCY_KEY", "")
        workspace = environ.get("HTTP_WORKSPACE", "")
        self.runs.append(Run(time.time(), method, path, key, workspace, body))
        eventlet.sleep(self.value("slow") or self.speeds.service_s)
        if self.spend("drop"):
            eventlet.sleep(DROP_S)
        return json_answer({"number": len(self.runs), "echo": body})
