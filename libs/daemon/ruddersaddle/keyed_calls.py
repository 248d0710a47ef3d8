"""Non-repeatable calls with a key: at most one dispatch, decided by a claim in the log.

Only an attempt whose claim is read back from the log as accepted dispatches the call, and only
once. A caller gets `not_run` only after this host's void is read back as accepted. The answer
carries the position of the void, which the caller sends back to retry the same key.
"""

import logging
import time
from collections.abc import Callable

import msgspec
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import START, CallKey, Incarnation, Position, RecordId, new_record_id
from ruddersaddle_state.appenders import Appender
from ruddersaddle_state.claims import Claims
from ruddersaddle_state.followers import Follower
from ruddersaddle_state.records import Claim, Outcome, RecordResult, Void

from ruddersaddle.answers import Answer, AnswerCache
from ruddersaddle.messages import AnswerReply, AnswerRequest, ServiceCall

logger = logging.getLogger(__name__)

LOG = "log"
RETRY_AFTER_S = 2.0
"""Retry delay for callers whose call has no known outcome yet."""
OWNER_TIMEOUT_S = 1.5
"""Longest wait for an answer from the owner of a key, which may be that the call still runs."""
ANSWER_WAIT_S = 0.5
"""How long the owner of a key waits for the call before it answers that the call still runs."""

Dispatch = Callable[[ServiceCall], Answer]
AskOwner = Callable[[Incarnation, AnswerRequest, float], AnswerReply | Failure]


class KeyedCall(msgspec.Struct, frozen=True):
    """A call with its key, the key's date, and the retry token if the caller sent one."""

    key: CallKey
    dated: float
    token: int | None
    call: ServiceCall
    deadline: float

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - time.monotonic()


