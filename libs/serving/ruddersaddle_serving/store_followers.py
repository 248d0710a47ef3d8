"""Follows topics of the platform's store, one task for each topic."""

import logging
import random
from collections.abc import Callable

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.crash_shares import CrashShares
from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.ports import (
    MetadataStore,
    ModelVersion,
    Page,
    Record,
    StorePosition,
    Topic,
)
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

OPERATOR_WAIT_S = 1.0
"""How long one question for news of operators waits at the store. An answer confirms the
configuration, whose age has to stay well under the shortest bound on it (2 s)."""
UPSTREAM_PAUSE_S = 0.8
"""Pause between reads of upstreams' entries. Each upstream writes every 1.2 s, so a waiting read
would return at once; a leave has to be known within `drain_ms` (2 s)."""
FALLBACK_S = 3.0
"""A host that is no reader asks the store by itself when what others told it is older than this. On
an ordinary day that is 1.9 s at most: the reader's waiting question (1 s) and the host's own pause.
A key needs a confirmation within 4.7 s."""
CRASH_WAIT_S = 0.6
"""How long one question for crash records waits at the store; a new record is answered at once.
With a longer one hosts that hear of others ask the store as well, as what they hear is too old."""
CRASH_FALLBACK_S = 2.4
"""The same as `FALLBACK_S` for crash records, which bind 3 s after a crash also a host that is cut
off from the others. Told by others they are 2.1 s old at most."""
READER_CHECK_S = 0.25
"""Pause of a host that is no reader until it looks again whether it should ask the store."""
RETRY_S = 0.3
"""Pause after a failed read, with as much again drawn at random, so that hosts spread out."""


class StoreLink:
    """Whether the store answers this host, told in the log once for each change."""

    def __init__(self, name: str = "Store") -> None:
        self.name = name
        self.lost_since: float | None = None
        self.answered_at = float("-inf")

    def record(self, answer: object) -> None:
        """Take the answer to any call."""
        if isinstance(answer, Failure) and answer.code is not Code.GAP:
            if self.lost_since is None:
                self.lost_since = clocks.now_s()
                logger.warning("%s is lost. %s: %s", self.name, answer.step.value, answer.detail)
            return
        self.answered_at = clocks.now_s()
        if self.lost_since is not None:
            away_s = clocks.now_s() - self.lost_since
            logger.info("%s is regained after %.1f s.", self.name, away_s)
            self.lost_since = None


