"""Followers of the topics of the platform's store, one task for each topic."""

import logging
import random
from collections.abc import Callable

import eventlet
import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.crash_shares import CrashShares
from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.ports import (
    TOPIC_START,
    MetadataStore,
    ModelVersion,
    Page,
    Record,
    StorePosition,
    Topic,
)
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.record_faults import RecordFaults
from ruddersaddle_serving.rollouts.order_books import OrderBook
from ruddersaddle_serving.rollouts.orders import RolloutOrder, UnusableOrder
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

OPERATOR_WAIT_S = 1.0
"""How long one read of the operators' topic waits at the store for new records. The response
confirms the configuration, whose age must stay well below the shortest bound on it (2 s)."""
UPSTREAM_PAUSE_S = 0.8
"""Pause between reads of upstreams' entries. Each upstream writes every 1.2 s, so that a waiting
read would return at once; a leave must be known within `drain_ms` (2 s)."""
FALLBACK_S = 3.0
"""Age of the view above which a host that is not a reader reads the store itself. In normal
operation the age is 1.9 s at most: the reader's waiting read (1 s) and the host's own pause. A key
needs a confirmation within 4.7 s."""
CRASH_WAIT_S = 0.6
"""How long one read of crash records waits at the store; a new record is returned at once. With a
longer wait, hosts that get the records from a reader find them too old and read the store too."""
CRASH_FALLBACK_S = 2.4
"""The same as `FALLBACK_S` for crash records, which must take effect within 3 s of a crash also on
a host that is cut off from the others. Received from other hosts they are 2.1 s old at most."""
FALLBACK_SPREAD_S = 1.0
"""With several regions, a host that is not a reader reads the store only once its view is older
than its fallback age by a random part of this, so that the hosts of a region that has lost its
reader, or that was cut off, don't all load the link at the same moment. With a read of 0.1 s the
view is at most 4.3 s old; a key needs a confirmation within 4.7 s."""
CRASH_FALLBACK_SPREAD_S = 0.3
"""The same for crash records, which must take effect within 3 s."""
FAR_ROUND_TRIP_S = 0.2
"""Added to `FALLBACK_S` with several regions: the reader's two reads and the answer that a host
gets may each take 60 ms longer."""
FALLBACK_RETRY_S = 1.5
"""With several regions, pause of a host that is not a reader after a failed read, plus up to as
much again at random. Once a cut link works again, the region's reader has a new view within a
second and sends it to the others."""
RETRY_S = 0.3
"""Pause after a failed read, plus up to as much again at random, so that hosts don't retry at the
same time."""


class StoreLink:
    """Whether the store answers this host; each change is logged once."""

    def __init__(self, name: str = "Store") -> None:
        self.name = name
        self.unavailable_since: float | None = None
        self.answered_at = float("-inf")

    def record(self, answer: object) -> None:
        """Record the result of a call."""
        if isinstance(answer, Failure) and answer.code is not Code.GAP:
            if self.unavailable_since is None:
                self.unavailable_since = clocks.now_s()
                logger.warning(
                    "%s is unavailable. %s: %s", self.name, answer.step.value, answer.detail
                )
            return
        self.answered_at = clocks.now_s()
        if self.unavailable_since is not None:
            outage_s = clocks.now_s() - self.unavailable_since
            logger.info("%s is available again after %.1f s.", self.name, outage_s)
            self.unavailable_since = None


