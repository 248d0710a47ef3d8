"""Tests of records of streams, which are bounded and never name a wrong version."""

from unittest import mock

from ruddersaddle_base.ids import PoolId, RequestId, SoftwareVersion, WorkspaceId

from ruddersaddle_serving import stream_records
from ruddersaddle_serving.stream_records import StreamKey, StreamRecord, StreamRecords
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

MEMORY_S = 60.0


def make_record(request: str, version: str | None = "v1", age_s: float = 0.0) -> StreamRecord:
    key = StreamKey(WorkspaceId("w"), RequestId(request))
    named = None if version is None else SoftwareVersion(version)
    return StreamRecord(key, PoolId("p"), named, age_s)


class StreamRecordsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.records = StreamRecords(lambda: MEMORY_S)

    def version_of(self, request: str) -> str | None:
        found = self.records.find(make_record(request).key)
        return "absent" if found is None else found.version

    def test_record_is_kept_for_a_time_since_it_was_last_put(self) -> None:
        self.records.put(make_record("a"))
        self.records.put(make_record("b", age_s=50.0))
        self.now += 11
        self.assertEqual((self.version_of("a"), self.version_of("b")), ("v1", "absent"))
        self.records.put(make_record("a"))
        self.now += MEMORY_S - 1
        self.assertEqual(self.version_of("a"), "v1")
        self.now += 2
        self.assertEqual(self.version_of("a"), "absent")
        self.records.put(make_record("c"))
        self.assertEqual(len(self.records), 1)

    def test_key_of_two_versions_stands_for_none(self) -> None:
        """A caller that uses an id twice would go on with one stream at the other's version."""
        self.assertTrue(self.records.put(make_record("a")))
        self.assertTrue(self.records.put(make_record("a")))
        self.assertFalse(self.records.put(make_record("a", "v2")))
        self.assertIsNone(self.version_of("a"))
        self.records.put(make_record("a"))
        self.assertIsNone(self.version_of("a"))

    def test_workspaces_have_keys_of_their_own(self) -> None:
        self.records.put(make_record("a"))
        other = StreamKey(WorkspaceId("other"), RequestId("a"))
        self.assertIsNone(self.records.find(other))
        self.assertIsNone(self.records.find(StreamKey(None, RequestId("a"))))

    def test_number_of_records_is_bounded(self) -> None:
        with mock.patch.object(stream_records, "RECORDS_MAX", 3):
            for request in "abcde":
                self.records.put(make_record(request))
        self.assertEqual(len(self.records), 3)
        self.assertEqual((self.version_of("b"), self.version_of("c")), ("absent", "v1"))

    def test_long_and_empty_ids_are_no_keys(self) -> None:
        for request, is_valid in (("", False), ("a" * 128, True), ("a" * 129, False)):
            self.assertEqual(make_record(request).key.is_valid, is_valid)
