"""Tests of which host a request is relayed to, and of what is said between the hosts."""

import unittest
from collections import Counter
from itertools import product
from unittest import mock

from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, HostId, RequestId
from urllib3 import HTTPHeaderDict

from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import AnswerHead, BufferedAnswer
from ruddersaddle_serving.prompts import RelayTerms
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.relays import (
    EXPLORE_PAUSE_S,
    FAR_PENALTY,
    PEERS_PER_HALL,
    Relaying,
    RelayPeers,
    RelayRefusal,
    find_contradiction,
    read_terms,
    refusal_of,
    without_answer_headers,
    without_terms,
)
from ruddersaddle_serving.request_traces import RequestTrace
from ruddersaddle_serving.reset_sockets import UpstreamConnection
from ruddersaddle_serving.run_statements import RunStatement
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.upstream_connections import Exchange, UpstreamConnections

NEAR, FAR, ABROAD = HallId("near"), HallId("far"), HallId("abroad")
REGIONS = {NEAR: "home", FAR: "home", ABROAD: "abroad"}
CONNECTION_ENDED = "ended with the upstream's connection"
TERMS = (("Relay-Sender", "host-1"), ("Relay-Configuration", "7"), ("relay-upstreams", "2"))


class RelayPeersTest(FixedClockTest):
    def make(self, **count_by_hall: int) -> RelayPeers:
        records = {
            HostId(f"{hall}-{number}"): HostRecord(
                f"{hall}-{number}:1", HallId(hall), 0.0, f"10.0.0.{number}:2"
            )
            for hall, count in count_by_hall.items()
            for number in range(count)
        }
        own = HostId("near-0")
        self.hosts = Hosts(own, records[own], [], RegionMap(NEAR, REGIONS))
        self.hosts.replace(records)
        self.peers = RelayPeers(self.hosts, mock.Mock(), lambda request, hall: True)
        return self.peers

    def choose(self, excluded: set[HostId] = frozenset()) -> HostId | None:
        peer = self.peers.choose(mock.Mock(), set(excluded))
        return None if peer is None else peer.host

    def test_requests_spread_over_a_few_hosts_of_the_own_hall(self) -> None:
        peers = self.make(near=20, far=20)
        chosen = set()
        for _ in range(FAR_PENALTY * PEERS_PER_HALL):
            peer = peers.choose(mock.Mock(), set())
            peer.in_flight += 1
            chosen.add(peer.host)
        self.assertEqual(len(chosen), PEERS_PER_HALL)
        self.assertEqual({each[:4] for each in chosen}, {"near"})

    def test_another_hall_helps_once_the_own_one_is_busier(self) -> None:
        peers = self.make(near=2, far=3)
        peers.choose(mock.Mock(), set()).in_flight = FAR_PENALTY + 1
        self.assertTrue(self.choose().startswith("far"))

    def test_other_regions_come_last(self) -> None:
        peers = self.make(near=2, abroad=3)
        peers.choose(mock.Mock(), set()).in_flight = 50
        self.assertEqual(self.choose(), "near-1")
        self.assertTrue(self.choose({HostId("near-1")}).startswith("abroad"))

    def test_hosts_that_refused_are_left_out_for_a_while(self) -> None:
        peers = self.make(near=3)
        refusing = peers.choose(mock.Mock(), set())
        refusing.record_refusal(1.0)
        other = self.choose()
        self.assertNotEqual(other, refusing.host)
        self.assertIsNone(self.choose({other}))
        self.now += 1.1
        self.assertEqual(self.choose({other}), refusing.host)

    def test_hosts_that_were_late_are_used_only_if_there_is_no_other(self) -> None:
        peers = self.make(near=3)
        late = peers.choose(mock.Mock(), set())
        late.record_failure()
        other = self.choose()
        self.assertNotEqual(other, late.host)
        self.hosts.record_unresponsive(f"{other}:1")
        self.assertIn(self.choose(), (other, late.host))

    def test_only_host_that_was_late_is_tried_by_one_request_at_a_time(self) -> None:
        peers = self.make(near=2)
        only = peers.choose(mock.Mock(), set())
        only.record_failure()
        self.hosts.record_unresponsive(f"{only.host}:1")
        chosen_meanwhile = []

        def open_exchange(request: RequestId) -> mock.Mock:
            chosen_meanwhile.append(self.choose())
            return mock.Mock()

        only.connections = mock.Mock(open_exchange=open_exchange)
        peers.open_exchange(only, RequestId("r-1"))
        self.assertEqual(chosen_meanwhile, [None])
        self.assertFalse(peers.is_suspect(only))
        self.assertEqual(self.choose(), only.host)

    def test_request_offered_again_gets_another_connection(self) -> None:
        """A late copy of a host's refusal would pass for its answer to the second offer."""
        peer = self.make(near=2).choose(mock.Mock(), set())
        idle = mock.patch.object(UpstreamConnection, "is_idle", True)
        opened = mock.patch.object(
            UpstreamConnections, "_open", lambda _: UpstreamConnection("10.0.0.1", 2)
        )
        with idle, opened:
            first = self.peers.open_exchange(peer, RequestId("r-1")).connection
            peer.connections.release(first, None)
            again = self.peers.open_exchange(peer, RequestId("r-1")).connection
            self.assertIsNot(again, first)
            self.assertIs(self.peers.open_exchange(peer, RequestId("r-2")).connection, first)

    def test_host_found_beyond_the_first_ones_is_used_again(self) -> None:
        peers = self.make(near=20)
        for _ in range(PEERS_PER_HALL):
            peers.choose(mock.Mock(), set()).record_refusal(60.0)
        found = peers.choose(mock.Mock(), set())
        self.assertIsNone(self.choose())
        peers.record_accepted(found)
        self.assertEqual([self.choose(), self.choose()], [found.host, found.host])
        found.record_refusal(60.0)
        self.now += EXPLORE_PAUSE_S
        self.assertNotIn(self.choose(), (None, found.host))

    def test_request_that_may_not_leave_its_region_stays(self) -> None:
        peers = self.make(near=1, abroad=3)
        peers.may_relay_to = lambda request, hall: hall != ABROAD
        self.assertIsNone(self.choose())

    def test_host_without_a_listener_gets_nothing(self) -> None:
        self.make(near=1)
        self.hosts.add(HostId("near-9"), HostRecord("near-9:1", NEAR))
        self.assertIsNone(self.choose())


