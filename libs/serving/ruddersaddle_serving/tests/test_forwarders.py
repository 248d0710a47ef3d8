"""Tests of how long a request is held while engines are full."""

import unittest
from unittest import mock

import eventlet
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import PoolId, RequestId
from ruddersaddle_routing.retries import RetryBudget

from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_watches import CrashWatch
from ruddersaddle_serving.forwarders import HELD_LOOK_S, Forwarder, Forwarding
from ruddersaddle_serving.placements import Choice, Full, Patience
from ruddersaddle_serving.prompts import CallerHead, CallerRequest
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Route, RouteKind, RouteName, Target
from ruddersaddle_serving.upstream_lists import UpstreamList

TARGET_S = 1.0
FIRST_S = 0.4
POOL = PoolId("p")
ROUTE = Route(RouteName("r"), "h", "/", RouteKind.STREAM, 9.0, TARGET_S, (Target(POOL),))


class HeldTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        for target, name, fake in (
            (clocks, "now_s", lambda: self.now),
            (eventlet, "sleep", self.sleep),
        ):
            patch = mock.patch.object(target, name, fake)
            patch.start()
            self.addCleanup(patch.stop)
        self.seen: list[Patience] = []
        self.placement = mock.Mock(choose=self.choose)
        self.full_until = float("inf")

    def sleep(self, seconds: float) -> None:
        self.now += seconds

    def choose(self, request, pool, excluded, patience: Patience) -> Choice | Full:
        self.seen.append(patience)
        if patience is Patience.SEND or self.now >= self.full_until:
            return Choice(mock.Mock(), 1, None, 1)
        return Full(FIRST_S)

    def make_forwarding(self) -> Forwarding:
        head = CallerHead(RequestId("q"), None, None, None, None, ())
        request = CallerRequest(head, "POST", "/", b"", ROUTE, None, self.now)
        forwarder = Forwarder(
            self.placement,
            mock.Mock(),
            Publications(),
            RetryBudget(0.1),
            5.0,
            mock.Mock(),
            CrashWatch(mock.Mock(), UpstreamList(), CrashRecords(), mock.Mock(), mock.Mock()),
        )
        return Forwarding(forwarder, request)

    def wait(self) -> float:
        """Choose for a request that has just come; return how long it was held."""
        forwarding = self.make_forwarding()
        self.assertIsInstance(forwarding._choose(), Choice)
        return forwarding.trail.held_s

    def test_request_is_held_only_while_it_can_still_be_in_time(self) -> None:
        held_s = self.wait()
        self.assertLessEqual(held_s + FIRST_S, TARGET_S)
        self.assertGreater(held_s + FIRST_S, TARGET_S - 2 * HELD_LOOK_S)

    def test_request_goes_as_soon_as_there_is_room(self) -> None:
        self.full_until = self.now + 0.2
        self.assertAlmostEqual(self.wait(), 0.2, delta=HELD_LOOK_S)

    def test_held_request_is_never_refused(self) -> None:
        self.wait()
        self.assertEqual(self.seen[0], Patience.REFUSE)
        self.assertNotIn(Patience.REFUSE, self.seen[1:])

    def silent_after(self, seconds: float, predicted_s: float) -> bool:
        """Return whether an upstream counts as silent that sent nothing for so long."""
        forwarding = self.make_forwarding()
        choice = Choice(mock.Mock(), 1, None, 1, first_s=predicted_s)
        forwarding.attempt = mock.Mock(choice=choice, sent_at=self.now)
        self.now += seconds
        forwarding.finish()
        return forwarding.attempt.finish.call_args.args[0] is True

    def test_upstream_is_silent_only_long_after_it_was_predicted_to_answer(self) -> None:
        """A large prompt that takes four targets to read counted against whatever read it."""
        self.assertTrue(self.silent_after(3.2 * TARGET_S, predicted_s=0.2))
        self.assertFalse(self.silent_after(3.2 * TARGET_S, predicted_s=4.0 * TARGET_S))
        self.assertTrue(self.silent_after(13.0 * TARGET_S, predicted_s=4.0 * TARGET_S))

    def test_request_that_no_upstream_took_a_connection_for_has_not_run(self) -> None:
        """Seen while a third of the engines came back: callers got a 502 without any promise."""
        lost = Failure(Code.UPSTREAM_FAILED, Step.CONNECT, "e", "refused", Ran.NOT_RUN)
        choice = Choice(mock.Mock(in_flight=0), 1, None, 1)
        choice.tracker.connections.begin.return_value = lost
        forwarding = self.make_forwarding()
        with mock.patch.object(forwarding, "_choose", return_value=choice):
            result = forwarding._open(None)
        self.assertEqual((result.code, result.ran), (Code.NO_UPSTREAM, Ran.NOT_RUN))
        self.assertGreater(result.retry_after_s, 0)

    def test_request_that_would_be_late_in_any_case_is_not_held(self) -> None:
        with mock.patch(f"{__name__}.FIRST_S", TARGET_S):
            self.assertEqual(self.wait(), 0.0)


if __name__ == "__main__":
    unittest.main()
