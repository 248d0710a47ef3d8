"""Keyed calls run at most once under two simultaneous random faults.

`make faults` runs many more rounds.
"""

import unittest

from ruddersaddle_standins.fault_rounds import FaultRounds
from ruddersaddle_standins.fleets import Fleet, Topology

SEEDS = (10, 13, 19, 33)
"""These cover log and host faults together, lost responses of the log, killed hosts together with
dropped responses of services, and an outage of the log."""


class FaultRoundsTest(unittest.TestCase):
    def test_calls_run_at_most_once_and_not_run_holds_under_random_faults(self):
        with Fleet(Topology(hosts=3, services=2, engines=1, stores=0)) as fleet:
            fault_rounds = FaultRounds(fleet)
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    report = fault_rounds.run(seed)
                    self.assertEqual(report.duplicated, [])
                    self.assertEqual(report.false_not_run, [])
                    self.assertEqual(report.wrong_answers, [])


if __name__ == "__main__":
    unittest.main()
