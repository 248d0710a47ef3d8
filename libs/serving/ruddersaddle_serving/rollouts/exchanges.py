"""Exchange of counts, grants, stops and decisions between hosts while an order is in force.

With few hosts, each exchanges counts with all others. With many, each sends its counts to the
reader of its hall; the readers exchange those of their halls, and answer their hosts with totals.
A host that only receives, or only sends, gets no answers, so that it knows its totals are old.
"""

import logging
from weakref import WeakKeyDictionary

import eventlet
import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.load_shares import DIRECT_HOSTS_MAX
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.rollouts.counts import CountRecorder, RolloutCounts, RolloutTotals
from ruddersaddle_serving.rollouts.counts import OrderId as CountKey
from ruddersaddle_serving.rollouts.messages import (
    CountReply,
    CountReport,
    Grant,
    HallTotals,
    RolloutNotice,
)
from ruddersaddle_serving.rollouts.order_books import OrderBook, Rollout
from ruddersaddle_serving.rollouts.orders import OrderId, SharedRollout
from ruddersaddle_serving.rollouts.schedules import TOTALS_TRUST_S

logger = logging.getLogger(__name__)

REPORT_TIMEOUT_S = 0.4
"""Time-out of a report; one way between halls takes about a millisecond."""
GRANT_S = 1.2
"""How long a grant is fresh, from when the holder's lease was renewed: shorter than the wait of a
successor, so that no host follows two holders."""


class PoolCounts:
    """What this host knows of the counts and grants of one order."""

    def __init__(self, process: Incarnation, id: OrderId) -> None:
        self.id = id
        self.former_keys: set[CountKey] = set()
        """Keys of the same order before restores of the store."""
        self.recorder = CountRecorder(process, make_key(id))
        self.counts_by_process: dict[Incarnation, RolloutCounts] = {}
        self.has_all = False
        """Whether another host has sent all counts that it knows, also of processes that ended."""
        self.processes_of_hall: set[Incarnation] = set()
        """Processes that report to this host."""
        self.totals = RolloutTotals(make_key(id))
        self.own = self.recorder.counts()
        """This host's counts as the totals contain them."""
        self.summed_by_process: dict[Incarnation, RolloutCounts] = {}
        """Counts of other processes as the totals contain them."""
        self.confirmed_s = float("-inf")
        """Time since the order as of which the totals are confirmed."""
        self.grant: Grant | None = None
        self.carried_requests = 0
        self.carried_sent = 0
        """Counts that no running process has, as any holder has found them in a record."""
        self.confirmed_by_address: dict[str, float] = {}
        """Time since the order at which each other exchanging host was last asked and answered."""

    def rebase(self, id: OrderId) -> None:
        """Keep the counts under another id of the order, after a restore of the store."""
        key = make_key(id)
        self.former_keys.add(self.recorder.order)
        self.id = id
        self.recorder.order = key
        rows = self.counts_by_process
        for process, row in rows.items():
            rows[process] = msgspec.structs.replace(row, order=key)
        self.totals = msgspec.structs.replace(self.totals, order=key)
        if self.grant is not None:
            self.grant = msgspec.structs.replace(self.grant, id=id)

    def add(self, row: RolloutCounts) -> None:
        """Merge the counts of another process."""
        if row.order in self.former_keys:
            row = msgspec.structs.replace(row, order=self.recorder.order)
        if row.order != self.recorder.order or row.process == self.recorder.process:
            return
        known = self.counts_by_process.get(row.process)
        self.counts_by_process[row.process] = row if known is None else known.merge(row)

    def learn(self, grant: Grant) -> None:
        """Apply a grant if it is newer than the known one."""
        if grant.id != self.id:
            return
        self.carried_requests = max(self.carried_requests, grant.carried_requests)
        self.carried_sent = max(self.carried_sent, grant.carried_sent)
        if self.grant is None or grant.rank > self.grant.rank:
            self.grant = grant

    def sum_up(self) -> None:
        """Compute totals from the counts of all known processes."""
        self.own = self.recorder.counts()
        self.summed_by_process = dict(self.counts_by_process)
        rows = [self.own, *self.summed_by_process.values()]
        self.set_totals(RolloutTotals.from_counts(self.recorder.order, rows))

    def set_totals(self, totals: RolloutTotals) -> None:
        """Apply totals, with what a holder found in the record of an earlier one."""
        self.totals = msgspec.structs.replace(
            totals,
            carried_requests=max(totals.carried_requests, self.carried_requests),
            carried_sent=max(totals.carried_sent, self.carried_sent),
        )


