"""The duties of the lease holder: it grants moves of traffic, records, decides, and completes.

Traffic moves to a target only under grants of the holder, which expire. A stop needs no holder: it
is sent to all hosts, and only the store's record `completed` can undo it for the same order. If the
holder dies, freezes or is cut off, another host takes the lease and goes on from the records.
"""

import logging
from collections.abc import Callable

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Failure

from ruddersaddle_serving.fence_leases import MARGIN_S, FenceLease
from ruddersaddle_serving.peers import Peers
from ruddersaddle_serving.rollouts.exchanges import RolloutExchange
from ruddersaddle_serving.rollouts.messages import CloseOld, Grant, OldClosed
from ruddersaddle_serving.rollouts.order_books import OrderBook, Rollout
from ruddersaddle_serving.rollouts.orders import RolloutState, Stop
from ruddersaddle_serving.rollouts.pool_plans import PoolPlan, PoolPlans
from ruddersaddle_serving.rollouts.records import DecisionLog, DecisionRecord
from ruddersaddle_serving.rollouts.schedules import complete_by_s, may_complete
from ruddersaddle_serving.rollouts.verdicts import EndJudgement, Judgement, judge_end

logger = logging.getLogger(__name__)

RECORD_INTERVAL_S = 1.0
"""Interval at which the holder records the state of an order in force."""
CARRIED_S = 1.5
"""Seconds of samples that are added to those of a record: it is up to a second old, and hosts may
have sent more before they lost power."""
CLOSE_TIMEOUT_S = 0.6
"""Hosts that don't answer within this time are taken for cut off or frozen. They find the old
upstreams gone."""
OBSERVED_S = 2.0
"""How long all traffic goes to the target, where the exposure allows it, before the order is
completed early: a version may be bad only under load."""
LATE_MAX_S = 30.0
"""A good version that couldn't be completed in time, as the store was down or the holder died, is
completed up to this long after its duration, then rolled back."""
DUE_MARGIN_S = 0.1
"""Decisions are taken this much early: half of the interval between steps."""
CLOSED_S = 1.5
"""How long a host sends nothing to old upstreams after it was asked to. The holder asks again until
the decision is recorded."""


class Closing:
    """The answers of all hosts to the request to leave the old upstreams of one order."""

    def __init__(
        self, peers: Peers, request: CloseOld, addresses: list[str], awaited: set[str]
    ) -> None:
        self.peers = peers
        self.request = request
        self.began_at = clocks.now_s()
        self.answers: list[OldClosed] = []
        self._awaited = awaited & set(addresses)
        """Hosts that respond usually, and have neither answered nor timed out."""
        for address in addresses:
            eventlet.spawn(self._ask, address)

    def _ask(self, address: str) -> None:
        try:
            answer = self.peers.ask(address, self.request, CLOSE_TIMEOUT_S)
        finally:
            self._awaited.discard(address)
        if isinstance(answer, OldClosed):
            self.answers.append(answer)
        elif isinstance(answer, Failure):
            logger.info("Host at %s did not leave old upstreams. %s", address, answer.detail)

    @property
    def is_over(self) -> bool:
        """Whether every host that answers in time has answered."""
        return not self._awaited or clocks.now_s() - self.began_at >= CLOSE_TIMEOUT_S

    @property
    def is_valid(self) -> bool:
        """Whether the hosts still keep to their answers."""
        return clocks.now_s() - self.began_at < CLOSED_S


class Duty:
    """What the holder knows of one order during its term."""

    def __init__(self) -> None:
        self.is_taken_over = False
        """Whether what earlier holders recorded is known."""
        self.recorded_at = float("-inf")
        self.serving_era = -1
        """Era of the store in which the status `serving` was written."""
        self.closing: Closing | None = None
        self.moved_at = float("inf")
        """When all routes had moved, by the boot-time clock."""


