"""Tests that a request runs only as the configuration in force when it is sent allows."""

import unittest
from collections.abc import Callable
from enum import Enum
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import PoolId, RequestId, WorkspaceId

from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.authorizations import Authorization, RequestTarget, authorize
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_watches import CrashWatch
from ruddersaddle_serving.forwarders import Forwarder, Forwarding
from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.ports import AnswerHead, StorePosition
from ruddersaddle_serving.prompts import CallerHead, CallerRequest
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.relays import Relaying
from ruddersaddle_serving.routes import (
    PublishedConfiguration,
    Route,
    RouteKind,
    RouteName,
    Target,
    Workspace,
)
from ruddersaddle_serving.run_statements import RunStatement
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_paths import ReachedBy

KEY = "key"
FIRST, SECOND = Workspace(WorkspaceId("first")), Workspace(WorkspaceId("second"))
ASKED = RequestTarget("api.example", "/c/x")
POOL, OTHER_POOL = PoolId("p"), PoolId("q")
BROKEN = Failure(Code.UPSTREAM_FAILED, Step.READ, "u", "broken", Ran.NOT_RUN)


def make_route(pool: PoolId = POOL, path: str = "/c") -> Route:
    targets = (Target(pool),)
    return Route(
        RouteName("r"),
        "api.example",
        path,
        RouteKind.REPEATABLE,
        9.0,
        1.0,
        targets,
        upstreams_max=3,
    )


def make_configuration(
    version: int, workspace: Workspace | None, route: Route | None = None
) -> PublishedConfiguration:
    keys = {} if workspace is None else {KEY: workspace}
    routes = (route or make_route(),)
    return PublishedConfiguration(version, routes, workspace_by_key=keys, checks_keys=True)


class Moment(Enum):
    """A wait of a request at which the configuration changes."""

    BODY = "body"
    RELAY = "relay"
    """Another host, to which the request is offered, refuses it."""
    ROOM = "room"
    CONNECT = "connect"
    RETRY = "retry"


FIRST_EVENT = b"id: 1\ndata: token\n\n"
ANSWERED = AnswerHead(200, None, True, RunStatement.NONE, None, None, None, False, ())


class AuthorizationsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.publications = Publications()
        self.publish(make_configuration(1, FIRST))
        self.sent_for: list[WorkspaceId] = []
        self.sent_to: list[PoolId] = []
        self.changes_at: dict[Moment, Callable[[], None]] = {}

    def publish(self, published: PublishedConfiguration) -> None:
        self.publications.apply(published)
        self.publications.confirm(clocks.now_s(), StorePosition(1, published.version))

    def reach(self, moment: Moment) -> None:
        self.changes_at.pop(moment, lambda: None)()

    def make_forwarding(self) -> Forwarding:
        allowed = authorize(self.publications.table, ASKED, KEY)
        head = CallerHead(RequestId("q"), KEY, None, None, None, ())
        request = CallerRequest(
            head, "POST", "/c/x", b"", allowed.route, allowed.workspace, clocks.now_s()
        )
        request.asked, request.version = ASKED, allowed.version
        placement = mock.Mock()
        paths = placement.trackers.paths
        paths.has_lost, paths.is_isolated = Moment.RELAY in self.changes_at, False
        reached_elsewhere = mock.Mock(reached_by=ReachedBy.OTHER_HOSTS, age_s=1.0, is_tested=False)
        placement.path_beliefs.return_value = [reached_elsewhere]
        placement.upstreams.by_id = {}
        placement.check_available.return_value = None
        placement.pick_pool = lambda route: route.targets[0].pool
        placement.choose = self.choose
        watch = CrashWatch(mock.Mock(), UpstreamList(), CrashRecords(), mock.Mock(), mock.Mock())
        forwarder = Forwarder(
            placement,
            mock.Mock(),
            self.publications,
            mock.Mock(balance=lambda pool: 9.0),
            5.0,
            mock.Mock(),
            watch,
        )
        forwarder.relay_peers = mock.Mock()
        return Forwarding(forwarder, request)

    def choose(self, request: CallerRequest, pool: PoolId, *more: object) -> Choice:
        self.reach(Moment.ROOM)
        return Choice(mock.Mock(in_flight=0, pool=pool), 1, None, 1)

    def forward(self) -> Failure:
        """Forward a request that every upstream rejects."""
        forwarding = self.make_forwarding()
        self.reach(Moment.BODY)

        def connect(attempt: Attempt) -> None:
            self.reach(Moment.CONNECT)

        def open_attempt(attempt: Attempt) -> Failure:
            self.sent_for.append(attempt.request.workspace.id)
            self.sent_to.append(attempt.choice.tracker.pool)
            self.reach(Moment.RETRY)
            return BROKEN

        with (
            mock.patch.object(Attempt, "connect", connect),
            mock.patch.object(Attempt, "open", open_attempt),
            mock.patch.object(Attempt, "is_broken", False),
            mock.patch.object(Relaying, "begin", lambda relaying: self.reach(Moment.RELAY)),
        ):
            return forwarding.begin()

    def resume(self, change: PublishedConfiguration) -> Failure:
        """Break a stream after its first event, as the configuration changes.

        All later attempts are rejected.
        """
        resumable = msgspec.structs.replace(make_route(), kind=RouteKind.STREAM, resumable=True)
        self.publish(make_configuration(2, FIRST, resumable))
        forwarding = self.make_forwarding()
        broken = msgspec.structs.replace(BROKEN, ran=Ran.UNKNOWN)

        def open_attempt(attempt: Attempt) -> AnswerHead | Failure:
            self.sent_for.append(attempt.request.workspace.id)
            if len(self.sent_for) > 1:
                return BROKEN
            exchange = attempt.exchange = mock.Mock(head=ANSWERED)
            exchange.read_some.side_effect = [FIRST_EVENT, broken]
            return ANSWERED

        with (
            mock.patch.object(Attempt, "connect", lambda attempt: None),
            mock.patch.object(Attempt, "open", open_attempt),
            mock.patch.object(Attempt, "is_broken", False),
        ):
            self.assertIs(forwarding.begin(), ANSWERED)
            events = forwarding.events()
            self.assertEqual(next(events), FIRST_EVENT)
            self.publish(change)
            (failure,) = events
            return failure

    def test_stream_is_resumed_with_a_key_that_was_taken_away(self) -> None:
        failure = self.resume(make_configuration(3, None))
        self.assertEqual(failure.code, Code.UNAUTHORIZED)
        self.assertEqual(self.sent_for, [FIRST.id])

    def test_stream_is_resumed_for_the_workspace_that_had_its_key(self) -> None:
        self.resume(make_configuration(3, SECOND))
        self.assertEqual(self.sent_for[0], FIRST.id)
        self.assertEqual(set(self.sent_for[1:]), {SECOND.id})

    def test_request_runs_with_a_key_that_was_taken_away_while_it_waited(self) -> None:
        for moment in Moment:
            with self.subTest(moment=moment):
                self.setUp()
                self.changes_at[moment] = lambda: self.publish(make_configuration(2, None))
                failure = self.forward()
                self.assertEqual((failure.code, failure.ran), (Code.UNAUTHORIZED, Ran.NOT_RUN))
                self.assertEqual(len(self.sent_for), 1 if moment is Moment.RETRY else 0)

    def test_request_runs_for_the_workspace_that_had_its_key(self) -> None:
        for moment in Moment:
            with self.subTest(moment=moment):
                self.setUp()
                self.changes_at[moment] = lambda: self.publish(make_configuration(2, SECOND))
                self.forward()
                later = self.sent_for[1:] if moment is Moment.RETRY else self.sent_for
                self.assertEqual(set(later), {SECOND.id})

    def test_request_goes_to_the_pool_that_its_route_had(self) -> None:
        for moment in Moment:
            with self.subTest(moment=moment):
                self.setUp()
                moved = make_configuration(2, FIRST, make_route(OTHER_POOL))
                self.changes_at[moment] = lambda moved=moved: self.publish(moved)
                self.forward()
                later = self.sent_to[1:] if moment is Moment.RETRY else self.sent_to
                self.assertEqual(set(later), {OTHER_POOL})

    def test_request_whose_route_was_removed_is_not_sent(self) -> None:
        gone = make_configuration(2, FIRST, make_route(path="/other"))
        self.changes_at[Moment.CONNECT] = lambda: self.publish(gone)
        self.assertEqual(self.forward().code, Code.NOT_FOUND)
        self.assertEqual(self.sent_for, [])

    def test_fingerprint_of_a_request_names_the_former_workspace(self) -> None:
        request = self.make_forwarding().request
        before = request.fingerprint
        self.assertTrue(request.apply(Authorization(2, request.route, SECOND)))
        self.assertNotEqual(request.fingerprint, before)
        self.assertFalse(request.apply(Authorization(3, request.route, SECOND)))


if __name__ == "__main__":
    unittest.main()
