"""What hosts tell one another: published items and entries with their age, requests at engines."""

import logging
import random
import time

import eventlet
import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HostId, ModelId, UpstreamId

from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.ports import MetadataStore, ModelVersion, Topic
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Published
from ruddersaddle_serving.trackers import Notice, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamEntry, UpstreamList

logger = logging.getLogger(__name__)

ASK_S = 0.4
"""Longest wait for a peer's answer; one way between halls takes about a millisecond."""
ASKED = 3
"""Peers that are asked at a time."""
OLD_S = 1.6
"""A belief that is older is asked of peers: the store's long reads confirm it about each second."""
LOOK_S = 0.25
NOTICES_S = 0.01
"""Pause between messages about requests at engines. A prompt takes 5 to 200 ms to read, so that
what others sent has to be known within some ten milliseconds."""
HOSTS_READ_S = 8.0
"""Pause between reads of the list of hosts; a new host makes itself known by asking as well."""
SILENT_S = 4.0
"""A peer that was not heard of for this long does not count as live."""


class AskNews(msgspec.Struct, frozen=True, tag="ask_news"):
    """Asks for what the peer believes."""

    host: HostId
    address: str
    version: int


class News(msgspec.Struct, frozen=True, tag="news"):
    """What a peer believes, with the age of each belief when it answered, in seconds."""

    age_s: float
    end: int
    named: tuple[ModelVersion, ...]
    published: Published | None
    entries: tuple[UpstreamEntry, ...]
    entries_age_s: float


class Emptying(msgspec.Struct, frozen=True, tag="emptying"):
    """Tells that an engine gets no new work for some seconds, because it is to load weights."""

    upstream: UpstreamId
    seconds: float


class Loaded(msgspec.Struct, frozen=True, tag="loaded"):
    """Tells that an engine has new weights and takes work again."""

    upstream: UpstreamId
    model: ModelId
    version: int


class Notices(msgspec.Struct, frozen=True, tag="notices"):
    """Tells how far the sender's requests are at engines; it is not answered."""

    address: str
    notices: tuple[Notice, ...]


class Noted(msgspec.Struct, frozen=True, tag="noted"):
    """Answers a message that asks nothing."""


NeighbourMessage = AskNews | News | Emptying | Loaded | Notices | Noted