class RelayingTest(unittest.TestCase):
    """One request, relayed to a host that answers as a test says."""

    def relay(
        self, framing: Framing, *data: bytes, is_stream: bool = False, **headers: str
    ) -> BufferedAnswer | AnswerHead | Failure | None:
        peer = mock.Mock(host=HostId("host-2"), in_flight=0)
        exchange = Exchange(mock.Mock(address="host-2:1"), mock.Mock())
        peers = self.peers = mock.Mock(counts=Counter())
        peers.choose.side_effect = [peer, None]
        peers.open_exchange.return_value = exchange
        sent = tuple((name.replace("_", "-"), value) for name, value in headers.items())
        head = AnswerHead(
            200,
            RequestId("q"),
            True,
            RunStatement.NONE,
            None,
            None,
            None,
            False,
            sent,
            framing=framing,
        )

        def read_head(wire: object) -> AnswerHead:
            exchange.raw = mock.Mock(headers=HTTPHeaderDict(sent))
            exchange.raw.read1.side_effect = [*data, b""]
            exchange.head = head
            return head

        request = mock.Mock(id="q", body=b"", is_stream=is_stream, remaining_s=1.0, raw_headers=())
        peers.wire.write_relayed.return_value = {}
        self.relaying = Relaying(peers, request, RelayTerms("host-1", 7, 2), RequestTrace())
        with mock.patch.object(exchange, "read_head", read_head):
            return self.relaying.begin()

    def test_upstreams_framing_is_taken_from_the_header_which_is_dropped(self) -> None:
        answer = self.relay(Framing.DELIMITED, b"whole", Relay_Framing="connection", Other="x")
        self.assertEqual(
            answer, BufferedAnswer(200, (("Other", "x"),), b"whole", Framing.CONNECTION)
        )
        head = self.relay(Framing.DELIMITED, is_stream=True, Relay_Framing="connection")
        self.assertEqual((head.framing, head.headers), (Framing.CONNECTION, ()))
        head = self.relay(Framing.DELIMITED, is_stream=True, Other="x")
        self.assertEqual((head.framing, head.headers), (Framing.DELIMITED, (("Other", "x"),)))

    def test_answer_of_a_host_without_clear_framing_is_broken_off(self) -> None:
        """Hosts frame all answers to others; one that dies would look like the answer's end."""
        for framing in (Framing.CONNECTION, Framing.INVALID):
            for is_stream in (False, True):
                with self.subTest(framing=framing, is_stream=is_stream):
                    answer = self.relay(framing, b"id: 1\n\n", is_stream=is_stream)
                    self.assertIsInstance(answer, Failure)
                    self.assertIs(answer.ran, Ran.UNKNOWN)
                    self.assertEqual(self.peers.counts, {"broken": 1})

    def test_relayed_stream_is_logged_as_whole_only_if_it_is_known_to_be(self) -> None:
        """One whose upstream's answer ended with its connection was logged as whole."""
        for headers, end in (({}, "whole"), ({"Relay_Framing": "connection"}, CONNECTION_ENDED)):
            with self.subTest(end=end):
                self.relay(Framing.DELIMITED, b"id: 1\n\n", is_stream=True, **headers)
                self.assertEqual(list(self.relaying.events()), [b"id: 1\n\n"])
                self.assertEqual(self.relaying.trace.attempts, [f"relayed to host-2: {end}"])

    def test_relayed_stream_that_ended_inside_an_event_is_broken_off(self) -> None:
        self.relay(Framing.DELIMITED, b"id: 1\n\nid: 2", is_stream=True)
        events = list(self.relaying.events())
        self.assertEqual(events[0], b"id: 1\n\n")
        self.assertIsInstance(events[1], Failure)
        self.assertEqual(len(events), 2)


