"""Tests of forwarding requests, and of what counts as a failure of the upstream."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import PoolId, RequestId
from ruddersaddle_routing.retry_budgets import RetryBound, RetryBudgets

from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.buffer_shares import BufferShare
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_watches import CrashWatch
from ruddersaddle_serving.forwarders import (
    ROOM_POLL_S,
    ROOM_WAIT_SHARE,
    Forwarder,
    Forwarding,
)
from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.ports import AnswerHead, BufferedAnswer
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, RelayTerms
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.relays import Relaying
from ruddersaddle_serving.routes import Route, RouteKind, RouteName, Target
from ruddersaddle_serving.run_statements import RunStatement
from ruddersaddle_serving.upstream_connections import Exchange
from ruddersaddle_serving.upstream_lists import UpstreamList

TARGET_S = 1.0
POOL = PoolId("p")
REQUESTS_PER_RETRY = 6
EVENT, PARTIAL_EVENT = b"id: 1\ndata: a\n\n", b"id: 2\nda"
ROUTE = Route(RouteName("r"), "h", "/", RouteKind.STREAM, 9.0, TARGET_S, (Target(POOL),))


class ForwardingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.now = 100.0
        patch = mock.patch.object(clocks, "now_s", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.may_refuse_calls: list[bool] = []
        """`may_refuse` of each call of `choose`."""
        self.placement = mock.Mock(choose=self.choose)

    def choose(self, request, pool, excluded, may_refuse: bool) -> Choice:
        self.may_refuse_calls.append(may_refuse)
        return Choice(mock.Mock(), 1, None, 1)

    def make_forwarding(self) -> Forwarding:
        head = CallerHead(RequestId("q"), None, None, None, None, ())
        request = CallerRequest(head, "POST", "/", b"", ROUTE, None, self.now)
        forwarder = Forwarder(
            self.placement,
            mock.Mock(),
            Publications(),
            mock.Mock(balance=lambda pool: 9.0),
            5.0,
            mock.Mock(),
            CrashWatch(mock.Mock(), UpstreamList(), CrashRecords(), mock.Mock(), mock.Mock()),
        )
        return Forwarding(forwarder, request)

    def test_request_may_be_refused_only_before_anything_was_sent(self) -> None:
        forwarding = self.make_forwarding()
        forwarding._choose()
        forwarding._sent_count = 1
        forwarding._choose()
        self.assertEqual(self.may_refuse_calls, [True, False])

    def test_choice_does_not_wait(self) -> None:
        with mock.patch("eventlet.sleep") as sleep:
            self.assertIsInstance(self.make_forwarding()._choose(), Choice)
        sleep.assert_not_called()

    def wait_for_room(self, forwarding: Forwarding, waiting: int) -> tuple[int, float]:
        """Return how often a request looks for room, and how long it waits, behind others."""
        full = Failure(Code.NO_UPSTREAM, Step.ADMIT, "p", "full")
        looks = self.placement.choose = mock.Mock(return_value=full)
        for number in range(waiting):
            forwarding.forwarder.room_waits.enter(POOL, number)
        began = self.now

        def sleep(seconds: float) -> None:
            self.now += seconds

        with mock.patch("eventlet.sleep", sleep):
            self.assertIs(forwarding._choose(), full)
        return looks.call_count, self.now - began

    def test_request_that_waits_behind_others_looks_less_often(self) -> None:
        """Guards against requests that take all CPU time looking for room, and out of order."""
        wait_s = ROOM_WAIT_SHARE * TARGET_S
        counts = []
        for waiting in (0, 1, 9, 99):
            forwarding = self.make_forwarding()
            forwarding.pool = POOL
            count, waited_s = self.wait_for_room(forwarding, waiting)
            self.assertAlmostEqual(waited_s, wait_s)
            self.assertLessEqual(count, 2 + wait_s / ROOM_POLL_S / (waiting + 1))
            self.assertGreaterEqual(count, 1)
            counts.append(count)
        self.assertEqual(counts, sorted(counts, reverse=True))

    def test_request_doesnt_wait_for_room_past_its_deadline(self) -> None:
        forwarding = self.make_forwarding()
        forwarding.pool = POOL
        self.now += forwarding.request.remaining_s - 0.05
        _, waited_s = self.wait_for_room(forwarding, 0)
        self.assertLess(waited_s, 0.05)

    def test_request_that_stops_waiting_leaves_the_others_in_order(self) -> None:
        """Guards against a caller that leaves while its request still holds a place."""
        forwarding = self.make_forwarding()
        forwarding.pool = POOL
        waits = forwarding.forwarder.room_waits
        waits.enter(POOL, "first")
        with (
            mock.patch("eventlet.sleep", side_effect=TimeoutError),
            self.assertRaises(TimeoutError),
        ):
            forwarding._choose()
        waits.enter(POOL, "next")
        self.assertEqual(waits.count_before(POOL, "next"), 1)

    def is_unresponsive_after(self, seconds: float, predicted_s: float) -> bool:
        """Return whether an upstream that sent nothing for this long counts as unresponsive."""
        forwarding = self.make_forwarding()
        choice = Choice(mock.Mock(), 1, None, 1, first_s=predicted_s)
        forwarding.attempt = mock.Mock(choice=choice, sent_at=self.now)
        self.now += seconds
        forwarding.finish()
        return forwarding.attempt.finish.call_args.args[0] is True

    def test_upstream_is_unresponsive_only_long_after_its_predicted_answer(self) -> None:
        """A prompt that took four times the latency target counted against its upstream."""
        self.assertTrue(self.is_unresponsive_after(3.2 * TARGET_S, predicted_s=0.2))
        self.assertFalse(self.is_unresponsive_after(3.2 * TARGET_S, predicted_s=4.0 * TARGET_S))
        self.assertTrue(self.is_unresponsive_after(13.0 * TARGET_S, predicted_s=4.0 * TARGET_S))

    def relay(self, sent: int, status: int) -> BufferedAnswer | Failure:
        """Return what a request gets that another host answers after attempts of this one."""
        forwarding = self.make_forwarding()
        forwarding._sent_count = sent
        forwarding.request.route = msgspec.structs.replace(ROUTE, upstreams_max=2)
        forwarding.forwarder.relay_peers = mock.Mock()
        answer = BufferedAnswer(status, (), b"", Framing.DELIMITED)
        with mock.patch.object(Relaying, "begin", return_value=answer):
            return forwarding._relay("lost")

    def test_refusal_of_another_host_is_no_promise_after_an_attempt_here(self) -> None:
        self.assertIsInstance(self.relay(0, 503), BufferedAnswer)
        self.assertIsInstance(self.relay(1, 503), Failure)
        self.assertIsInstance(self.relay(1, 200), BufferedAnswer)

    def test_answer_of_an_attempt_is_read_from_a_relayed_one_that_failed(self) -> None:
        forwarding = self.make_forwarding()
        forwarding._sent_count = 1
        forwarding.request.route = msgspec.structs.replace(ROUTE, upstreams_max=4)
        forwarding.forwarder.relay_peers = mock.Mock()
        broken = Failure(Code.UPSTREAM_FAILED, Step.PEER, "host-2", "broken", Ran.UNKNOWN)
        refused = BufferedAnswer(503, (), b"", Framing.DELIMITED)
        for result in (broken, refused):
            forwarding._has_relayed = False
            with mock.patch.object(Relaying, "begin", return_value=result):
                self.assertIsInstance(forwarding._relay("lost"), Failure)
            self.assertIsNone(forwarding.relaying)
            self.assertIsNone(forwarding._relay("lost"), "a request is relayed once")

    def test_request_whose_attempts_another_host_may_have_used_up_is_not_sent_again(self) -> None:
        """With four allowed it reached up to six: one here, three there, and two more here."""
        forwarding = self.make_forwarding()
        route = msgspec.structs.replace(ROUTE, upstreams_max=4, kind=RouteKind.REPEATABLE)
        forwarding.request.route = route
        forwarding.pool, forwarding._sent_count = POOL, 1
        self.with_credit(forwarding, POOL, 3)
        forwarding.forwarder.relay_peers = mock.Mock()
        broken = Failure(Code.UPSTREAM_FAILED, Step.PEER, "host-2", "broken", Ran.UNKNOWN)
        self.assertTrue(forwarding._may_retry(broken))
        for result in (broken, BufferedAnswer(503, (), b"", Framing.DELIMITED)):
            forwarding._has_relayed = False
            with mock.patch.object(Relaying, "begin", return_value=result):
                failure = forwarding._relay("lost")
            self.assertFalse(forwarding._may_retry(failure))

    def with_credit(self, forwarding: Forwarding, pool: PoolId, retries: int) -> RetryBudgets:
        """Give a forwarding's host real budgets, with credit for retries at one pool."""
        budgets = RetryBudgets(RetryBound(0.2, 52.0, 10.0))
        budgets.hosts = 1
        for _ in range(retries * REQUESTS_PER_RETRY):
            budgets.record_request(pool)
        forwarding.forwarder.retry_budgets = budgets
        return budgets

    def test_retry_is_charged_to_the_pool_that_it_is_sent_to(self) -> None:
        forwarding = self.make_forwarding()
        budgets = self.with_credit(forwarding, POOL, 2)
        forwarding.pool, forwarding._sent_count = POOL, 1
        self.assertIsNone(forwarding._charge())
        self.assertEqual(budgets.spent_by_pool[POOL], 1)
        forwarding.pool = PoolId("other")
        refusal = forwarding._charge()
        self.assertEqual((refusal.code, refusal.ran), (Code.NO_UPSTREAM, Ran.NOT_RUN))
        self.assertGreater(refusal.retry_after_s, 0)
        self.assertIn("denied at other", forwarding.trace.retries[-1])

    def test_retry_that_no_host_accepts_is_charged_once(self) -> None:
        forwarding = self.make_forwarding()
        budgets = self.with_credit(forwarding, POOL, 2)
        forwarding.pool, forwarding._sent_count = POOL, 1
        forwarding.request.route = msgspec.structs.replace(ROUTE, upstreams_max=4)
        forwarding.forwarder.relay_peers = mock.Mock()
        with mock.patch.object(Relaying, "begin", return_value=None):
            forwarding._relay("lost")
        forwarding._charge()
        self.assertEqual(budgets.spent_by_pool[POOL], 1)

    def test_relayed_request_that_was_sent_before_earns_no_credit(self) -> None:
        route = msgspec.structs.replace(ROUTE, upstreams_max=3)
        for upstreams_left, earned in ((3, 1), (2, 0)):
            forwarding = self.make_forwarding()
            budgets = self.with_credit(forwarding, POOL, 0)
            forwarding.pool = POOL
            forwarding.request.route = route
            forwarding.request.terms = RelayTerms("host-2", 1, upstreams_left)
            forwarding._charge()
            self.assertEqual(budgets.requests_by_pool[POOL], earned)

    def test_request_without_attempts_left_is_not_relayed(self) -> None:
        self.assertIsNone(self.relay(2, 200))

    def test_request_without_any_connection_has_not_run(self) -> None:
        """While a third of the engines restarted, callers got a 502 that did not say "not run"."""
        lost = Failure(Code.UPSTREAM_FAILED, Step.CONNECT, "e", "refused", Ran.NOT_RUN)
        choice = Choice(mock.Mock(in_flight=0), 1, None, 1)
        choice.tracker.connections.open_exchange.return_value = lost
        forwarding = self.make_forwarding()
        with mock.patch.object(forwarding, "_choose", return_value=choice):
            result = forwarding._open(None)
        self.assertEqual((result.code, result.ran), (Code.NO_UPSTREAM, Ran.NOT_RUN))
        self.assertGreater(result.retry_after_s, 0)

    def test_refusal_for_a_region_taken_away_just_before_sending_tells_the_reason(self) -> None:
        """A generic refusal would tell the caller to retry though nothing is allowed any more."""
        withdrawn = Failure(Code.NO_UPSTREAM, Step.SEND, "e", "its region was removed")
        self.placement.check_available.return_value = withdrawn
        choice = Choice(mock.Mock(in_flight=0), 1, None, 1)
        refusal = Failure(Code.NO_ALLOWED_REGION, Step.ADMIT, POOL, "no region is allowed")
        forwarding = self.make_forwarding()
        choice.tracker.connections.open_exchange.return_value = mock.Mock(is_broken=False)
        with mock.patch.object(forwarding, "_choose", side_effect=[choice, refusal]):
            self.assertIs(forwarding._open(None), refusal)
        self.assertEqual(forwarding._sent_count, 0)

    def end_stream(self, framing: Framing, *data: bytes) -> Forwarding:
        """Return the forwarding of a stream that came to this end."""
        forwarding = self.make_forwarding()
        forwarding.forwarder.crash_watch = mock.Mock()
        attempt = forwarding.attempt = Attempt(
            forwarding.request,
            Choice(mock.Mock(in_flight=0), 1, None, 1),
            mock.Mock(),
            None,
            mock.Mock(),
        )
        exchange = attempt.exchange = Exchange(mock.Mock(address="e:1"), mock.Mock())
        exchange.raw = mock.Mock(read1=mock.Mock(side_effect=[*data, b""]))
        exchange.head = AnswerHead(
            200, None, True, RunStatement.NONE, None, None, None, False, (), framing=framing
        )
        if isinstance(forwarding._await_first(exchange.head), AnswerHead):
            self.events = list(forwarding.events())
        return forwarding

    def suspicions(self, forwarding: Forwarding) -> tuple[bool, bool]:
        """Return whether a request got suspected of crashing its upstream, and whether cleared."""
        watch = forwarding.forwarder.crash_watch
        return watch.record_broken.called, watch.record_complete.called

    def kinds(self, forwarding: Forwarding) -> dict[str, int]:
        """Return the kinds of ends that were counted."""
        counts = forwarding.forwarder.ends.counts()
        return {kind: count for kind, count in counts.items() if count}

    def test_event_that_is_complete_takes_memory_until_its_stream_ends(self) -> None:
        """Two streams with one large event each left calls no room for their answers."""
        with mock.patch.object(BufferShare, "resize", autospec=True, return_value=True) as resize:
            self.end_stream(Framing.DELIMITED, b"data: " + bytes(1000), b"\n\n", EVENT)
        sizes = [call.args[1] for call in resize.call_args_list]
        self.assertEqual(sizes[:3], [1006, 0, 0])

    def test_complete_stream_clears_its_request(self) -> None:
        forwarding = self.end_stream(Framing.DELIMITED, EVENT)
        self.assertEqual(self.events, [EVENT])
        self.assertEqual(self.suspicions(forwarding), (False, True))
        self.assertEqual(self.kinds(forwarding), {"complete": 1})

    def test_stream_that_ended_with_its_connection_neither_clears_nor_suspects(self) -> None:
        """It cleared a request that had just crashed its upstream."""
        forwarding = self.end_stream(Framing.CONNECTION, EVENT)
        self.assertEqual(self.events, [EVENT])
        self.assertEqual(self.suspicions(forwarding), (False, False))
        self.assertEqual(self.kinds(forwarding), {"connection_closed": 1})
        self.assertEqual(forwarding.trace.attempts, ["ended with its connection after event 1"])

    def test_connection_that_ended_inside_an_event_is_suspicious(self) -> None:
        forwarding = self.end_stream(Framing.CONNECTION, EVENT, PARTIAL_EVENT)
        self.assertEqual(self.events[:-1], [EVENT])
        self.assertIsInstance(self.events[-1], Failure)
        self.assertEqual(self.suspicions(forwarding), (True, False))
        self.assertFalse(forwarding.attempt.is_invalid)
        self.assertEqual(self.kinds(forwarding), {"cut_short": 1})

    def test_connection_that_ended_before_the_first_event_is_suspicious(self) -> None:
        forwarding = self.end_stream(Framing.CONNECTION)
        self.assertEqual(self.suspicions(forwarding), (True, False))
        self.assertEqual(self.kinds(forwarding), {"cut_short": 1})

    def test_framed_stream_that_ended_inside_an_event_is_invalid_without_suspicion(self) -> None:
        """Its connection lives, and so does its upstream."""
        forwarding = self.end_stream(Framing.DELIMITED, EVENT, PARTIAL_EVENT)
        self.assertEqual(self.events[:-1], [EVENT])
        self.assertIsInstance(self.events[-1], Failure)
        self.assertEqual(self.suspicions(forwarding), (False, False))
        self.assertTrue(forwarding.attempt.is_invalid)
        self.assertEqual(self.kinds(forwarding), {"cut_short": 1})


if __name__ == "__main__":
    unittest.main()
