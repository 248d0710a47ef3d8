"""Records of the log's streams, and the batches in which they are appended.

Each append carries one batch, so that all records pending at a host cost one append.
"""

from enum import Enum

import msgspec
from ruddersaddle_base.ids import CallKey, Incarnation, PoolId, Position, RecordId

from ruddersaddle_state.entries import EntryKey, Value

BATCH_MAX = 1000
"""Most records in a batch; a position has room for 1024 indexes."""


class Stream(Enum):
    """The streams that hosts keep in the log."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"
    LEASES = "leases"


class Edit(msgspec.Struct, frozen=True):
    """An entry's new value (None deletes it) and the entry's version that the edit is based on."""

    key: EntryKey
    base: Position
    value: Value | None


class Change(msgspec.Struct, frozen=True, tag="change"):
    """Edits that are applied atomically, if every `base` is still the entry's version."""

    id: RecordId
    author: str
    edits: tuple[Edit, ...]


class Entry(msgspec.Struct, frozen=True):
    """An entry of the folded configuration; a deleted entry keeps its version and has no value."""

    key: EntryKey
    version: Position
    value: Value | None
    change: RecordId


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The complete configuration as of position `upto`."""

    id: RecordId
    upto: Position
    entries: tuple[Entry, ...]


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A host's claim to run the call `key` once.

    `base` is the retry token that the caller was given (`START` for none), `dated` is the key's own
    time in Unix seconds, and `id` identifies the attempt.
    """

    id: RecordId
    key: CallKey
    owner: Incarnation
    base: Position
    dated: float


class Void(msgspec.Struct, frozen=True, tag="void"):
    """Declares that `attempt` at the call `key` will not run; it also stops earlier attempts."""

    id: RecordId
    key: CallKey
    attempt: RecordId
    dated: float


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """A lease on orders to one pool, new or renewed; it lasts `length_s` seconds."""

    id: RecordId
    pool: PoolId
    holder: Incarnation
    length_s: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    """The early end of a lease by its holder."""

    id: RecordId
    pool: PoolId
    holder: Incarnation


Record = Change | Snapshot | Claim | Void | Grant | Release


class Batch(msgspec.Struct, frozen=True):
    """The records of one append."""

    records: tuple[Record, ...]


class PositionedRecord(msgspec.Struct, frozen=True):
    """A record read from the log: its position, and when it was appended, in Unix seconds."""

    position: Position
    time: float
    record: Record


class Outcome(Enum):
    """How a fold dealt with a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    STALE = "stale"
    HELD = "held"
    EXPIRED = "expired"


class RecordResult(msgspec.Struct, frozen=True):
    """The outcome of one record, its position or that of the state it confirms, and the reason."""

    outcome: Outcome
    position: Position
    reason: str = ""
