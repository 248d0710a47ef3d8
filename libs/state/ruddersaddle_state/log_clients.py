"""HTTP client of the platform's append-only log."""

import msgspec
import urllib3
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import Position, join_position

from ruddersaddle_state.records import Batch, PositionedRecord, Stream

PAGE_MAX = 1000
"""Most appends read in one page."""


class LogRecord(msgspec.Struct):
    """One append as the log returns it; `time` is in Unix seconds."""

    offset: int
    time: float
    data: str


class LogPage(msgspec.Struct):
    """A page of a stream: the first retained offset, the next offset to read, and the appends."""

    first: int
    next: int
    records: list[LogRecord]


class AppendReply(msgspec.Struct):
    """The log's reply to an append."""

    offset: int


class Page(msgspec.Struct):
    """A page with its batches decoded into records, in order; offsets count appends."""

    first: int
    next: int
    records: list[PositionedRecord]


class LogClient:
    """Appends to and reads from the log service at one address; may be used by many tasks."""

    def __init__(self, address: str, timeout_s: float) -> None:
        self.address = address
        self.timeout_s = timeout_s
        host, _, port = address.partition(":")
        self.pool = urllib3.HTTPConnectionPool(host, int(port), maxsize=8, retries=False)

    def append(self, stream: Stream, batch: Batch) -> int | Failure:
        """Append a batch and return its offset.

        The failure's `ran` says whether the append may have taken effect: only if no connection
        was established is it certain that it did not.
        """
        path = f"/streams/{stream.value}"
        reply = self._call("POST", path, Step.APPEND, self.timeout_s, encode_json(batch))
        if isinstance(reply, Failure):
            return reply
        decoded = decode_json(reply, AppendReply, Step.APPEND, self.address)
        if isinstance(decoded, Failure):
            return decoded.with_ran(Ran.UNKNOWN)
        return decoded.offset

    def read(self, stream: Stream, start: int, wait_s: float) -> Page | Failure:
        """Read from an offset on, waiting up to `wait_s` seconds for new appends."""
        path = f"/streams/{stream.value}?from={start}&wait={wait_s}&limit={PAGE_MAX}"
        reply = self._call("GET", path, Step.READ, self.timeout_s + wait_s)
        if isinstance(reply, Failure):
            return reply
        page = decode_json(reply, LogPage, Step.READ, self.address)
        if isinstance(page, Failure):
            return page
        return Page(page.first, page.next, _decode_batches(page))

    def _call(
        self, method: str, path: str, step: Step, timeout_s: float, body: bytes | None = None
    ) -> bytes | Failure:
        timeout = urllib3.Timeout(connect=self.timeout_s, read=timeout_s)
        try:
            reply = self.pool.request(method, path, body=body, timeout=timeout)
        except (urllib3.exceptions.NewConnectionError, urllib3.exceptions.ConnectTimeoutError) as e:
            return self._failure(step, str(e), Ran.NOT_RUN)
        except urllib3.exceptions.HTTPError as error:
            return self._failure(step, str(error), Ran.UNKNOWN)
        if reply.status != 200:
            return self._failure(step, f"status {reply.status}", Ran.UNKNOWN)
        return reply.data

    def _failure(self, step: Step, detail: str, ran: Ran) -> Failure:
        return Failure(Code.LOG_UNAVAILABLE, step, self.address, detail, ran)


def _decode_batches(page: LogPage) -> list[PositionedRecord]:
    records = []
    for record in page.records:
        batch = _decode_batch(record.data)
        for index, each in enumerate(batch.records):
            position = join_position(record.offset, index)
            records.append(PositionedRecord(Position(position), record.time, each))
    return records


def _decode_batch(data: str) -> Batch:
    batch = decode_json(data, Batch, Step.READ, "log")
    if isinstance(batch, Failure):
        # An unreadable batch counts as empty, which is the same on all hosts of this version.
        return Batch(())
    return batch
