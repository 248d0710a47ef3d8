"""Replays of hosts that get more new connections than they can serve.

Guards against a host that accepts all of them, so that each request is late, and against closing
connections of hosts that have only stalled or get a short burst.
"""

import logging
import random
import unittest
from collections import deque

from ruddersaddle_serving.connection_gates import PROBE_S, ConnectionGate, Open, Overloaded

WORK_S = 0.002
"""Processor time of one request."""
TASKS = 5
"""Tasks of one request, each of which waits for all that are ready."""
IN_TIME_S = 0.5
IN_TIME_SHARE_MIN = 0.75
"""Share of the requests read that must be in time, of that in calm seconds."""
GOODPUT_SHARE_MIN = 0.9
"""Requests in time, as a share of what the host bears alone."""
CONTACT_S = 3.0
STEP_S = 0.001


class HostReplay:
    """One process that runs ready tasks in turn, in steps of a millisecond."""

    def __init__(self, seed: int = 1) -> None:
        self.rng = random.Random(f"{seed} gate")
        self.gate = ConnectionGate(self.rng)
        self.now = 0.0
        self.served: list[tuple[float, float]] = []
        """Arrival and duration of each request that was read."""
        self._ready: deque[tuple[float, int]] = deque()
        self._spare_s = 0.0
        self._probe_due: float | None = None

    def run(self, seconds: float, per_s: float, is_stalled: bool = False) -> None:
        """Let connections arrive at a rate; a stalled process runs nothing."""
        until = self.now + seconds
        while self.now < until:
            self.now += STEP_S
            for _ in range(self._count_arrivals(per_s)):
                self._accept()
            if not is_stalled:
                self._run_tasks()

    def _count_arrivals(self, per_s: float) -> int:
        mean = per_s * STEP_S
        return int(mean) + (self.rng.random() < mean % 1.0)

    def _accept(self) -> None:
        if self.gate.begin_sample(self.now):
            self._probe_due = self.now + PROBE_S
            self._probe_position = None
        if self.gate.decide(self.now):
            self._ready.append((self.now, TASKS))

    def _run_tasks(self) -> None:
        if self._probe_due is not None and self.now >= self._probe_due:
            if self._probe_position is None:
                self._probe_position = len(self._ready)
            elif self._probe_position <= 0:
                self.gate.end_sample(self.now)
                self._probe_due = None
        self._spare_s = (
            min(STEP_S, self._spare_s + STEP_S) if not self._ready else (self._spare_s + STEP_S)
        )
        while self._ready and self._spare_s >= WORK_S / TASKS:
            self._spare_s -= WORK_S / TASKS
            arrived_at, left = self._ready.popleft()
            if self._probe_due is not None and self._probe_position is not None:
                self._probe_position -= 1
            if left > 1:
                self._ready.append((arrived_at, left - 1))
            else:
                self.served.append((arrived_at, self.now - arrived_at))

    def in_time(self, since: float) -> list[bool]:
        """Return for each request that arrived since a moment whether it was in time."""
        return [took_s <= IN_TIME_S for arrived_at, took_s in self.served if arrived_at >= since]


class ConnectionGateTest(unittest.TestCase):
    def setUp(self) -> None:
        logging.disable(logging.CRITICAL)
        self.addCleanup(logging.disable, logging.NOTSET)
        self.host = HostReplay()
        self.host.run(3.0, 200.0)

    def run_hot(self, per_s: float) -> list[bool]:
        """Return for each request read after the contact time whether it was in time."""
        self.host.run(CONTACT_S, per_s)
        judged_from = self.host.now
        self.host.run(6.0, per_s)
        return self.host.in_time(judged_from)

    def check_goodput(self, per_s: float) -> None:
        borne = 6.0 / WORK_S
        self.assertGreaterEqual(sum(self.run_hot(per_s)), GOODPUT_SHARE_MIN * borne)

    def test_what_is_read_is_in_time(self) -> None:
        for per_s in (600.0, 875.0, 2000.0):
            with self.subTest(per_s=per_s):
                self.setUp()
                in_time = self.run_hot(per_s)
                self.assertGreaterEqual(sum(in_time), IN_TIME_SHARE_MIN * len(in_time))

    def test_goodput_at_slight_overload(self) -> None:
        self.check_goodput(600.0)

    def test_goodput_at_almost_twice_the_load(self) -> None:
        self.check_goodput(875.0)

    def test_goodput_at_four_times_the_load(self) -> None:
        self.check_goodput(2000.0)

    def test_host_that_stays_late_reads_some_connections(self) -> None:
        """A host that says it is ready and reads none for some seconds counts as down."""
        gate = ConnectionGate(random.Random(1))
        now = 0.0
        while now < 6.0:
            now += 0.02
            gate.record_delay(0.5, now)
            gate.decide(now)
        read = gate.counts["accepted"]
        for _ in range(50):
            now += 0.02
            gate.record_delay(0.5, now)
            gate.decide(now)
        self.assertGreaterEqual(gate.counts["accepted"] - read, 3)

    def test_calm_host_closes_nothing(self) -> None:
        self.host.run(10.0, 400.0)
        self.assertEqual(self.host.gate.counts["closed"], 0)

    def test_stall_of_a_second_closes_nothing(self) -> None:
        self.host.run(1.0, 200.0, is_stalled=True)
        self.host.run(5.0, 200.0)
        self.assertEqual(self.host.gate.counts["closed"], 0)

    def test_burst_that_can_be_served_closes_nothing(self) -> None:
        self.host.run(0.3, 1000.0)
        self.host.run(5.0, 200.0)
        self.assertEqual(self.host.gate.counts["closed"], 0)

    def test_all_are_read_again_soon_after_the_load(self) -> None:
        self.host.run(6.0, 1000.0)
        self.assertIsInstance(self.host.gate.state, Overloaded)
        self.host.run(2.0, 200.0)
        closed = self.host.gate.counts["closed"]
        self.host.run(3.0, 200.0)
        self.assertEqual(self.host.gate.counts["closed"], closed)
        self.assertEqual(self.host.gate.state, Open())


if __name__ == "__main__":
    unittest.main()
