"""The fold of the claims stream: which attempt may run a call that may not be repeated.

The rule is compare-and-set on what the caller was told: a claim names the retry token of its
caller's last `not_run` answer, and is refused if a later void stands. A void that is read back
accepted therefore stops every attempt before it, wherever it is stuck (the paper on TCC calls
this anti-suspension). Keys older than the memory are refused for good, by the log's own time.
"""

import time
from enum import Enum

import msgspec
from ruddersaddle_base.ids import START, CallKey, Incarnation, Position, RecordId

from ruddersaddle_state.records import Claim, Outcome, PositionedRecord, RecordResult, Void


class Rule(Enum):
    """Rules for claims that were weighed; the product uses `TOLD`, the model checks them all."""

    FIRST = "first"
    READ = "read"
    FINAL = "final"
    RETRY_TOKEN = "told"


class KeyState(msgspec.Struct):
    """What is known of one key: who may run it, since when, and the key's own time."""

    holder: RecordId | None
    owner: Incarnation | None
    version: Position
    dated: float
    closed: bool = False


class Claims:
    """The state of every remembered key as of one position of the claims stream."""

    def __init__(self, memory_s: float, skew_s: float, rule: Rule = Rule.RETRY_TOKEN) -> None:
        self.memory_s = memory_s
        self.skew_s = skew_s
        self.rule = rule
        self.by_key: dict[CallKey, KeyState] = {}
        self.position = START
        self.now = 0.0
        self.history_since = 0.0

    def begin(self, first: Position, gap: bool) -> None:
        """Start reading at `first`; after a gap, keys from before it can't be judged here."""
        if gap:
            self.history_since = time.time()

    def apply(self, positioned: PositionedRecord) -> RecordResult:
        """Fold one record and return its result."""
        if positioned.position <= self.position:
            return RecordResult(Outcome.STALE, positioned.position)
        self.position = positioned.position
        self.now = max(self.now, positioned.time)
        self.history_since = min(self.history_since, positioned.time)
        self._prune()
        match positioned.record:
            case Claim() as claim:
                return self._apply_claim(claim, positioned.position)
            case Void() as void:
                return self._apply_void(void, positioned.position)
        return RecordResult(Outcome.REJECTED, positioned.position, "not a record of this stream")

    def _apply_claim(self, claim: Claim, position: Position) -> RecordResult:
        if self.is_expired(claim.dated):
            return RecordResult(Outcome.EXPIRED, position)
        state = self._state(claim.key, claim.dated)
        if state.holder == claim.id:
            return RecordResult(Outcome.ACCEPTED, state.version)
        if state.holder is not None:
            return RecordResult(Outcome.HELD, position)
        if state.closed or self._is_stale(state, claim):
            return RecordResult(Outcome.STALE, position)
        state.holder = claim.id
        state.owner = claim.owner
        state.version = position
        return RecordResult(Outcome.ACCEPTED, position)

    def _is_stale(self, state: KeyState, claim: Claim) -> bool:
        compared = self.rule in (Rule.READ, Rule.RETRY_TOKEN)
        return compared and state.version > claim.base

    def _apply_void(self, void: Void, position: Position) -> RecordResult:
        if self.is_expired(void.dated):
            return RecordResult(Outcome.EXPIRED, position)
        state = self._state(void.key, void.dated)
        if state.holder not in (None, void.attempt):
            return RecordResult(Outcome.HELD, position)
        state.holder = None
        state.owner = None
        state.version = position
        state.closed = self.rule is Rule.FINAL
        return RecordResult(Outcome.ACCEPTED, position)

    def _state(self, key: CallKey, dated: float) -> KeyState:
        state = self.by_key.get(key)
        if state is None:
            state = KeyState(None, None, START, dated)
            self.by_key[key] = state
        return state

    def is_expired(self, dated: float) -> bool:
        """Return whether a key of this date is past the memory; it never runs again."""
        return dated < self.now - self.memory_s

    def has_full_history(self, dated: float) -> bool:
        """Return whether this host has read every record that a key of this date can have."""
        return self.history_since == 0.0 or dated > self.history_since + self.skew_s

    def owner_of(self, key: CallKey) -> Incarnation | None:
        """Return the process that holds a key, or None."""
        state = self.by_key.get(key)
        return None if state is None else state.owner

    def _prune(self) -> None:
        """Drop forgotten keys, from the one that was seen first on.

        One that is younger than those behind it only keeps them a little longer: whether a key is
        forgotten is decided by its date, not by its being here.
        """
        while self.by_key:
            key, state = next(iter(self.by_key.items()))
            if not self.is_expired(state.dated):
                return
            del self.by_key[key]
