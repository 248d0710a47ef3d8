"""One attempt of a request at one upstream."""

import itertools
import logging
from collections.abc import Callable
from typing import Any

from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.failures import Code, Failure, Ran, Step

from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.ports import AnswerHead, Delivery, Wire
from ruddersaddle_serving.prompts import CallerRequest
from ruddersaddle_serving.run_statements import RefusalBasis, RunStatement
from ruddersaddle_serving.trackers import Notice, Progress, Reachability
from ruddersaddle_serving.upstream_connections import Exchange
from ruddersaddle_serving.upstream_paths import Acknowledgement

logger = logging.getLogger(__name__)

_numbers = itertools.count(1)
"""Numbers of this process's attempts, by which other hosts identify them."""

NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})
"""Statuses that promise the caller that its request has not run and never will."""
UNAVAILABLE = 503
REFUSAL_BYTES_MAX = 65536
REFUSAL_TIMEOUT_S = 0.02
"""Longest wait for a refusal's body, which saves a new connection, while another upstream could run
the request already."""
LOGGED_ID_CHARS = 80
"""Characters of a request's id that an answer names, in the log."""
REFUSAL_RETRY_AFTER_S = 0.2
"""Retry delay given to callers after an upstream's refusal: its reasons (a full queue, weights
being loaded) pass within some hundred milliseconds, or another upstream accepts the request."""


