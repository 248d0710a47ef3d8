"""Reads callers' complete request bodies, up to the size that the configuration allows.

A body is kept as one object, whatever the size of its chunks. Its room is taken from the budget of
all callers, and a caller that sends as fast as it is read leaves turns to all other tasks.
"""

import io
import re
from collections.abc import Callable
from functools import lru_cache
from typing import Any, BinaryIO

from eventlet.wsgi import Input
from ruddersaddle_base.failures import Code, Failure, Step

from ruddersaddle_serving.caller_budgets import SMALL_BODY_BYTES, Holding, NoRoomError, Phase
from ruddersaddle_serving.deferred_timeouts import DeferredTimeout
from ruddersaddle_serving.read_turns import TURNS

CHUNK_SIZE = re.compile(rb"([0-9A-Fa-f]{1,8})[ \t]*(;[^\r\n]*)?\r\n\Z")
"""A chunk's size line; more than eight digits exceed any limit."""
LINE_BYTES_MAX = 4096
SHORT_LINE_BYTES = 12
"""Longest size line that is remembered."""
LINE_END = b"\r\n"
TRAILERS_MAX = 64
SLICE_BYTES = 64 * 1024
"""Most bytes that are read at once."""
TURN_BYTES = 128 * 1024
"""Bytes after which a reading task takes a turn; no usual body is so long."""
CHUNK_WORK_BYTES = 64
"""Bytes that can be read in the time that a chunk takes in addition."""
FRAMING_FACTOR = 16
"""Most bytes of size lines for each byte that a body may have: a chunk of one byte has up to 12."""
FRAMING_BYTES_MIN = 64 * 1024
"""Bytes of size lines that any body may have."""
SKIPPED_BYTES_MAX = 64 * 1024
"""Longest rest of a body that is skipped to reuse a connection; closing it costs less beyond."""
RETRY_S = 1.0
"""Retry delay of a request whose body found no room."""
HOST = "host"


def read_body(environ: dict[str, Any], bytes_max: int, wait_s: float) -> bytes | Failure:
    """Return a request's body, or why it is refused.

    A large body waits for room for `wait_s` at most.
    """
    return environ["eventlet.input"].read_whole(bytes_max, wait_s)


class CallerInput(Input):
    """The body of a caller's request."""

    def __init__(
        self, source: Input, holding: Holding, skip_s: float, leave_rest: Callable[[], None]
    ) -> None:
        super().__init__(
            source.rfile,
            source.content_length,
            source.get_socket(),
            source.wfile,
            source.wfile_line,
            source.chunked_input,
        )
        self.holding = holding
        self.skip_s = skip_s
        """Time for the rest of a body that is skipped."""
        self.leave_rest = leave_rest
        """Called if the rest stays unread, so that the connection can't be reused."""
        self.is_complete = False
        """Whether the body was read to its end."""
        self.is_broken = False
        """Whether it was read in part, so that its end can't be found any more."""

    @property
    def will_be_left(self) -> bool:
        """Whether the body stays unread if it is not read now, as it is too long to be skipped."""
        is_long = (self.content_length or 0) > SKIPPED_BYTES_MAX
        return self.is_broken or (is_long and not self.is_complete)

    def read_whole(self, bytes_max: int, wait_s: float) -> bytes | Failure:
        """Return the complete body."""
        if not self.chunked_input and not self.content_length:
            self.is_complete = self.is_hundred_continue_response_sent = True
            return b""
        if (self.content_length or 0) > bytes_max:
            return _refuse_size(bytes_max)
        self.is_broken = True
        self.holding.enter(Phase.READING)
        try:
            body = self._read_framed(bytes_max, wait_s)
        except (OSError, ValueError) as error:
            return _refuse(Code.BAD_REQUEST, f"reading the body failed: {error}")
        except NoRoomError:
            return _refuse_room()
        finally:
            self.holding.enter(Phase.RUNNING)
        if isinstance(body, Failure):
            return body
        if not self.holding.is_open:
            return _refuse_room()
        self.is_complete, self.is_broken = True, False
        return body

    def _read_framed(self, bytes_max: int, wait_s: float) -> bytes | Failure:
        reader = _BodyReader(self, bytes_max, wait_s)
        if not self.chunked_input:
            return reader.read_sized(self.content_length)
        body = reader.read_chunks()
        # Without this the library would try to read the chunks that were read here.
        self.chunk_length = 0
        return body

    def send_continue(self) -> None:
        """Send "100 Continue" if the caller waits for it before it sends its body.

        The library sends it at its own first read, which is bypassed here. While it has not been
        sent, the library closes the connection after the answer without announcing it.
        """
        if self.should_send_hundred_continue:
            self.send_hundred_continue_response()
            self.is_hundred_continue_response_sent = True

    def discard(self, buffer_size: int = SLICE_BYTES) -> None:
        """Skip the rest of a short body; called by the library to reuse the connection.

        The library's own method reads lines and bodies of any length.
        """
        if self.is_complete:
            return
        if not self.will_be_left:
            with DeferredTimeout(self.skip_s, False):
                self.read_whole(SKIPPED_BYTES_MAX, 0.0)
        if not self.is_complete:
            self.leave_rest()


