"""The lease to give orders: the last record of a topic, appended only if nothing came between.

A record's position is its holder's fence, so fences rise with each turn, also where the store comes
back from an earlier copy and gives offsets out again. A holder gives orders only
for `ORDER_S` after it sent the append that made or renewed its lease, by its own steady clock;
another host waits for the whole lease and a margin after it read the record. Between the last order
of one holder and the first of the next there is more than the lease's length, and no clocks are
compared.

When the store comes back from a copy, the record of a holder may be gone. Nobody orders by a turn
of an earlier era, and nobody begins one until a whole lease and the margin are over since it has
known of the new era: by then the orders of whoever held it before have ended.
"""

import logging
import secrets

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.ports import (
    TOPIC_START,
    AppendOutcome,
    MetadataStore,
    StorePosition,
    Topic,
)

logger = logging.getLogger(__name__)

ORDER_S = 0.9
"""Orders may be given this long after the append was sent. A successor's wait (lease and margin)
less this is over the lease, which is what keeps two holders' orders apart."""
WATCH_S = 1.0
"""Pause between reads of a host that may have to take over."""
FENCES_OF_ERA = 1 << 32
"""Fences of one era of the store; offsets stay below that."""
MARGIN_S = 1.2
"""Wait of a successor beyond the lease's length: `ORDER_S`, and the way of an order."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """One turn of a holder; `nonce` tells this append from all others."""

    holder: Incarnation
    nonce: str


class FenceLease:
    """This host's view of the lease."""

    def __init__(self, store: MetadataStore, holder: Incarnation, lease_s: float) -> None:
        self.store = store
        self.holder = holder
        self.lease_s = lease_s
        self.fence = -1
        self._orders_until = float("-inf")
        self._watched_at = float("-inf")
        self._end = TOPIC_START
        self._last: LeaseRecord | None = None
        self._last_seen_at = float("-inf")
        self._sent: set[str] = set()
        """Nonces of the appends that this host sent in this era. A record of its own that is not
        among them was sent in an earlier one and done late: it gives no turn."""

    @property
    def may_order(self) -> bool:
        """Whether an order may leave right now."""
        return clocks.now_s() < self._orders_until and self._end.era == self.store.eras.newest

    @property
    def is_holder(self) -> bool:
        """Whether the last record that this host knows is its own."""
        return self._last is not None and self._last.nonce in self._sent

    def take(self) -> bool:
        """Take or renew the lease; return whether orders may be given now."""
        if self.may_order:
            return True
        self._enter_era()
        if not self.is_holder and not self._read():
            return False
        if self._is_young_era() or (not self.is_holder and self._is_held_by_other()):
            return False
        return self._append()

    def watch(self) -> None:
        """Read who holds the lease, so that the wait of a successor has begun when it is needed."""
        self._enter_era()
        now = clocks.now_s()
        if not self.is_holder and now - self._watched_at >= WATCH_S:
            self._watched_at = now
            self._read()

    def _enter_era(self) -> None:
        """Begin anew where the store has come back from an earlier copy."""
        era = self.store.eras.newest
        if era == self._end.era:
            return
        logger.info("Lease: era %d of the store begins after %d.", era, self._end.era)
        self._end = StorePosition(era, 0)
        self._last = None
        self._sent.clear()
        self._orders_until = float("-inf")

    def _is_young_era(self) -> bool:
        """Return whether a holder whose record is gone may still give orders."""
        return clocks.now_s() - self.store.eras.seen_at < self.lease_s + MARGIN_S

    def _is_held_by_other(self) -> bool:
        if self._last is None:
            return False
        return clocks.now_s() - self._last_seen_at < self.lease_s + MARGIN_S

    def _read(self) -> bool:
        """Read what other holders appended; return whether the store answered."""
        page = self.store.changes(Topic.LEASE, self._end, 0.0)
        if isinstance(page, Failure):
            self._enter_era()
            logger.info("Lease can't be read. %s", page.detail)
            return False
        for record in page.records:
            found = decode_json(record.value or b"", LeaseRecord, Step.ORDER, "lease")
            if isinstance(found, Failure):
                logger.error("Lease record %d is unreadable. %s", record.offset, found.detail)
                found = LeaseRecord(Incarnation("unknown"), "")
            self._note(found, StorePosition(page.end.era, record.offset + 1))
        # Records that are no longer kept are far older than any lease.
        self._end = max(self._end, page.end)
        return True

    def _note(self, record: LeaseRecord, end: StorePosition) -> None:
        if self._last is None or record.holder != self._last.holder:
            logger.info("Lease: %s holds it at offset %d.", record.holder, end.offset - 1)
        self._last = record
        self._last_seen_at = clocks.now_s()
        self._end = end

    def _append(self) -> bool:
        mine = LeaseRecord(self.holder, secrets.token_hex(8))
        self._sent.add(mine.nonce)
        sent_at = clocks.now_s()
        result = self.store.append(Topic.LEASE, msgspec.json.encode(mine), self._end)
        if isinstance(result, Failure):
            logger.info("Append to the lease has no answer. %s", result.detail)
            if self.store.eras.newest != self._end.era:
                self._enter_era()
                return False
            return self._settle(mine, sent_at)
        if result.outcome is AppendOutcome.CONFLICT:
            return self._settle(mine, sent_at)
        return self._begin_turn(mine, result.end, sent_at)

    def _settle(self, mine: LeaseRecord, sent_at: float) -> bool:
        """Find out by reading whether an append took effect."""
        before = self._end
        if not self._read():
            return False
        if self._last is not None and self._last.nonce == mine.nonce and self._end > before:
            return self._begin_turn(mine, self._end, sent_at)
        return False

    def _begin_turn(self, mine: LeaseRecord, end: StorePosition, sent_at: float) -> bool:
        self._note(mine, end)
        self._sent = {mine.nonce}
        self.fence = end.era * FENCES_OF_ERA + end.offset - 1
        self._orders_until = sent_at + ORDER_S
        return self.may_order
