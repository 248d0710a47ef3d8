"""Tests of what upstreams say of themselves in their answers."""

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

    def hear(self, report: SelfReport, is_ordinary: bool = True) -> LimitChange:
        news = self.limit.update_from(report, REQUEST, is_ordinary)
        return LimitChange.NONE if news is None else self.limit.apply(news)

    def test_limit_begins_and_ends_with_what_ordinary_answers_say(self) -> None:
        self.assertIs(self.hear(EMPTY_REPORT), LimitChange.NONE)
        self.assertIs(self.hear(SelfReport(2.1)), LimitChange.STARTED)
        self.assertIs(self.hear(SelfReport(0.0)), LimitChange.NONE)
        self.assertIs(self.hear(EMPTY_REPORT, is_ordinary=False), LimitChange.NONE)
        self.assertIs(self.hear(EMPTY_REPORT), LimitChange.ENDED)
        self.assertFalse(self.limit.is_advertised)

    def test_unreadable_limit_changes_nothing(self) -> None:
        unreadable = SelfReport(Failure(Code.CORRUPT, Step.READ, "upstream", "limit 'x'"))
        self.hear(SelfReport(2.1))
        self.assertIs(self.hear(unreadable), LimitChange.NONE)
        self.assertTrue(self.limit.is_advertised)

    def test_older_word_of_another_host_changes_nothing(self) -> None:
        self.hear(SelfReport(2.1))
        self.now += 1.0
        self.hear(EMPTY_REPORT)
        self.assertIs(self.limit.apply(LimitUpdate(2.1, False, REQUEST, 0.5)), LimitChange.NONE)
        self.assertIs(self.limit.apply(LimitUpdate(2.1, False, REQUEST)), LimitChange.STARTED)

    def test_word_that_hosts_tell_one_another_to_and_fro_grows_old(self) -> None:
        self.hear(SelfReport(2.1))
        other = RateLimit()
        for _ in range(80):
            for source, target in ((self.limit, other), (other, self.limit)):
                news = source.latest_update()
                self.now += 0.05
                target.apply(news, is_first_hand=False)
        self.assertAlmostEqual(self.limit.latest_update().age_s, 8.0)

    def test_end_of_a_limit_that_was_never_heard_of_is_no_news(self) -> None:
        self.assertIs(self.limit.apply(LimitUpdate(2.1, True, REQUEST)), LimitChange.NONE)


class RestTest(FixedClockTest):
    def test_later_answer_lengthens_a_rest_and_never_shortens_it(self) -> None:
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
