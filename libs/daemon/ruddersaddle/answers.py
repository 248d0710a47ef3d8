"""Cached answers of non-repeatable calls, so that a repeat gets the same complete answer."""

import time
from collections import OrderedDict

import eventlet
import msgspec
from eventlet.event import Event as Signal
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import CallKey
from ruddersaddle_upstreams.connections import Reply

from ruddersaddle.messages import ServiceCall

Answer = Reply | Failure


class AnswerSlot:
    """One call that this process runs or has run, and its answer."""

    def __init__(self, call: ServiceCall) -> None:
        self.fingerprint = call.fingerprint()
        self.signal: Signal = Signal()
        self.answer: Answer | None = None
        self.began = time.time()

    @property
    def size(self) -> int:
        """Bytes of the cached answer."""
        return len(self.answer.body) if isinstance(self.answer, Reply) else 0


class AnswerCache:
    """Answer slots by key. The oldest answers are evicted first; their keys stay."""

    def __init__(self, bytes_max: int, memory_s: float) -> None:
        self.bytes_max = bytes_max
        self.memory_s = memory_s
        self.cached_bytes = 0
        self.by_key: OrderedDict[CallKey, AnswerSlot] = OrderedDict()

    def begin(self, key: CallKey, call: ServiceCall) -> AnswerSlot:
        """Create the slot of a call that this process is about to run."""
        self._evict_expired()
        slot = AnswerSlot(call)
        self.by_key[key] = slot
        return slot

    def finish(self, slot: AnswerSlot, answer: Answer) -> None:
        """Store a call's answer and wake the tasks that wait for it."""
        slot.answer = answer
        self.cached_bytes += slot.size
        slot.signal.send(None)
        self._evict_to_limit()

    def remove(self, key: CallKey, answer: Answer) -> None:
        """Remove the slot of a call that was not run; waiting tasks get `answer`."""
        slot = self.by_key.pop(key, None)
        if slot is not None and slot.answer is None:
            slot.answer = answer
            slot.signal.send(None)

    def join(self, key: CallKey, call: ServiceCall, timeout_s: float) -> Answer | None:
        """Wait for the answer of a slot and return it; None if the call is still running."""
        slot = self.by_key[key]
        if slot.fingerprint != call.fingerprint():
            detail = "the key was used for another call"
            return Failure(Code.KEY_MISMATCH, Step.CLAIM, "caller", detail, Ran.UNKNOWN)
        if slot.answer is None:
            with eventlet.Timeout(timeout_s, False):
                slot.signal.wait()
        return slot.answer

    def _evict_to_limit(self) -> None:
        for slot in self.by_key.values():
            if self.cached_bytes <= self.bytes_max:
                return
            if isinstance(slot.answer, Reply):
                self.cached_bytes -= slot.size
                slot.answer = evicted_answer()

    def _evict_expired(self) -> None:
        oldest = time.time() - self.memory_s
        while self.by_key:
            key, slot = next(iter(self.by_key.items()))
            if slot.began >= oldest or slot.answer is None:
                return
            self.cached_bytes -= slot.size
            del self.by_key[key]


def evicted_answer() -> Failure:
    """Return what a repeat gets after the answer has been evicted."""
    detail = "the call was run; its answer is no longer cached"
    return Failure(Code.KEY_IN_USE, Step.CLAIM, "host", detail, Ran.RAN)


class AnswerCounts(msgspec.Struct):
    """Counts of the outcomes of keyed calls on this host."""

    answered: int = 0
    not_run: int = 0
    unknown: int = 0
    ran: int = 0

    def record(self, answer: Answer) -> None:
        """Count one answer."""
        if isinstance(answer, Reply):
            self.answered += 1
            return
        match answer.ran:
            case Ran.NOT_RUN:
                self.not_run += 1
            case Ran.UNKNOWN:
                self.unknown += 1
            case Ran.RAN:
                self.ran += 1
