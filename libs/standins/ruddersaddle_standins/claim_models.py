"""Search of every interleaving of tries at one key, over the product's own fold of claims.

Appends may land late, twice or never; tries may crash or pause at any point. Checked: the call
runs at most once, `not_run` is said of no key that ran, and after `not_run` no try that was made
before may run. Tickets are searched beside: one process, calls that arrive late and doubled.
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
COPIES = 2
"""How often one append may land."""
FOREVER_S = 1e9


class Told(Enum):
    """When a host says `not_run` of a claim that it gives up."""

    AT_ONCE = "at_once"
    AFTER_VOID = "after_void"


class Try(msgspec.Struct, frozen=True):
    """One try at the key: its step and the retry token that its caller had."""

    step: str = "unborn"
    token: int = START


class Note(msgspec.Struct, frozen=True):
    """A record on its way or in the log: a claim or a void of one try."""

    is_claim: bool
    owner: int
    token: int = START


class World(msgspec.Struct, frozen=True):
    """One state of the search; `barred` are the tries that may not run any more."""

    tries: tuple[Try, ...]
    log: tuple[Note, ...] = ()
    sending: frozenset[tuple[Note, int]] = frozenset()
    calls: frozenset[int] = frozenset()
    runs: int = 0
    barred: frozenset[int] = frozenset()


class Verdict(msgspec.Struct, frozen=True):
    """What a search found: the broken promise or nothing, and whether a retry could run."""

    broken: str
    states: int
    retry_runs: bool


class ClaimSearch:
    """Searches one rule with one time of telling."""

    def __init__(self, rule: Rule, told: Told, tries: int, log_max: int) -> None:
        self.rule = rule
        self.told = told
        self.tries = tries
        self.log_max = log_max
        self.fold = lru_cache(maxsize=None)(self._fold)

    def _fold(self, log: tuple[Note, ...]) -> tuple[int | None, frozenset[int]]:
        """Return who holds the key and the accepted positions, by the product's own fold."""
        claims = Claims(FOREVER_S, 0.0, self.rule)
        accepted = set()
        for index, note in enumerate(log):
            fate = claims.apply(PositionedRecord(Position(index), 1.0, _record(note, index)))
            if fate.outcome is Outcome.ACCEPTED:
                accepted.add(index)
        state = claims.by_key.get(KEY)
        holder = None if state is None or state.holder is None else int(state.holder)
        return holder, frozenset(accepted)

    def run(self) -> Verdict:
        """Search breadth first; stop at the first broken promise."""
        first = World((Try(),) * self.tries)
        seen = {first}
        queue = deque([first])
        retry_runs = False
        while queue:
            world = queue.popleft()
            retry_runs = retry_runs or (world.runs > 0 and self._has_not_run(world))
            for following in self._step(world):
                broken = _broken(world, following)
                if broken:
                    return Verdict(broken, len(seen), retry_runs)
                if following not in seen:
                    seen.add(following)
                    queue.append(following)
        return Verdict("", len(seen), retry_runs)

    def _has_not_run(self, world: World) -> bool:
        return any(each.step == "not_run" for each in world.tries)

    def _step(self, world: World) -> Iterator[World]:
        for index, each in enumerate(world.tries):
            yield from self._step_try(world, index, each)
        yield from self._step_network(world)

    def _step_try(self, world: World, index: int, each: Try) -> Iterator[World]:
        holder, accepted = self.fold(world.log)
        if each.step in ("new", "claiming", "voiding", "dispatched"):
            yield _put(world, index, Try("crashed", each.token))
        match each.step:
            case "unborn" if index == 0 or world.tries[index - 1].step != "unborn":
                yield _put(world, index, Try("new", self._told_token(world)))
            case "new" if holder is None:
                yield self._claim(world, index, each)
            case "new":
                yield _put(world, index, Try("unknown", each.token))
            case "claiming":
                yield from self._claiming(world, index, each, holder)
            case "voiding":
                yield from self._voiding(world, index, each, accepted)

    def _told_token(self, world: World) -> int:
        tokens = [each.token for each in world.tries if each.step == "not_run"]
        return max(tokens, default=START)

    def _claim(self, world: World, index: int, each: Try) -> World:
        token = len(world.log) - 1 if self.rule is Rule.READ else each.token
        return _send(_put(world, index, Try("claiming", token)), Note(True, index, token))

    def _claiming(self, world: World, index: int, each: Try, holder: int | None) -> Iterator[World]:
        if holder == index:
            moved = _put(world, index, Try("dispatched", each.token))
            yield msgspec.structs.replace(moved, calls=moved.calls | {index})
        elif any(note.is_claim and note.owner == index for note in world.log):
            yield _put(world, index, Try("unknown", each.token))
        if self.told is Told.AFTER_VOID:
            yield _send(_put(world, index, Try("voiding", each.token)), Note(False, index))
        else:
            told = _say_not_run(world, index, each.token)
            yield _send(told, Note(False, index), copies=1)

    def _voiding(
        self, world: World, index: int, each: Try, accepted: frozenset[int]
    ) -> Iterator[World]:
        yield _put(world, index, Try("unknown", each.token))
        for position, note in enumerate(world.log):
            if not note.is_claim and note.owner == index and position in accepted:
                yield _say_not_run(world, index, position)

    def _step_network(self, world: World) -> Iterator[World]:
        for item in world.sending:
            note, left = item
            rest = world.sending - {item}
            if len(world.log) < self.log_max:
                again = rest | {(note, left - 1)} if left > 1 else rest
                yield msgspec.structs.replace(world, log=(*world.log, note), sending=again)
            yield msgspec.structs.replace(world, sending=rest)
        for index in world.calls:
            rest_calls = world.calls - {index}
            yield msgspec.structs.replace(world, calls=rest_calls, runs=world.runs + 1)
            yield msgspec.structs.replace(world, calls=rest_calls)


