"""Records of which software version began a stream, and the messages that carry them."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable, Iterator

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import PoolId, RequestId, SoftwareVersion, WorkspaceId

logger = logging.getLogger(__name__)

KEY_CHARS_MAX = 128
"""Streams with a longer request id are not recorded."""
NAME_CHARS_MAX = 256
"""Streams of longer workspaces, pools or versions are not held for other hosts."""
RECORDS_MAX = 50_000
"""Limit on the records of one host; the oldest are dropped."""
DROPPED_PAUSE_S = 10.0
"""Shortest time between lines on dropped records."""


class StreamKey(msgspec.Struct, frozen=True, array_like=True):
    """Identifies a stream: its caller's workspace and the request that brought its first event.

    The workspace is empty on public routes. Callers of one workspace can't name those of another.
    """

    workspace: WorkspaceId | None
    request: RequestId

    @property
    def is_valid(self) -> bool:
        """Whether streams with this key are recorded."""
        return 0 < len(self.request) <= KEY_CHARS_MAX


class StreamRecord(msgspec.Struct, frozen=True, array_like=True):
    """Where a stream began, with its age in seconds when it was sent."""

    key: StreamKey
    pool: PoolId
    version: SoftwareVersion | None
    """None if several streams with this key began at different versions."""
    age_s: float = 0.0

    @property
    def is_valid(self) -> bool:
        """Whether a record of another host is held: its texts are of limited length."""
        names = (self.key.workspace, self.pool, self.version)
        are_short = all(each is None or len(each) <= NAME_CHARS_MAX for each in names)
        return are_short and self.key.is_valid


class StreamsTold(msgspec.Struct, frozen=True, tag="streams"):
    """Asks the receiver to hold records; it answers with `StreamsNoted`."""

    records: tuple[StreamRecord, ...]
    sender: str = ""
    """The sender's address; empty in answers and from hosts of an earlier program version."""


class StreamsNoted(msgspec.Struct, frozen=True, tag="streams_noted"):
    """Acknowledges records, with the keys that several streams have."""

    ambiguous: tuple[StreamKey, ...] = ()


class StreamQuestion(msgspec.Struct, frozen=True, tag="ask_stream"):
    """Asks where a stream began; `pools` are those of its route."""

    key: StreamKey
    pools: tuple[PoolId, ...]
    sender: str = ""


class AloneVersion(msgspec.Struct, frozen=True, array_like=True):
    """A version that has served alone in a pool for longer than streams last."""

    pool: PoolId
    version: SoftwareVersion


class StreamReply(msgspec.Struct, frozen=True, tag="stream"):
    """Answers a `StreamQuestion`; `record` is None if the sender doesn't know the stream."""

    record: StreamRecord | None
    alone: tuple[AloneVersion, ...] = ()
    alone_until_now: tuple[AloneVersion, ...] = ()
    """Versions that were alone until others were listed a moment ago."""


class HeldRequest(msgspec.Struct, frozen=True, tag="ask_held"):
    """A host that has just started asks for the records that it should hold."""

    address: str


StreamMessage = StreamsTold | StreamQuestion | HeldRequest


class StreamRecords:
    """Records by key, bounded by time and number."""

    def __init__(self, memory_s: Callable[[], float]) -> None:
        self.memory_s = memory_s
        """Time for which a record is kept after it was last put."""
        self._by_key: OrderedDict[StreamKey, tuple[StreamRecord, float]] = OrderedDict()
        """Records, and when they were put by the boot-time clock, about in order of that."""
        self.dropped = 0
        """Records that were dropped before their time, as there were too many."""
        self._dropped_logged_at = float("-inf")

    def __len__(self) -> int:
        return len(self._by_key)

    def put(self, record: StreamRecord) -> bool:
        """Add or refresh a record; return whether its key stands for one stream only."""
        at = clocks.now_s() - max(0.0, record.age_s)
        known = self._by_key.get(record.key)
        if known is not None:
            at = max(at, known[1])
            if (known[0].pool, known[0].version) != (record.pool, record.version):
                record = msgspec.structs.replace(record, version=None)
        self._by_key[record.key] = (record, at)
        self._by_key.move_to_end(record.key)
        self._forget()
        return record.version is not None

    def mark_ambiguous(self, keys: Iterable[StreamKey]) -> None:
        """Record that several streams have these keys."""
        for key in keys:
            known = self._by_key.get(key)
            if known is not None:
                self._by_key[key] = (msgspec.structs.replace(known[0], version=None), known[1])

    def find(self, key: StreamKey) -> StreamRecord | None:
        """Return the record of a stream with its present age."""
        known = self._by_key.get(key)
        if known is None:
            return None
        record, at = known
        age_s = clocks.now_s() - at
        return None if age_s > self.memory_s() else msgspec.structs.replace(record, age_s=age_s)

    def all(self) -> Iterator[StreamRecord]:
        """Return all records with their present ages."""
        self._forget()
        now = clocks.now_s()
        for record, at in list(self._by_key.values()):
            yield msgspec.structs.replace(record, age_s=now - at)

    def _forget(self) -> None:
        oldest_at = clocks.now_s() - self.memory_s()
        while self._by_key:
            _, at = next(iter(self._by_key.values()))
            if at >= oldest_at:
                if len(self._by_key) <= RECORDS_MAX:
                    return
                self._record_dropped()
            self._by_key.popitem(last=False)

    def _record_dropped(self) -> None:
        self.dropped += 1
        now = clocks.now_s()
        if now >= self._dropped_logged_at + DROPPED_PAUSE_S:
            self._dropped_logged_at = now
            logger.warning(
                "More than %d streams are on record; %d were dropped since the start.",
                RECORDS_MAX,
                self.dropped,
            )
