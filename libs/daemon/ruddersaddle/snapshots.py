"""Snapshots of the configuration, appended to the log before the oldest needed record expires.

Any host may write one. A random delay makes it likely that only one does; a second is harmless.
"""

import logging
import random
import time

import eventlet
from ruddersaddle_base.ids import START, split_offset
from ruddersaddle_base.settings import Settings
from ruddersaddle_base.tasks import spawn_forever
from ruddersaddle_state.appenders import Appender
from ruddersaddle_state.configurations import Configuration

logger = logging.getLogger(__name__)

CHECK_INTERVAL_S = 1.0
"""Interval between checks whether a snapshot is due."""
DELAY_MAX_S = 2.0
RETENTION_SHARE = 0.25
"""A snapshot is due once the age of the last one reaches this share of the retention."""


class SnapshotTask:
    """Writes a snapshot when one is due and no other host has written it."""

    def __init__(
        self, settings: Settings, configuration: Configuration, appender: Appender
    ) -> None:
        self.records_max = settings.integer("platform.snapshot_after")
        self.age_max_s = settings.number("platform.retention_s") * RETENTION_SHARE
        self.configuration = configuration
        self.appender = appender
        self.written = 0
        self._last_snapshot = START
        self._last_snapshot_at = time.monotonic()
        self._random = random.SystemRandom()

    def start(self) -> None:
        """Start the task."""
        spawn_forever("snapshots", self._run)

    def _run(self) -> None:
        while True:
            eventlet.sleep(CHECK_INTERVAL_S)
            if not self.is_due():
                continue
            eventlet.sleep(self._random.uniform(0, DELAY_MAX_S))
            if self.is_due():
                self.write()

    def is_due(self) -> bool:
        """Return whether the last snapshot is too many records back or too old."""
        configuration = self.configuration
        if configuration.last_snapshot != self._last_snapshot:
            self._last_snapshot = configuration.last_snapshot
            self._last_snapshot_at = time.monotonic()
        if not configuration.complete or configuration.position == START:
            return False
        records = split_offset(configuration.position) - split_offset(self._last_snapshot)
        return (
            records >= self.records_max
            or time.monotonic() - self._last_snapshot_at >= self.age_max_s
        )

    def write(self) -> None:
        """Append a snapshot."""
        self.written += 1
        self._last_snapshot_at = time.monotonic()
        logger.info(
            "Writing a snapshot of the configuration at position %d.", self.configuration.position
        )
        self.appender.post(self.configuration.snapshot())