def _record(note: Note, index: int) -> Claim | Void:
    attempt = RecordId(str(note.owner))
    if note.is_claim:
        return Claim(attempt, KEY, Incarnation(f"h.{note.owner}"), Position(note.token), 1.0)
    return Void(RecordId(f"void-{index}"), KEY, attempt, 1.0)


def _put(world: World, index: int, changed: Try) -> World:
    tries = (*world.tries[:index], changed, *world.tries[index + 1 :])
    return msgspec.structs.replace(world, tries=tries)


def _send(world: World, note: Note, copies: int = COPIES) -> World:
    return msgspec.structs.replace(world, sending=world.sending | {(note, copies)})


def _say_not_run(world: World, index: int, token: int) -> World:
    born = frozenset(i for i, each in enumerate(world.tries) if each.step != "unborn")
    told = _put(world, index, Try("not_run", token))
    return msgspec.structs.replace(told, barred=world.barred | born)


def _broken(before: World, after: World) -> str:
    if after.runs > 1:
        return "ran twice"
    if after.runs > before.runs and (before.calls - after.calls) & before.barred:
        return "ran after not_run"
    said = [e for e, f in zip(after.tries, before.tries, strict=True) if e.step != f.step]
    if after.runs and any(each.step == "not_run" for each in said):
        return "not_run said after a run"
    return ""


class TicketRule(Enum):
    """What a ticket's process does after a connection failed: closes the ticket, or opens it."""

    CLOSES = "closes"
    REOPENS = "reopens"


class TicketWorld(msgspec.Struct, frozen=True):
    """One state of a ticket: copies of the call on their way, and what its process did."""

    arriving: int
    state: str = "unused"
    runs: int = 0
    told_not_run: bool = False


def search_tickets(rule: TicketRule, copies: int) -> Verdict:
    """Search every order of a ticketed call's copies, failures to connect and a crash."""
    first = TicketWorld(copies)
    seen = {first}
    queue = deque([first])
    while queue:
        world = queue.popleft()
        for following in _step_ticket(world, rule):
            if following.runs > 1:
                return Verdict("ran twice", len(seen), False)
            if following.runs and following.told_not_run:
                return Verdict("ran after not_run", len(seen), False)
            if following not in seen:
                seen.add(following)
                queue.append(following)
    return Verdict("", len(seen), False)


def _step_ticket(world: TicketWorld, rule: TicketRule) -> Iterator[TicketWorld]:
    replace = msgspec.structs.replace
    if world.state in ("unused", "running"):
        yield replace(world, state="gone")
    if not world.arriving:
        return
    arrived = replace(world, arriving=world.arriving - 1)
    if world.state == "unused":
        yield replace(arrived, state="used", runs=world.runs + 1)
        state = "closed" if rule is TicketRule.CLOSES else "unused"
        yield replace(arrived, state=state, told_not_run=True)
    else:
        yield arrived
