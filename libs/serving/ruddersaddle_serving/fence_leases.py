"""A lease that allows a host to give orders, to engines for example, with fencing tokens.

The lease is the last record of a topic; it is acquired by a conditional append that succeeds only
if no other record was appended in between. The position of the record is the holder's fence, so
fences rise with each term, also after the store is restored from an earlier copy and assigns
offsets again. A holder gives orders only for `ORDER_WINDOW_S` after it sent the append that
acquired or renewed the lease, by its own boot-time clock; another host waits for the lease's length
and a margin after it read the record. The last order of one holder and the first of the next are
therefore further apart than the lease's length, without comparing clocks of different hosts.

A restore of the store may lose the record of the current holder. No host gives orders under a term
of an earlier era, and no host begins a term until the lease's length and the margin have passed
since it learnt of the new era: by then the order window of any earlier holder has ended.
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

ORDER_WINDOW_S = 0.9
"""How long after sending the append the holder may give orders. A successor waits for the lease
and `MARGIN_S`; that wait minus this window must exceed the lease's length, which keeps the orders
of two holders apart."""
WATCH_PAUSE_S = 1.0
"""Interval between reads of a host that may have to take over the lease."""
FENCES_PER_ERA = 1 << 32
"""Size of the range of fences of one era of the store; offsets stay below it."""
MARGIN_S = 1.2
"""Wait of a successor beyond the lease's length: `ORDER_WINDOW_S` plus the delivery time of an
order."""


class LeaseRecord(msgspec.Struct, frozen=True):
    """One term of a holder; `nonce` identifies the append."""

    holder: Incarnation
    nonce: str
    yields: int = 0
    """Number of holders in a row that left the lease to others without any order given since."""


class FenceLease:
    """This host's view of the lease."""

    def __init__(
        self,
        store: MetadataStore,
        holder: Incarnation,
        lease_s: float,
        topic: Topic = Topic.LEASE,
        renew_s: float = ORDER_WINDOW_S,
        watch_pause_s: float = WATCH_PAUSE_S,
    ) -> None:
        self.store = store
        self.topic = topic
        self.holder = holder
        self.lease_s = lease_s
        self.renew_s = renew_s
        """Age from which on `acquire` renews the lease."""
        self.watch_pause_s = watch_pause_s
        self.fence = -1
        self.yields = 0
        """Holders in a row that left the lease to others; written into the next record."""
        self.held_since: float | None = None
        """When this host's current run of terms began; None if another host holds the lease."""
        self._orders_until = float("-inf")
        self._watched_at = float("-inf")
        self._end = TOPIC_START
        self._last: LeaseRecord | None = None
        self._last_seen_at = float("-inf")
        self._sent_nonces: set[str] = set()
        """Nonces of the appends that this host sent in this era. A record of this host with another
        nonce was sent in an earlier era and appended late: it grants no term."""

    @property
    def may_order(self) -> bool:
        """Whether this host may send an order at this moment."""
        return clocks.now_s() < self._orders_until and self._end.era == self.store.eras.newest

    @property
    def age_s(self) -> float:
        """Seconds since the append was sent that acquired or renewed the lease last."""
        return clocks.now_s() - (self._orders_until - ORDER_WINDOW_S)

    @property
    def is_holder(self) -> bool:
        """Whether the last known record was appended by this host."""
        return self._last is not None and self._last.nonce in self._sent_nonces

    def acquire(self) -> bool:
        """Acquire or renew the lease; return whether orders may be given now."""
        if self.may_order and self.age_s < self.renew_s:
            return True
        self._enter_era()
        if not self.is_holder and not self._read():
            return False
        if self._is_recent_era() or (not self.is_holder and self._is_held_by_other()):
            return False
        return self._append()

    def watch(self) -> None:
        """Read who holds the lease, so that a successor's wait is already running when needed."""
        self._enter_era()
        now = clocks.now_s()
        if not self.is_holder and now - self._watched_at >= self.watch_pause_s:
            self._watched_at = now
            self._read()

    @property
    def holder_name(self) -> str:
        """The holder by the last known record; empty if there is none."""
        return "" if self._last is None else self._last.holder

    def record_order(self) -> None:
        """Record that this holder has given an order, so the lease need not go to another."""
        self.yields = 0

    def leave(self) -> bool:
        """Write that this holder leaves the lease to others; return whether the store knows it.

        The caller then neither gives orders nor renews the lease until another could acquire it.
        """
        self._enter_era()
        if not self.is_holder or self._is_recent_era():
            return False
        self.yields += 1
        return self._append()

    def _enter_era(self) -> None:
        """Reset the view of the lease if the store was restored from an earlier copy."""
        era = self.store.eras.newest
        if era == self._end.era:
            return
        logger.info("Lease: era of the store is %d, was %d.", era, self._end.era)
        self._end = StorePosition(era, 0)
        self._last = None
        self.held_since = None
        self._sent_nonces.clear()
        self._orders_until = float("-inf")

    def _is_recent_era(self) -> bool:
        """Return whether a holder whose record was lost in a restore may still give orders."""
        return clocks.now_s() - self.store.eras.seen_at < self.lease_s + MARGIN_S

    def _is_held_by_other(self) -> bool:
        if self._last is None:
            return False
        return clocks.now_s() - self._last_seen_at < self.lease_s + MARGIN_S

    def _read(self) -> bool:
        """Read the records of other holders; return whether the store answered."""
        page = self.store.changes(self.topic, self._end, 0.0)
        if isinstance(page, Failure):
            self._enter_era()
            logger.info("Lease topic could not be read. %s", page.detail)
            return False
        for record in page.records:
            found = decode_json(record.value or b"", LeaseRecord, Step.ORDER, "lease")
            if isinstance(found, Failure):
                logger.error(
                    "Lease record %d could not be decoded. %s", record.offset, found.detail
                )
                found = LeaseRecord(Incarnation("unknown"), "")
            self._record(found, StorePosition(page.end.era, record.offset + 1))
        # Records that the store no longer retains are far older than any lease.
        self._end = max(self._end, page.end)
        return True

    def _record(self, record: LeaseRecord, end: StorePosition) -> None:
        if self._last is None or record.holder != self._last.holder:
            logger.info("Lease: %s holds it at offset %d.", record.holder, end.offset - 1)
        if record.nonce not in self._sent_nonces:
            self.yields = record.yields
            self.held_since = None
        self._last = record
        self._last_seen_at = clocks.now_s()
        self._end = end

    def _append(self) -> bool:
        own = LeaseRecord(self.holder, secrets.token_hex(8), self.yields)
        self._sent_nonces.add(own.nonce)
        sent_at = clocks.now_s()
        result = self.store.append(self.topic, msgspec.json.encode(own), self._end)
        if isinstance(result, Failure):
            logger.info("Append to the lease topic failed or was not answered. %s", result.detail)
            if self.store.eras.newest != self._end.era:
                self._enter_era()
                return False
            return self._resolve_append(own, sent_at)
        if result.outcome is AppendOutcome.CONFLICT:
            return self._resolve_append(own, sent_at)
        return self._begin_term(own, result.end, sent_at)

    def _resolve_append(self, own: LeaseRecord, sent_at: float) -> bool:
        """Read the topic to find out whether an append took effect."""
        before = self._end
        if not self._read():
            return False
        if self._last is not None and self._last.nonce == own.nonce and self._end > before:
            return self._begin_term(own, self._end, sent_at)
        return False

    def _begin_term(self, own: LeaseRecord, end: StorePosition, sent_at: float) -> bool:
        self._record(own, end)
        self._sent_nonces = {own.nonce}
        self.fence = end.era * FENCES_PER_ERA + end.offset - 1
        if self.held_since is None:
            self.held_since = sent_at
            logger.info(
                "Lease: this host holds it with fence %d; %d holders before left it.",
                self.fence,
                self.yields,
            )
        self._orders_until = sent_at + ORDER_WINDOW_S
        return self.may_order