class TopicFollower:
    """Reads one keyed topic completely, then its changes.

    The view of a topic moves on by what other hosts tell as well. A read begins after all that the
    view has: what lies before it would take the view back. A record that can't be used is reported
    and read past: it hides no other one.
    """

    fallback_s = FALLBACK_S
    fallback_spread_s = FALLBACK_SPREAD_S
    far_round_trip_s = FAR_ROUND_TRIP_S

    def __init__(self, store: MetadataStore, topic: Topic, link: StoreLink) -> None:
        self.is_divided = False
        """Whether there are several regions: hosts then spread their fallback reads over time."""
        self.store = store
        self.topic = topic
        self.link = link
        self.position: StorePosition | None = None
        """Position after the last page that was read; None if the whole topic is to be read."""
        self.faults = RecordFaults(topic)
        self._era: int | None = None
        """Era of the last page; None before the first."""

    def run(
        self,
        wait_s: float,
        pause_s: float,
        is_reader: Callable[[], bool],
        await_change: Callable[[float], None],
    ) -> None:
        """Follow the topic forever, while this host is a reader or its view is too old.

        `await_change` waits until this host may have become a reader, for some seconds at most.
        """
        fallback_s = self.draw_fallback_s()
        while True:
            if not is_reader() and self.age_s < fallback_s:
                await_change(fallback_s - self.age_s)
                continue
            try:
                page = self._read(wait_s)
            except Exception:
                # Changes that can't be applied may be missing from the complete topic.
                self.position = None
                raise
            fallback_s = self.draw_fallback_s()
            self.link.record(page)
            if isinstance(page, Failure):
                self._record_failure(page)
                self._pause_after_failure(is_reader, await_change)
                continue
            eventlet.sleep(self._pause_s(page, pause_s))

    def draw_fallback_s(self) -> float:
        """Return the age of the view above which this host reads the topic if it isn't a reader."""
        if not self.is_divided:
            return self.fallback_s
        return self.fallback_s + self.far_round_trip_s + self.fallback_spread_s * random.random()

    def _pause_s(self, page: Page, pause_s: float) -> float:
        """Return the pause after a page; one that confirms nothing is no reason to hurry."""
        if page.end < self.view_end:
            return RETRY_S * (1 + random.random())
        return 0.0 if page.has_more else pause_s

    @property
    def view_end(self) -> StorePosition:
        """Position up to which the view has all changes, whoever told them."""
        return TOPIC_START

    def _next_position(self) -> StorePosition | None:
        """Return the position at which the next read begins; None to read the whole topic."""
        return None if self.position is None else max(self.position, self.view_end)

    def _pause_after_failure(
        self, is_reader: Callable[[], bool], await_change: Callable[[float], None]
    ) -> None:
        """Wait before the next attempt; a host that becomes a reader meanwhile waits no longer."""
        if not self.is_divided or is_reader():
            eventlet.sleep(RETRY_S * (1 + random.random()))
            return
        until = clocks.now_s() + FALLBACK_RETRY_S * (1 + random.random())
        while clocks.now_s() < until and not is_reader():
            await_change(until - clocks.now_s())

    def _read(self, wait_s: float) -> Page | Failure:
        asked_at = clocks.now_s()
        position = self._next_position()
        complete = position is None
        if complete:
            page = self.store.newest(self.topic)
        else:
            page = self.store.changes(self.topic, position, wait_s)
        if isinstance(page, Failure):
            return page
        if self._era not in (None, page.end.era):
            self.record_restore()
        self._era = page.end.era
        # Until the rest is read, the view lacks changes that the store had accepted before.
        confirmed_at = float("-inf") if page.has_more else asked_at
        if position is not None and position < self.view_end:
            page = self._without_known(page)
        self.apply(page, complete, confirmed_at)
        self.position = page.end
        return page

    def _without_known(self, page: Page) -> Page:
        """Return a page without changes that the view has learned of since it was asked for."""
        known_end = self.view_end
        records = tuple(
            each for each in page.records if StorePosition(page.end.era, each.offset) >= known_end
        )
        return msgspec.structs.replace(page, records=records)

    def _record_failure(self, failure: Failure) -> None:
        if failure.code is Code.GAP:
            logger.info(
                "Topic %s is read again from the start. %s", self.topic.value, failure.detail
            )
            self.position = None
        else:
            self.record_outage()

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Apply a page, `complete` or of changes; return whether it is not older than the view."""
        raise NotImplementedError

    @property
    def age_s(self) -> float:
        """Seconds since this host's view of the topic was last confirmed."""
        raise NotImplementedError

    def record_outage(self) -> None:
        """Record that the store did not answer."""

    def record_restore(self) -> None:
        """Record that the next page comes from a store restored from an earlier copy."""


