"""Interfaces that the serving core needs from the platform, implemented by an adapter.

The adapter only translates; all decisions are made in the core.
"""

from collections.abc import Callable, Mapping
from enum import Enum
from typing import Protocol

import msgspec
from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import ModelId, PoolId, RequestId, SoftwareVersion, UpstreamId

from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, Headers, PartId
from ruddersaddle_serving.rollouts.orders import RolloutOrder, RolloutState, UnusableOrder
from ruddersaddle_serving.routes import ContextStore, PublishedConfiguration
from ruddersaddle_serving.run_statements import RunStatement
from ruddersaddle_serving.self_reports import EMPTY_REPORT, SelfReport
from ruddersaddle_serving.store_eras import StoreEras, StorePosition
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance


class Topic(Enum):
    """A topic of the platform's store that this system reads or writes."""

    OPERATOR = "operator"
    """Configurations, weight versions and evacuations that operators publish."""
    UPSTREAMS = "upstreams"
    HOSTS = "hosts"
    LEASE = "lease"
    CRASHES = "crashes"
    """Requests that upstreams crashed while running."""
    ROLLOUTS = "rollouts"
    """Decisions on operators' orders to move services to new software versions."""
    ROLLOUT_LEASE = "rollout_lease"
    """The lease of the host that decides on rollouts."""
    STATUS = "status"
    """States of rollouts, for the platform and for operators."""


class Record(msgspec.Struct, frozen=True):
    """One record; `value` is None if the key was deleted, `key` is empty in a plain topic."""

    key: str
    value: bytes | None
    offset: int


TOPIC_START = StorePosition(0, 0)
"""The beginning of a topic; its era is that of a store that reports none."""


class Page(msgspec.Struct, frozen=True):
    """Records of a topic and the position that follows the last one."""

    records: tuple[Record, ...]
    end: StorePosition
    has_more: bool = False
    """Whether the topic had more records than one answer holds."""


class ModelVersion(msgspec.Struct, frozen=True):
    """The newest weight version of a model, as published by an operator."""

    model: ModelId
    version: int


OperatorPublication = (
    PublishedConfiguration | ModelVersion | Evacuation | RolloutOrder | UnusableOrder
)
"""What operators publish."""


class AppendOutcome(Enum):
    """The outcome of a conditional append."""

    DONE = "done"
    CONFLICT = "conflict"


class AppendResult(msgspec.Struct, frozen=True):
    """The result of an append; `end` is the position that follows the topic's last record."""

    outcome: AppendOutcome
    end: StorePosition


class MetadataStore(Protocol):
    """The platform's metadata store."""

    eras: StoreEras
    """The era of the newest answer; answers of earlier eras are failures."""
    calls_by_kind: Mapping[str, int]
    """Numbers of calls so far by operation and topic, including refused ones."""

    def newest(self, topic: Topic) -> Page | Failure:
        """Return the newest record of each key."""

    def changes(self, topic: Topic, since: StorePosition, wait_s: float) -> Page | Failure:
        """Return the records from `since` on; wait for one if there is none yet.

        If some of them have expired, a keyed topic gives a failure with code `GAP`, and a plain one
        gives the records that are left. A position of an earlier era is a `GAP` in both.
        """

    def append(self, topic: Topic, value: bytes, at: StorePosition) -> AppendResult | Failure:
        """Append one record if the topic ends at `at`.

        A failure with code `GAP` means that the era of `at` is over; the record may be stored.
        """

    def append_keyed(
        self, topic: Topic, key: str, value: bytes, at: StorePosition
    ) -> AppendResult | Failure:
        """Set the value of a key if the topic ends at `at`; the same as `append` otherwise."""

    def put(self, topic: Topic, key: str, value: bytes | None) -> Failure | None:
        """Set or delete the value of a key."""

    def put_all(self, topic: Topic, values: Mapping[str, bytes | None]) -> Failure | None:
        """Set or delete the values of several keys atomically, in one call."""

    def decode_operator(self, record: Record) -> OperatorPublication | None | Failure:
        """Return what an operator published, or None for a record of an unknown kind."""

    def decode_upstream(self, record: Record) -> UpstreamEntry | Failure:
        """Return the entry of an upstream."""

    def make_rollout_status(
        self, pool: PoolId, state: RolloutState, target: SoftwareVersion
    ) -> tuple[str, bytes]:
        """Return key and value of a rollout's record in the status topic."""


