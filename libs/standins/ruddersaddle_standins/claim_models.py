"""Model checker for claims: explores every interleaving of attempts to use one key.

It uses the product's own claim state machine. Appends may land late, twice or never; attempts may
crash or pause at any point. Three invariants are checked: the call runs at most once, `not_run` is
never reported for a key that ran, and after `not_run` no earlier attempt may run. A second search
covers tickets: one process, and calls that arrive late and duplicated.
"""

from collections import deque
from collections.abc import Iterator
from enum import Enum
from functools import lru_cache

import msgspec
from ruddersaddle_base.ids import START, CallKey, Incarnation, Position, RecordId
from ruddersaddle_state.claims import Claims, Rule
from ruddersaddle_state.records import Claim, Outcome, PositionedRecord, Void

KEY = CallKey("w/k")
COPIES_MAX = 2
"""How many times one append may land in the log."""
FOREVER_S = 1e9


class NotRunTiming(Enum):
    """When a host reports `not_run` for a claim that it gives up."""

    AT_ONCE = "at_once"
    AFTER_VOID = "after_void"


class Attempt(msgspec.Struct, frozen=True):
    """One attempt to use the key: its step and the retry token of its caller."""

    step: str = "unborn"
    token: int = START


class ModelRecord(msgspec.Struct, frozen=True):
    """A record in transit or in the log: the claim of an attempt, or the void of one."""

    is_claim: bool
    owner: int
    token: int = START


class SearchState(msgspec.Struct, frozen=True):
    """One state of the search; `barred` are the attempts that must not run any more."""

    attempts: tuple[Attempt, ...]
    log: tuple[ModelRecord, ...] = ()
    sending: frozenset[tuple[ModelRecord, int]] = frozenset()
    calls: frozenset[int] = frozenset()
    runs: int = 0
    barred: frozenset[int] = frozenset()


class SearchResult(msgspec.Struct, frozen=True):
    """Result of a search: the violated invariant, empty if none, and whether a retry could run."""

    violation: str
    states: int
    retry_runs: bool


class ClaimSearch:
    """Searches the states reachable under one claim rule and one timing of `not_run`."""

    def __init__(self, rule: Rule, timing: NotRunTiming, attempts: int, log_max: int) -> None:
        self.rule = rule
        self.timing = timing
        self.attempts = attempts
        self.log_max = log_max
        self.fold = lru_cache(maxsize=None)(self._fold)

    def _fold(self, log: tuple[ModelRecord, ...]) -> tuple[int | None, frozenset[int]]:
        """Return the holder of the key and the accepted positions, computed by `Claims`."""
        claims = Claims(FOREVER_S, 0.0, self.rule)
        accepted = set()
        for index, record in enumerate(log):
            result = claims.apply(
                PositionedRecord(Position(index), 1.0, _to_log_record(record, index))
            )
            if result.outcome is Outcome.ACCEPTED:
                accepted.add(index)
        state = claims.by_key.get(KEY)
        holder = None if state is None or state.holder is None else int(state.holder)
        return holder, frozenset(accepted)

    def run(self) -> SearchResult:
        """Search breadth first; stop at the first violation."""
        first = SearchState((Attempt(),) * self.attempts)
        seen = {first}
        queue = deque([first])
        retry_runs = False
        while queue:
            state = queue.popleft()
            retry_runs = retry_runs or (state.runs > 0 and self._has_not_run(state))
            for following in self._step(state):
                violation = _find_violation(state, following)
                if violation:
                    return SearchResult(violation, len(seen), retry_runs)
                if following not in seen:
                    seen.add(following)
                    queue.append(following)
        return SearchResult("", len(seen), retry_runs)

    def _has_not_run(self, state: SearchState) -> bool:
        return any(each.step == "not_run" for each in state.attempts)

    def _step(self, state: SearchState) -> Iterator[SearchState]:
        for index, each in enumerate(state.attempts):
            yield from self._step_attempt(state, index, each)
        yield from self._step_network(state)

    def _step_attempt(self, state: SearchState, index: int, each: Attempt) -> Iterator[SearchState]:
        holder, accepted = self.fold(state.log)
        if each.step in ("new", "claiming", "voiding", "dispatched"):
            yield _with_attempt(state, index, Attempt("crashed", each.token))
        match each.step:
            case "unborn" if index == 0 or state.attempts[index - 1].step != "unborn":
                yield _with_attempt(state, index, Attempt("new", self._reported_token(state)))
            case "new" if holder is None:
                yield self._claim(state, index, each)
            case "new":
                yield _with_attempt(state, index, Attempt("unknown", each.token))
            case "claiming":
                yield from self._claiming(state, index, each, holder)
            case "voiding":
                yield from self._voiding(state, index, each, accepted)

    def _reported_token(self, state: SearchState) -> int:
        tokens = [each.token for each in state.attempts if each.step == "not_run"]
        return max(tokens, default=START)

    def _claim(self, state: SearchState, index: int, each: Attempt) -> SearchState:
        token = len(state.log) - 1 if self.rule is Rule.READ else each.token
        return _send(
            _with_attempt(state, index, Attempt("claiming", token)), ModelRecord(True, index, token)
        )

    def _claiming(
        self, state: SearchState, index: int, each: Attempt, holder: int | None
    ) -> Iterator[SearchState]:
        if holder == index:
            moved = _with_attempt(state, index, Attempt("dispatched", each.token))
            yield msgspec.structs.replace(moved, calls=moved.calls | {index})
        elif any(record.is_claim and record.owner == index for record in state.log):
            yield _with_attempt(state, index, Attempt("unknown", each.token))
        if self.timing is NotRunTiming.AFTER_VOID:
            yield _send(
                _with_attempt(state, index, Attempt("voiding", each.token)),
                ModelRecord(False, index),
            )
        else:
            reported = _report_not_run(state, index, each.token)
            yield _send(reported, ModelRecord(False, index), copies=1)

    def _voiding(
        self, state: SearchState, index: int, each: Attempt, accepted: frozenset[int]
    ) -> Iterator[SearchState]:
        yield _with_attempt(state, index, Attempt("unknown", each.token))
        for position, record in enumerate(state.log):
            if not record.is_claim and record.owner == index and position in accepted:
                yield _report_not_run(state, index, position)

    def _step_network(self, state: SearchState) -> Iterator[SearchState]:
        for item in state.sending:
            record, left = item
            rest = state.sending - {item}
            if len(state.log) < self.log_max:
                again = rest | {(record, left - 1)} if left > 1 else rest
                yield msgspec.structs.replace(state, log=(*state.log, record), sending=again)
            yield msgspec.structs.replace(state, sending=rest)
        for index in state.calls:
            rest_calls = state.calls - {index}
            yield msgspec.structs.replace(state, calls=rest_calls, runs=state.runs + 1)
            yield msgspec.structs.replace(state, calls=rest_calls)


