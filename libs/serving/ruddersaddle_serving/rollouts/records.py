"""The log of decisions on rollouts, and its mirror in the status topic.

Only the lease holder writes, by conditional appends at the end that it has read, so that a holder
that was frozen can't overwrite what its successor wrote. An append whose answer is lost may be
applied later; whether it was is found out by reading, and one that is applied late either comes
first, and counts, or fails its condition. A final state of an order is never followed by another.
"""

import logging
import secrets

import msgspec
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId, SoftwareVersion

from ruddersaddle_serving.ports import (
    AppendOutcome,
    MetadataStore,
    Page,
    StorePosition,
    Topic,
)
from ruddersaddle_serving.rollouts.orders import OrderId, RolloutState

logger = logging.getLogger(__name__)


class DecisionRecord(msgspec.Struct, frozen=True):
    """The state of one order as of a moment, as the holder recorded it."""

    id: OrderId
    duration_s: float
    state: RolloutState
    elapsed_s: float
    """Time since the order, in seconds."""
    requests: int
    """Requests that reached the service since the order, over all hosts."""
    sent: int
    """Requests sent to the target since the order, over all hosts."""
    fence: int
    """Fence of the holder that wrote the record."""
    reason: str
    baseline: tuple[SoftwareVersion, ...] = ()
    unproven: tuple[SoftwareVersion, ...] = ()
    nonce: str = ""
    """Identifies the append."""


class KeyedTopic:
    """One keyed topic that is written by conditional appends; values by key."""

    def __init__(self, store: MetadataStore, topic: Topic) -> None:
        self.store = store
        self.topic = topic
        self.value_by_key: dict[str, bytes] = {}
        self._end: StorePosition | None = None
        """The end that was read; None before the first read, and after a restore."""

    def read(self) -> Failure | None:
        """Read what was written since the last read; after a restore or a gap, everything."""
        if self._end is not None:
            page = self.store.changes(self.topic, self._end, 0.0)
            if not isinstance(page, Failure):
                self._apply(page, complete=False)
                return None
            if page.code is not Code.GAP:
                return page
            self._end = None
        page = self.store.newest(self.topic)
        if isinstance(page, Failure):
            return page
        self._apply(page, complete=True)
        return None

    def _apply(self, page: Page, complete: bool) -> None:
        if complete:
            self.value_by_key.clear()
        for record in page.records:
            if record.value is None:
                self.value_by_key.pop(record.key, None)
            else:
                self.value_by_key[record.key] = record.value
        self._end = page.end

    def write(self, key: str, value: bytes) -> Failure | None:
        """Set a key's value if nothing was written since the last read; None if that succeeded.

        After a failure the value may have been written, or may be written later. The next read
        shows it.
        """
        if self._end is None:
            failure = self.read()
            if failure is not None:
                return failure
        result = self.store.append_keyed(self.topic, key, value, self._end)
        if isinstance(result, Failure):
            return self._resolve(key, value, result)
        if result.outcome is AppendOutcome.CONFLICT:
            detail = f"another record was written after {self._end}"
            conflict = Failure(Code.GAP, Step.APPEND, self.topic.value, detail)
            return self._resolve(key, value, conflict)
        self.value_by_key[key] = value
        self._end = result.end
        return None

    def _resolve(self, key: str, value: bytes, failure: Failure) -> Failure | None:
        """Read the topic to find out whether an append took effect."""
        unread = self.read()
        if unread is None and self.value_by_key.get(key) == value:
            return None
        return failure


class DecisionLog:
    """The decisions by pool, and the states that the platform reads."""

    def __init__(self, store: MetadataStore) -> None:
        self.store = store
        self.by_pool: dict[PoolId, DecisionRecord] = {}
        self._decisions = KeyedTopic(store, Topic.ROLLOUTS)
        self._states = KeyedTopic(store, Topic.STATUS)
        self._decoded: dict[str, bytes] = {}
        """Values that were decoded last, by key."""

    def read(self) -> Failure | None:
        """Read the decisions that were recorded since the last read."""
        failure = self._decisions.read()
        self._decode()
        return failure

    def _decode(self) -> None:
        values = self._decisions.value_by_key
        for key in set(self._decoded) - set(values):
            self.by_pool.pop(PoolId(key), None)
            del self._decoded[key]
        for key, value in values.items():
            if self._decoded.get(key) != value:
                self._decoded[key] = value
                self._decode_one(key, value)

    def _decode_one(self, key: str, value: bytes) -> None:
        record = decode_json(value, DecisionRecord, Step.READ, key)
        if isinstance(record, Failure):
            logger.error("Decision on %s could not be decoded. %s", key, record.detail)
            self.by_pool.pop(PoolId(key), None)
            return
        self.by_pool[PoolId(key)] = record

    def find(self, id: OrderId) -> DecisionRecord | None:
        """Return the record of an order, also one from before a restore of the store."""
        record = self.by_pool.get(id.pool)
        if record is None or not (record.id == id or id.is_copy_of(record.id)):
            return None
        return record

    def record(self, decision: DecisionRecord) -> Failure | None:
        """Append the state of an order, unless its recorded state is final or of a later order.

        After a failure, `find` returns what is recorded, and the holder has to decide again.
        """
        known = self.find(decision.id)
        newer = self.by_pool.get(decision.id.pool)
        is_later = newer is not None and newer.id.position > decision.id.position
        is_other = known is not None and known.state not in (RolloutState.SERVING, decision.state)
        if is_later or is_other:
            detail = f"the recorded state is {newer.state.value} of {newer.id}"
            return Failure(Code.GAP, Step.APPEND, "decisions", detail)
        marked = msgspec.structs.replace(decision, nonce=secrets.token_hex(8))
        failure = self._decisions.write(decision.id.pool, encode_json(marked))
        self._decode()
        return failure

    def mirror(self, id: OrderId) -> Failure | None:
        """Write an order's recorded state to the status topic, unless it is there already.

        The end of the status topic is read before the decisions. If another holder records a
        decision and writes its status in between, the append here fails its condition; otherwise
        an earlier state could follow a final one.
        """
        failure = self._states.read() or self.read()
        if failure is not None:
            return failure
        record = self.find(id)
        if record is None:
            return Failure(Code.GAP, Step.APPEND, "states", "no state of the order is recorded")
        key, value = self.store.make_rollout_status(id.pool, record.state, id.target)
        if self._states.value_by_key.get(key) == value:
            return None
        failure = self._states.write(key, value)
        if failure is None:
            logger.info("Status written: %s of %s.", record.state.value, id)
        return failure