class Transfer(msgspec.Struct, frozen=True):
    """Where the parts of a prompt are fetched from and saved to, one location for each part.

    `fetch_until_ms` is on the engines' clock; a fetch that ends later is discarded.
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
    """The parsed headers of an upstream's answer.

    Success answers carry a receipt; one without it is invalid. `version` is that of the upstream's
    weights. `encoded` tells whether the body has a Content-Encoding.
    """

    status: int
    request: RequestId | None
    has_receipt: bool
    statement: RunStatement
    """What the upstream states on whether it ran the request."""
    upstream: UpstreamId | None
    version: int | None
    keep_alive_s: float | None
    """How long the upstream keeps an idle connection open, if it states it."""
    encoded: bool
    headers: Headers
    """Headers that are forwarded to the caller unchanged."""
    report: SelfReport = EMPTY_REPORT
    framing: Framing = Framing.DELIMITED


class BufferedAnswer(msgspec.Struct, frozen=True):
    """An answer that was read to its end; whether it is complete depends on its framing."""

    status: int
    headers: Headers
    body: bytes
    framing: Framing


class Wire(Protocol):
    """Reads and writes the headers of callers and upstreams."""

    def read_caller(self, headers: Headers) -> CallerHead | Failure:
        """Parse the headers of a caller's request."""

    def write_delivery(self, delivery: Delivery, remaining_s: float) -> dict[str, str]:
        """Return the headers of a request to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Parse the headers of an upstream's answer."""

    def write_relayed(self, headers: Headers, remaining_s: float) -> dict[str, str]:
        """Return the headers with which a caller's request is relayed to another host.

        They are the caller's own, its key included, with the time that remains.
        """

    def write_refusal(self, request: RequestId | None, retry_after_s: float | None) -> Headers:
        """Return the headers of a refusal by this system: the request's id and the retry delay."""


class EngineReport(msgspec.Struct, frozen=True):
    """An engine's report of its own state, some hundred milliseconds old.

    `sequence` is sent back in the next order to the engine.
    """

    version_by_model: dict[ModelId, int]
    loading: bool
    sequence: int
    queued: int
    active: int


class Order(msgspec.Struct, frozen=True):
    """An order to load weights.

    `fence` is a fencing token that rises with each lease holder; `sequence` is that of the engine's
    report on which the order is based.
    """

    upstream: UpstreamId
    model: ModelId
    version: int
    holder: str
    fence: int
    sequence: int


class OrderOutcome(Enum):
    """An engine's answer to an order."""

    ACCEPTED = "taken"
    ALREADY_LOADED = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"


class StoreChange(msgspec.Struct, frozen=True, array_like=True):
    """A part that a context store holds completely, or no longer holds."""

    salt: str
    part: PartId
    tokens: int
    """Tokens that are cached now; 0 once the part is deleted."""


class StoreChanges(msgspec.Struct, frozen=True):
    """Changes at a context store. `clock_ms` is the engines' clock at the time of the answer."""

    epoch: int
    next: int
    gap: bool
    changes: tuple[StoreChange, ...]
    clock_ms: int | None


class StoreListing(msgspec.Struct, frozen=True):
    """All parts of a context store: complete ones, and those whose saving was interrupted."""

    epoch: int
    next: int
    complete: tuple[StoreChange, ...]
    incomplete: tuple[StoreChange, ...]


class Presence(Enum):
    """The result of probing the address of an upstream instance."""

    PRESENT = "here"
    """The instance answers."""
    REPLACED = "replaced"
    """Another instance, or another upstream, answers."""
    DOWN = "down"
    """The connection was refused or reset: no process listens there, or it accepts nothing."""
    UNKNOWN = "unknown"
    """No answer arrived in time."""


class Engines(Protocol):
    """Control calls to engines and context stores, as opposed to callers' requests."""

    report_listeners: list[Callable[[UpstreamId, SelfReport], None]]
    """Called with the self-reports that upstreams send in their answers."""

    def report(self, address: str) -> EngineReport | Failure:
        """Return an engine's report."""

    def presence(self, address: str, instance: UpstreamInstance) -> Presence:
        """Probe whether an upstream instance is at an address."""

    def order(self, address: str, order: Order) -> OrderOutcome | Failure:
        """Send an order; after a failure it may have been accepted."""

    def store_changes(
        self, store: ContextStore, since: int, wait_s: float
    ) -> StoreChanges | Failure:
        """Return changes at a context store; wait for some if there are none yet."""

    def store_listing(self, store: ContextStore) -> StoreListing | Failure:
        """Return all parts of a context store."""

    def free(
        self, store: ContextStore, epoch: int, parts: tuple[StoreChange, ...], until_ms: int
    ) -> Failure | None:
        """Delete parts of a context store.

        The store refuses it if it was restarted since `epoch`, or after `until_ms` on the engines'
        clock: what showed that nobody uses the parts may not hold any more by then.
        """