class TopicFollower:
    """Reads one keyed topic whole, then what changes."""

    fallback_s = FALLBACK_S

    def __init__(self, store: MetadataStore, topic: Topic, link: StoreLink) -> None:
        self.store = store
        self.topic = topic
        self.link = link
        self.position: StorePosition | None = None
        self._era: int | None = None
        """Era of the last page; None before the first."""

    def run(self, wait_s: float, pause_s: float, is_reader: Callable[[], bool]) -> None:
        """Follow the topic for good, while this host is a reader or knows nothing newer."""
        while True:
            if not is_reader() and self.age_s < self.fallback_s:
                eventlet.sleep(READER_CHECK_S)
                continue
            page = self._read(wait_s)
            self.link.record(page)
            if isinstance(page, Failure):
                self._record_failure(page)
                eventlet.sleep(RETRY_S * (1 + random.random()))
                continue
            eventlet.sleep(pause_s)

    def _read(self, wait_s: float) -> Page | Failure:
        asked_at = clocks.now_s()
        if self.position is None:
            page = self.store.newest(self.topic)
        else:
            page = self.store.changes(self.topic, self.position, wait_s)
        if isinstance(page, Failure):
            return page
        complete = self.position is None
        if self._era not in (None, page.end.era):
            self.record_restore()
        self._era = page.end.era
        if self.apply(page, complete, asked_at):
            self.position = page.end
        return page

    def _record_failure(self, failure: Failure) -> None:
        if failure.code is Code.GAP:
            logger.info("Topic %s is read whole. %s", self.topic.value, failure.detail)
            self.position = None
        else:
            self.record_outage()

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Take a page; return whether it is not older than what is known."""
        raise NotImplementedError

    @property
    def age_s(self) -> float:
        """Seconds since what this host knows of the topic was last confirmed."""
        raise NotImplementedError

    def record_outage(self) -> None:
        """Take that the store did not answer."""

    def record_restore(self) -> None:
        """Take that the next page is of a store that has come back from an earlier copy."""


class OperatorFollower(TopicFollower):
    """Follows what operators publish."""

    def __init__(self, store: MetadataStore, link: StoreLink, publications: Publications) -> None:
        super().__init__(store, Topic.OPERATOR, link)
        self.publications = publications

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Take published items, then confirm the belief as of the question."""
        evacuations = []
        for record in page.records:
            item = self.store.decode_operator(record)
            match item:
                case Failure():
                    logger.error(
                        "Record %d of %s is unreadable. %s", record.offset, record.key, item
                    )
                case Evacuation():
                    evacuations.append(item)
                case PublishedConfiguration() | ModelVersion():
                    self.publications.apply(item)
                    self._record_stored_version(item)
        self._apply_evacuations(evacuations, complete, page.end)
        return self.publications.confirm(asked_at, page.end)

    def _apply_evacuations(
        self, evacuations: list[Evacuation], complete: bool, end: StorePosition
    ) -> None:
        """Take evacuations; unlike what has versions, one that lags would go back."""
        publications = self.publications
        if end < publications.end:
            return
        if complete:
            halls = [each.hall for each in evacuations if each.in_force]
            publications.evacuations.replace(halls, publications.is_of_later_era(end))
            return
        for each in evacuations:
            publications.evacuations.apply(each)

    def _record_stored_version(self, item: PublishedConfiguration | ModelVersion) -> None:
        """Tell once when the store has an older configuration than the one in force."""
        if (
            not isinstance(item, PublishedConfiguration)
            or item.version == self.publications.stored_version
        ):
            return
        self.publications.stored_version = item.version
        known = self.publications.version
        if item.version < known:
            logger.warning(
                "Store has configuration %d, %d stays in force; operators have to write it again.",
                item.version,
                known,
            )

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed."""
        return self.publications.age_s


class UpstreamFollower(TopicFollower):
    """Follows the entries of upstreams."""

    def __init__(self, store: MetadataStore, link: StoreLink, upstreams: UpstreamList) -> None:
        super().__init__(store, Topic.UPSTREAMS, link)
        self.upstreams = upstreams
        self.unusable = 0
        """Entries that were read and name no upstream to use."""
        self._is_first_page = True
        """Whether the next page is the first since the store did not answer: it may hold writes of
        before, whatever other hosts have told of the store's return."""

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Take entries and their ends."""
        if complete:
            decoded = [self._decode(record) for record in page.records if record.value]
            entries = [entry for entry in decoded if entry is not None]
            self.upstreams.replace(entries, asked_at)
            self._is_first_page = False
            return True
        put = self.upstreams.put if self._is_first_page else self.upstreams.put_written
        self._is_first_page = False
        for record in page.records:
            entry = self._decode(record) if record.value else None
            if entry is not None:
                put(entry)
            elif record.value:
                # A whole list leaves it out, too; its upstream writes it again with its heartbeat.
                self.upstreams.drop(UpstreamId(record.key))
            else:
                self.upstreams.remove(UpstreamId(record.key))
        self.upstreams.confirm(asked_at)
        return True

    def _decode(self, record: Record) -> UpstreamEntry | None:
        entry = self.store.decode_upstream(record)
        if isinstance(entry, Failure):
            self.unusable += 1
            logger.error("Entry of %s names no upstream. %s", record.key, entry.detail)
            return None
        return entry

    @property
    def age_s(self) -> float:
        """Seconds since the entries were last confirmed."""
        return self.upstreams.age_s

    def record_outage(self) -> None:
        """Entries may lapse while the store is away."""
        self._is_first_page = True
        self.upstreams.record_outage()

    def record_restore(self) -> None:
        """Entries written since the copy are missing; of those that are there some are over."""
        self._is_first_page = True
        self.upstreams.record_restore()


class CrashFollower(TopicFollower):
    """Follows the records of requests that crash upstreams."""

    fallback_s = CRASH_FALLBACK_S

    def __init__(self, store: MetadataStore, shares: CrashShares) -> None:
        # What this topic does says nothing of the others, so that it has a link of its own.
        super().__init__(store, Topic.CRASHES, StoreLink("Topic of crash records"))
        self.shares = shares

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Take records, then confirm them as of the question."""
        for record in page.records:
            self.shares.apply_record(record)
        if complete:
            self.shares.write_missing()
        self.shares.confirm(asked_at)
        return True

    @property
    def age_s(self) -> float:
        """Seconds since the records were last confirmed."""
        return self.shares.age_s

    def record_restore(self) -> None:
        """What was written since the copy is gone."""
        self.shares.record_restore()
