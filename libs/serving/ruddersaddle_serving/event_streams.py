"""Splits a stream of server-sent events (text/event-stream) into complete events.

Only complete events are forwarded, so that a stream that breaks off in the middle of an event can
be resumed at another upstream without a partial event before it. Lines end with CR, LF or CRLF.
"""

from ruddersaddle_serving.prompts import Headers

EVENT_STREAM = "text/event-stream"
BLANK_LINE_MARKS = (b"\n\n", b"\n\r", b"\r\r")
"""The ends of a line and of the blank line after it, as far as all line ends have them in common:
CRLF after LF or CRLF begins with the second mark, after CR with the third."""
MARK_BYTES = 2
EVENT_BYTES_MAX = 24 * 1024 * 1024
"""Most bytes that are buffered until an event is complete; events of 20 MB have to pass."""
BYTE_ORDER_MARK = b"\xef\xbb\xbf"
ID_FIELD = b"id:"
COMMENT = b":"
LINE_ENDS = (b"\n", b"\r")


def content_type(headers: Headers) -> str | None:
    """Return the media type of an answer in lower case, without parameters; None if not given."""
    values = [value for name, value in headers if name.lower() == "content-type"]
    return values[0].partition(";")[0].strip().lower() if values else None


class ByteStream:
    """Stands in for `EventSplitter` in answers that aren't event streams: all bytes pass."""

    is_inside_event = False
    has_endless_event = False
    buffered_bytes = 0
    last_id = None

    def __init__(self) -> None:
        self.has_event = False
        """Whether any byte has come."""

    def feed(self, data: bytes) -> bytes:
        """Return the bytes."""
        self.has_event = True
        return data

    def flush(self) -> bytes:
        """Return nothing, as nothing is buffered."""
        return b""


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._buffer = bytearray()
        self._is_at_start = True
        """Whether nothing of the present answer was returned."""
        self._has_returned = False
        self.has_event = False
        """Whether the present answer has had a complete event; comments are none."""
        self.last_id: str | None = None
        self.events = 0

    @property
    def is_inside_event(self) -> bool:
        """Whether a stream that ends now has ended inside an event.

        Blank lines and comments may follow the last event; a line that isn't ended may not.
        """
        rest = bytes(self._buffer)
        if self._is_at_start:
            rest = rest.removeprefix(BYTE_ORDER_MARK)
        if not rest:
            return False
        if not rest.endswith(LINE_ENDS):
            return True
        return any(line and not line.startswith(COMMENT) for line in rest.splitlines())

    @property
    def buffered_bytes(self) -> int:
        """Bytes of the event that isn't complete yet."""
        return len(self._buffer)

    @property
    def has_endless_event(self) -> bool:
        """Whether more is buffered than an event may have."""
        return self.buffered_bytes > EVENT_BYTES_MAX

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes, possibly none."""
        # Only new bytes are searched for the end of an event: searching the whole buffer for each
        # chunk of a 20 MB event blocked the event loop for 7 s.
        start = max(0, len(self._buffer) - MARK_BYTES + 1)
        self._buffer += data
        cut = max(self._end_of(mark, start) for mark in BLANK_LINE_MARKS)
        return self._take(cut)

    def flush(self) -> bytes:
        """Return the comments and blank lines after the last event of a stream."""
        return self._take(len(self._buffer))

    def begin_answer(self) -> None:
        """Discard a partial event; what follows is the answer of another upstream."""
        self._buffer.clear()
        self._is_at_start = True
        self.has_event = False

    def _take(self, size: int) -> bytes:
        complete = bytes(self._buffer[:size])
        del self._buffer[:size]
        if not complete:
            return b""
        if self._is_at_start:
            content = complete.removeprefix(BYTE_ORDER_MARK)
            # In the middle of a stream, the mark would be part of a field's name.
            complete = content if self._has_returned else complete
            self._is_at_start = False
        else:
            content = complete
        self._has_returned = True
        self._record_ids(content)
        return complete

    def _record_ids(self, events: bytes) -> None:
        for line in events.splitlines():
            self.has_event = self.has_event or (bool(line) and not line.startswith(COMMENT))
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.events += 1

    def _end_of(self, mark: bytes, start: int) -> int:
        """Return the end of the last blank line with this mark from `start` on; 0 if none."""
        found = self._buffer.rfind(mark, start)
        if found < 0:
            return 0
        end = found + MARK_BYTES
        is_split = mark.endswith(b"\r") and self._buffer[end : end + 1] == b"\n"
        return end + is_split
