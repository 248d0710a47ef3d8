"""Tests of which request is identified as the cause of crashes, and how long it is refused."""

import unittest

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.crash_records import (
    CRASHES_MAX,
    INSTANCES_MAX,
    RECENT_COMPLETION_MS,
    REFUSAL_MS,
    SUSPECTS_MAX,
    Crash,
    CrashRecord,
    CrashRecords,
)
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.upstream_entries import UpstreamInstance

BAD, OTHER, COMMON = Fingerprint("bad"), Fingerprint("other"), Fingerprint("common")


def instance(number: int) -> UpstreamInstance:
    """Return an upstream instance."""
    return UpstreamInstance(UpstreamId(f"e-{number}"), 1000 + number)


class CrashRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.records = CrashRecords()
        self.now_ms = 1_800_000_000_000

    def crash(self, number: int, *fingerprints: Fingerprint) -> None:
        self.now_ms += 100
        self.records.record_crash(Crash(instance(number), fingerprints), self.now_ms)

    def is_refused(self, fingerprint: Fingerprint) -> bool:
        return self.records.find_refusal(fingerprint, self.now_ms) is not None

    def refuse(self, fingerprint: Fingerprint, first: int = 0) -> None:
        for number in range(CRASHES_MAX):
            self.crash(first + number, fingerprint)

    def test_third_crashed_instance_refuses_the_request(self) -> None:
        self.crash(0, BAD)
        self.crash(1, BAD)
        self.assertFalse(self.is_refused(BAD))
        self.crash(2, BAD)
        self.assertTrue(self.is_refused(BAD))

    def test_one_crash_reported_by_three_hosts_counts_once(self) -> None:
        for _ in range(CRASHES_MAX):
            self.crash(0, BAD)
        self.assertFalse(self.is_refused(BAD))

    def test_later_instance_with_the_same_id_counts_separately(self) -> None:
        for born_ms in range(CRASHES_MAX):
            crash = Crash(UpstreamInstance(UpstreamId("e"), born_ms), (BAD,))
            self.records.record_crash(crash, self.now_ms)
        self.assertTrue(self.is_refused(BAD))

    def test_bystander_that_completes_is_cleared(self) -> None:
        """Most requests in three crashes or more are bystanders: seven of eight completed."""
        self.crash(0, BAD, OTHER)
        self.crash(1, BAD, OTHER)
        self.assertTrue(self.records.record_completion(OTHER, self.now_ms))
        self.crash(2, BAD, OTHER)
        self.assertTrue(self.is_refused(BAD))
        self.assertFalse(self.is_refused(OTHER))

    def test_common_request_in_each_crash_is_no_suspect(self) -> None:
        for number in range(CRASHES_MAX):
            self.records.record_completion(COMMON, self.now_ms)
            self.crash(number, COMMON, BAD)
        self.assertFalse(self.is_refused(COMMON))
        self.assertTrue(self.is_refused(BAD))

    def test_three_crashes_within_a_second_of_its_completion_refuse_no_common_request(self) -> None:
        self.records.record_completion(COMMON, self.now_ms)
        for number in range(CRASHES_MAX):
            self.crash(number, COMMON, BAD)
        self.assertFalse(self.is_refused(COMMON))
        self.assertTrue(self.is_refused(BAD))

    def test_request_that_begins_to_crash_upstreams_is_refused(self) -> None:
        self.records.record_completion(BAD, self.now_ms)
        self.now_ms += RECENT_COMPLETION_MS
        self.refuse(BAD)
        self.assertTrue(self.is_refused(BAD))

    def test_crashes_attributed_to_a_refused_request_count_against_no_other(self) -> None:
        self.crash(0, BAD)
        self.crash(1, BAD, OTHER)
        self.crash(2, BAD, OTHER)
        self.crash(3, BAD, OTHER)
        self.crash(4, OTHER)
        self.crash(5, OTHER)
        self.assertFalse(self.is_refused(OTHER))
        self.crash(6, OTHER)
        self.assertTrue(self.is_refused(OTHER))

    def test_report_of_an_attributed_crash_counts_against_no_other(self) -> None:
        self.refuse(BAD)
        self.crash(2, OTHER)
        self.assertEqual(self.records.count(OTHER), 0)

    def test_received_record_of_attributed_crashes_counts_against_no_other(self) -> None:
        self.refuse(BAD)
        self.records.merge(CrashRecord(OTHER, (instance(0), instance(1)), self.now_ms), self.now_ms)
        self.assertEqual(self.records.count(OTHER), 0)

    def test_crashes_seen_by_different_hosts_are_merged(self) -> None:
        self.crash(0, BAD)
        self.records.merge(CrashRecord(BAD, (instance(1), instance(2)), self.now_ms), self.now_ms)
        self.assertTrue(self.is_refused(BAD))

    def test_refusal_doubles_with_each_further_crash(self) -> None:
        self.refuse(BAD)
        self.now_ms += REFUSAL_MS
        self.assertFalse(self.is_refused(BAD))
        self.crash(3, BAD)
        self.now_ms += REFUSAL_MS
        self.assertTrue(self.is_refused(BAD))
        self.now_ms += REFUSAL_MS
        self.assertFalse(self.is_refused(BAD))

    def test_request_that_a_new_release_runs_is_admitted_again(self) -> None:
        self.refuse(BAD)
        self.now_ms += REFUSAL_MS
        self.records.record_completion(BAD, self.now_ms)
        self.now_ms += RECENT_COMPLETION_MS
        self.crash(3, BAD)
        self.assertFalse(self.is_refused(BAD))

    def test_expired_records_are_dropped(self) -> None:
        self.refuse(BAD)
        self.crash(3, OTHER)
        self.now_ms += REFUSAL_MS
        self.records.sweep(self.now_ms)
        self.assertEqual(self.records.count(OTHER), 0)
        self.assertEqual(self.records.count(BAD), CRASHES_MAX)
        self.now_ms += REFUSAL_MS
        self.records.sweep(self.now_ms)
        self.assertEqual(self.records.by_fingerprint, {})
        self.assertEqual(self.records._cause_by_instance, {})

    def test_flood_of_crashing_requests_uses_bounded_memory(self) -> None:
        self.refuse(BAD)
        for number in range(SUSPECTS_MAX + 10):
            self.crash(100 + number, Fingerprint(f"f-{number}"))
        self.assertEqual(len(self.records.by_fingerprint), SUSPECTS_MAX)
        self.assertTrue(self.is_refused(BAD))
        for number in range(2 * INSTANCES_MAX):
            self.crash(9000 + number, BAD)
        self.assertEqual(self.records.count(BAD), INSTANCES_MAX)

    def test_stale_record_of_a_cleared_request_is_ignored(self) -> None:
        record = CrashRecord(OTHER, (instance(0), instance(1)), self.now_ms)
        self.records.merge(record, self.now_ms)
        self.now_ms += 1
        self.records.clear(OTHER, self.now_ms)
        self.records.merge(record, self.now_ms)
        self.assertEqual(self.records.count(OTHER), 0)


if __name__ == "__main__":
    unittest.main()
