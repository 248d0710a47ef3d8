"""What the serving core needs of the platform; an adapter implements it and decides nothing."""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import ModelId, RequestId, UpstreamId

from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, Headers, PartId
from ruddersaddle_serving.routes import ContextStore, Published
from ruddersaddle_serving.self_reports import SILENT_REPORT, SelfReport
from ruddersaddle_serving.store_eras import StoreEras
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance


class Topic(Enum):
    """A topic of the platform's store that this system reads or writes."""

    OPERATOR = "operator"
    """What operators publish: the configuration and the versions of weights."""
    UPSTREAMS = "upstreams"
    HOSTS = "hosts"
    LEASE = "lease"
    CRASHES = "crashes"
    """Requests under which upstreams ended."""


class Record(msgspec.Struct, frozen=True):
    """One record; `value` is None where the key was dropped, `key` empty in a plain topic."""

    key: str
    value: bytes | None
    offset: int


class StorePosition(msgspec.Struct, frozen=True, order=True, array_like=True):
    """A place in a topic; positions of a later era come after all of an earlier one.

    The store may come back from a copy some seconds old. What was appended since is gone and
    offsets are given out again, so that an offset says nothing outside of its era.
    """

    era: int
    offset: int


START = StorePosition(0, 0)
"""The beginning of a topic, and the era of a store that tells none."""


class Page(msgspec.Struct, frozen=True):
    """Records of a topic and the position that follows the last one."""

    records: tuple[Record, ...]
    end: StorePosition


class ModelVersion(msgspec.Struct, frozen=True):
    """The newest weights of a model, as an operator named them."""

    model: ModelId
    version: int


Operated = Published | ModelVersion | Evacuation
"""What operators publish."""


class AppendOutcome(Enum):
    """What became of a conditional append."""

    DONE = "done"
    CONFLICT = "conflict"


class Appended(msgspec.Struct, frozen=True):
    """The outcome of an append; `end` is the position that follows the topic's last record."""

    outcome: AppendOutcome
    end: StorePosition


class MetadataStore(Protocol):
    """The platform's store."""

    eras: StoreEras
    """The era of its newest answer; answers of earlier ones are failures."""
    calls_by_kind: Mapping[str, int]
    """Calls so far, by what was asked of which topic; refused ones as well."""

    def newest(self, topic: Topic) -> Page | Failure:
        """Return the newest record of each key."""

    def changes(self, topic: Topic, since: StorePosition, wait_s: float) -> Page | Failure:
        """Return the records from `since` on; wait for one if there is none yet.

        Where some of them are no longer kept, a keyed topic gives a failure with code `GAP`; a
        plain one gives what it still has. A position of an earlier era is a `GAP` in both.
        """

    def append(self, topic: Topic, value: bytes, at: StorePosition) -> Appended | Failure:
        """Append one record if the topic ends at `at`.

        A failure with code `GAP` says that the era of `at` is over; the record may be there.
        """

    def put(self, topic: Topic, key: str, value: bytes | None) -> Failure | None:
        """Set or drop the value of a key."""

    def put_all(self, topic: Topic, values: Mapping[str, bytes | None]) -> Failure | None:
        """Set or drop the values of some keys, all or none of them, in one call."""

    def decode_operator(self, record: Record) -> Operated | None | Failure:
        """Return what an operator published, or None for a record that has no meaning here."""

    def decode_upstream(self, record: Record) -> UpstreamEntry | Failure:
        """Return the entry of an upstream."""


class Transfer(msgspec.Struct, frozen=True):
    """Where the parts of a prompt are fetched from and saved to, one place for each part.

    `fetch_until_ms` is on the engines' clock; after it a fetch is thrown away.
    """

    salt: str
    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    fetch_until_ms: int = 0


class Delivery(msgspec.Struct, frozen=True):
    """How one request is sent to one upstream."""

    request: CallerRequest
    upstream: UpstreamId
    expected_version: int | None
    transfer: Transfer | None
    last_event: str | None


class AnswerHead(msgspec.Struct, frozen=True):
    """What the headers of an upstream's answer say."""

    status: int
    request: RequestId | None
    has_receipt: bool
    not_run: bool
    """The upstream itself says that it did not run the request."""
    upstream: UpstreamId | None
    version: int | None
    keep_idle_s: float | None
    """How long the upstream keeps an idle connection open, if it says so."""
    encoded: bool
    headers: Headers
    """Headers that go to the caller as they came."""
    report: SelfReport = SILENT_REPORT


class Wire(Protocol):
    """Headers of callers and upstreams."""

    def read_caller(self, headers: Headers) -> CallerHead | Failure:
        """Return what a caller's headers say."""

    def write_delivery(self, delivery: Delivery, remaining_s: float) -> dict[str, str]:
        """Return the headers of a request to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Return what the headers of an answer say."""

    def write_refusal(self, request: RequestId | None, retry_after_s: float | None) -> Headers:
        """Return the headers of an answer of this system: whose it is, when to come back."""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's own account of itself, some hundred milliseconds old."""

    version_by_model: dict[ModelId, int]
    loading: bool
    sequence: int
    queued: int
    active: int


class Order(msgspec.Struct, frozen=True):
    """An order to load weights; `fence` grows with each holder of the lease."""

    upstream: UpstreamId
    model: ModelId
    version: int
    holder: str
    fence: int
    sequence: int


class OrderOutcome(Enum):
    """What an engine said to an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"


class StoreChange(msgspec.Struct, frozen=True, array_like=True):
    """One part that a context store has whole, or has no longer."""

    salt: str
    part: PartId
    tokens: int
    """Tokens kept now; 0 once the part is gone."""


class StoreChanges(msgspec.Struct, frozen=True):
    """Changes at a context store. `clock_ms` is the engines' clock when it answered."""

    epoch: int
    next: int
    gap: bool
    changes: tuple[StoreChange, ...]
    clock_ms: int | None


class StoreListing(msgspec.Struct, frozen=True):
    """All that a context store has: whole parts, and those whose saving broke off."""

    epoch: int
    next: int
    whole: tuple[StoreChange, ...]
    broken: tuple[StoreChange, ...]


class Presence(Enum):
    """What a question to the address of one start of an upstream showed."""

    HERE = "here"
    """It answers."""
    REPLACED = "replaced"
    """Another start, or another upstream, answers."""
    DOWN = "down"
    """The connection was refused or reset: no process listens there, or it takes nothing."""
    UNKNOWN = "unknown"
    """Nothing came in time."""


class Engines(Protocol):
    """Calls to engines and context stores beside the requests themselves."""

    report_listeners: list[Callable[[UpstreamId, SelfReport], None]]
    """Called with what answers say of the upstreams that gave them."""

    def report(self, address: str) -> EngineReport | Failure:
        """Return an engine's report."""

    def presence(self, address: str, start: UpstreamInstance) -> Presence:
        """Ask whether a start of an upstream is at an address."""

    def order(self, address: str, order: Order) -> OrderOutcome | Failure:
        """Give an order; a failure says that it may have been taken."""

    def store_changes(
        self, store: ContextStore, since: int, wait_s: float
    ) -> StoreChanges | Failure:
        """Return changes at a context store; wait for some if there are none yet."""

    def store_listing(self, store: ContextStore) -> StoreListing | Failure:
        """Return all that a context store has."""

    def free(
        self, store: ContextStore, epoch: int, parts: tuple[StoreChange, ...]
    ) -> Failure | None:
        """Free parts of a context store, unless it was restarted since `epoch`."""
