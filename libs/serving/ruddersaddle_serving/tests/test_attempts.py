"""Tests of when a request counts towards its engine's load."""

import unittest
from itertools import product
from unittest import mock

from msgspec.structs import replace
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, ModelId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.answer_ends import Framing
from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.ports import AnswerHead
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, Prompt
from ruddersaddle_serving.routes import Route, RouteKind, RouteName
from ruddersaddle_serving.run_statements import RunStatement
from ruddersaddle_serving.self_reports import SelfReport
from ruddersaddle_serving.tests.engine_waits import wait_s
from ruddersaddle_serving.trackers import Assignment, Notice, Tracker
from ruddersaddle_serving.upstream_connections import Exchange
from ruddersaddle_serving.upstream_entries import UpstreamEntry

ROUTE = Route(RouteName("r"), "h", "/", RouteKind.STREAM, 9.0, 0.4, ())
MODEL = ModelId("m")
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

    def read(self, head: AnswerHead) -> AnswerHead | Failure:
        """Return what the attempt makes of an answer's head."""
        exchange = self.attempt.exchange = mock.Mock(spec=Exchange)
        exchange.head = head
        exchange.is_new = True
        exchange.send.return_value = None
        exchange.read_head.return_value = head
        exchange.drain.return_value = None
        return self.attempt.open()

    def test_rejection_of_another_request_passes_for_the_answer(self) -> None:
        """Nothing that an answer says is used unless it names this request, and no other."""
        for status, request, statement, framing in product(
            (200, 204, 301, 408, 413, 421, 429, 500, 503),
            (None, RequestId(""), RequestId("p"), RequestId("q, q"), RequestId("q, p")),
            RunStatement,
            Framing,
        ):
            with self.subTest(status=status, request=request, statement=statement, framing=framing):
                self.setUp()
                head = make_head(status, request, statement, framing)
                failure = self.read(head)
                self.assertEqual((failure.ran, failure.code), (Ran.UNKNOWN, Code.UPSTREAM_FAILED))
                self.assertIn(repr(request), failure.detail)
                self.assertTrue(self.attempt.is_invalid)
                self.assertEqual(self.tracker.reported.backoff_s, 0.0)
                self.assertEqual(self.tracker.version_by_model.get(MODEL, 0), 0)

    def test_rejection_of_this_request_is_a_true_refusal(self) -> None:
        head = make_head(503, RequestId("q"), RunStatement.NOT_RUN, Framing.DELIMITED)
        failure = self.read(replace(head, has_receipt=False))
        self.assertEqual((failure.ran, failure.code), (Ran.NOT_RUN, Code.OVERLOADED))

    def test_weights_of_another_process_are_taken_for_those_of_the_upstream(self) -> None:
        for upstream, version in ((UpstreamId("other"), 0), (ENTRY.id, 7), (None, 7)):
            with self.subTest(upstream=upstream):
                self.setUp()
                prompt = Prompt(MODEL, (), 10, 1)
                caller_head = CallerHead(RequestId("q"), None, None, prompt, None, ())
                self.attempt.request.head = caller_head
                head = make_head(503, RequestId("q"), RunStatement.NOT_RUN, Framing.DELIMITED)
                self.read(replace(head, has_receipt=False, upstream=upstream))
                self.assertEqual(self.tracker.version_by_model.get(MODEL, 0), version)

    def test_answer_that_contradicts_itself_makes_a_promise(self) -> None:
        """Nothing that it says of its upstream is used either."""
        for status, framing in product((200, 400, 421, 429, 500, 503), Framing):
            with self.subTest(status=status, framing=framing):
                self.setUp()
                head = make_head(status, RequestId("q"), RunStatement.CONTRADICTED, framing)
                failure = self.read(head)
                self.assertEqual((failure.ran, failure.code), (Ran.UNKNOWN, Code.UPSTREAM_FAILED))
                self.assertTrue(self.attempt.is_invalid)
                self.assertEqual(self.tracker.reported.backoff_s, 0.0)
                self.assertEqual(self.tracker.version_by_model.get(MODEL, 0), 0)
                self.assertFalse(self.tracker.is_replaced)


def make_head(
    status: int, request: RequestId | None, statement: RunStatement, framing: Framing
) -> AnswerHead:
    return AnswerHead(
        status=status,
        request=request,
        has_receipt=True,
        statement=statement,
        upstream=ENTRY.id,
        version=7,
        keep_alive_s=None,
        encoded=False,
        headers=(),
        report=SelfReport(limit_per_s=1.0, leaving=True, backoff_s=1.0),
        framing=framing,
    )


if __name__ == "__main__":
    unittest.main()
