"""What hosts tell one another: published items and entries with their age, requests at engines."""

import logging
import random
import time

import eventlet
import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HostId, ModelId, UpstreamId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.ports import MetadataStore, ModelVersion, Topic
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Published
from ruddersaddle_serving.tasks import spawn_forever
from ruddersaddle_serving.trackers import Notice, Trackers
from ruddersaddle_serving.upstream_lists import UpstreamEntry, UpstreamList

logger = logging.getLogger(__name__)

ASK_S = 0.4
"""Longest wait for a peer's answer; one way between halls takes about a millisecond."""
OLD_S = 1.3
"""Beliefs older than this are asked of readers also by a reader: its own reads confirm them about
each second, unless the store does not answer it."""
READERS = 2
"""Hosts that read the store for all others; the second one serves while the first is replaced."""
ASK_PAUSE_S = 0.6
"""Pause between a host's questions to a reader. With the reader's own reads (a second) the answer
confirms beliefs well within the shortest bound on them (2 s)."""
SILENT_S = 4.0
"""A peer that did not answer is left alone this long."""
LOOK_S = 0.1
NOTICES_S = 0.01
"""Pause between messages about requests at engines. A prompt takes 5 to 200 ms to read, so that
what others sent has to be known within some ten milliseconds."""
HOSTS_READ_S = 12.0
"""Pause between reads of the list of hosts; a new host makes itself known by asking as well."""


class AskNews(msgspec.Struct, frozen=True, tag="ask_news"):
    """Asks for what the peer believes and the asker may not have yet."""

    host: HostId
    address: str
    version: int
    entries_revision: int
    """Revision of the peer's own entries that the asker has; -1 for none."""


class News(msgspec.Struct, frozen=True, tag="news"):
    """What a peer believes, with the age of each belief when it answered, in seconds."""

    age_s: float
    end: int
    named: tuple[ModelVersion, ...]
    published: Published | None
    entries: tuple[UpstreamEntry, ...] | None
    """None if the asker has them."""
    entries_revision: int
    entries_age_s: float


class Changed(msgspec.Struct, frozen=True, tag="changed"):
    """Tells that the sender knows something new, so that it is worth asking; it is not answered."""

    address: str


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


