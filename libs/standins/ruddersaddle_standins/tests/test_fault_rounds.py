"""Promises 5 and 6 under drawn faults, two at once; `make faults` runs many more rounds."""

import unittest

from ruddersaddle_standins.fault_rounds import FaultRounds
from ruddersaddle_standins.fleets import Fleet, Topology

SEEDS = (10, 13, 19, 33)
"""Log and host faults together, lost answers, killed hosts with dropped answers, an outage."""


class FaultRoundsTest(unittest.TestCase):
    def test_nothing_runs_twice_and_not_run_is_true_under_drawn_faults(self):
        with Fleet(Topology(hosts=3, services=2, engines=1, stores=0)) as fleet:
            rounds = FaultRounds(fleet)
            for seed in SEEDS:
                with self.subTest(seed=seed):
                    report = rounds.run(seed)
                    self.assertEqual(report.doubled, [])
                    self.assertEqual(report.false_not_run, [])
                    self.assertEqual(report.wrong_answers, [])


if __name__ == "__main__":
    unittest.main()
