"""Splits a stream of events (text/event-stream) into whole events.

Only whole events are passed on, so that a stream that breaks off in the middle of an event can be
taken up again at another upstream without a torn event before it.
"""

END = b"\n\n"
END_CRLF = b"\r\n\r\n"
ID_FIELD = b"id:"


class EventSplitter:
    """Collects bytes and returns whole events."""

    def __init__(self) -> None:
        self._rest = bytearray()
        self.last_id: str | None = None
        self.events = 0

    @property
    def is_between_events(self) -> bool:
        """Whether no part of an event is held back."""
        return not self._rest.strip()

    def take(self, data: bytes) -> bytes:
        """Return the whole events that `data` completes, possibly none."""
        # Only what is new can end an event; an event of 20 MB that was searched whole with each
        # piece took 7 s, in which the host served nobody.
        start = max(0, len(self._rest) - len(END_CRLF))
        self._rest += data
        cut = max(_end_of(self._rest, END, start), _end_of(self._rest, END_CRLF, start))
        whole = bytes(self._rest[:cut])
        del self._rest[:cut]
        if whole:
            self._note_ids(whole)
        return whole

    def take_rest(self) -> bytes:
        """Return what is left at the end of a stream that ended as it should."""
        rest = bytes(self._rest)
        self._rest.clear()
        return rest

    def drop_rest(self) -> None:
        """Forget a torn event."""
        self._rest.clear()

    def _note_ids(self, whole: bytes) -> None:
        for line in whole.split(b"\n"):
            if line.startswith(ID_FIELD):
                self.last_id = line[len(ID_FIELD) :].strip().decode("latin-1")
                self.events += 1


def _end_of(data: bytearray, mark: bytes, start: int) -> int:
    """Return where the last mark from `start` ends; 0 if there is none."""
    found = data.rfind(mark, start)
    return found + len(mark) if found >= 0 else 0
