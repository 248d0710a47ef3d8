"""Stand-in for the append-only log: offsets, limited retention and rate, outages, lost responses.

Faults: `refuse` responds with 503, `hang` does not respond, `lose` drops the responses to that many
appends after they have taken effect, `late` delays the effect of appends by that many seconds.
"""

import time
from collections import Counter

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


class StoredRecord(msgspec.Struct):
    """One record that the log stores."""

    offset: int
    time: float
    data: str


class Page(msgspec.Struct):
    """A page of a stream."""

    first: int
    next: int
    records: list[StoredRecord]


class Appended(msgspec.Struct):
    """The response to an append."""

    offset: int


class LogStream:
    """The records of one stream."""

    def __init__(self, retention: int) -> None:
        self.retention = retention
        self.records: list[StoredRecord] = []
        self.first = 0
        self.appended: Signal = Signal()

    @property
    def next(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)

    def append(self, data: str) -> int:
        """Store a record and return its offset."""
        offset = self.next
        self.records.append(StoredRecord(offset, time.time(), data))
        surplus = len(self.records) - self.retention
        if surplus > 0:
            del self.records[:surplus]
            self.first += surplus
        appended, self.appended = self.appended, Signal()
        appended.send(None)
        return offset

    def read(self, start: int, wait_s: float, limit: int) -> Page:
        """Return a page, after waiting up to `wait_s` for a new record."""
        if start >= self.next and wait_s > 0:
            with eventlet.Timeout(wait_s, False):
                self.appended.wait()
        begin = max(start, self.first)
        records = self.records[begin - self.first : begin - self.first + limit]
        return Page(self.first, max(begin + len(records), start), records)


class LogServer(Server):
    """The log service."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.by_name: dict[str, LogStream] = {}
        self.append_lock = Semaphore(1)
        self.appends = 0
        self.received_by_stream: Counter[str] = Counter()
        """Appends that arrived, whether or not they have taken effect."""

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Handle an append, a read, or a request for the number of appends."""
        if path == "/appends":
            return json_answer(self.appends)
        if path.startswith("/received/"):
            return json_answer(self.received_by_stream[path.removeprefix("/received/")])
        while self.is_active("hang"):
            eventlet.sleep(HANG_STEP_S)
        if self.is_active("refuse"):
            return Answer(503)
        name = path.removeprefix("/streams/")
        if name not in self.by_name:
            self.by_name[name] = LogStream(self.speeds.retention_records)
        if method == "POST":
            self.received_by_stream[name] += 1
            return self._append(self.by_name[name], read_bytes(environ).decode())
        start = int(read_query(environ, "from", 0))
        limit = int(read_query(environ, "limit", 1000))
        page = self.by_name[name].read(start, read_query(environ, "wait", 0), limit)
        return Answer(503) if self.is_active("refuse") else json_answer(page)

    def _append(self, stream: LogStream, data: str) -> Answer:
        late_s = self.strength("late")
        with self.append_lock:
            eventlet.sleep(self.speeds.append_s)
        eventlet.sleep(late_s)
        offset = stream.append(data)
        self.appends += 1
        if self.consume("lose"):
            eventlet.sleep(HANG_S)
        return json_answer(Appended(offset))