class KeyedCalls:
    """Runs and answers this host's keyed calls."""

    def __init__(
        self,
        incarnation: Incarnation,
        follower: Follower,
        appender: Appender,
        answers: AnswerCache,
        wait_s: float,
    ) -> None:
        self.incarnation = incarnation
        self.follower = follower
        self.appender = appender
        self.answers = answers
        self.wait_s = wait_s

    @property
    def claims(self) -> Claims:
        """The folded claims."""
        return self.follower.fold

    def run(self, keyed: KeyedCall, dispatch: Dispatch, ask: AskOwner) -> Answer:
        """Run a call at most once across all hosts and return its answer."""
        if self.claims.is_expired(keyed.dated) or keyed.dated < time.time() - self.claims.memory_s:
            return _expired()
        if keyed.dated > time.time() + self.claims.skew_s:
            detail = "the key's date is in the future"
            return Failure(Code.KEY_NOT_DATED, Step.CLAIM, "caller", detail, Ran.UNKNOWN)
        if keyed.key in self.answers.by_key:
            return self._wait_for_answer(keyed)
        owner = self.claims.owner_of(keyed.key)
        if owner is not None:
            return self._ask_owner(keyed, owner, ask)
        if not self._can_claim(keyed):
            return _claim_unconfirmed("the log is unreachable or not read to its end yet")
        return self._claim(keyed, dispatch, ask)

    def _can_claim(self, keyed: KeyedCall) -> bool:
        follower = self.follower
        known = follower.reached_end and self.claims.has_full_history(keyed.dated)
        return known and follower.reachable and not self.appender.down

    def _wait_for_answer(self, keyed: KeyedCall) -> Answer:
        answer = self.answers.join(keyed.key, keyed.call, keyed.remaining_s())
        return _still_running() if answer is None else answer

    def _claim(self, keyed: KeyedCall, dispatch: Dispatch, ask: AskOwner) -> Answer:
        base = START if keyed.token is None else Position(keyed.token)
        claim = Claim(new_record_id(), keyed.key, self.incarnation, base, keyed.dated)
        slot = self.answers.begin(keyed.key, keyed.call)
        result = self._append_and_wait(claim, min(self.wait_s, keyed.remaining_s()))
        if result is not None and result.outcome is Outcome.ACCEPTED:
            answer = dispatch(keyed.call)
            if isinstance(answer, Failure) and answer.ran is Ran.NOT_RUN:
                answer = self._void(keyed, claim.id, answer)
            if not isinstance(answer, Failure) or answer.ran is not Ran.NOT_RUN:
                self.answers.finish(slot, answer)
                return answer
        else:
            answer = self._handle_lost_claim(keyed, claim.id, result, ask)
        self.answers.remove(keyed.key, answer)
        return answer

    def _handle_lost_claim(
        self, keyed: KeyedCall, attempt: RecordId, result: RecordResult | None, ask: AskOwner
    ) -> Answer:
        """Answer a call whose claim was rejected or not read back in time."""
        if result is None:
            return self._abandon_attempt(keyed, attempt)
        owner = self.claims.owner_of(keyed.key)
        if result.outcome is Outcome.EXPIRED:
            return _expired()
        if result.outcome is Outcome.HELD and owner is not None:
            return self._ask_owner(keyed, owner, ask)
        detail = "an earlier attempt was abandoned; send the retry token to retry"
        refusal = Failure(Code.KEY_IN_USE, Step.CLAIM, LOG, detail)
        return self._void(keyed, attempt, refusal)

    def _abandon_attempt(self, keyed: KeyedCall, attempt: RecordId) -> Answer:
        """Answer a call whose claim may still be accepted later; the call is not dispatched."""
        failure = _claim_unconfirmed("the claim was not read back in time")
        if self.appender.down:
            # The void cancels the claim once the log is back; the caller does not wait for it.
            self.appender.post(self._void_record(keyed, attempt))
            return failure
        return self._void(keyed, attempt, failure)

    def refuse(self, keyed: KeyedCall, failure: Failure) -> Answer:
        """Refuse a call before any claim; `not_run` only if an accepted void proves it."""
        if keyed.key in self.answers.by_key or self.claims.owner_of(keyed.key) is not None:
            return failure.with_ran(Ran.UNKNOWN)
        if not self._can_claim(keyed):
            return failure.with_ran(Ran.UNKNOWN)
        return self._void(keyed, new_record_id(), failure)

    def _void(self, keyed: KeyedCall, attempt: RecordId, failure: Failure) -> Failure:
        """Void an attempt; return `failure`, as `not_run` with a token if the void is accepted."""
        void = self._void_record(keyed, attempt)
        result = self._append_and_wait(void, self.wait_s)
        if result is None or result.outcome is not Outcome.ACCEPTED:
            return failure.with_ran(Ran.UNKNOWN)
        closed = failure.with_ran(Ran.NOT_RUN)
        return msgspec.structs.replace(closed, retry_token=result.position)

    def _void_record(self, keyed: KeyedCall, attempt: RecordId) -> Void:
        return Void(new_record_id(), keyed.key, attempt, keyed.dated)

    def _append_and_wait(self, record: Claim | Void, timeout_s: float) -> RecordResult | None:
        """Append a record and wait until it is read back; return None on timeout.

        An append whose answer is lost may have taken effect, so only the record read back counts.
        """
        self.follower.expect(record.id)
        try:
            self.appender.post(record, self.follower.cancel_wait)
            return self.follower.wait(record.id, timeout_s)
        finally:
            self.follower.forget(record.id)
            self.appender.withdraw(record)

    def _ask_owner(self, keyed: KeyedCall, owner: Incarnation, ask: AskOwner) -> Answer:
        """Request the answer from the owner of the key; `unknown` at once if it is gone."""
        if owner == self.incarnation:
            self._release_late_claim(keyed.key)
            return _owner_gone()
        request = AnswerRequest(owner, keyed.key, keyed.call)
        while keyed.remaining_s() > 0:
            message = ask(owner, request, min(OWNER_TIMEOUT_S, keyed.remaining_s()))
            if isinstance(message, Failure):
                return message.with_ran(Ran.UNKNOWN)
            if message.reply is not None:
                return message.reply
            if message.failure is not None:
                return message.failure
        return _still_running()

    def serve(self, request: AnswerRequest) -> AnswerReply:
        """Handle another host's request for the answer of a key that this process holds."""
        if request.owner != self.incarnation:
            return AnswerReply(failure=_owner_gone())
        if request.key not in self.answers.by_key:
            self._release_late_claim(request.key)
            return AnswerReply(failure=_owner_gone())
        answer = self.answers.join(request.key, request.call, ANSWER_WAIT_S)
        return to_message(answer)

    def _release_late_claim(self, key: CallKey) -> None:
        """Release a key whose claim was accepted after this process had abandoned it."""
        state = self.claims.by_key.get(key)
        if state is None or state.owner != self.incarnation or key in self.answers.by_key:
            return
        logger.info("An abandoned claim was accepted late and is released.")
        self.appender.post(Void(new_record_id(), key, state.holder, state.dated))


def to_message(answer: Answer | None) -> AnswerReply:
    """Return an answer, or None for a call that is still running, as a message."""
    if answer is None:
        return AnswerReply()
    if isinstance(answer, Failure):
        return AnswerReply(failure=answer)
    return AnswerReply(reply=answer)


def _expired() -> Failure:
    detail = "the key is older than keys are remembered; it is not run"
    return Failure(Code.KEY_EXPIRED, Step.CLAIM, LOG, detail, Ran.UNKNOWN)


def _claim_unconfirmed(detail: str) -> Failure:
    text = f"this attempt was not run, an earlier one may have been: {detail}"
    return Failure(Code.LOG_UNAVAILABLE, Step.CLAIM, LOG, text, Ran.UNKNOWN, RETRY_AFTER_S)


def _still_running() -> Failure:
    detail = "the call was still running at the deadline"
    return Failure(Code.DEADLINE, Step.READ, "host", detail, Ran.UNKNOWN, RETRY_AFTER_S)


def _owner_gone() -> Failure:
    detail = "the process that held the key is gone or has abandoned the call"
    return Failure(Code.PEER_GONE, Step.CLAIM, "host", detail, Ran.UNKNOWN, RETRY_AFTER_S)
