"""Replays of engines that crash for one part of prompts, for several parts, or for none.

Guards against sending such prompts on, and against refusing parts that sound prompts hold.
"""

import logging
import unittest

from ruddersaddle_serving.tests.part_crash_replays import (
    DEADLY,
    PartCrashReplay,
    Scenario,
)

SEEDS = range(6)
LATE_SENDS_MAX = 3
REFUSED_SHARE_MAX = 0.5
"""Share of sound requests that may be refused in a run; by the rule, half may fail."""
NO_PART = frozenset[str]()


class PartReplaysTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)

    def check(self, scenario: Scenario) -> None:
        """Check that deadly parts are refused in time, and sound prompts are served."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = PartCrashReplay(scenario, seed).run()
                late = max(outcome.late_sends.values(), default=0)
                self.assertLessEqual(late, LATE_SENDS_MAX, outcome.crashed_at)
                refused = outcome.sound_refused / max(1, outcome.sound)
                self.assertLessEqual(refused, REFUSED_SHARE_MAX, outcome.refused_parts)
                if scenario.deadly_parts:
                    self.assertFalse(outcome.refused_parts.isdisjoint(scenario.deadly_parts))

    def check_nothing_refused(self, scenario: Scenario) -> None:
        for seed in SEEDS:
            with self.subTest(seed=seed):
                outcome = PartCrashReplay(scenario, seed).run()
                self.assertEqual(outcome.refused_parts, set())

    def test_second_part(self) -> None:
        self.check(Scenario())

    def test_first_part(self) -> None:
        self.check(Scenario(deadly=((DEADLY, "m/s-1"), (DEADLY, "m/s-2"))))

    def test_third_part_after_a_sound_one(self) -> None:
        self.check(Scenario(deadly=(("m/shared", "m/s-1", DEADLY),)))

    def test_part_beside_another_that_only_such_prompts_hold(self) -> None:
        self.check(
            Scenario(deadly=(("m/shared", "m/x", DEADLY),), deadly_parts=frozenset({DEADLY, "m/x"}))
        )

    def test_two_parts_at_once(self) -> None:
        both = frozenset({DEADLY, "m/other"})
        deadly = (("m/shared", DEADLY), ("m/shared", "m/other"))
        self.check(Scenario(deadly=deadly, deadly_parts=both))

    def test_seven_hosts_before_five_engines_with_parts_of_each_conversation(self) -> None:
        self.check(
            Scenario(hosts=7, engines=5, sound_per_s=30.0, own_parts=True, duration_ms=16_000)
        )

    def test_few_sound_requests(self) -> None:
        self.check(Scenario(sound_per_s=2.0, deadly_per_s=1.0, engines=5, duration_ms=30_000))

    def test_one_such_request_in_two_seconds(self) -> None:
        self.check(Scenario(deadly_per_s=0.5, duration_ms=40_000))

    def test_many_such_requests(self) -> None:
        self.check(Scenario(deadly_per_s=20.0, engines=30))

    def test_ordinary_crashes_beside_it(self) -> None:
        self.check(Scenario(crashes_per_s=0.5))

    def test_hosts_that_exchange_records_through_the_store_alone(self) -> None:
        self.check(Scenario(isolated=True))

    def test_hosts_that_lost_their_memory(self) -> None:
        self.check(Scenario(hosts=7, forget_ms=(7000, 8000)))

    def test_part_that_was_sound_before(self) -> None:
        self.check(Scenario(sound_before=True))

    def test_from_the_first_request_on(self) -> None:
        self.check(Scenario(warm_up_ms=0))

    def test_ordinary_crashes_refuse_nothing(self) -> None:
        self.check_nothing_refused(
            Scenario(deadly_per_s=0, crashes_per_s=2.0, deadly_parts=NO_PART, own_parts=True)
        )

    def test_losses_of_power_of_all_engines_refuse_nothing(self) -> None:
        times = tuple(range(7000, 35_000, 5000))
        for sound_per_s in (4.0, 16.0):
            self.check_nothing_refused(
                Scenario(
                    deadly_per_s=0,
                    sound_per_s=sound_per_s,
                    deadly_parts=NO_PART,
                    group_crashes_ms=times,
                    duration_ms=40_000,
                )
            )

    def test_losses_of_power_just_after_the_start_refuse_nothing(self) -> None:
        self.check_nothing_refused(
            Scenario(
                deadly_per_s=0,
                deadly_parts=NO_PART,
                group_crashes_ms=(300, 4900, 9600, 14_300),
                warm_up_ms=0,
            )
        )


if __name__ == "__main__":
    unittest.main()
