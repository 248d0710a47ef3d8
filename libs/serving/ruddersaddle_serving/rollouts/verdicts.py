"""Judges the target version of a rollout by its answers, compared with the old version's.

Each host computes the same verdict from the same totals. A verdict only ever speaks against the
target: `assess` says when to stop, `judge_end` whether what was seen is enough to complete.
"""

from collections.abc import Iterator
from enum import Enum
from math import exp, log, sqrt

import msgspec
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.rollouts.counts import RolloutTotals
from ruddersaddle_serving.rollouts.sequential_tests import (
    Comparison,
    chance_of_more,
    log_evidence,
)

FALSE_ALARM_RATE = 0.001
"""Bound of the probability that the tests condemn a version that is as good as the old one."""
WINDOWS = 8
"""The tests run on the answers since the order and since each eighth of its duration, so that a
version that turns bad late isn't excused by its earlier good answers."""
UNEXPLAINED_MAX = 25
"""Bad answers beyond those that the old version's share explains, at which a version is stopped
whatever the tests say."""
NOISE_DEVIATIONS = 4.0
"""Standard deviations that count as explained. Without them, a route that fails 14 % on its own
would exceed `UNEXPLAINED_MAX` by chance: with 2,000 samples one deviation is 16 answers."""
COMPARED_MIN = 10
"""With fewer answers of the old version, its share is assumed to be `ASSUMED_SHARE`."""
ASSUMED_SHARE = 0.2
SECOND_CHANCE = 0.02
"""Probability by chance of the bad answers of the other upstreams, below which not only the worst
one is bad."""
SECOND_BAD = 2
"""Bad answers of the other upstreams that this needs at least."""
SUSPICION_SHARE = 0.02
"""Share of the evidence needed to condemn with which a version is suspicious."""
END_CHANCE = 0.005
"""Bound of the probability that a version as good as the old one is "not proven" for its bad
answers. The end is looked at once, so less evidence is needed than for stopping at any time."""
END_WINDOWS = {0: 0.5, WINDOWS // 2: 0.25, WINDOWS * 3 // 4: 0.25}
"""Windows that are looked at in the end, by number, with their parts of `END_CHANCE`."""
FEW_REQUESTS = 10
"""A route with fewer requests than this needs no sample."""
CAPACITY_SHARE = 0.5
"""Usable slots of the target, as a share of the old version's, that it needs to bear the load."""
ALL_ROUTES = "(all routes)"
CONNECTIONS = "(connections)"

Sums = dict[str, Comparison]
"""Counts of both sides by route, and of broken connections under `CONNECTIONS`."""


class SideCapacity(msgspec.Struct, frozen=True):
    """Usable upstreams of one side, and their slots."""

    upstreams: int = 0
    slots: int = 0

    def can_replace(self, other: "SideCapacity") -> bool:
        """Return whether these upstreams can bear the load of those of the other side."""
        return self.upstreams > 0 and self.slots >= CAPACITY_SHARE * other.slots


class Assessment(msgspec.Struct, frozen=True):
    """What the answers so far say about the target version."""

    is_bad: bool = False
    suspects: frozenset[UpstreamId] = frozenset()
    """Upstreams that are bad on their own; they get nothing and their answers don't count."""
    evidence: float = 0.0
    """Strongest evidence, as a share of what condemns the version."""
    test: str = ""
    """Route, `ALL_ROUTES` or `CONNECTIONS` of the strongest evidence."""
    reason: str = ""
    """For the log; empty if there is nothing to say."""

    @property
    def is_suspicious(self) -> bool:
        """Whether there is some evidence; requests that run only once should be spared."""
        return self.is_bad or self.evidence >= SUSPICION_SHARE


class Judgement(Enum):
    """How a rollout ends."""

    GOOD_ENOUGH = "good_enough"
    BAD = "bad"
    NOT_PROVEN = "not_proven"


class EndJudgement(msgspec.Struct, frozen=True):
    """How a rollout ends, and why."""

    judgement: Judgement
    reason: str


class CountHistory:
    """Totals of one order at the starts of the windows of the tests."""

    def __init__(self, duration_s: float) -> None:
        self._duration_s = duration_s
        self._snapshots: dict[int, _Snapshot] = {}
        self._newest = 0

    def record(self, elapsed_s: float, totals: RolloutTotals) -> None:
        """Record totals at a time since the order; called whenever new totals are known."""
        # Limited before it is divided: an order may state the smallest positive number.
        part = min(elapsed_s, self._duration_s) / self._duration_s
        number = min(WINDOWS - 1, int(part * WINDOWS))
        if number > self._newest:
            self._newest = number
            self._snapshots[number] = _Snapshot(totals)

    def windows(
        self, totals: RolloutTotals, excluded: frozenset[UpstreamId]
    ) -> Iterator[tuple[int, Sums]]:
        """Yield each window's number and its sums, without some upstreams of the target.

        Number 0 is the time since the order.
        """
        sums = _sum_sides(totals, excluded)
        yield 0, sums
        for number, snapshot in self._snapshots.items():
            earlier = snapshot.sums(excluded)
            yield number, {key: _growth(each, earlier.get(key)) for key, each in sums.items()}


class _Snapshot:
    """Totals at a window's start; sums are kept, as they are asked for with each new totals."""

    def __init__(self, totals: RolloutTotals) -> None:
        self._totals = totals
        self._sums_by_excluded: dict[frozenset[UpstreamId], Sums] = {}

    def sums(self, excluded: frozenset[UpstreamId]) -> Sums:
        if excluded not in self._sums_by_excluded:
            self._sums_by_excluded[excluded] = _sum_sides(self._totals, excluded)
        return self._sums_by_excluded[excluded]


def _sum_sides(totals: RolloutTotals, excluded: frozenset[UpstreamId]) -> Sums:
    sums: Sums = {}
    sent = baseline_sent = 0
    for route, counts in totals.by_route.items():
        target, baseline = counts.target_without(excluded), counts.baseline
        sums[route] = Comparison(target.bad, target.judged, baseline.bad, baseline.judged)
        sent += target.sent
        baseline_sent += baseline.sent
    breaks = sum(each for key, each in totals.target_breaks.items() if key not in excluded)
    baseline_breaks = sum(totals.baseline_breaks.values())
    sums[CONNECTIONS] = Comparison(
        breaks, max(breaks, sent), baseline_breaks, max(baseline_breaks, baseline_sent)
    )
    return sums


def _growth(now: Comparison, earlier: Comparison | None) -> Comparison:
    """Return the growth; at least 0, as counts of processes that ended may be missing."""
    if earlier is None:
        return now
    bad = max(0, now.bad - earlier.bad)
    baseline_bad = max(0, now.baseline_bad - earlier.baseline_bad)
    return Comparison(
        bad,
        max(bad, now.judged - earlier.judged),
        baseline_bad,
        max(baseline_bad, now.baseline_judged - earlier.baseline_judged),
    )


class _Finding(msgspec.Struct, frozen=True):
    """Strongest evidence of some answers, as a logarithm, and the most unexplained bad ones."""

    margin: float
    """Logarithm of the evidence as a share of what condemns; 0 condemns."""
    test: str
    window: int
    sums: Comparison
    unexplained: float

    @property
    def is_condemning(self) -> bool:
        return self.margin >= 0.0 or self.unexplained >= UNEXPLAINED_MAX

    @property
    def share(self) -> float:
        return exp(min(0.0, self.margin))

    @property
    def text(self) -> str:
        each = self.sums
        return (
            f"{self.test}: {each.bad} of {each.judged} bad, old version {each.baseline_bad} of "
            f"{each.baseline_judged}; evidence {self.share:.2g} of 1, "
            f"{max(0.0, self.unexplained):.0f} of {UNEXPLAINED_MAX} unexplained"
        )


def assess(
    history: CountHistory,
    totals: RolloutTotals,
    upstreams: int,
    suspects: frozenset[UpstreamId] = frozenset(),
) -> Assessment:
    """Return what the totals say about the target version.

    `upstreams` is the number of upstreams of the target version; `suspects` are those of earlier
    assessments of this order, which remain suspects.
    """
    if upstreams <= 1:
        suspects = frozenset()
    finding = _find(history, totals, suspects)
    assessment = Assessment(False, suspects, finding.share, finding.test, finding.text)
    if not finding.is_condemning:
        return assessment
    worst = _worst_upstream(totals, suspects)
    if upstreams > 1 and not suspects and worst is not None:
        rest = _find(history, totals, frozenset({worst}))
        if not (rest.is_condemning or _shows(finding, history, totals, worst)):
            text = f"only upstream {worst} is bad; {finding.text}"
            return Assessment(False, frozenset({worst}), rest.share, finding.test, text)
    return msgspec.structs.replace(assessment, is_bad=True, evidence=1.0)


def _shows(
    finding: _Finding, history: CountHistory, totals: RolloutTotals, worst: UpstreamId
) -> bool:
    """Return whether the other upstreams show what was found as well."""
    sums = dict(history.windows(totals, frozenset({worst})))[finding.window]
    others = dict(_tests(sums))[finding.test]
    bad = sum(each.bad for each in others)
    return bad >= SECOND_BAD and chance_of_more(others) < SECOND_CHANCE


def _find(
    history: CountHistory, totals: RolloutTotals, excluded: frozenset[UpstreamId]
) -> _Finding:
    """Return the strongest evidence over all windows and tests."""
    strongest = _Finding(float("-inf"), ALL_ROUTES, 0, Comparison(0, 0, 0, 0), 0.0)
    for number, sums in history.windows(totals, excluded):
        limit = _log_limit(number, len(sums) + 1)
        for test, comparisons in _tests(sums):
            floor = max(0.0, strongest.margin + limit)
            evidence = log_evidence(comparisons, limit, floor)
            margin = max(evidence - limit, strongest.margin)
            unexplained = max(_unexplained(comparisons), strongest.unexplained)
            if margin > strongest.margin or unexplained > strongest.unexplained:
                added = _added(comparisons)
                strongest = _Finding(margin, test, number, added, unexplained)
    return strongest


def _log_limit(window: int, tests: int) -> float:
    """Return the evidence at which a test condemns, so that all together keep the false alarms.

    Half of the rate is for the bounds of the old version's shares. The window since the order gets
    half of the rest.
    """
    part = 0.5 if window == 0 else 0.5 / (WINDOWS - 1)
    return log(2 * tests / (part * FALSE_ALARM_RATE))


def _tests(sums: Sums) -> Iterator[tuple[str, list[Comparison]]]:
    routes = [each for key, each in sums.items() if key != CONNECTIONS]
    for key, each in sums.items():
        yield key, [each]
    yield ALL_ROUTES, routes


def _unexplained(comparisons: list[Comparison]) -> float:
    """Return the bad answers beyond the old version's share and chance."""
    expected = variance = 0.0
    for each in comparisons:
        is_compared = each.baseline_judged >= COMPARED_MIN
        share = each.baseline_share if is_compared else ASSUMED_SHARE
        doubt = each.judged / each.baseline_judged if is_compared else 0.0
        expected += each.judged * share
        variance += each.judged * share * (1.0 - share) * (1.0 + doubt)
    return sum(each.bad for each in comparisons) - expected - NOISE_DEVIATIONS * sqrt(variance)


def _added(comparisons: list[Comparison]) -> Comparison:
    return Comparison(
        sum(each.bad for each in comparisons),
        sum(each.judged for each in comparisons),
        sum(each.baseline_bad for each in comparisons),
        sum(each.baseline_judged for each in comparisons),
    )


def _worst_upstream(totals: RolloutTotals, excluded: frozenset[UpstreamId]) -> UpstreamId | None:
    """Return the target's upstream with the most bad answers beyond the old version's share."""
    excess: dict[UpstreamId, float] = dict(totals.target_breaks)
    for counts in totals.by_route.values():
        share = (counts.baseline.bad + 0.5) / (counts.baseline.judged + 1.0)
        for upstream, tally in counts.target_by_upstream.items():
            more = tally.bad - share * tally.judged
            excess[upstream] = excess.get(upstream, 0.0) + more
    candidates = [each for each in excess if each not in excluded]
    return max(candidates, key=lambda each: (excess[each], each), default=None)


def judge_end(
    history: CountHistory,
    assessment: Assessment,
    totals: RolloutTotals,
    baseline: SideCapacity,
    target: SideCapacity,
) -> EndJudgement:
    """Return how a rollout ends whose time is over."""
    if assessment.is_bad:
        return EndJudgement(Judgement.BAD, assessment.reason)
    if target.upstreams == 0:
        return EndJudgement(Judgement.NOT_PROVEN, "no usable upstream has the target version")
    if not target.can_replace(baseline):
        slots = f"{target.slots} usable slots of the target, {baseline.slots} of the old version"
        return EndJudgement(Judgement.NOT_PROVEN, slots)
    reason = _unlikely(history, totals, assessment.suspects)
    if reason:
        return EndJudgement(Judgement.NOT_PROVEN, reason)
    reason = _missing(totals, assessment.suspects)
    if reason:
        return EndJudgement(Judgement.NOT_PROVEN, reason)
    return EndJudgement(Judgement.GOOD_ENOUGH, assessment.reason)


def _missing(totals: RolloutTotals, suspects: frozenset[UpstreamId]) -> str:
    """Return which samples are missing; empty if none are.

    The samples of one route may all be no evidence, for example because upstreams were still cold.
    Those of all routes may not.
    """
    judged = 0
    for route, counts in totals.by_route.items():
        tally = counts.target_without(suspects)
        judged += tally.judged
        if counts.requests >= FEW_REQUESTS and not tally.sent:
            return f"no sample of route {route} with {counts.requests} requests"
    requests = totals.requests
    if requests >= FEW_REQUESTS and not judged:
        return f"no sample of {requests} requests was evidence"
    return ""


def _unlikely(history: CountHistory, totals: RolloutTotals, suspects: frozenset[UpstreamId]) -> str:
    """Return which answers of the target are unlikely by chance; empty if none are.

    If one upstream is a suspect already, less is needed of the others.
    """
    for number, sums in history.windows(totals, suspects):
        limit = END_CHANCE * END_WINDOWS.get(number, 0.0) / (len(sums) + 1)
        if limit and suspects:
            limit = SECOND_CHANCE
        for test, comparisons in _tests(sums):
            chance = chance_of_more(comparisons) if limit else 1.0
            if chance < limit:
                each = _added(comparisons)
                return (
                    f"{test}: {each.bad} of {each.judged} bad, old version {each.baseline_bad} of "
                    f"{each.baseline_judged}; by chance {chance:.1e}"
                )
    return ""