class RolloutExchange:
    """This host's part in the exchange."""

    def __init__(self, hosts: Hosts, peers: Peers, book: OrderBook, process: Incarnation) -> None:
        self.hosts = hosts
        self.peers = peers
        self.book = book
        self.process = process
        self._counts_by_rollout: WeakKeyDictionary[Rollout, PoolCounts] = WeakKeyDictionary()
        """Attempts and reports that began under a superseded order still use its counts."""
        self._asking: set[str] = set()
        """Hosts whose answer to a report is awaited."""
        book.stop_listeners.append(self._broadcast_stop)

    def counts_of(self, rollout: Rollout) -> PoolCounts:
        """Return the counts of an order, with new ones for a new order."""
        counts = self._counts_by_rollout.get(rollout)
        if counts is None:
            counts = self._counts_by_rollout[rollout] = PoolCounts(self.process, rollout.id)
        elif counts.id != rollout.id:
            counts.rebase(rollout.id)
        return counts

    def is_fresh(self, rollout: Rollout) -> bool:
        """Return whether the totals of an order are recent enough to send to its target."""
        return self.age_s(rollout) <= TOTALS_TRUST_S

    def age_s(self, rollout: Rollout) -> float:
        """Return how long ago the totals of an order were confirmed, in seconds."""
        return rollout.elapsed_s - self.counts_of(rollout).confirmed_s

    def fresh_grant(self, rollout: Rollout) -> Grant | None:
        """Return the newest grant of an order unless it has expired."""
        grant = self.counts_of(rollout).grant
        if grant is None or rollout.elapsed_s - grant.elapsed_s > GRANT_S:
            return None
        return grant

    # Asking

    @property
    def _is_direct(self) -> bool:
        return self.hosts.count <= DIRECT_HOSTS_MAX

    def _exchanging(self) -> list[str]:
        """Return the other hosts with which this one exchanges counts; none if it only reports."""
        if self._is_direct:
            return self.hosts.addresses()
        readers = set(self.hosts.reader_by_hall().values())
        return sorted(readers - {self.hosts.own.address}) if self._is_hall_reader else []

    def _count_exchanging(self) -> int:
        """Return how many others exchange counts, also if they don't respond at the moment."""
        if self._is_direct:
            return len(self.hosts.addresses())
        return len({each.hall for each in self.hosts.others()} - {self.hosts.own.hall})

    @property
    def _is_hall_reader(self) -> bool:
        return self.hosts.hall_reader() == self.hosts.own.address

    def step(self, rollouts: list[Rollout]) -> None:
        """Send the counts of some orders to the hosts that need them; answers come later."""
        exchanging = self._exchanging()
        targets = exchanging
        if not self._is_direct and not self._is_hall_reader:
            targets = [self.hosts.hall_reader()]
        for address in targets:
            if address not in self._asking:
                self._asking.add(address)
                eventlet.spawn(self._ask, address, rollouts)
        if targets is exchanging:
            for rollout in rollouts:
                self._confirm(rollout, exchanging)

    def _confirm(self, rollout: Rollout, exchanging: list[str]) -> None:
        """Sum up, and record as of when most of the exchanging hosts have answered.

        More than half of them, this one included, must have answered: of two parts of a divided
        network, only one sends to an unproven version.
        """
        counts = self.counts_of(rollout)
        answered = sorted(
            (counts.confirmed_by_address.get(each, float("-inf")) for each in exchanging),
            reverse=True,
        )
        needed = (self._count_exchanging() + 1) // 2
        confirmed_s = rollout.elapsed_s
        if needed:
            confirmed_s = answered[needed - 1] if needed <= len(answered) else float("-inf")
        counts.confirmed_s = max(counts.confirmed_s, confirmed_s)
        counts.sum_up()

    def _ask(self, address: str, rollouts: list[Rollout]) -> None:
        try:
            asked_s = [(each, each.elapsed_s) for each in rollouts]
            own = {each.id: self.counts_of(each).recorder.counts() for each in rollouts}
            report = self._make_report(rollouts, own)
            answer = self.peers.ask(address, report, REPORT_TIMEOUT_S)
        finally:
            self._asking.discard(address)
        if isinstance(answer, Failure):
            # Frequent reports under load must not have the other duties of a reader moved.
            logger.debug("Counts were not exchanged with %s. %s", address, answer.detail)
            return
        if not isinstance(answer, CountReply):
            return
        self.hosts.record_response(address)
        self._apply(answer.rollouts, answer.grants, answer.counts)
        for rollout, elapsed_s in asked_s:
            counts = self.counts_of(rollout)
            counts.confirmed_by_address[address] = elapsed_s
            counts.has_all = counts.has_all or report.wants_all
            self._apply_totals(counts, answer.totals)

    def _apply_totals(self, counts: PoolCounts, all_totals: tuple[HallTotals, ...]) -> None:
        """Apply totals of the reader."""
        for each in all_totals:
            if each.totals.order == counts.recorder.order:
                counts.own = each.own or RolloutCounts(self.process, counts.recorder.order)
                counts.set_totals(each.totals)
                counts.confirmed_s = max(counts.confirmed_s, each.confirmed_s)

    def _make_report(
        self, rollouts: list[Rollout], own: dict[OrderId, RolloutCounts]
    ) -> CountReport:
        is_exchanging = self._is_direct or self._is_hall_reader
        rows = list(own.values())
        if is_exchanging and not self._is_direct:
            rows += [row for each in rollouts for row in self._hall_rows(self.counts_of(each))]
        return CountReport(
            self.hosts.own.address,
            tuple(rows),
            tuple(each.share() for each in rollouts),
            self._grants(rollouts),
            is_exchanging,
            is_exchanging and not all(self.counts_of(each).has_all for each in rollouts),
        )

    def _hall_rows(self, counts: PoolCounts) -> list[RolloutCounts]:
        return [
            row
            for process, row in counts.counts_by_process.items()
            if process in counts.processes_of_hall
        ]

    def _grants(self, rollouts: list[Rollout]) -> tuple[Grant, ...]:
        grants = (self.counts_of(each).grant for each in rollouts)
        return tuple(each for each in grants if each is not None)

    # Answering

    def handle_report(self, report: CountReport) -> CountReply:
        """Apply another host's counts, and answer with this host's or with totals."""
        self._apply(report.rollouts, report.grants, report.counts)
        rollouts = [self.book.by_pool[each.id.pool] for each in report.rollouts]
        counts = [self.counts_of(each) for each in rollouts]
        rows: list[RolloutCounts] = []
        totals: list[HallTotals] = []
        for each in counts:
            if report.is_reader:
                rows.append(each.recorder.counts())
                rows += self._rows_for(report, each)
                continue
            totals.append(self._answer_totals(report, each))
        shared = tuple(each.share() for each in rollouts)
        return CountReply(tuple(rows), tuple(totals), shared, self._grants(rollouts))

    def _answer_totals(self, report: CountReport, counts: PoolCounts) -> HallTotals:
        """Return the totals of this host's last step: a sum over 86 hosts takes milliseconds."""
        own = None
        for row in report.counts:
            if row.order == counts.recorder.order:
                counts.processes_of_hall.add(row.process)
                own = counts.summed_by_process.get(row.process)
        return HallTotals(counts.totals, counts.confirmed_s, own)

    def _rows_for(self, report: CountReport, counts: PoolCounts) -> list[RolloutCounts]:
        """Return the counts of other processes that go into an answer to an exchanging host."""
        if report.wants_all:
            return list(counts.counts_by_process.values())
        return [] if self._is_direct else self._hall_rows(counts)

    def _apply(
        self,
        rollouts: tuple[SharedRollout, ...],
        grants: tuple[Grant, ...],
        rows: tuple[RolloutCounts, ...],
    ) -> None:
        self.book.apply_shared(rollouts)
        for rollout in list(self.book.by_pool.values()):
            counts = self.counts_of(rollout)
            for grant in grants:
                counts.learn(grant)
            for row in rows:
                counts.add(row)

    # Stops, decisions and moves

    def handle_notice(self, notice: RolloutNotice) -> None:
        """Apply stops, decisions and grants that another host sends."""
        self._apply(notice.rollouts, notice.grants, ())

    def _broadcast_stop(self, rollout: Rollout) -> None:
        """Send a stop that has just become known to this hall and to the other readers.

        Each host that learns it does so, so that it arrives though some hosts are cut off. With
        few hosts, the first one reaches all others.
        """
        hosts = self.hosts
        targets = set(hosts.addresses())
        if not self._is_direct:
            targets = {*hosts.hall_addresses(), *hosts.reader_by_hall().values()}
        self.peers.broadcast(sorted(targets - {hosts.own.address}), make_notice(rollout))

    def broadcast_decision(self, rollout: Rollout) -> None:
        """Send a recorded decision to all hosts; those that miss it learn it from a reader."""
        self.peers.broadcast(self.hosts.addresses(), make_notice(rollout))

    def broadcast_grant(self, rollout: Rollout, grant: Grant) -> None:
        """Send a grant that moves routes to all hosts, so that they move at the same time."""
        notice = RolloutNotice((rollout.share(),), (grant,))
        self.peers.broadcast(self.hosts.addresses(), notice)


def make_key(id: OrderId) -> CountKey:
    """Return the key under which an order's counts are kept."""
    return CountKey(str(id))


def make_notice(rollout: Rollout) -> RolloutNotice:
    """Return a message with what this host knows of an order."""
    return RolloutNotice((rollout.share(),))
