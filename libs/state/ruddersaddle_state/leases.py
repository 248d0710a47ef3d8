"""The fold of the lease stream: which host may send orders to a pool, and with which fence."""

from ruddersaddle_base.ids import START, Incarnation, PoolId, Position

from ruddersaddle_state.records import Grant, Outcome, PositionedRecord, RecordResult, Release


class Lease:
    """The lease of a pool; `until` is in the log's Unix time, `fence` grows with each holder."""

    def __init__(self, holder: Incarnation, fence: Position, until: float) -> None:
        self.holder = holder
        self.fence = fence
        self.until = until


class Leases:
    """The leases as of one position of their stream.

    A grant to another holder is accepted only once the lease and a margin have expired by the log's
    own time, so that all hosts agree on the holder.
    """

    def __init__(self, margin_s: float) -> None:
        self.margin_s = margin_s
        self.by_pool: dict[PoolId, Lease] = {}
        self.position = START
        self.now = 0.0

    def begin(self, first: Position, gap: bool) -> None:
        """Start reading at `first`; leases from before a gap have expired and are not missed."""

    def apply(self, positioned: PositionedRecord) -> RecordResult:
        """Fold one record and return its result."""
        if positioned.position <= self.position:
            return RecordResult(Outcome.STALE, positioned.position)
        self.position = positioned.position
        self.now = max(self.now, positioned.time)
        match positioned.record:
            case Grant() as grant:
                return self._apply_grant(grant, positioned.position)
            case Release() as release:
                return self._apply_release(release, positioned.position)
        return RecordResult(Outcome.REJECTED, positioned.position, "not a record of this stream")

    def _apply_grant(self, grant: Grant, position: Position) -> RecordResult:
        lease = self.by_pool.get(grant.pool)
        until = self.now + grant.length_s
        if lease is not None and lease.holder == grant.holder and self.now <= lease.until:
            lease.until = until
            return RecordResult(Outcome.ACCEPTED, lease.fence)
        if lease is not None and self.now <= lease.until + self.margin_s:
            return RecordResult(Outcome.HELD, position)
        self.by_pool[grant.pool] = Lease(grant.holder, position, until)
        return RecordResult(Outcome.ACCEPTED, position)

    def _apply_release(self, release: Release, position: Position) -> RecordResult:
        lease = self.by_pool.get(release.pool)
        if lease is None or lease.holder != release.holder:
            return RecordResult(Outcome.STALE, position)
        del self.by_pool[release.pool]
        return RecordResult(Outcome.ACCEPTED, position)
