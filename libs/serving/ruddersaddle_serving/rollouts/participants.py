"""A host's part in rollouts: its components, their tasks, and its answers to other hosts.

An `EntryHost` creates one only if the settings allow an unproven version some exposure. Without it
there is no task, message, call or record of rollouts.
"""

import logging
from collections.abc import Callable

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import Incarnation
from ruddersaddle_base.tasks import spawn_forever
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.fence_leases import FenceLease
from ruddersaddle_serving.hosts import Hosts
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.ports import MetadataStore, Topic
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.rollouts.coordinators import CLOSED_S, RolloutHolder
from ruddersaddle_serving.rollouts.exchanges import RolloutExchange
from ruddersaddle_serving.rollouts.messages import (
    CloseOld,
    CountReply,
    CountReport,
    OldClosed,
    RolloutNotice,
)
from ruddersaddle_serving.rollouts.order_books import OrderBook, Rollout
from ruddersaddle_serving.rollouts.orders import ExposureLimits, RolloutState, VersionSide
from ruddersaddle_serving.rollouts.pool_plans import PoolPlans
from ruddersaddle_serving.rollouts.records import DecisionLog
from ruddersaddle_serving.rollouts.selections import RolloutSelection
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

logger = logging.getLogger(__name__)

STEP_S = 0.2
"""Interval of the exchange of counts, of the judgement and of grants while an order is in force."""
END_S = 2.0
"""Time before the end of an order's duration in which steps follow twice as fast: of 12 s with 414
requests a second, all traffic goes to the target for 0.4 s before the order is completed, while
counts take two to three steps through the readers of halls."""
LEASE_S = 1.0
"""Length of the lease of the holder."""
RENEW_S = 0.4
"""Age at which the holder renews its lease; grants count from then on, and take up to 0.6 s."""
DUTY_KEY = "rollouts"
"""Key of the rendezvous hash that ranks hosts as holders."""
STALLED_S = 0.6
"""A host that isn't ranked first takes the lease if no fresh grant was known for this long, plus
`RANK_DELAY_S` for each host ranked before it. The wait of a successor at the lease (2.2 s from the
last renewal) goes on meanwhile; a grant expires 1.2 s after it."""
RANK_DELAY_S = 0.3
SUCCESSORS_MAX = 8
"""Number of first-ranked hosts that try to take the lease."""
HOLDER_TRUST_S = 1.0
"""A host whose totals are older doesn't take or renew the lease: it may be cut off from the others,
and they can't follow its grants."""
ATTEMPT_PAUSE_S = 0.4
"""Shortest interval of these attempts; each is a call to the store or two."""
STEPS_PER_STOP = 20
"""Steps within the time in which all hosts must have stopped, if that is short."""
WATCHERS = 2
"""Number of first-ranked hosts that follow the lease; each read is a call to the store."""
WATCH_PAUSE_S = 0.3
"""Interval of these reads. A successor's wait begins when it has read the record; 12 s are the
whole duration of some orders."""
READ_ALONE_S = 1.0
"""Interval at which a host that is cut off from the others reads the decisions itself."""