def _to_log_record(record: ModelRecord, index: int) -> Claim | Void:
    attempt = RecordId(str(record.owner))
    if record.is_claim:
        return Claim(attempt, KEY, Incarnation(f"h.{record.owner}"), Position(record.token), 1.0)
    return Void(RecordId(f"void-{index}"), KEY, attempt, 1.0)


def _with_attempt(state: SearchState, index: int, changed: Attempt) -> SearchState:
    attempts = (*state.attempts[:index], changed, *state.attempts[index + 1 :])
    return msgspec.structs.replace(state, attempts=attempts)


def _send(state: SearchState, record: ModelRecord, copies: int = COPIES_MAX) -> SearchState:
    return msgspec.structs.replace(state, sending=state.sending | {(record, copies)})


def _report_not_run(state: SearchState, index: int, token: int) -> SearchState:
    born = frozenset(i for i, each in enumerate(state.attempts) if each.step != "unborn")
    reported = _with_attempt(state, index, Attempt("not_run", token))
    return msgspec.structs.replace(reported, barred=state.barred | born)


def _find_violation(before: SearchState, after: SearchState) -> str:
    if after.runs > 1:
        return "ran twice"
    if after.runs > before.runs and (before.calls - after.calls) & before.barred:
        return "ran after not_run"
    changed = [e for e, f in zip(after.attempts, before.attempts, strict=True) if e.step != f.step]
    if after.runs and any(each.step == "not_run" for each in changed):
        return "not_run said after a run"
    return ""


class TicketRule(Enum):
    """Whether a failed connection closes a ticket or makes it usable again."""

    CLOSES = "closes"
    REOPENS = "reopens"


class TicketState(msgspec.Struct, frozen=True):
    """One state of a ticket: copies of the call in transit, and what its process did."""

    arriving: int
    status: str = "unused"
    runs: int = 0
    reported_not_run: bool = False


def search_tickets(rule: TicketRule, copies: int) -> SearchResult:
    """Search every order of the copies of a ticketed call, connection failures and a crash."""
    first = TicketState(copies)
    seen = {first}
    queue = deque([first])
    while queue:
        state = queue.popleft()
        for following in _step_ticket(state, rule):
            if following.runs > 1:
                return SearchResult("ran twice", len(seen), False)
            if following.runs and following.reported_not_run:
                return SearchResult("ran after not_run", len(seen), False)
            if following not in seen:
                seen.add(following)
                queue.append(following)
    return SearchResult("", len(seen), False)


def _step_ticket(state: TicketState, rule: TicketRule) -> Iterator[TicketState]:
    replace = msgspec.structs.replace
    if state.status in ("unused", "running"):
        yield replace(state, status="gone")
    if not state.arriving:
        return
    arrived = replace(state, arriving=state.arriving - 1)
    if state.status == "unused":
        yield replace(arrived, status="used", runs=state.runs + 1)
        status = "closed" if rule is TicketRule.CLOSES else "unused"
        yield replace(arrived, status=status, reported_not_run=True)
    else:
        yield arrived
