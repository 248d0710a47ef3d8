"""Tests of where a stream goes on that its caller takes up again."""

from unittest import mock

import msgspec
from ruddersaddle_base.failures import Code
from ruddersaddle_base.ids import PoolId, RequestId, SoftwareVersion, WorkspaceId

from ruddersaddle_serving.fronts import LASTING_CODES, NOT_RUN_STATUS, STATUS_BY_CODE
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, VersionPin
from ruddersaddle_serving.routes import Route, RouteKind, RouteName, Target
from ruddersaddle_serving.stream_origins import ASKED_AGAIN, Finding, StreamOrigins, TakeUp
from ruddersaddle_serving.stream_records import AloneVersion, StreamKey, StreamRecord, StreamReply
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

POOL, OTHER = PoolId("p"), PoolId("other")
V1, V2 = SoftwareVersion("v1"), SoftwareVersion("v2")
KEY = StreamKey(None, RequestId("first"))
RECORD = StreamRecord(KEY, POOL, V1, 2.5)


class StreamOriginsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.alone: dict[PoolId, object] = {}
        self.seen = {V1, V2}
        self.begun = {V1, V2}
        self.known: StreamRecord | None = None
        self.replies: list[StreamReply] = []
        self.holders: list[str] = []
        self.exchange = mock.Mock(
            find_known=lambda key: self.known if key == KEY else None,
            other_holders=lambda key: self.holders,
            ask=mock.Mock(side_effect=lambda question: self.replies),
        )
        self.is_changing = False
        self.until_now: dict[PoolId, object] = {}
        versions = mock.Mock(
            alone=self.alone.get,
            alone_until_now=lambda pool: self.until_now.get(pool),
            seen_beside=lambda pool: self.seen,
            begun_beside=lambda pool: self.begun,
            is_changing=lambda pools: self.is_changing,
        )
        self.origins = StreamOrigins(versions, self.exchange)

    def make_request(
        self, resumes: str | None = "first", last: str | None = "3", pools: tuple = (POOL,)
    ) -> CallerRequest:
        targets = tuple(Target(each) for each in pools)
        kind = RouteKind.STREAM
        route = Route(RouteName("r"), "h", "/", kind, 9.0, 1.0, targets, resumable=True)
        head = CallerHead(RequestId("second"), None, None, None, last, (), resumes)
        return CallerRequest(head, "POST", "/", b"", route, None, self.now)

    def find(self, **more: object) -> TakeUp:
        return self.origins.find(self.make_request(**more), POOL)

    def test_own_record_is_used_at_once_while_one_version_is_alone(self) -> None:
        self.known = RECORD
        self.alone[POOL] = V1
        found = self.find()
        self.assertEqual((found.finding, found.pin), (Finding.HERE, VersionPin(POOL, V1)))
        self.assertEqual(found.age_s, RECORD.age_s)
        self.exchange.ask.assert_not_called()

    def test_own_record_is_used_unless_a_holder_knows_another_stream_of_the_id(self) -> None:
        """Only the host that began the second stream learnt that the id is ambiguous."""
        self.known = RECORD
        for self.replies in ([], [StreamReply(None)], [StreamReply(RECORD)]):
            found = self.find()
            self.assertEqual((found.finding, found.pin), (Finding.HERE, VersionPin(POOL, V1)))
            self.assertEqual(found.age_s, RECORD.age_s)
        self.assertEqual(self.exchange.ask.call_count, 3)
        for version in (V2, None):
            other = msgspec.structs.replace(RECORD, version=version)
            self.replies = [StreamReply(RECORD), StreamReply(other)]
            found = self.find()
            self.assertEqual((found.finding, found.pin), (Finding.AMBIGUOUS, None))

    def test_holders_that_differ_make_an_id_ambiguous(self) -> None:
        """The first reply decided."""
        other = msgspec.structs.replace(RECORD, version=V2)
        self.replies = [StreamReply(RECORD), StreamReply(other)]
        self.assertIs(self.find().finding, Finding.AMBIGUOUS)

    def test_holder_that_knows_the_stream_counts_before_those_that_dont(self) -> None:
        self.replies = [StreamReply(None), StreamReply(RECORD)]
        found = self.find()
        self.assertEqual((found.finding, found.pin), (Finding.HOLDER, VersionPin(POOL, V1)))

    def test_nobody_is_asked_while_one_version_is_alone(self) -> None:
        self.alone[POOL] = V1
        for resumes in ("first", None):
            found = self.find(resumes=resumes)
            self.assertEqual((found.finding, found.pin), (Finding.ALONE, VersionPin(POOL, V1)))
        self.exchange.ask.assert_not_called()

    def test_unknown_stream_began_at_the_version_that_was_alone_until_now(self) -> None:
        """The host that ran it was killed as another version appeared, and had told nobody."""
        self.until_now[POOL] = V1
        self.replies = [StreamReply(None)]
        found = self.find()
        self.assertEqual(
            (found.finding, found.pin), (Finding.ALONE_UNTIL_NOW, VersionPin(POOL, V1))
        )
        self.replies = [StreamReply(None), StreamReply(msgspec.structs.replace(RECORD, version=V2))]
        self.assertEqual(self.find().pin, VersionPin(POOL, V2))
        self.replies = []
        self.assertIs(self.find().finding, Finding.UNREACHABLE)
        self.replies = [StreamReply(None)]
        self.until_now[OTHER] = V2
        self.assertIs(self.find(pools=(POOL, OTHER)).finding, Finding.UNKNOWN)

    def test_host_that_has_just_started_believes_what_was_alone_until_now(self) -> None:
        """Streams were refused at such hosts if theirs was killed as another version appeared."""
        until_now = (AloneVersion(POOL, V1),)
        self.replies = [StreamReply(None), StreamReply(None, alone_until_now=until_now)]
        self.assertIs(self.find().finding, Finding.UNKNOWN, "streams may have begun at both")
        self.begun = {V1}
        found = self.find()
        self.assertEqual(
            (found.finding, found.pin), (Finding.ALONE_UNTIL_NOW, VersionPin(POOL, V1))
        )
        other = StreamReply(None, alone_until_now=(AloneVersion(POOL, V2),))
        self.replies.append(other)
        self.assertIs(self.find().finding, Finding.UNKNOWN)
        self.replies[-1] = StreamReply(msgspec.structs.replace(RECORD, version=V2))
        self.assertEqual(self.find().pin, VersionPin(POOL, V2))

    def test_pools_of_two_versions_make_none_alone(self) -> None:
        """A stream that began at one pool of a route went on at the other pool's version."""
        self.alone = {POOL: V1, OTHER: V2}
        self.origins.versions.alone = self.alone.get
        self.replies = [StreamReply(RECORD)]
        pools = (POOL, OTHER)
        found = self.origins.find(self.make_request(pools=pools), OTHER)
        self.assertEqual((found.finding, found.pin), (Finding.HOLDER, VersionPin(POOL, V1)))
        self.alone.clear()
        self.seen = set()
        self.replies = [StreamReply(None, (AloneVersion(POOL, V1), AloneVersion(OTHER, V2)))]
        self.assertIs(self.find(pools=pools).finding, Finding.UNKNOWN)

    def test_entries_without_versions_are_alone_as_well(self) -> None:
        """Hosts of an earlier program version send them."""
        self.alone[POOL] = msgspec.UNSET
        self.assertEqual(self.find().pin, VersionPin(POOL, msgspec.UNSET))

    def test_host_that_has_just_started_believes_a_holder_unless_it_sees_more(self) -> None:
        self.replies = [StreamReply(None), StreamReply(None, (AloneVersion(POOL, V1),))]
        self.assertIs(self.find().finding, Finding.UNKNOWN)
        self.seen = {V1}
        found = self.find()
        self.assertEqual(
            (found.finding, found.pin), (Finding.ALONE_ELSEWHERE, VersionPin(POOL, V1))
        )
        self.assertIs(self.find(pools=(POOL, OTHER)).finding, Finding.UNKNOWN)

    def test_holders_that_name_different_versions_as_alone_are_not_believed(self) -> None:
        """One of them missed a version, and the first answer counted."""
        self.seen = set()
        self.replies = [StreamReply(None, (AloneVersion(POOL, each),)) for each in (V1, V2)]
        self.assertIs(self.find().finding, Finding.UNKNOWN)
        self.replies[1] = self.replies[0]
        self.assertIs(self.find().finding, Finding.ALONE_ELSEWHERE)

    def test_what_is_not_known_is_refused_for_good(self) -> None:
        cases = [
            (Finding.NOT_NAMED, {"resumes": None}, []),
            (Finding.UNREACHABLE, {}, []),
            (Finding.UNKNOWN, {}, [StreamReply(None)]),
            (Finding.AMBIGUOUS, {}, [StreamReply(msgspec.structs.replace(RECORD, version=None))]),
            (Finding.UNKNOWN, {"pools": (OTHER,)}, [StreamReply(RECORD)]),
        ]
        for finding, more, self.replies in cases:
            with self.subTest(finding):
                found = self.find(**more)
                self.assertEqual((found.finding, found.pin), (finding, None))
                self.assertIs(found.failure.code, Code.UNKNOWN_STREAM)
                self.assertIn("anew", found.failure.detail)
        self.assertNotIn(Code.UNKNOWN_STREAM, STATUS_BY_CODE)
        self.assertEqual(NOT_RUN_STATUS, 503)
        self.assertLessEqual({Code.UNKNOWN_STREAM, Code.STREAM_VERSION_GONE}, LASTING_CODES)
        self.assertEqual(self.origins.counts()["unknown"], 2)

    def test_holders_are_asked_again_soon_after_a_version_has_appeared(self) -> None:
        """The host that runs the stream tells holders once it lists the second version too."""
        self.is_changing = True
        answers = [[StreamReply(None)], [StreamReply(None)], [StreamReply(RECORD)]]
        self.exchange.ask.side_effect = lambda question: answers.pop(0)
        with mock.patch("eventlet.sleep") as sleep:
            self.assertIs(self.find().finding, Finding.HOLDER)
            self.assertEqual(sleep.call_count, 2)
            self.exchange.ask.side_effect = lambda question: [StreamReply(None)]
            self.assertIs(self.find().finding, Finding.UNKNOWN)
            self.assertEqual(sleep.call_count, 2 + ASKED_AGAIN)

    def test_holders_that_do_not_answer_are_asked_once_more(self) -> None:
        """A pause of the asking process was taken for holders that are cut off."""
        answers = [[], [StreamReply(RECORD)]]
        self.exchange.ask.side_effect = lambda question: answers.pop(0)
        self.holders = ["address-1"]
        self.assertIs(self.find().finding, Finding.HOLDER)
        self.exchange.ask.reset_mock(side_effect=True)
        self.exchange.ask.return_value = []
        self.assertIs(self.find().finding, Finding.UNREACHABLE)
        self.assertEqual(self.exchange.ask.call_count, 2)

    def test_holders_are_asked_once_more_if_only_others_answered_that_were_not_told(self) -> None:
        """The return was refused, as hosts that know nothing answered before the holders."""
        answers = [[StreamReply(None)], [StreamReply(None), StreamReply(RECORD)]]
        self.exchange.ask.side_effect = lambda question: answers.pop(0)
        self.holders = ["address-1", "address-2"]
        self.assertIs(self.find().finding, Finding.HOLDER)
        self.exchange.ask.reset_mock(side_effect=True)
        self.exchange.ask.return_value = [StreamReply(None), StreamReply(None)]
        self.assertIs(self.find().finding, Finding.UNKNOWN)
        self.assertEqual(self.exchange.ask.call_count, 1)

    def test_return_is_recorded_under_the_first_request(self) -> None:
        """A later return names the same request."""
        for last, request in (("3", "first"), (None, "second")):
            sent = self.make_request(last=last)
            sent.pin = VersionPin(POOL, V1)
            self.origins.record_first_event(sent)
            record = self.exchange.record_begun.call_args.args[0]
            self.assertEqual(record, StreamRecord(StreamKey(None, request), POOL, V1))

    def test_keys_have_the_workspace(self) -> None:
        request = self.make_request()
        request.workspace = mock.Mock(id=WorkspaceId("w"))
        self.known = RECORD
        self.assertIs(self.origins.find(request, POOL).finding, Finding.UNREACHABLE)