class Attempt:
    """One attempt; counts towards the upstream's load until it is finished."""

    def __init__(
        self,
        request: CallerRequest,
        choice: Choice,
        wire: Wire,
        last_event: str | None,
        broadcast_notice: Callable[[Notice], None],
    ) -> None:
        self.broadcast_notice = broadcast_notice
        self.number = next(_numbers)
        self.request = request
        self.choice = choice
        self.wire = wire
        self.last_event = last_event
        self.sent_at: float | None = None
        self.exchange: Exchange | None = None
        self.is_invalid = False
        """Whether the answer violated the protocol."""
        self.refusal: RefusalBasis | None = None
        """What a refusal by the upstream rests on, if it has refused the request."""
        self.is_cut_short = False
        """Whether the answer ended in order, but its content shows that this was too early."""
        self.entry = choice.tracker.entry
        """The upstream's entry when it was chosen."""
        self._instance = self.entry.instance
        choice.tracker.in_flight += 1
        self._finished = False
        self._is_withdrawn = False
        """Whether its load is withdrawn, as it has probably not arrived."""
        self._reachability = Reachability.NO_RESPONSE
        # Counted from the choice on, not from the connection: in the 1 to 3 ms that connecting
        # takes, all concurrent requests would go to the engine that looked idle to the first one.
        self._broadcast(Progress.SENT, assignment=choice.assignment, expected_s=choice.first_s)

    def connect(self) -> Failure | None:
        """Get a connection without sending anything."""
        tracker = self.choice.tracker
        is_repeatable = self.request.route.is_repeatable
        exchange = tracker.connections.open_exchange(self.request.id, is_repeatable)
        if isinstance(exchange, Failure):
            self._record_no_connection(exchange)
            return exchange
        if exchange.is_new:
            tracker.record_reached()
        self.exchange = exchange
        return None

    def _record_no_connection(self, failure: Failure) -> None:
        tracker = self.choice.tracker
        if failure.code is Code.OVERLOADED:
            # It is alive, and open connections to it may be used.
            tracker.record_reached()
            self._reachability = Reachability.RESPONDED
            return
        tracker.record_connect_failure()
        self._reachability = Reachability.NO_CONNECTION

    def open(self) -> AnswerHead | Failure:
        """Send the request and return the head of its answer, if the answer is valid."""
        request = self.request
        delivery = Delivery(
            request,
            self.choice.tracker.id,
            self.choice.version,
            self.choice.transfer,
            self.last_event,
        )
        remaining_s = request.remaining_s
        headers = self.wire.write_delivery(delivery, remaining_s)
        self.sent_at = clocks.now_s()
        failure = self.exchange.send(
            request.method, request.target, request.body, headers, remaining_s
        )
        if failure is not None:
            return failure
        head = self._await_head()
        if isinstance(head, Failure):
            self.is_invalid = self.exchange.has_invalid_head
            return head
        if head.request != self.request.id:
            # It may be a surplus answer of an earlier request, so nothing that it says is used.
            return self._foreign(head)
        self.choice.tracker.record_reached()
        if head.statement is RunStatement.CONTRADICTED:
            return self._contradicted(head)
        fault = self._find_fault(head)
        if fault is not None:
            return self._invalid(fault)
        if self._is_from_chosen(head):
            notice = self.choice.tracker.apply_self_report(
                head.report, self.request.id, head.has_receipt
            )
            if notice is not None:
                self.broadcast_notice(notice)
        return self._refusal(head) if head.statement is RunStatement.NOT_RUN else head

    def _foreign(self, head: AnswerHead) -> Failure:
        """Return the failure of an answer that doesn't name this request alone."""
        named = None if head.request is None else head.request[:LOGGED_ID_CHARS]
        detail = f"the answer names request {named!r}, not {self.request.id!r}"
        logger.warning(
            "Answer of %s not used: %s.", self.choice.tracker.id, detail, extra={"named": named}
        )
        return self._invalid(detail)

    def _contradicted(self, head: AnswerHead) -> Failure:
        """Return the failure of an answer that contradicts itself; nothing that it says is used."""
        detail = f"the answer contradicts itself: {self._basis_of(head)}"
        logger.warning(
            "Answer of %s not used: %s.",
            self.choice.tracker.id,
            detail,
            extra={"request": self.request.id},
        )
        return self._invalid(detail)

    def _await_head(self) -> AnswerHead | Failure:
        paths = self.choice.tracker.path.paths
        paths.watch(self, self.sent_at)
        try:
            return self.exchange.read_head(self.wire)
        finally:
            paths.unwatch(self)

    def check_acknowledgement(self) -> Acknowledgement:
        """Return whether the upstream's host has acknowledged all bytes of the request."""
        return self.exchange.check_acknowledgement()

    def record_path_lost(self) -> None:
        """Withdraw the load of a request whose bytes were not acknowledged; it goes on waiting.

        Other hosts would take the engine for busy with it.
        """
        self.choice.tracker.record_stalled()
        self._is_withdrawn = True
        self._broadcast(Progress.ENDED, failed=None, reachability=Reachability.NO_RESPONSE)

    def _is_from_chosen(self, head: AnswerHead) -> bool:
        """Return whether the answer is from the chosen upstream.

        Another upstream at the same address answers 421.
        """
        if head.status == 421:
            return head.upstream == self.choice.tracker.id
        return head.upstream in (None, self.choice.tracker.id)

    def _find_fault(self, head: AnswerHead) -> str | None:
        """Return why nothing of an answer may be used; None for refusals and for sound answers."""
        if head.statement is RunStatement.NOT_RUN:
            return None
        if head.framing is Framing.INVALID:
            return "the length of the body is stated wrongly"
        if head.encoded:
            return "the body has a Content-Encoding, which was not requested"
        if head.status in NOT_RUN_STATUSES:
            return f"status {head.status} without a statement that it did not run"
        if 200 <= head.status < 300 and not head.has_receipt:
            return "a success status without a receipt"
        if head.status < 200 or 300 <= head.status < 400:
            return f"unexpected status {head.status}"
        return None

    def _refusal(self, head: AnswerHead) -> Failure:
        self._drain_refusal()
        tracker = self.choice.tracker
        if head.status == UNAVAILABLE:
            tracker.record_rejection()
        prompt = self.request.head.prompt
        is_own = head.upstream in (None, tracker.id)
        if is_own and head.version is not None and prompt is not None:
            tracker.record_version(prompt.model, head.version)
        if head.status == 421 and head.upstream not in (None, tracker.id):
            self._broadcast(Progress.REPLACED)
        code = Code.OTHER_VERSION if head.status == 421 else Code.OVERLOADED
        self.refusal = self._basis_of(head)
        detail = f"answered by {head.upstream}: {self.refusal}"
        return Failure(
            code, Step.SEND, tracker.id, detail, Ran.NOT_RUN, retry_after_s=REFUSAL_RETRY_AFTER_S
        )

    def _basis_of(self, head: AnswerHead) -> RefusalBasis:
        return RefusalBasis(head.status, head.statement, head.has_receipt, self.exchange.is_new)

    def _drain_refusal(self) -> None:
        """Read the refusal's body so that its connection can be reused."""
        failure = self.exchange.drain(REFUSAL_BYTES_MAX, REFUSAL_TIMEOUT_S)
        if failure is not None:
            logger.debug(
                "Connection to %s closed, as the body of a refusal was not read to its end: %s.",
                self.choice.tracker.id,
                failure.detail,
                extra={"request": self.request.id},
            )

    def _invalid(self, detail: str) -> Failure:
        self.is_invalid = True
        tracker = self.choice.tracker
        return Failure(Code.UPSTREAM_FAILED, Step.READ, tracker.id, detail, Ran.UNKNOWN)

    def break_off(self, detail: str) -> Failure:
        """Return the failure of an answer whose content shows that it ended too early."""
        failure = self.exchange.break_off(detail)
        self.is_cut_short = True
        # Framing that says that it is complete is wrong, but its connection is alive.
        self.is_invalid = self.is_invalid or not self.exchange.is_broken
        return failure

    def refuse_rest(self, detail: str) -> Failure:
        """Return the failure of an answer that goes on beyond a bound."""
        self.is_invalid = True
        return self.exchange.refuse_rest(detail)

    @property
    def is_broken(self) -> bool:
        """Whether the connection ended before the answer was complete."""
        return self.exchange is not None and self.exchange.is_broken

    @property
    def lacks_path(self) -> bool:
        """Whether a failure says nothing about the upstream, as this host reaches none."""
        return self._is_withdrawn or self.choice.tracker.path.paths.is_isolated

    def record_first_event(self) -> None:
        """Record the first event, which shows that the prompt was processed."""
        self._broadcast(Progress.FIRST_EVENT)

    def _broadcast(self, progress: Progress, **more: Any) -> None:
        self.broadcast_notice(
            Notice(self._instance.id, self.number, progress, born_ms=self._instance.born_ms, **more)
        )

    def finish(self, failed: bool | None) -> None:
        """End the attempt; `failed` is None if it says nothing about the upstream's health."""
        if self._finished:
            return
        self._finished = True
        self.choice.tracker.in_flight -= 1
        has_answered = self.is_cut_short or self.refusal is not None
        is_alive = has_answered and not self.is_broken
        if self.exchange is not None and (self.exchange.has_ended or is_alive):
            self._reachability = Reachability.RESPONDED
        if self._reachability is not Reachability.RESPONDED and self.lacks_path:
            # Other hosts may reach the upstream.
            failed, self._reachability = None, Reachability.NO_RESPONSE
        if not self._is_withdrawn or self._reachability is Reachability.RESPONDED:
            self._broadcast(Progress.ENDED, failed=failed, reachability=self._reachability)
        if self.exchange is not None:
            self.exchange.finish()