NeighbourMessage = AskNews | News | Changed | Emptying | Loaded | Notices | Noted


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
        self._silent_until: dict[str, float] = {}
        self._revision_by_address: dict[str, int] = {}
        self._asked_at = float("-inf")
        self._seen = (0, 0)
        self.news_at = 0.0
        """When the last word of an engine being emptied or loaded came."""
        self._unsent: list[Notice] = []
        self._seeds = [seed for seed in seeds if seed and seed != address]

    def start(self) -> None:
        """Listen, make this host known, and keep beliefs young."""
        self.peers.start()
        spawn_forever("hosts", self._follow_hosts)
        spawn_forever("beliefs", self._keep_young)
        spawn_forever("notices", self._tell_notices)

    def addresses(self) -> list[str]:
        """Return the addresses of all other hosts that are known."""
        return sorted({*self.address_by_host.values(), *self._seeds} - {self.address})

    @property
    def live_hosts(self) -> list[str]:
        """Addresses of the hosts that are not known to be silent, this one among them."""
        now = time.monotonic()
        silent = {peer for peer, until in self._silent_until.items() if now < until}
        return [self.address, *(each for each in self.addresses() if each not in silent)]

    def readers(self) -> list[str]:
        """Return the hosts that read the store for all, as far as this one knows."""
        return rank_names("readers", self.live_hosts)[:READERS]

    def is_reader(self) -> bool:
        """Return whether this host reads the store for others."""
        return self.address in self.readers()

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
            self.peers.keep_only(set(self.addresses()))
            eventlet.sleep(HOSTS_READ_S * (0.75 + 0.5 * random.random()))

    def leave(self) -> None:
        """Take this host off the list, at its planned stop."""
        failure = self.store.put(Topic.HOSTS, self.host, None)
        if failure is not None:
            logger.info("Host was not taken off the list. %s", failure.detail)

    # Beliefs

    def _keep_young(self) -> None:
        for address in self.addresses():
            self._ask(address)
        while True:
            eventlet.sleep(LOOK_S)
            self._tell_changes()
            age_s = max(self.publications.age_s, self.upstreams.age_s)
            since_s = time.monotonic() - self._asked_at
            if since_s > ASK_PAUSE_S and (age_s > OLD_S or not self.is_reader()):
                self._ask_reader()

    def _tell_changes(self) -> None:
        """Let the others ask at once for what this reader has learnt."""
        seen = (self.publications.end, self.upstreams.revision)
        if seen == self._seen:
            return
        self._seen = seen
        if self.is_reader():
            for address in self.addresses():
                self.peers.tell(address, Changed(self.address))

    def _ask_reader(self) -> None:
        """Ask the readers in turn until one has something young to tell."""
        self._asked_at = time.monotonic()
        others = [each for each in self.readers() if each != self.address]
        if not others and self.addresses():
            others = [random.choice(self.addresses())]
        for address in others:
            if self._ask(address) and self.publications.age_s < OLD_S:
                return

    def _ask(self, address: str) -> bool:
        """Ask one peer; return whether it answered."""
        asked_at = time.monotonic()
        revision = self._revision_by_address.get(address, -1)
        question = AskNews(self.host, self.address, self.publications.version, revision)
        answer = self.peers.ask(address, question, ASK_S)
        if not isinstance(answer, News):
            self._silent_until[address] = time.monotonic() + SILENT_S
            return False
        self._silent_until.pop(address, None)
        self._take(answer, asked_at)
        self._revision_by_address[address] = answer.entries_revision
        return True

    def _take(self, news: News, asked_at: float) -> None:
        """Take a peer's beliefs, dated from when the question left."""
        for named in news.named:
            self.publications.take(named)
        if news.published is not None:
            self.publications.take(news.published)
        if news.end >= self.publications.end:
            self.publications.confirm(asked_at - news.age_s, news.end)
        entries_at = asked_at - news.entries_age_s
        if entries_at <= self.upstreams.confirmed_at:
            return
        if news.entries is None:
            self.upstreams.confirm(entries_at)
        else:
            self.upstreams.replace(news.entries, entries_at)

    def _answer(self, message: NeighbourMessage) -> NeighbourMessage:
        match message:
            case AskNews():
                return self._tell(message)
            case Emptying():
                self.note_emptying(message)
            case Loaded():
                self.note_loaded(message)
            case Changed():
                self._note_changed(message)
            case Notices():
                self._take_notices(message)
        return Noted()

    def _tell(self, question: AskNews) -> News:
        self._silent_until.pop(question.address, None)
        self.address_by_host.setdefault(question.host, question.address)
        publications = self.publications
        upstreams = self.upstreams
        table = publications.table
        is_newer = table is not None and publications.version > question.version
        has_entries = question.entries_revision == upstreams.revision or not upstreams.complete
        versions = publications.version_by_model
        return News(
            age_s=publications.age_s,
            end=publications.end,
            named=tuple(ModelVersion(model, each) for model, each in versions.items()),
            published=table.published if is_newer else None,
            entries=None if has_entries else tuple(upstreams.by_id.values()),
            entries_revision=upstreams.revision if upstreams.complete else -1,
            entries_age_s=upstreams.age_s,
        )

    def _note_changed(self, message: Changed) -> None:
        if message.address in self.addresses():
            self._ask(message.address)

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
        if isinstance(self.peers.ask(address, message, ASK_S), Failure):
            self._silent_until[address] = time.monotonic() + SILENT_S

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
        for notice in message.notices:
            tracker = self.trackers.by_id.get(notice.upstream)
            if tracker is not None:
                tracker.take_notice(message.address, notice)