class RolloutParticipant:
    """All components of rollouts at one host."""

    def __init__(
        self,
        limits: ExposureLimits,
        process: Incarnation,
        hosts: Hosts,
        peers: Peers,
        store: MetadataStore,
        publications: Publications,
        upstreams: UpstreamList,
        is_usable: Callable[[UpstreamEntry], bool],
        is_available: Callable[[UpstreamEntry], bool],
    ) -> None:
        self.process = process
        self.hosts = hosts
        self.book = OrderBook(store.eras, upstreams)
        publications.listeners.append(self.book.apply_table)
        self.exchange = RolloutExchange(hosts, peers, self.book, process)
        self.plans = PoolPlans(limits, self.book, self.exchange, publications, upstreams, is_usable)
        self.selection = RolloutSelection(self.book, self.exchange, self.plans, is_available)
        lease = FenceLease(store, process, LEASE_S, Topic.ROLLOUT_LEASE, RENEW_S, WATCH_PAUSE_S)
        self.holder = RolloutHolder(
            lease,
            DecisionLog(store),
            peers,
            self.book,
            self.exchange,
            self.plans,
            self.close_old,
        )
        self.stopping = False
        self.count_old_runs: Callable[[Rollout], int] = lambda rollout: 0
        """Returns this host's runs at old upstreams that can't be resumed."""
        self._acting: set[Rollout] = set()
        """Orders for which a task of the holder is running."""
        self._granted_at = clocks.now_s()
        """When a fresh grant was last known, or none was needed."""
        self._read_at = float("-inf")
        self._attempted_at = float("-inf")
        self.step_s = min(STEP_S, limits.stop_s / STEPS_PER_STOP)

    # Tasks

    def start(self) -> None:
        """Start the tasks."""
        spawn_forever("rollouts", self._run_steps)
        spawn_forever("rollout lease", self._run_lease)

    def _run_steps(self) -> None:
        while True:
            self.step()
            eventlet.sleep(self.pause_s())

    def _run_lease(self) -> None:
        while True:
            self.keep_lease()
            eventlet.sleep(STEP_S)

    def pause_s(self) -> float:
        """Return the pause until the next step, in seconds."""
        left_s = [each.duration_s - each.elapsed_s for each in self.book.in_force()]
        is_ending = any(0.0 < each < END_S for each in left_s)
        return self.step_s / 2 if is_ending else self.step_s

    def step(self) -> None:
        """Exchange counts, judge, and act as the holder; returns without waiting."""
        rollouts = self.book.in_force()
        if rollouts:
            self.exchange.step(rollouts)
        for rollout in rollouts:
            self._plan(rollout)
        if self.holder.is_holder:
            for rollout in list(self.book.by_pool.values()):
                self._act_soon(rollout)

    def _plan(self, rollout: Rollout) -> None:
        """Judge one order; an exception is logged, and the other orders are judged all the same."""
        try:
            self.plans.refresh(rollout, self.holder.is_holder)
            self.holder.grant(rollout)
            self.holder.keep_closed(rollout)
        except Exception:
            logger.exception("Plan of %s failed for a fault of this program.", rollout.id)

    def _act_soon(self, rollout: Rollout) -> None:
        if rollout not in self._acting:
            self._acting.add(rollout)
            eventlet.spawn(self._act, rollout)

    def _act(self, rollout: Rollout) -> None:
        """Act for one order; an exception is logged, and the next step tries again."""
        try:
            self.holder.act(rollout)
        except Exception:
            logger.exception("Duty for %s failed for a fault of this program.", rollout.id)
        finally:
            self._acting.discard(rollout)

    def keep_lease(self) -> None:
        """Acquire, renew or follow the lease if there is something to do; calls the store."""
        now = clocks.now_s()
        if not self.holder.needs_duty() or self.stopping:
            self._granted_at = now
            return
        serving = self.book.in_force()
        if any(self.exchange.fresh_grant(each) is not None for each in serving):
            self._granted_at = now
        if serving and min(map(self.exchange.age_s, serving)) > HOLDER_TRUST_S:
            self._read_alone(now)
            return
        lease = self.holder.lease
        rank = self._rank()
        if lease.is_holder or self._may_attempt(rank, now):
            self._attempted_at = now
            self.holder.take_lease()
        elif rank <= WATCHERS and serving:
            lease.watch()

    def _rank(self) -> int:
        """Return this host's rank for the lease among the hosts that respond."""
        addresses = [record.address for record in self.hosts.live()]
        return rank_names(DUTY_KEY, addresses).index(self.hosts.own.address)

    def _may_attempt(self, rank: int, now: float) -> bool:
        """Return whether this host, which isn't known to be the holder, tries to become it."""
        if now - self._attempted_at < ATTEMPT_PAUSE_S or rank >= SUCCESSORS_MAX:
            return False
        is_stalled = now - self._granted_at > STALLED_S + RANK_DELAY_S * rank
        return rank == 0 or is_stalled

    def _read_alone(self, now: float) -> None:
        """Read the decisions: this host does not learn of them from others."""
        if now - self._read_at >= READ_ALONE_S:
            self._read_at = now
            self.holder.read_decisions()

    # Messages

    def handle(
        self, message: CountReport | CloseOld | RolloutNotice
    ) -> CountReply | OldClosed | None:
        """Handle a message of another host; return the answer if it has one."""
        match message:
            case CountReport():
                return self.exchange.handle_report(message)
            case CloseOld():
                return self.close_old(message)
            case RolloutNotice():
                self.exchange.handle_notice(message)
                return None

    def close_old(self, request: CloseOld) -> OldClosed:
        """Send nothing to old upstreams for a while, unless the order was stopped."""
        rollout = self.book.find(request.id)
        if rollout is None:
            return OldClosed(False, None, 0, self.process)
        is_closed = rollout.stop is None
        if is_closed:
            rollout.old_closed_until = clocks.now_s() + CLOSED_S
        return OldClosed(is_closed, rollout.stop, self.count_old_runs(rollout), self.process)

    # Parts of prompts

    def may_save_parts(self, entry: UpstreamEntry) -> bool:
        """Return whether an upstream may save parts: one of an unproven version may not."""
        rollout = self.book.by_pool.get(entry.pool)
        if rollout is None or rollout.is_return:
            return True
        match rollout.side_of(entry):
            case VersionSide.BASELINE:
                return True
            case VersionSide.UNPROVEN:
                return False
            case VersionSide.TARGET:
                return rollout.state is RolloutState.COMPLETED
