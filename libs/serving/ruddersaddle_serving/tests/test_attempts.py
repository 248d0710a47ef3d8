"""Tests of when a request counts towards its engine's load."""

import unittest
from unittest import mock

from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.answer_ends import Framing
from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.prompts import CallerHead, CallerRequest
from ruddersaddle_serving.routes import Route, RouteKind, RouteName
from ruddersaddle_serving.tests.engine_waits import wait_s
from ruddersaddle_serving.trackers import Assignment, Notice, Tracker
from ruddersaddle_serving.upstream_connections import Exchange
from ruddersaddle_serving.upstream_entries import UpstreamEntry

ROUTE = Route(RouteName("r"), "h", "/", RouteKind.STREAM, 9.0, 0.4, ())
ENTRY = UpstreamEntry(UpstreamId("e"), PoolId("p"), "10.0.0.1:80", HallId("h"), 8, False, {})


class AttemptTest(unittest.TestCase):
    def setUp(self) -> None:
        self.tracker = Tracker(ENTRY)
        head = CallerHead(RequestId("q"), None, None, None, None, ())
        request = CallerRequest(head, "POST", "/", b"", ROUTE, None, clocks.now_s())
        choice = Choice(self.tracker, 1, None, 1, Assignment("m/1", (), 0.3, 500, 1))
        self.attempt = Attempt(request, choice, mock.Mock(), None, self.apply_notice)

    def apply_notice(self, notice: Notice) -> None:
        self.tracker.apply_notice("own", notice)

    def test_request_counts_before_it_is_connected(self) -> None:
        """When it did not, seven concurrent requests went to one engine after a restart."""
        self.assertEqual(wait_s(self.tracker.load, 1, 10, 9000), 0.3)

    def test_failed_connection_ends_the_count(self) -> None:
        lost = Failure(Code.UPSTREAM_FAILED, Step.CONNECT, "e")
        with mock.patch.object(self.tracker.connections, "open_exchange", return_value=lost):
            self.assertIs(self.attempt.connect(), lost)
        self.attempt.finish(None)
        self.assertEqual((self.tracker.load.tokens, self.tracker.in_flight), (0, 0))

    def test_only_a_live_connection_shows_that_the_upstream_responds(self) -> None:
        """A framed answer that ended inside an event did not count as a response."""
        for framing, responds in ((Framing.DELIMITED, True), (Framing.CONNECTION, False)):
            with self.subTest(framing=framing):
                self.setUp()
                exchange = self.attempt.exchange = Exchange(mock.Mock(), mock.Mock())
                exchange.head = mock.Mock(framing=framing)
                exchange.has_ended = True
                self.attempt.break_off("ended inside an event")
                self.attempt.finish(True)
                responded_at = self.tracker.liveness.last_response_at
                self.assertEqual(responded_at > float("-inf"), responds)


if __name__ == "__main__":
    unittest.main()