class _BodyReader:
    """Reads one body."""

    def __init__(self, source: CallerInput, bytes_max: int, wait_s: float) -> None:
        self.source = source
        self.file: BinaryIO = source.rfile
        self.holding = source.holding
        self.bytes_max = bytes_max
        self.wait_s = wait_s
        self.body = io.BytesIO()
        self.size = 0
        self._framing = 0
        self._framing_max = FRAMING_BYTES_MIN + FRAMING_FACTOR * bytes_max
        self._work = 0
        self._before = self.holding.small_bytes
        self._is_large = False

    def read_sized(self, length: int) -> bytes | Failure:
        """Return a body of known length."""
        if not self._take_room(length):
            return _refuse_room()
        self.source.send_continue()
        ended_at = self._read_data(length)
        self.source.position = self.size
        if ended_at < length:
            return _refuse(Code.BAD_REQUEST, f"the body ended after {ended_at} of {length} bytes")
        return self.body.getvalue()

    def read_chunks(self) -> bytes | Failure:
        """Return a body in chunks."""
        if not self._take_room(min(SMALL_BODY_BYTES, self.bytes_max)):
            return _refuse_room()
        self.source.send_continue()
        while True:
            block = self.file.peek(1)
            read = self._read_block(block) or self._read_chunk()
            match read:
                case Failure():
                    return read
                case 0:
                    return self._end_chunks()

    def _end_chunks(self) -> bytes | Failure:
        if not _skip_trailers(self.file):
            return _refuse(Code.BAD_REQUEST, "the trailers are too long or not terminated")
        if self._is_large:
            self.holding.shrink_body(self.size)
        else:
            self.holding.resize(self._before + self.size)
        return self.body.getvalue()

    def _take_room(self, size: int) -> bool:
        if size <= SMALL_BODY_BYTES:
            return self.holding.resize(self._before + size)
        if size > self.holding.budget.bodies.bytes_max:
            return False
        self._is_large = True
        return self.holding.await_turn(size, self.wait_s)

    def _read_block(self, block: bytes) -> int | Failure:
        """Read the chunks that a block has completely; return its bytes, 0 if it has none.

        The last chunk is left.
        """
        at = 0
        pieces: list[bytes] = []
        while (line_end := block.find(LINE_END, at)) >= 0:
            start = line_end + 2
            size = _parse_size(block[at:start])
            if size is None:
                return _refuse_line()
            end = start + size
            if not size or end + 2 > len(block):
                break
            if block[end : end + 2] != LINE_END:
                return _refuse_end()
            pieces.append(block[start:end])
            at = end + 2
        data = b"".join(pieces)
        refusal = self._add(data, at - len(data))
        if refusal is not None:
            return refusal
        self.file.read(at)
        self._record_work(at + len(pieces) * CHUNK_WORK_BYTES, at)
        return at

    def _read_chunk(self) -> int | Failure:
        """Read one chunk, however it arrives; return its bytes with its size line, 0 at the end."""
        line = self.file.readline(LINE_BYTES_MAX)
        size = _parse_size(line)
        if size is None:
            return _refuse_line()
        if size == 0:
            return 0
        refusal = self._add(b"", len(line) + 2) or self._make_room_for(size)
        if refusal is not None:
            return refusal
        if self._read_data(size) < size or self.file.read(2) != LINE_END:
            return _refuse_end()
        return len(line) + size

    def _read_data(self, size: int) -> int:
        """Read bytes of the body; return how many came."""
        left = size
        while left:
            data = self.file.read1(min(left, SLICE_BYTES))
            if not data:
                break
            self.body.write(data)
            self.size += len(data)
            left -= len(data)
            self._record_work(len(data), len(data))
        return size - left

    def _add(self, data: bytes, framing: int) -> Failure | None:
        self._framing += framing
        if self._framing > self._framing_max:
            return _refuse(Code.BAD_REQUEST, "the chunks of the body are too small")
        refusal = self._make_room_for(len(data))
        if refusal is None:
            self.body.write(data)
            self.size += len(data)
        return refusal

    def _make_room_for(self, grown: int) -> Failure | None:
        """Return why so many more bytes of a body in chunks can't be read."""
        size = self.size + grown
        if size > self.bytes_max:
            return _refuse_size(self.bytes_max)
        if size <= SMALL_BODY_BYTES or self._is_large:
            return None
        return None if self._take_room(self.bytes_max) else _refuse_room()

    def _record_work(self, work: int, received: int) -> None:
        """Take a turn if enough was read since the last one."""
        self.holding.record_progress(received)
        self._work += work
        if self._work >= TURN_BYTES:
            self._work = 0
            TURNS.take()


def _parse_size(line: bytes) -> int | None:
    """Return a chunk's size from its size line; None if it is none."""
    return _parse_short(line) if len(line) <= SHORT_LINE_BYTES else _parse_line(line)


def _parse_line(line: bytes) -> int | None:
    match = CHUNK_SIZE.match(line)
    return None if match is None else int(match.group(1), 16)


_parse_short = lru_cache(1024)(_parse_line)
"""Most bodies have chunks of one size."""


def _skip_trailers(file: BinaryIO) -> bool:
    for _ in range(TRAILERS_MAX):
        line = file.readline(LINE_BYTES_MAX)
        if line == LINE_END:
            return True
        if not line.endswith(LINE_END):
            return False
    return False


def _refuse_line() -> Failure:
    return _refuse(Code.BAD_REQUEST, "a chunk has no valid size line")


def _refuse_end() -> Failure:
    return _refuse(Code.BAD_REQUEST, "the length of a chunk differs from its size line")


def _refuse_size(bytes_max: int) -> Failure:
    return _refuse(Code.TOO_LARGE, f"expected at most {bytes_max} bytes")


def _refuse_room() -> Failure:
    detail = "the host has no room for the body beside those of other requests"
    return Failure(Code.OVERLOADED, Step.PARSE, HOST, detail, retry_after_s=RETRY_S)


def _refuse(code: Code, detail: str) -> Failure:
    return Failure(code, Step.PARSE, "caller", detail)