class OperatorFollower(TopicFollower):
    """Follows what operators publish."""

    def __init__(
        self,
        store: MetadataStore,
        link: StoreLink,
        publications: Publications,
        orders: OrderBook | None = None,
    ) -> None:
        super().__init__(store, Topic.OPERATOR, link)
        self.publications = publications
        self.orders = orders
        """Orders of rollouts; None on deployments without them."""

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Apply published items, then confirm the view as of the request."""
        evacuations: list[Evacuation] = []
        orders: list[tuple[Record, RolloutOrder | UnusableOrder]] = []
        for record in page.records:
            with self.faults.contain(record):
                item = self.store.decode_operator(record)
                match item:
                    case Failure():
                        self.faults.report(record, str(item))
                    case Evacuation():
                        evacuations.append(item)
                    case RolloutOrder() | UnusableOrder():
                        orders.append((record, item))
                    case PublishedConfiguration() | ModelVersion():
                        self.publications.apply(item)
                        self._record_stored_version(item)
        self._apply_evacuations(evacuations, complete, page.end)
        if self.orders is not None:
            self._apply_orders(self.orders, orders, complete, page.end)
        return self.publications.confirm(asked_at, page.end)

    def _apply_evacuations(
        self, evacuations: list[Evacuation], complete: bool, end: StorePosition
    ) -> None:
        """Apply evacuations; they have no versions, so a page that lags would revert them."""
        publications = self.publications
        if end < publications.end:
            return
        if complete:
            halls = [each.hall for each in evacuations if each.in_force]
            publications.evacuations.replace(halls, publications.is_of_later_era(end))
            return
        for each in evacuations:
            publications.evacuations.apply(each)

    def _apply_orders(
        self,
        book: OrderBook,
        orders: list[tuple[Record, RolloutOrder | UnusableOrder]],
        complete: bool,
        end: StorePosition,
    ) -> None:
        """Apply orders of rollouts; a page that lags may lack some."""
        for record, order in orders:
            with self.faults.contain(record):
                match order:
                    case RolloutOrder():
                        book.apply(order, StorePosition(end.era, record.offset))
                    case UnusableOrder():
                        self.faults.report(record, str(order.failure))
        if complete and end >= self.publications.end:
            book.withdraw_missing({order.pool for _, order in orders}, end)

    def _record_stored_version(self, item: PublishedConfiguration | ModelVersion) -> None:
        """Log once if the store has an older configuration than the one in force."""
        if (
            not isinstance(item, PublishedConfiguration)
            or item.version == self.publications.stored_version
        ):
            return
        self.publications.stored_version = item.version
        known = self.publications.version
        if item.version < known:
            logger.warning(
                "Store has configuration %d, %d stays in force; operators must publish it again.",
                item.version,
                known,
            )

    @property
    def view_end(self) -> StorePosition:
        """Position up to which everything published is in force."""
        return self.publications.end

    @property
    def age_s(self) -> float:
        """Seconds since the configuration was last confirmed."""
        return self.publications.age_s


class UpstreamFollower(TopicFollower):
    """Follows the entries of upstreams."""

    def __init__(self, store: MetadataStore, link: StoreLink, upstreams: UpstreamList) -> None:
        super().__init__(store, Topic.UPSTREAMS, link)
        self.upstreams = upstreams
        self._is_first_page = True
        """Whether the next page is the first since an outage: it may hold writes from before the
        outage, even if other hosts have reported that the store answers again."""

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Apply entries and their removals, unless another host's list already has them all."""
        if self.upstreams.covers(page.end):
            self._is_first_page = False
            self.upstreams.confirm_covered(page.end, asked_at)
            return True
        if complete:
            decoded = [self._decode(record) for record in page.records if record.value]
            entries = [entry for entry in decoded if entry is not None]
            self.upstreams.replace(entries, asked_at, page.end)
            self._is_first_page = False
            return True
        put = self.upstreams.put if self._is_first_page else self.upstreams.put_written
        self._is_first_page = False
        for record in page.records:
            self._apply_change(record, put)
        self.upstreams.advance(page.end)
        self.upstreams.confirm(asked_at)
        return True

    def _apply_change(self, record: Record, put: Callable[[UpstreamEntry], None]) -> None:
        upstream = UpstreamId(record.key)
        with self.faults.contain(record):
            if not record.value:
                self.upstreams.remove(upstream)
                return
            entry = self._decode(record)
            if entry is not None:
                put(entry)
                return
        # An entry that can't be used is missing from a complete list, too. Its upstream rewrites it
        # with each heartbeat.
        self.upstreams.drop(upstream)

    def _decode(self, record: Record) -> UpstreamEntry | None:
        """Return the entry of an upstream, or None if the record describes no usable one."""
        with self.faults.contain(record):
            entry = self.store.decode_upstream(record)
            if not isinstance(entry, Failure):
                return entry
            self.faults.report(record, entry.detail)
        return None

    @property
    def view_end(self) -> StorePosition:
        """Position up to which the list has all entries."""
        return self.upstreams.end

    @property
    def age_s(self) -> float:
        """Seconds since the entries were last confirmed."""
        return self.upstreams.age_s

    def record_outage(self) -> None:
        """Record the outage: entries may lapse meanwhile."""
        self._is_first_page = True
        self.upstreams.record_outage()

    def record_restore(self) -> None:
        """Record the restore: entries written since the copy are missing, others are outdated."""
        self._is_first_page = True
        self.upstreams.record_restore()


class CrashFollower(TopicFollower):
    """Follows the records of requests that crash upstreams."""

    fallback_s = CRASH_FALLBACK_S
    fallback_spread_s = CRASH_FALLBACK_SPREAD_S
    far_round_trip_s = 0.0

    def __init__(self, store: MetadataStore, shares: CrashShares) -> None:
        # A failure of this topic says nothing about the others, so it has a link of its own.
        super().__init__(store, Topic.CRASHES, StoreLink("Topic of crash records"))
        self.shares = shares

    def apply(self, page: Page, complete: bool, asked_at: float) -> bool:
        """Apply records, then confirm them as of the request."""
        self.shares.apply_page(page, complete, asked_at, self.faults)
        if complete:
            self.shares.write_missing()
        self.shares.confirm(asked_at)
        return True

    @property
    def age_s(self) -> float:
        """Seconds since the records were last confirmed."""
        return self.shares.age_s

    def record_restore(self) -> None:
        """Record the restore: records written since the copy are lost."""
        self.shares.record_restore()
