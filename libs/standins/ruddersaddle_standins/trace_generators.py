"""Seeded traces of both deployments: low load, an announced event, repeats, a flood, faults.

Time is scaled down: seconds here stand for minutes to hours in the deployments, and the engines'
caches are smaller in proportion (see `deployments/*.ini`).
"""

import random

from ruddersaddle.replays import COMPLETIONS, TEMPLATE_PREFIX
from ruddersaddle.traces import Arrival, ExpectedOutcome, Fault, TraceLine

QUIET_S = 6.0
EVENT_AT_S = 9.0
PEAK_S = 2.0
RETURN_AT_S = 14.0
RETURN_S = 4.0
ANSWER_TOKENS = 12
CONTEXTS = 30
URGENT = "urgent"
LARGE = 2
"""Number of large workspaces, which come first; the first of them floods."""
FLOOD = 40


def generate_akureyri(seed: int, workspaces: tuple[str, ...]) -> list[TraceLine]:
    """Return the opening of the booking line: the templates of all clinics are used at once."""
    rng = random.Random(seed)
    lines = _quiet_contexts(rng, workspaces, tokens=1800)
    for number, workspace in enumerate(workspaces):
        count = 12 if number < LARGE else 4
        lines += _template_burst(rng, workspace, count, PEAK_S, URGENT)
        lines += _calls(rng, workspace, "/booking/slot", 3, keyed=True)
    lines += _returns(rng, workspaces, tokens=1800)
    lines += _flood(rng, workspaces[0])
    return _sorted(lines)


def generate_casablanca(seed: int, workspaces: tuple[str, ...]) -> list[TraceLine]:
    """Return a tariff change: all members request new quotes over long shared prefixes."""
    rng = random.Random(seed)
    lines = _quiet_contexts(rng, workspaces, tokens=2400)
    for number, workspace in enumerate(workspaces):
        count = 10 if number < LARGE else 5
        lines += _template_burst(rng, workspace, count, PEAK_S * 1.5, "normal")
        lines += _template_burst(rng, workspace, 2, RETURN_S, "normal", RETURN_AT_S)
        lines += _calls(rng, workspace, "/portal/read", 3, keyed=False)
        lines += _calls(rng, workspace, "/portal/quote", 2, keyed=True)
    lines += _returns(rng, workspaces, tokens=2400)
    return _sorted(lines)


def with_faults(lines: list[TraceLine]) -> list[TraceLine]:
    """Return a trace with a lost engine at the peak, an outage of the log and a slow link."""
    faults: list[TraceLine] = [
        Fault(EVENT_AT_S + 0.5, "refuse", "log", 2.0),
        Fault(EVENT_AT_S + 0.8, "kill", "engine-5"),
        Fault(RETURN_AT_S, "slow", "store-1", 2.0, 8.0),
    ]
    return _sorted(lines + faults)


def state_outcomes(lines: list[TraceLine]) -> list[TraceLine]:
    """Return the expected outcomes of a replay: nothing duplicated, cut or wrong."""
    prompts = sum(isinstance(line, Arrival) and line.path == COMPLETIONS for line in lines)
    return [
        ExpectedOutcome("wrong_answers", 0, 0),
        ExpectedOutcome("cut_streams", 0, 0),
        ExpectedOutcome("doubled_calls", 0, 0),
        ExpectedOutcome("answered_prompts", prompts * 0.98, prompts),
    ]


def _quiet_contexts(
    rng: random.Random, workspaces: tuple[str, ...], tokens: int
) -> list[TraceLine]:
    lines: list[TraceLine] = []
    for number in range(CONTEXTS):
        workspace = workspaces[number % len(workspaces)]
        at = QUIET_S * (number + rng.random()) / CONTEXTS
        lines.append(_prompt(at, workspace, f"{workspace}/context-{number}", tokens))
    return lines


def _returns(rng: random.Random, workspaces: tuple[str, ...], tokens: int) -> list[TraceLine]:
    lines: list[TraceLine] = []
    for number in range(CONTEXTS):
        workspace = workspaces[number % len(workspaces)]
        at = RETURN_AT_S + rng.uniform(0, RETURN_S)
        lines.append(_prompt(at, workspace, f"{workspace}/context-{number}", tokens))
    return lines


def _template_burst(
    rng: random.Random,
    workspace: str,
    count: int,
    seconds: float,
    group: str,
    start: float = EVENT_AT_S,
) -> list[TraceLine]:
    context = f"{TEMPLATE_PREFIX}{workspace}"
    starts = [start + rng.uniform(0, seconds) for _ in range(count)]
    return [_prompt(at, workspace, context, 0, group) for at in starts]


def _flood(rng: random.Random, workspace: str) -> list[TraceLine]:
    starts = [EVENT_AT_S + rng.uniform(0, 1.0) for _ in range(FLOOD)]
    return [
        _prompt(at, workspace, f"{workspace}/flood-{number % 8}", 1200)
        for number, at in enumerate(starts)
    ]


def _calls(
    rng: random.Random, workspace: str, path: str, count: int, keyed: bool
) -> list[TraceLine]:
    lines: list[TraceLine] = []
    for number in range(count):
        at = EVENT_AT_S + rng.uniform(-1.0, 4.0)
        key = f"{workspace}/{path}/{number}" if keyed else ""
        lines.append(Arrival(at=at, workspace=workspace, path=path, key=key))
    return lines


def _prompt(at: float, workspace: str, context: str, tokens: int, group: str = "normal") -> Arrival:
    return Arrival(
        at=at,
        workspace=workspace,
        path=COMPLETIONS,
        group=group,
        context=context,
        prompt_tokens=tokens,
        answer_tokens=ANSWER_TOKENS,
    )


def _sorted(lines: list[TraceLine]) -> list[TraceLine]:
    return sorted(lines, key=lambda line: getattr(line, "at", 0.0))