class ContradictionsTest(unittest.TestCase):
    """Heads of relayed answers; hosts refuse with one status, and only what has no receipt."""

    statuses = (200, 201, 400, 404, 408, 413, 421, 429, 500, 502, 503, 504)
    framings = ([], ["connection"], [""], ["delimited"], ["connection", "connection"])
    refusals = (
        [],
        *([each.value] for each in RelayRefusal),
        *([""], ["unknown"], ["NO PATH"], ["no path", "no path"], ["no path, no path"]),
    )

    def test_refusal_is_taken_beside_something_that_contradicts_it(self) -> None:
        accepted = []
        for status, has_receipt, statement, refusals, framings in product(
            self.statuses, (False, True), RunStatement, self.refusals, self.framings
        ):
            head = make_head(status, has_receipt, statement)
            if find_contradiction(head, refusals, framings) is None and refusals:
                accepted.append((status, has_receipt, statement, refusals, framings))
        expected = [(503, False, RunStatement.NONE, [each.value], []) for each in RelayRefusal]
        self.assertEqual(accepted, expected)

    def test_promise_of_an_answer_that_no_host_sends_is_passed_on(self) -> None:
        accepted = set()
        for status, has_receipt, statement, framings in product(
            self.statuses, (False, True), RunStatement, self.framings
        ):
            head = make_head(status, has_receipt, statement)
            if find_contradiction(head, [], framings) is None:
                self.assertIs(statement, RunStatement.NONE)
                self.assertIn(framings, ([], ["connection"]))
                accepted.add((status, has_receipt))
        others = set(self.statuses) - {408, 421, 429, 503}
        self.assertEqual(accepted, {(503, False), *product(others, (False, True))})


def make_head(status: int, has_receipt: bool, statement: RunStatement) -> AnswerHead:
    return AnswerHead(status, RequestId("q"), has_receipt, statement, None, None, None, False, ())


class TermsTest(unittest.TestCase):
    def test_terms_are_read_and_taken_out(self) -> None:
        headers = (("Accept", "any"), *TERMS)
        self.assertEqual(read_terms(headers), RelayTerms("host-1", 7, 2))
        self.assertEqual(without_terms(headers), (("Accept", "any"),))

    def test_malformed_terms_are_bad_requests(self) -> None:
        for number, bad in enumerate(("", "x", "-1")):
            headers = [*TERMS]
            headers[number] = (TERMS[number][0], "" if number == 0 else bad)
            self.assertEqual(read_terms(tuple(headers)).code, Code.BAD_REQUEST)

    def test_headers_that_only_hosts_may_send_are_dropped_from_answers(self) -> None:
        headers = (("relay-refusal", "no path"), ("Relay-Framing", "connection"), ("Other", "x"))
        self.assertEqual(without_answer_headers(headers), (("Other", "x"),))

    def test_only_what_another_host_may_serve_is_refused_as_a_relay(self) -> None:
        lost = Failure(Code.NO_UPSTREAM, Step.CONNECT, "p")
        self.assertIs(refusal_of(lost), RelayRefusal.NO_PATH)
        self.assertIsNone(refusal_of(lost.with_ran(Ran.UNKNOWN)))
        self.assertIsNone(refusal_of(Failure(Code.OVERLOADED, Step.ADMIT, "p")))
        self.assertIsNone(refusal_of(Failure(Code.UNAUTHORIZED, Step.AUTHENTICATE, "keys")))


if __name__ == "__main__":
    unittest.main()
