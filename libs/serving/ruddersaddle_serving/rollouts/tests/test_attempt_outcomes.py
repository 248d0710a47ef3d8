"""Tests of what is recorded about attempts: which ends are evidence against a version."""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.ports import AnswerHead
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, VersionPin
from ruddersaddle_serving.rollouts.attempt_outcomes import AttemptOutcome, AttemptOutcomes
from ruddersaddle_serving.rollouts.counts import Tally
from ruddersaddle_serving.rollouts.tests.host_worlds import NEW, OLD, POOL, ROUTES, HostWorld

REFUSED = Failure(Code.OVERLOADED, Step.SEND, "u", "status 503", Ran.NOT_RUN)
CUT_SHORT = Failure(Code.UPSTREAM_FAILED, Step.READ, "u", "ended inside an event", Ran.UNKNOWN)
BROKEN = Failure(Code.UPSTREAM_FAILED, Step.READ, "u", "reset", Ran.UNKNOWN)


class AttemptOutcomesTest(HostWorld):
    hosts_per_hall = 1

    def setUp(self) -> None:
        super().setUp()
        self.order()
        self.host = self.hosts[0]
        self.crashes = 0
        self.has_refused_part = False
        self.outcomes = AttemptOutcomes(
            self.host.participant.book,
            self.host.participant.exchange,
            mock.Mock(),
            mock.Mock(is_cold=lambda tracker: False),
            mock.Mock(
                count=lambda fingerprint: self.crashes,
                parts=mock.Mock(is_refused=lambda parts: self.has_refused_part),
            ),
            mock.Mock(total_s=0.0),
        )

    def start(
        self, version: str, lacks_path: bool = False, pin: VersionPin | None = None
    ) -> AttemptOutcome:
        entry = next(each for each in self.entries.values() if each.software_version == version)
        head = CallerHead("q", None, None, None, None, ())
        request = CallerRequest(head, "GET", "/", b"", ROUTES[0], None, self.now)
        request.pin = pin
        tracker = mock.Mock(id=entry.id, entry=entry, is_avoided=False)
        choice = mock.Mock(tracker=tracker, assignment=None)
        attempt = mock.Mock(
            request=request,
            choice=choice,
            is_broken=False,
            is_invalid=False,
            lacks_path=lacks_path,
        )
        return self.outcomes.start(attempt)

    def test_stream_that_goes_on_is_no_evidence_of_its_version(self) -> None:
        outcome = self.start(NEW, pin=VersionPin(POOL, NEW))
        self.assertIsNone(outcome.rollout)
        outcome.record_failure(BROKEN)
        outcome.finish()
        self.assertIsNotNone(self.start(NEW).rollout)
        self.assertEqual(self.target().sent, 1)

    def answer(self, version: str, status: int, after_s: float) -> None:
        """Let an upstream answer after some time."""
        outcome = self.start(version)
        self.now += after_s
        outcome.record_head(mock.Mock(spec=AnswerHead, status=status))
        outcome.record_data()
        outcome.finish()

    def target(self) -> Tally:
        counts = self.host.participant.exchange.counts_of(self.host.rollout).recorder.counts()
        return counts.by_route[ROUTES[0].name].target

    def target_breaks(self) -> dict[UpstreamId, int]:
        recorder = self.host.participant.exchange.counts_of(self.host.rollout).recorder
        return recorder.counts().target_breaks

    def test_answers_are_compared_with_the_old_versions_median(self) -> None:
        for _ in range(5):
            self.answer(OLD, 200, 0.02)
        self.answer(NEW, 200, 0.02)
        self.answer(NEW, 200, 0.3)
        self.answer(NEW, 500, 0.02)
        self.assertEqual(self.target(), Tally(3, 1, 1, 1))

    def test_failures_of_a_host_without_any_path_are_no_evidence(self) -> None:
        for lacks_path in (True, False):
            outcome = self.start(NEW, lacks_path)
            outcome.record_head(mock.Mock(spec=AnswerHead, status=500))
            outcome.finish()
        self.assertEqual(self.target(), Tally(2, 0, 1, 0))

    def test_refusal_and_callers_that_leave_are_no_evidence(self) -> None:
        refused, left = self.start(NEW), self.start(NEW)
        refused.record_head(REFUSED)
        refused.finish()
        left.finish(is_cut=True)
        self.assertEqual(self.target(), Tally(2, 0, 0, 0))

    def test_break_counts_once_per_upstream_unless_the_request_explains_it(self) -> None:
        """A crash breaks all runs of an engine; some requests crash the engines of any version."""
        for crashes, breaks in ((2, 0), (1, 1)):
            self.crashes = crashes
            for _ in range(3):
                outcome = self.start(NEW)
                outcome.attempt.is_broken = True
                outcome.record_head(BROKEN)
                outcome.finish()
            counts = self.host.participant.exchange.counts_of(self.host.rollout)
            self.assertEqual(sum(counts.recorder.counts().target_breaks.values()), breaks)

    def test_break_by_a_refused_part_of_the_prompt_is_no_evidence_of_the_version(self) -> None:
        self.has_refused_part = True
        outcome = self.start(NEW)
        outcome.attempt.is_broken = True
        outcome.record_head(BROKEN)
        outcome.finish()
        counts = self.host.participant.exchange.counts_of(self.host.rollout)
        self.assertEqual(sum(counts.recorder.counts().target_breaks.values()), 0)

    def test_streams_that_were_cut_short_count_against_their_version(self) -> None:
        """Ends of a version that breaks off its answers in order looked like good answers."""
        for is_broken, failed, breaks in ((False, 1, 0), (True, 1, 1)):
            with self.subTest(is_broken=is_broken):
                outcome = self.start(NEW)
                outcome.record_head(mock.Mock(spec=AnswerHead, status=200))
                outcome.record_data()
                outcome.attempt.is_broken = is_broken
                outcome.attempt.is_invalid = not is_broken
                outcome.record_failure(CUT_SHORT)
                outcome.finish()
                self.assertEqual((self.target().good, self.target().failed), (0, failed))
                self.assertEqual(sum(self.target_breaks().values()), breaks)

    def test_stream_that_ended_with_its_connection_is_a_good_answer(self) -> None:
        """Versions that frame no answer would otherwise never be shown to be good."""
        for _ in range(5):
            self.answer(OLD, 200, 0.02)
        self.answer(NEW, 200, 0.02)
        self.assertEqual(self.target(), Tally(1, 1, 0, 0))

    def test_runs_at_old_upstreams_are_counted_unless_they_can_be_resumed(self) -> None:
        """Completion stops these upstreams without draining."""
        outcome = self.start(OLD)
        self.assertEqual(self.outcomes.count_old_runs(self.host.rollout), 0)
        with mock.patch.object(type(ROUTES[0]), "is_repeatable", False):
            self.assertEqual(self.outcomes.count_old_runs(self.host.rollout), 1)
            outcome.finish()
            self.assertEqual(self.outcomes.count_old_runs(self.host.rollout), 0)
        self.assertEqual(outcome.attempt.choice.tracker.entry.pool, POOL)


if __name__ == "__main__":
    unittest.main()
