"""The lease to give orders: the last record of a topic, appended only if nothing came between.

A record's offset is its holder's fence, so fences rise with each turn. A holder gives orders only
for `ORDER_S` after it sent the append that made or renewed its lease, by its own steady clock;
another host waits for the whole lease and a margin after it read the record. Between the last order
of one holder and the first of the next there is more than the lease's length, and no clocks are
compared.
"""

import logging
import secrets

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.ports import AppendOutcome, MetadataStore, Topic

logger = logging.getLogger(__name__)

ORDER_S = 0.9
"""Orders may be given this long after the append was sent. A successor's wait (lease and margin)
less this is over the lease, which is what keeps two holders' orders apart."""
WATCH_S = 1.0
"""Pause between reads of a host that may have to take over."""
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
        self._end = 0
        self._last: LeaseRecord | None = None
        self._last_seen_at = float("-inf")

    @property
    def may_order(self) -> bool:
        """Whether an order may leave right now."""
        return clocks.now_s() < self._orders_until

    @property
    def is_holder(self) -> bool:
        """Whether the last record that this host knows is its own."""
        return self._last is not None and self._last.holder == self.holder

    def take(self) -> bool:
        """Take or renew the lease; return whether orders may be given now."""
        if self.may_order:
            return True
        if not self.is_holder and not self._read():
            return False
        if not self.is_holder and self._is_held_by_other():
            return False
        return self._append()

    def watch(self) -> None:
        """Read who holds the lease, so that the wait of a successor has begun when it is needed."""
        now = clocks.now_s()
        if not self.is_holder and now - self._watched_at >= WATCH_S:
            self._watched_at = now
            self._read()

    def _is_held_by_other(self) -> bool:
        if self._last is None:
            return False
        return clocks.now_s() - self._last_seen_at < self.lease_s + MARGIN_S

    def _read(self) -> bool:
        """Read what other holders appended; return whether the store answered."""
        page = self.store.changes(Topic.LEASE, self._end, 0.0)
        if isinstance(page, Failure):
            logger.info("Lease can't be read. %s", page.detail)
            return False
        for record in page.records:
            found = decode_json(record.value or b"", LeaseRecord, Step.ORDER, "lease")
            if isinstance(found, Failure):
                logger.error("Lease record %d is unreadable. %s", record.offset, found.detail)
                found = LeaseRecord(Incarnation("unknown"), "")
            self._note(found, record.offset + 1)
        # Records that are no longer kept are far older than any lease.
        self._end = max(self._end, page.end)
        return True

    def _note(self, record: LeaseRecord, end: int) -> None:
        if self._last is None or record.holder != self._last.holder:
            logger.info("Lease: %s holds it at offset %d.", record.holder, end - 1)
        self._last = record
        self._last_seen_at = clocks.now_s()
        self._end = end

    def _append(self) -> bool:
        mine = LeaseRecord(self.holder, secrets.token_hex(8))
        sent_at = clocks.now_s()
        result = self.store.append(Topic.LEASE, msgspec.json.encode(mine), self._end)
        if isinstance(result, Failure):
            logger.info("Append to the lease has no answer. %s", result.detail)
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

    def _begin_turn(self, mine: LeaseRecord, end: int, sent_at: float) -> bool:
        self._note(mine, end)
        self.fence = end - 1
        self._orders_until = sent_at + ORDER_S
        return self.may_order
