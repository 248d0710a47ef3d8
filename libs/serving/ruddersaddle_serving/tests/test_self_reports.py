"""Tests of what upstreams report about themselves in their answers."""

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import RequestId

from ruddersaddle_serving.self_reports import (
    EMPTY_REPORT,
    LimitChange,
    LimitUpdate,
    RateLimit,
    ReportedState,
    SelfReport,
)
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

REQUEST = RequestId("q")


class RateLimitTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.limit = RateLimit()

    def receive(self, report: SelfReport, is_ordinary: bool = True) -> LimitChange:
        update = self.limit.update_from(report, REQUEST, is_ordinary)
        return LimitChange.NONE if update is None else self.limit.apply(update)

    def test_limit_begins_and_ends_with_what_ordinary_answers_say(self) -> None:
        self.assertIs(self.receive(EMPTY_REPORT), LimitChange.NONE)
        self.assertIs(self.receive(SelfReport(2.1)), LimitChange.STARTED)
        self.assertIs(self.receive(SelfReport(0.0)), LimitChange.NONE)
        self.assertIs(self.receive(EMPTY_REPORT, is_ordinary=False), LimitChange.NONE)
        self.assertIs(self.receive(EMPTY_REPORT), LimitChange.ENDED)
        self.assertFalse(self.limit.is_advertised)

    def test_unreadable_limit_changes_nothing(self) -> None:
        unreadable = SelfReport(Failure(Code.CORRUPT, Step.READ, "upstream", "limit 'x'"))
        self.receive(SelfReport(2.1))
        self.assertIs(self.receive(unreadable), LimitChange.NONE)
        self.assertTrue(self.limit.is_advertised)

    def test_older_update_of_another_host_changes_nothing(self) -> None:
        self.receive(SelfReport(2.1))
        self.now += 1.0
        self.receive(EMPTY_REPORT)
        self.assertIs(self.limit.apply(LimitUpdate(2.1, False, REQUEST, 0.5)), LimitChange.NONE)
        self.assertIs(self.limit.apply(LimitUpdate(2.1, False, REQUEST)), LimitChange.STARTED)

    def test_update_that_hosts_send_back_and_forth_still_ages(self) -> None:
        self.receive(SelfReport(2.1))
        other = RateLimit()
        for _ in range(80):
            for source, target in ((self.limit, other), (other, self.limit)):
                update = source.latest_update()
                self.now += 0.05
                target.apply(update, is_first_hand=False)
        self.assertAlmostEqual(self.limit.latest_update().age_s, 8.0)

    def test_end_of_an_unknown_limit_changes_nothing(self) -> None:
        self.assertIs(self.limit.apply(LimitUpdate(2.1, True, REQUEST)), LimitChange.NONE)


class BackoffTest(FixedClockTest):
    def test_later_answer_extends_a_backoff_and_never_shortens_it(self) -> None:
        reported = ReportedState()
        self.assertTrue(reported.back_off(3.0))
        self.now += 1.0
        self.assertFalse(reported.back_off(1.0))
        self.assertAlmostEqual(reported.backoff_s, 2.0)
        self.assertFalse(reported.back_off(5.0))
        self.assertAlmostEqual(reported.backoff_s, 5.0)
        self.now += 5.0
        self.assertEqual((reported.backoff_s, reported.is_bounding), (0.0, False))
        self.assertFalse(reported.back_off(0.0))
