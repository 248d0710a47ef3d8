"""Records of the log's streams, and the batches in which they are appended.

Each append carries one batch, so that everything that waits at a host costs one append.
"""

from enum import Enum

import msgspec
from ruddersaddle_base.ids import CallKey, Incarnation, PoolId, Position, RecordId

from ruddersaddle_state.entries import EntryKey, Value

BATCH_MAX = 1000
"""Most records in a batch; a position's index has room for 1024."""


class Stream(Enum):
    """The streams that the system keeps in the log."""

    CONFIGURATION = "configuration"
    CLAIMS = "claims"
    LEASES = "leases"


class Edit(msgspec.Struct, frozen=True):
    """One entry's new value (None deletes it) and the version that the edit is based on."""

    key: EntryKey
    base: Position
    value: Value | None


class Change(msgspec.Struct, frozen=True, tag="change"):
    """Edits that take effect together, if every base is still the entry's version."""

    id: RecordId
    author: str
    edits: tuple[Edit, ...]


class Entry(msgspec.Struct, frozen=True):
    """An entry of the folded configuration; a deleted entry keeps its version."""

    key: EntryKey
    version: Position
    value: Value | None
    change: RecordId


class Snapshot(msgspec.Struct, frozen=True, tag="snapshot"):
    """The whole configuration as of position `upto`."""

    id: RecordId
    upto: Position
    entries: tuple[Entry, ...]


class Claim(msgspec.Struct, frozen=True, tag="claim"):
    """A host's claim to run the call `key` once.

    `base` is the retry token that the caller was given (`START` for none); `dated` is the
    key's own time in Unix seconds; the record's id names the attempt.
    """

    id: RecordId
    key: CallKey
    owner: Incarnation
    base: Position
    dated: float


class Void(msgspec.Struct, frozen=True, tag="void"):
    """A host's statement that its `attempt` at `key` will not run; it also stops older ones."""

    id: RecordId
    key: CallKey
    attempt: RecordId
    dated: float


class Grant(msgspec.Struct, frozen=True, tag="grant"):
    """A lease on the orders to one pool, new or renewed."""

    id: RecordId
    pool: PoolId
    holder: Incarnation
    length_s: float


class Release(msgspec.Struct, frozen=True, tag="release"):
    """A holder's early end of its lease."""

    id: RecordId
    pool: PoolId
    holder: Incarnation


Record = Change | Snapshot | Claim | Void | Grant | Release


class Batch(msgspec.Struct, frozen=True):
    """What one append carries."""

    records: tuple[Record, ...]


class PositionedRecord(msgspec.Struct, frozen=True):
    """A record read back: its position, and when the log took it, in Unix seconds."""

    position: Position
    time: float
    record: Record


class Outcome(Enum):
    """What the fold made of a record."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    STALE = "stale"
    HELD = "held"
    EXPIRED = "expired"


class RecordResult(msgspec.Struct, frozen=True):
    """The outcome of one record, where it stands and why."""

    outcome: Outcome
    position: Position
    reason: str = ""
