"""Tests of placement while a third of the engines crashes twice and restarts cold.

From three seconds after the last crash on, the rate of requests in time must be at least 0.9 of
what it was before; no cold engine may receive more than the bound in any second, so that none
crashes again.
"""

import logging
import unittest
from unittest import mock

import msgspec

from ruddersaddle_serving.tests.crash_replays import Crashes, CrashReplay
from ruddersaddle_serving.tests.replay_loads import Kind, Load
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas

KINDS = (
    Kind("long", 75.0, 4870, 2870, 420, 0.645, 2, 2.9, 1997, 0.5, 20_000, 0.7),
    Kind("middle", 200.0, 79, 290, 320, 0.419, 1, 1.7, 3067),
    Kind("short", 125.0, 227, 590, 25, 0.422, 0, 1.7, 3323),
)
LOAD = Load(
    KINDS,
    hosts=71,
    halls=3,
    engines=30,
    slots=64,
    memory_tokens=149_281,
    tokens_s=60_000.0,
    length_s=11.0,
    surge=(0.0, 20.0, 2.1),
)
CRASHES = Crashes((3.0, 5.5))
BASELINE = (1.0, 3.0)
RECOVERY_S = 3.0
"""Time after the last crash by which the rate of requests in time must have recovered."""
RECOVERED_SHARE = 0.9


class CrashReplaysTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.INFO)
        self.addCleanup(logging.disable, logging.NOTSET)

    def simulate(self, load: Load, crashes: Crashes) -> CrashReplay:
        replay = CrashReplay(load, crashes)
        began = replay.now
        outcome = replay.run()
        self.before = outcome.in_time_between(began + BASELINE[0], began + BASELINE[1])
        after = began + crashes.moments[-1] + RECOVERY_S
        self.after = outcome.in_time_between(after, began + load.length_s)
        self.during = outcome.in_time_between(began + crashes.moments[0], after)
        name = self.id().rpartition(".")[2]
        shares = f"in time {self.before:.2f} {self.during:.2f} {self.after:.2f}"
        print(f"{name}: {shares}, {replay.cold_crashes} cold crashes, rate {replay.cold_rate_max}")
        print(outcome.describe())
        return replay

    def check(self, load: Load, crashes: Crashes) -> None:
        replay = self.simulate(load, crashes)
        self.assertLessEqual(replay.cold_rate_max, crashes.cold_per_s * 1.5 + 5)
        self.assertEqual(replay.cold_crashes, 0)
        self.assertGreaterEqual(self.after, RECOVERED_SHARE * self.before)

    def test_engines_restart_cold(self) -> None:
        self.check(LOAD, CRASHES)

    def test_hosts_that_learn_late_of_new_instances(self) -> None:
        self.check(LOAD, msgspec.structs.replace(CRASHES, partitioned=0.35))

    def test_engines_that_serve_four_a_second_with_four_hundred_hosts(self) -> None:
        kinds = tuple(msgspec.structs.replace(each, per_s=each.per_s * 0.4) for each in KINDS)
        load = msgspec.structs.replace(
            LOAD, kinds=kinds, hosts=400, length_s=8.0, surge=(0.0, 0.0, 1.0)
        )
        crashes = msgspec.structs.replace(
            CRASHES, moments=(3.0,), cold_per_s=4.0, cold_crash_above=11
        )
        self.check(load, crashes)

    def test_engines_crash_again_without_shares(self) -> None:
        """Checks that the simulation shows the fault: all hosts send to engines that are empty."""
        with mock.patch.object(UpstreamQuotas, "may_send", return_value=True):
            replay = self.simulate(LOAD, CRASHES)
        self.assertGreater(replay.cold_crashes, 0)


if __name__ == "__main__":
    unittest.main()
