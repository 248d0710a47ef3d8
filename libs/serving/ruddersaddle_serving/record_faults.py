"""Records of a topic that this host can't use: each is logged, counted and read past."""

import logging
from collections.abc import Iterator
from contextlib import contextmanager

from ruddersaddle_base import clocks

from ruddersaddle_serving.ports import Record, Topic

logger = logging.getLogger(__name__)

LINES_MAX = 10
"""Most lines on one topic within `LINES_INTERVAL_S`: other writers decide how many records come."""
LINES_INTERVAL_S = 10.0


class RecordFaults:
    """The unusable records of one topic. Times are on the boot-time clock."""

    def __init__(self, topic: Topic) -> None:
        self.topic = topic
        self.count = 0
        """Number of unusable records so far."""
        self._interval_began_at = float("-inf")
        self._lines = 0
        self._unlogged = 0
        """Records that no line names, since the last line."""

    @contextmanager
    def contain(self, record: Record) -> Iterator[None]:
        """Report an exception that one record raises, so that the next ones are read."""
        try:
            yield
        except Exception as error:
            self.report(record, repr(error), error)

    def report(self, record: Record, reason: str, error: Exception | None = None) -> None:
        """Count an unusable record, and log it unless there were many of late."""
        self.count += 1
        if not self._may_log():
            self._unlogged += 1
            return
        fields = {"topic": self.topic.value, "offset": record.offset, "unlogged": self._unlogged}
        self._unlogged = 0
        logger.error(
            "Record of %s is not usable. %s", record.key, reason, extra=fields, exc_info=error
        )

    def _may_log(self) -> bool:
        now = clocks.now_s()
        if now - self._interval_began_at > LINES_INTERVAL_S:
            self._interval_began_at = now
            self._lines = 0
        self._lines += 1
        return self._lines <= LINES_MAX