class RolloutHolder:
    """Acts for each order while this host holds the lease; calls to the store block its task."""

    def __init__(
        self,
        lease: FenceLease,
        log: DecisionLog,
        peers: Peers,
        book: OrderBook,
        exchange: RolloutExchange,
        plans: PoolPlans,
        close_old: Callable[[CloseOld], OldClosed],
    ) -> None:
        self.lease = lease
        self.log = log
        self.peers = peers
        self.hosts = exchange.hosts
        self.book = book
        self.exchange = exchange
        self.plans = plans
        self.close_old = close_old
        """Leaves the old upstreams of an order at this host."""
        self._duty_by_rollout: dict[Rollout, Duty] = {}

    @property
    def is_holder(self) -> bool:
        """Whether this host may grant and decide at this moment."""
        return self.lease.may_order

    def needs_duty(self) -> bool:
        """Return whether an order is in force, or its decision may not be written completely."""
        return any(self._is_due(each) for each in self.book.by_pool.values())

    def _is_due(self, rollout: Rollout) -> bool:
        return rollout.is_serving or rollout.written_era < self._era

    @property
    def _era(self) -> int:
        return self.log.store.eras.newest

    def _duty_of(self, rollout: Rollout) -> Duty:
        """Return what is known of an order; a term may end during a call to the store."""
        return self._duty_by_rollout.setdefault(rollout, Duty())

    def take_lease(self) -> bool:
        """Acquire or renew the lease; what an ended term knew is read again."""
        was_lost = self.lease.age_s > self.lease.lease_s + MARGIN_S
        if was_lost:
            self._duty_by_rollout.clear()
        return self.lease.acquire()

    def grant(self, rollout: Rollout) -> None:
        """Grant the moves that the plan allows."""
        is_known = self._duty_of(rollout).is_taken_over
        shares = self.plans.plan_of(rollout).shares
        if not self.lease.may_order or not is_known or shares is None:
            return
        counts = self.exchange.counts_of(rollout)
        grant = Grant(
            rollout.id,
            self.lease.fence,
            rollout.elapsed_s - self.lease.age_s,
            tuple(sorted(shares.shifted)),
            counts.carried_requests,
            counts.carried_sent,
        )
        before = counts.grant
        counts.learn(grant)
        if before is None or before.shifted != grant.shifted:
            self.exchange.broadcast_grant(rollout, grant)

    def act(self, rollout: Rollout) -> None:
        """Do what is due for an order: take it over, decide, record, write its status."""
        if not self.lease.may_order or not self._is_due(rollout) or not self._take_over(rollout):
            return
        if rollout.is_serving:
            self._record_progress(rollout)
            self._write_status(rollout)
        if rollout.is_serving:
            self._advance(rollout)
        if not rollout.is_serving:
            self._write_status(rollout)

    # Taking over

    def _take_over(self, rollout: Rollout) -> bool:
        """Read what earlier holders recorded, once a term; return whether it is known."""
        duty = self._duty_of(rollout)
        if duty.is_taken_over:
            return True
        failure = self.log.read()
        if failure is not None:
            logger.info("Decisions could not be read. %s", failure.detail)
            return False
        record = self.log.find(rollout.id)
        duty.is_taken_over = True
        if record is not None:
            self._carry_counts(rollout, record)
            self._apply(rollout, record)
        return True

    def _apply(self, rollout: Rollout, record: DecisionRecord) -> None:
        rollout.learn_elapsed(record.elapsed_s)
        rollout.baseline.update(record.baseline)
        rollout.unproven.update(set(record.unproven) - {rollout.id.target})
        self.book.decide(rollout, record.state, record.reason)

    def _carry_counts(self, rollout: Rollout, record: DecisionRecord) -> None:
        """Go on from the counts of a record if no running process has them, after a power loss."""
        counts = self.exchange.counts_of(rollout)
        if record.state.is_final or counts.totals.target_sent >= record.sent:
            return
        per_s = record.sent / max(record.elapsed_s, 1.0)
        counts.carried_requests = record.requests
        counts.carried_sent = record.sent + round(per_s * CARRIED_S)
        logger.warning(
            "Rollout %s goes on from the record after %.1f s: %d requests, %d to the target.",
            rollout.id,
            record.elapsed_s,
            counts.carried_requests,
            counts.carried_sent,
        )

    def read_decisions(self) -> None:
        """Apply what is recorded on orders in force, for a host that is cut off from the others."""
        failure = self.log.read()
        if failure is not None:
            logger.debug("Decisions could not be read. %s", failure.detail)
        for rollout in self.book.in_force():
            record = self.log.find(rollout.id)
            if record is not None:
                self._apply(rollout, record)

    # Decisions

    def _advance(self, rollout: Rollout) -> None:
        """Decide on an order if that is due."""
        plan = self.plans.plan_of(rollout)
        if rollout.stop is not None:
            self._decide(rollout, RolloutState.ROLLED_BACK, rollout.stop.reason)
            return
        situation = plan.situation
        if situation is None:
            return
        if rollout.is_return and situation.target.upstreams:
            self._complete(rollout, "it goes back to the old version", waits_for_runs=False)
            return
        left_s = complete_by_s(situation) - DUE_MARGIN_S - rollout.elapsed_s
        loaded_s = self._record_moved(rollout, plan)
        may_end = left_s <= 0 or (loaded_s >= OBSERVED_S and may_complete(situation))
        if may_end or (loaded_s > 0 and left_s <= CLOSE_TIMEOUT_S):
            self._judge(rollout, plan, left_s <= 0, may_end)

    def _record_moved(self, rollout: Rollout, plan: PoolPlan) -> float:
        """Return for how long all routes have been moved to the target, in seconds."""
        duty = self._duty_of(rollout)
        routes = {each.route for each in plan.situation.traits}
        if plan.shares is None or not routes <= plan.shares.shifted:
            duty.moved_at = float("inf")
            return 0.0
        duty.moved_at = min(duty.moved_at, clocks.now_s())
        return clocks.now_s() - duty.moved_at

    def _judge(self, rollout: Rollout, plan: PoolPlan, is_over: bool, may_end: bool) -> None:
        """Complete a proven order, or roll back another whose duration is over."""
        situation = plan.situation
        totals, sides = situation.totals, (situation.baseline, situation.target)
        judged = judge_end(plan.history, plan.assessment, totals, *sides)
        if rollout.elapsed_s >= rollout.duration_s + LATE_MAX_S:
            judged = EndJudgement(Judgement.NOT_PROVEN, "it could not be completed in time")
        if judged.judgement is Judgement.GOOD_ENOUGH:
            self._complete(rollout, judged.reason, waits_for_runs=not is_over, may_end=may_end)
        elif is_over:
            is_bad = judged.judgement is Judgement.BAD
            self.book.stop(rollout, Stop(judged.reason, self.hosts.own.address, is_bad))
            self._decide(rollout, RolloutState.ROLLED_BACK, judged.reason)

    def _complete(
        self, rollout: Rollout, reason: str, waits_for_runs: bool, may_end: bool = True
    ) -> None:
        """Have all hosts leave the old upstreams, and record `completed` once they have."""
        duty = self._duty_of(rollout)
        own = self.close_old(CloseOld(rollout.id))
        if duty.closing is None or (duty.closing.is_over and not duty.closing.is_valid):
            request = CloseOld(rollout.id)
            live = {each.address for each in self.hosts.live()}
            duty.closing = Closing(self.peers, request, self.hosts.addresses(), live)
        closing = duty.closing
        if not closing.is_over or not may_end:
            return
        duty.closing = None
        answers = [own, *closing.answers]
        stops = [each.stop for each in answers if each.stop is not None]
        if stops:
            self.book.stop(rollout, stops[0])
            return
        if 2 * len(answers) <= self.hosts.count:
            # This host may be the one that is cut off, and the others may know of a stop.
            logger.info("%d of %d hosts left old upstreams.", len(answers), self.hosts.count)
            return
        runs = sum(each.old_runs for each in answers)
        if not all(each.is_closed for each in answers) or (runs and waits_for_runs):
            return
        detail = f"{reason or 'no evidence against it'}; {len(answers)} hosts, {runs} old runs"
        self._decide(rollout, RolloutState.COMPLETED, detail)

    def _decide(self, rollout: Rollout, state: RolloutState, reason: str) -> None:
        """Record a decision, and apply it once it is recorded."""
        if not self.lease.may_order:
            return
        failure = self.log.record(self._make_record(rollout, state, reason))
        if failure is not None:
            logger.warning("%s not recorded for %s. %s", state, rollout.id, failure.detail)
            self._apply_recorded(rollout)
            return
        self.book.decide(rollout, state, reason)
        self.exchange.broadcast_decision(rollout)

    def _apply_recorded(self, rollout: Rollout) -> None:
        """Apply what another holder has recorded."""
        record = self.log.find(rollout.id)
        if record is not None and record.state.is_final:
            self._apply(rollout, record)
            self.exchange.broadcast_decision(rollout)

    def _record_progress(self, rollout: Rollout) -> None:
        duty = self._duty_of(rollout)
        if clocks.now_s() - duty.recorded_at < RECORD_INTERVAL_S:
            return
        duty.recorded_at = clocks.now_s()
        failure = self.log.record(self._make_record(rollout, RolloutState.SERVING, ""))
        if failure is not None:
            logger.info("State of %s not recorded. %s", rollout.id, failure.detail)
            self._apply_recorded(rollout)

    def _make_record(self, rollout: Rollout, state: RolloutState, reason: str) -> DecisionRecord:
        totals = self.exchange.counts_of(rollout).totals
        return DecisionRecord(
            rollout.id,
            rollout.duration_s,
            state,
            rollout.elapsed_s,
            totals.requests,
            totals.target_sent,
            self.lease.fence,
            reason,
            tuple(sorted(rollout.baseline)),
            tuple(sorted(rollout.unproven)),
        )

    def _write_status(self, rollout: Rollout) -> None:
        """Write the recorded state to the status topic, and repair both after a restore."""
        duty = self._duty_of(rollout)
        era, state = self._era, rollout.state
        if era in (rollout.written_era, duty.serving_era if rollout.is_serving else None):
            return
        failure = self._repair(rollout) or self.log.mirror(rollout.id)
        if failure is not None:
            logger.info("Status of %s not written. %s", rollout.id, failure.detail)
            return
        record = self.log.find(rollout.id)
        if record is None or record.state is not state:
            return
        if state.is_final:
            rollout.written_era = era
            self.exchange.broadcast_decision(rollout)
        else:
            duty.serving_era = era

    def _repair(self, rollout: Rollout) -> Failure | None:
        """Record a decision again that a restored store lacks."""
        failure = self.log.read()
        record = self.log.find(rollout.id)
        is_recorded = record is not None and record.id == rollout.id
        is_missing = rollout.state.is_final and is_recorded and not record.state.is_final
        if failure is not None or (is_recorded and not is_missing):
            return failure
        return self.log.record(self._make_record(rollout, rollout.state, rollout.reason))