class Neighbours:
    """The other hosts."""

    def __init__(
        self,
        host: HostId,
        address: str,
        seeds: list[str],
        store: MetadataStore,
        publications: Publications,
        upstreams: UpstreamList,
        trackers: Trackers,
    ) -> None:
        self.host = host
        self.address = address
        self.store = store
        self.publications = publications
        self.upstreams = upstreams
        self.trackers = trackers
        self.peers = Peers(address, self._answer, NeighbourMessage)
        self.address_by_host: dict[HostId, str] = {}
        self.heard_at: dict[str, float] = {}
        self.news_at = 0.0
        """When the last word of an engine being emptied or loaded came."""
        self._unsent: list[Notice] = []
        self._seeds = [seed for seed in seeds if seed and seed != address]

    def start(self) -> None:
        """Listen, make this host known, and keep beliefs young."""
        self.peers.start()
        eventlet.spawn(self._follow_hosts)
        eventlet.spawn(self._keep_young)
        eventlet.spawn(self._tell_notices)

    def addresses(self) -> list[str]:
        """Return the addresses of all other hosts that are known."""
        return sorted({*self.address_by_host.values(), *self._seeds} - {self.address})

    @property
    def live_hosts(self) -> list[str]:
        """Addresses of the hosts that were heard of lately, this one among them."""
        now = time.monotonic()
        live = [peer for peer, heard in self.heard_at.items() if now - heard < SILENT_S]
        return sorted([*live, self.address])

    @property
    def hosts_count(self) -> int:
        """About how many hosts there are, this one included."""
        return 1 + len(self.addresses())

    # The list of hosts

    def _follow_hosts(self) -> None:
        registered = False
        while True:
            if not registered:
                failure = self.store.put(Topic.HOSTS, self.host, self.address.encode())
                registered = failure is None
            page = self.store.newest(Topic.HOSTS)
            if isinstance(page, Failure):
                logger.info("List of hosts can't be read. %s", page.detail)
                eventlet.sleep(1.0 + random.random())
                continue
            found = {HostId(r.key): r.value.decode() for r in page.records if r.value}
            if found != self.address_by_host:
                logger.info("Hosts: %s.", ", ".join(sorted(found)))
            self.address_by_host = found
            self.peers.keep_only(set(self.addresses()) | set(self.heard_at))
            eventlet.sleep(HOSTS_READ_S * (0.75 + 0.5 * random.random()))

    def leave(self) -> None:
        """Take this host off the list, at its planned stop."""
        failure = self.store.put(Topic.HOSTS, self.host, None)
        if failure is not None:
            logger.info("Host was not taken off the list. %s", failure.detail)

    # Beliefs

    def _keep_young(self) -> None:
        while True:
            eventlet.sleep(LOOK_S)
            entries_s = time.monotonic() - self.upstreams.confirmed_at
            if self.publications.age_s > OLD_S or entries_s > OLD_S:
                self._ask_some()

    def _ask_some(self) -> None:
        addresses = self.addresses()
        random.shuffle(addresses)
        tasks = [eventlet.spawn(self._ask, address) for address in addresses[:ASKED]]
        for task in tasks:
            task.wait()

    def _ask(self, address: str) -> None:
        asked_at = time.monotonic()
        question = AskNews(self.host, self.address, self.publications.version)
        answer = self.peers.ask(address, question, ASK_S)
        if not isinstance(answer, News):
            return
        self.heard_at[address] = time.monotonic()
        self._take(answer, asked_at)

    def _take(self, news: News, asked_at: float) -> None:
        """Take a peer's beliefs, dated from when the question left."""
        for named in news.named:
            self.publications.take(named)
        if news.published is not None:
            self.publications.take(news.published)
        if news.end >= self.publications.end:
            self.publications.confirm(asked_at - news.age_s, news.end)
        entries_at = asked_at - news.entries_age_s
        if news.entries and entries_at > self.upstreams.confirmed_at:
            self.upstreams.replace(news.entries, entries_at)

    def _answer(self, message: NeighbourMessage) -> NeighbourMessage:
        match message:
            case AskNews():
                return self._tell(message)
            case Emptying():
                self.note_emptying(message)
            case Loaded():
                self.note_loaded(message)
            case Notices():
                self._take_notices(message)
        return Noted()

    def _tell(self, question: AskNews) -> News:
        self.heard_at[question.address] = time.monotonic()
        self.address_by_host.setdefault(question.host, question.address)
        publications = self.publications
        table = publications.table
        is_newer = table is not None and publications.version > question.version
        versions = publications.version_by_model
        return News(
            age_s=publications.age_s,
            end=publications.end,
            named=tuple(ModelVersion(model, each) for model, each in versions.items()),
            published=table.published if is_newer else None,
            entries=tuple(self.upstreams.by_id.values()) if self.upstreams.complete else (),
            entries_age_s=time.monotonic() - self.upstreams.confirmed_at,
        )

    # Engines that are to load weights

    def note_emptying(self, message: Emptying) -> None:
        """Send no new work to an engine for a while."""
        self.news_at = time.monotonic()
        tracker = self.trackers.by_id.get(message.upstream)
        if tracker is not None:
            tracker.avoided_until = time.monotonic() + message.seconds

    def note_loaded(self, message: Loaded) -> None:
        """Take that an engine has new weights and takes work again."""
        self.news_at = time.monotonic()
        tracker = self.trackers.by_id.get(message.upstream)
        if tracker is not None:
            tracker.take_version(message.model, message.version)
            tracker.avoided_until = 0.0

    def tell_all(self, message: Emptying | Loaded) -> None:
        """Tell this host and all others; whoever misses it learns it from entries later."""
        self._answer(message)
        for address in self.addresses():
            eventlet.spawn(self._tell_one, address, message)

    def _tell_one(self, address: str, message: Emptying | Loaded) -> None:
        if not isinstance(self.peers.ask(address, message, ASK_S), Failure):
            self.heard_at[address] = time.monotonic()

    # Requests at engines

    def tell_notice(self, notice: Notice) -> None:
        """Take a step of an own request, and tell the other hosts with the next message."""
        tracker = self.trackers.by_id.get(notice.upstream)
        if tracker is not None:
            tracker.take_notice(self.address, notice)
        self._unsent.append(notice)

    def _tell_notices(self) -> None:
        while True:
            eventlet.sleep(NOTICES_S)
            if not self._unsent:
                continue
            message = Notices(self.address, tuple(self._unsent))
            self._unsent = []
            for address in self.addresses():
                self.peers.tell(address, message)

    def _take_notices(self, message: Notices) -> None:
        self.heard_at[message.address] = time.monotonic()
        for notice in message.notices:
            tracker = self.trackers.by_id.get(notice.upstream)
            if tracker is not None:
                tracker.take_notice(message.address, notice)
