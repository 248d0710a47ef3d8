"""A recorded trace is replayed and meets its expected outcomes, with faults at its peak."""

import unittest
from pathlib import Path

from ruddersaddle.traces import read_trace

from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.replays import Replay
from ruddersaddle_standins.trace_generators import generate_akureyri, generate_casablanca

FOLDER = Path(__file__).parent / "input"
TEMPLATE_TOKENS = 800


class ReplayTest(unittest.TestCase):
    def test_opening_with_a_lost_engine_and_a_log_outage_meets_its_expected_outcomes(self):
        lines = read_trace(str(FOLDER / "opening.jsonl"))
        speeds = {"prefill_tokens_s": "6000", "cache_blocks": "60"}
        topology = Topology(hosts=3, engines=3, services=2, speeds=speeds)
        with Fleet(topology) as fleet:
            replay_result = Replay(fleet, lines, TEMPLATE_TOKENS).run(marks_events=True)
            self.assertEqual(replay_result.failed_outcomes(lines), [])
            statuses = [fleet.status(name) for name in fleet.host_names()]
            self.assertGreater(sum(s.counts["events_prepared"] for s in statuses), 0)

    def test_same_seed_gives_the_same_trace(self):
        names = ("a", "b", "c")
        for generate in (generate_akureyri, generate_casablanca):
            self.assertEqual(generate(5, names), generate(5, names))
            self.assertNotEqual(generate(5, names), generate(6, names))


if __name__ == "__main__":
    unittest.main()
