"""The fold of the claims stream: decides which attempt may run a call that must run at most once.

The rule is compare-and-set on the caller's retry token: a claim carries the token of its caller's
last `not_run` answer, and is rejected if a later void was accepted. A void that is read
back as accepted therefore stops every earlier attempt, wherever it is delayed (the anti-suspension
of Try-Confirm/Cancel). Keys older than `memory_s` by the log's own time are refused for good.
"""

import time
from enum import Enum

import msgspec
from ruddersaddle_base.ids import START, CallKey, Incarnation, Position, RecordId

from ruddersaddle_state.records import Claim, Outcome, PositionedRecord, RecordResult, Void


class Rule(Enum):
    """Rules for accepting a claim of a free key; the model checker covers all of them.

    `FIRST` accepts the first claim. `READ` compares with the position up to which the claiming
    host has read the stream. `FINAL` never frees a key after a void, so that not even a retry can
    run. `RETRY_TOKEN`, which the product uses, compares with the token that the caller was given.
    """

    FIRST = "first"
    READ = "read"
    FINAL = "final"
    RETRY_TOKEN = "told"


class KeyState(msgspec.Struct):
    """State of one key: the attempt that holds it, its host, its version and the key's own date."""

    holder: RecordId | None
    owner: Incarnation | None
    version: Position
    dated: float
    closed: bool = False


class Claims:
    """The state of every unexpired key as of one position of the claims stream."""

    def __init__(self, memory_s: float, skew_s: float, rule: Rule = Rule.RETRY_TOKEN) -> None:
        self.memory_s = memory_s
        self.skew_s = skew_s
        self.rule = rule
        self.by_key: dict[CallKey, KeyState] = {}
        self.position = START
        self.now = 0.0
        self.history_since = 0.0

    def begin(self, first: Position, gap: bool) -> None:
        """Start reading at `first`; after a gap, claims of earlier keys cannot be decided here."""
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
        return RecordResult(
            Outcome.REJECTED, positioned.position, "the record does not belong to this stream"
        )

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
        """Return whether a key of this date has expired; its call never runs again."""
        return dated < self.now - self.memory_s

    def has_full_history(self, dated: float) -> bool:
        """Return whether this host has read every record that a key of this date can have."""
        return self.history_since == 0.0 or dated > self.history_since + self.skew_s

    def owner_of(self, key: CallKey) -> Incarnation | None:
        """Return the process that holds a key, or None."""
        state = self.by_key.get(key)
        return None if state is None else state.owner

    def _prune(self) -> None:
        """Drop expired keys, in the order in which they were first seen.

        A key that is younger than those behind it only delays their removal: whether a key has
        expired is decided by its date, not by its presence.
        """
        while self.by_key:
            key, state = next(iter(self.by_key.items()))
            if not self.is_expired(state.dated):
                return
            del self.by_key[key]
