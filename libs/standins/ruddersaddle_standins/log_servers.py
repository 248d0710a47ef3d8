"""Stand-in for the append-only log: offsets, limited retention and rate, outages, lost answers.

Faults: `refuse` answers 503, `hang` answers nothing, `lose` drops the answers of that many appends
after they have taken effect, `late` lets appends take effect that many seconds later.
"""

import time

import eventlet
import msgspec
from eventlet.event import Event as Signal
from eventlet.semaphore import Semaphore

from ruddersaddle_standins.servers import (
    Answer,
    Environ,
    Server,
    json_answer,
    read_bytes,
    read_query,
)
from ruddersaddle_standins.speeds import Speeds

HANG_S = 30.0
HANG_STEP_S = 0.05


class Kept(msgspec.Struct):
    """One append that the log keeps."""

    offset: int
    time: float
    data: str


class Page(msgspec.Struct):
    """A page of a stream."""

    first: int
    next: int
    records: list[Kept]


class Appended(msgspec.Struct):
    """The answer to an append."""

    offset: int


class LogStream:
    """One stream's appends."""

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self.kept: list[Kept] = []
        self.first = 0
        self.grown: Signal = Signal()

    @property
    def next(self) -> int:
        """The next offset."""
        return self.first + len(self.kept)

    def append(self, data: str) -> int:
        """Keep an append and return its offset."""
        offset = self.next
        self.kept.append(Kept(offset, time.time(), data))
        surplus = len(self.kept) - self.retention
        if surplus > 0:
            del self.kept[:surplus]
            self.first += surplus
        grown, self.grown = self.grown, Signal()
        grown.send(None)
        return offset

    def read(self, start: int, wait_s: float, limit: int) -> Page:
        """Return a page, waiting for something new."""
        if start >= self.next and wait_s > 0:
            with eventlet.Timeout(wait_s, False):
                self.grown.wait()
        begin = max(start, self.first)
        records = self.kept[begin - self.first : begin - self.first + limit]
        return Page(self.first, max(begin + len(records), start), records)


class LogServer(Server):
    """The log service."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.by_name: dict[str, LogStream] = {}
        self.turn = Semaphore(1)
        self.appends = 0

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Answer an append, a read, or a question for the count of appends."""
        if path == "/appends":
            return json_answer(self.appends)
        while self.has("hang"):
            eventlet.sleep(HANG_STEP_S)
        if self.has("refuse"):
            return Answer(503)
        name = path.removeprefix("/streams/")
        if name not in self.by_name:
            self.by_name[name] = LogStream(self.speeds.retention_records)
        if method == "POST":
            return self._append(self.by_name[name], read_bytes(environ).decode())
        start = int(read_query(environ, "from", 0))
        limit = int(read_query(environ, "limit", 1000))
        page = self.by_name[name].read(start, read_query(environ, "wait", 0), limit)
        return Answer(503) if self.has("refuse") else json_answer(page)

    def _append(self, stream: LogStream, data: str) -> Answer:
        with self.turn:
            eventlet.sleep(self.speeds.append_s)
        eventlet.sleep(self.value("late"))
        offset = stream.append(data)
        self.appends += 1
        if self.spend("lose"):
            eventlet.sleep(HANG_S)
        return json_answer(Appended(offset))
