"""Tests of which part of prompts is identified as the cause of crashes, and how it is admitted."""

import unittest

from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.crash_records import CRASHES_MAX, Crash, CrashRecords
from ruddersaddle_serving.fingerprints import Fingerprint, PartKey
from ruddersaddle_serving.part_crashes import (
    CRASHES_KEPT,
    REFUSAL_MS,
    SUSPICION_MS,
    TAGS_MAX,
    TRIAL_GAP_MS,
    CrashedPart,
    PartClearance,
    PartCrash,
    PartRecord,
    make_tag,
)
from ruddersaddle_serving.part_records import TRIAL_MS
from ruddersaddle_serving.upstream_entries import UpstreamInstance

SHARED, DEADLY, SOUND = PartKey("m/shared"), PartKey("m/deadly"), PartKey("m/sound")
GAP_MS = 300


def instance(number: int) -> UpstreamInstance:
    """Return an upstream instance."""
    return UpstreamInstance(UpstreamId(f"e-{number}"), 1000 + number)


class PartRecordsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.requests = CrashRecords()
        self.parts = self.requests.parts
        self.now_ms = 1_800_000_000_000
        for _ in range(4):
            self.arrive(SHARED, SOUND)
            self.answer(SHARED, SOUND)
        self.arrive(SHARED, DEADLY)

    def arrive(self, *parts: PartKey) -> None:
        self.parts.history.record_request(parts, self.now_ms)

    def answer(self, *parts: PartKey, began_ago_ms: int = 0) -> list[PartClearance]:
        self.now_ms += 1
        began_ms = self.now_ms - began_ago_ms
        return self.parts.record_answer(parts, began_ms, self.now_ms)

    def crash(self, number: int, *parts: PartKey, request: str = "") -> None:
        """Let an engine crash that ran one request with these parts."""
        self.now_ms += GAP_MS
        fingerprint = Fingerprint(request or f"{number:08}")
        found = tuple(CrashedPart(each, (make_tag(fingerprint),)) for each in parts)
        self.parts.record_crash(instance(number), found, self.now_ms, self.now_ms)
        crash = Crash(instance(number), (fingerprint,), found)
        self.requests.record_crash(crash, self.now_ms)

    def crash_thrice(self) -> None:
        for number in range(3):
            self.crash(number, SHARED, DEADLY)
            self.answer(SHARED, SOUND)

    def is_refused(self, *parts: PartKey, request: str = "r") -> bool:
        return self.parts.find_refusal(parts, request, self.now_ms) is not None

    def test_part_in_three_crashes_is_refused_and_the_shared_one_is_not(self) -> None:
        self.crash(0, SHARED, DEADLY)
        self.crash(1, SHARED, DEADLY)
        self.assertFalse(self.is_refused(SHARED, DEADLY))
        self.crash(2, SHARED, DEADLY)
        self.assertTrue(self.is_refused(SHARED, DEADLY))
        self.assertFalse(self.is_refused(SHARED, SOUND))

    def test_request_that_is_in_all_crashes_is_refused_by_itself(self) -> None:
        for number in range(5):
            self.crash(number, SHARED, DEADLY, request="same-request")
        self.assertFalse(self.is_refused(SHARED, DEADLY))
        found = self.requests.find_refusal(Fingerprint("same-request"), self.now_ms)
        self.assertIsNotNone(found)

    def test_crashes_of_a_part_are_taken_from_requests(self) -> None:
        """A bystander that is in three crashes of the part isn't refused."""
        for number in range(CRASHES_MAX):
            self.crash(number, SHARED, DEADLY)
            crash = Crash(instance(number), (Fingerprint("bystander"),))
            self.requests.record_crash(crash, self.now_ms)
        self.assertIsNone(self.requests.find_refusal(Fingerprint("bystander"), self.now_ms))

    def test_answer_that_began_after_a_crash_clears_its_parts(self) -> None:
        self.crash(0, SHARED, DEADLY)
        self.assertEqual(self.answer(DEADLY), [PartClearance(DEADLY, (instance(0),))])
        self.crash(1, SHARED, DEADLY)
        self.crash(2, SHARED, DEADLY)
        self.assertFalse(self.is_refused(DEADLY))

    def test_answer_that_began_before_a_crash_clears_nothing(self) -> None:
        """A part may crash engines from now on that was sound a second ago."""
        self.crash(0, SHARED, DEADLY)
        self.assertEqual(self.answer(DEADLY, began_ago_ms=100), [])

    def test_late_report_of_a_cleared_crash_does_not_count(self) -> None:
        self.crash(0, DEADLY)
        self.answer(DEADLY)
        self.parts.merge(
            PartRecord(DEADLY, (PartCrash(instance(0), self.now_ms, ()),)), self.now_ms
        )
        self.assertEqual(self.parts.by_part[DEADLY].crashes, ())

    def test_answer_after_the_refusal_admits_the_part_again(self) -> None:
        self.crash_thrice()
        self.assertTrue(self.is_refused(DEADLY))
        self.answer(SHARED, DEADLY)
        self.assertFalse(self.is_refused(DEADLY))
        self.crash(3, SHARED, DEADLY)
        self.assertFalse(self.is_refused(DEADLY))

    def test_crashes_at_one_moment_count_as_one(self) -> None:
        for number in range(4):
            self.crash(number, SHARED, DEADLY)
            self.now_ms -= GAP_MS
        self.assertFalse(self.is_refused(DEADLY))

    def test_host_that_received_no_such_request_does_not_judge(self) -> None:
        other = PartKey("m/other")
        for number in range(3):
            self.crash(number, SHARED, other)
        self.assertFalse(self.is_refused(other))
        self.arrive(SHARED, other)
        self.parts.judge(self.now_ms)
        self.assertTrue(self.is_refused(other))

    def test_refusal_of_another_host_holds_here(self) -> None:
        crashes = tuple(
            PartCrash(instance(number), self.now_ms, (), is_decisive=True) for number in range(3)
        )
        self.parts.merge(PartRecord(DEADLY, crashes), self.now_ms)
        self.assertTrue(self.is_refused(DEADLY))

    def test_crash_that_a_host_with_a_clock_ahead_reported_extends_no_refusal(self) -> None:
        ahead = PartCrash(instance(0), self.now_ms + 3_600_000, (), is_decisive=True)
        self.parts.merge(PartRecord(DEADLY, (ahead,)), self.now_ms)
        self.now_ms += REFUSAL_MS
        self.assertFalse(self.is_refused(DEADLY))

    def test_first_host_by_rank_tries_the_part_with_one_request(self) -> None:
        self.crash_thrice()
        self.now_ms += REFUSAL_MS + 1
        self.parts.rank = lambda part: 1
        self.assertTrue(self.is_refused(DEADLY, request="a"))
        self.parts.rank = lambda part: 0
        self.assertFalse(self.is_refused(DEADLY, request="a"))
        self.assertTrue(self.is_refused(DEADLY, request="b"))
        self.assertFalse(self.is_refused(DEADLY, request="a"))
        self.now_ms += TRIAL_MS
        self.assertFalse(self.is_refused(DEADLY, request="b"))

    def test_trial_that_crashes_doubles_the_refusal(self) -> None:
        self.crash_thrice()
        self.now_ms += REFUSAL_MS + TRIAL_GAP_MS
        self.assertFalse(self.is_refused(DEADLY))
        self.crash(3, SHARED, DEADLY)
        self.now_ms += 2 * REFUSAL_MS - 1
        self.assertTrue(self.is_refused(DEADLY))
        self.now_ms += 1
        self.assertFalse(self.is_refused(DEADLY))

    def test_part_that_the_operator_admits_is_not_refused(self) -> None:
        self.crash_thrice()
        self.parts.admitted = frozenset({"deadly"})
        self.assertFalse(self.is_refused(DEADLY))

    def test_records_expire(self) -> None:
        self.crash(0, SHARED, DEADLY)
        self.now_ms += SUSPICION_MS
        self.parts.sweep(self.now_ms)
        self.assertEqual(self.parts.by_part, {})

    def test_merged_records_are_the_same_in_any_order(self) -> None:
        crashes = [PartCrash(instance(number), number, ()) for number in range(CRASHES_KEPT + 3)]
        forwards = PartRecord(DEADLY)
        for crash in crashes:
            forwards = forwards.merge((crash,))
        backwards = PartRecord(DEADLY).merge(reversed(crashes))
        self.assertEqual(forwards, backwards)
        self.assertEqual(len(forwards.crashes), CRASHES_KEPT)

    def test_requests_named_for_a_crash_are_bounded(self) -> None:
        part = CrashedPart(SHARED, ())
        for number in range(2 * TAGS_MAX):
            part = part.merge(CrashedPart(SHARED, (make_tag(Fingerprint(f"{number:08}")),)))
        self.assertEqual(len(part.requests), TAGS_MAX)


if __name__ == "__main__":
    unittest.main()
