"""Tests of the one bound on all that is kept for callers."""

import unittest
from random import Random

import eventlet

from ruddersaddle_serving.caller_budgets import (
    CONNECTION_BYTES,
    SMALL_BODY_BYTES,
    STALLED_S,
    YOUNG_S,
    CallerBudget,
    Holding,
    Phase,
)

ROOM = 40 * CONNECTION_BYTES
LARGE = ROOM // 4
WAIT_S = 5.0
SEED = 93


class FakeConnection:
    """A connection that records what happens to it."""

    def __init__(self) -> None:
        self.has_request = False
        self.events: list[str] = []

    def close_if_idle(self) -> bool:
        """Close it unless a request has arrived."""
        if not self.has_request:
            self.events.append("closed")
        return not self.has_request

    def interrupt(self, holding: Holding) -> None:
        """Record that its task is interrupted."""
        self.events.append("interrupted")

    def abort(self) -> None:
        """Record that it is closed at once."""
        self.events.append("aborted")


class CallerBudgetsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.budget = CallerBudget(ROOM, 1000)
        self.connection_by_holding: dict[Holding, FakeConnection] = {}

    def open(self, phase: Phase = Phase.IDLE, age_s: float = 2 * STALLED_S) -> Holding:
        """Return an open connection that entered a phase some time ago."""
        connection = FakeConnection()
        holding = self.budget.open(connection)
        self.assertIsNotNone(holding)
        self.connection_by_holding[holding] = connection
        if phase is not Phase.IDLE:
            holding.enter(phase)
        holding.began_at -= age_s
        holding.progressed_at -= age_s
        return holding

    def events(self, holding: Holding) -> list[str]:
        """Return what has happened to a connection."""
        return self.connection_by_holding[holding].events

    def fill(self, phase: Phase, age_s: float = 2 * STALLED_S) -> list[Holding]:
        """Fill the room with connections of a phase."""
        count = (ROOM - self.budget.used) // CONNECTION_BYTES
        return [self.open(phase, age_s) for _ in range(count)]

    def test_connection_that_was_idle_for_longest_gives_way_to_a_new_one(self) -> None:
        first, second, *others = self.fill(Phase.IDLE)
        self.connection_by_holding[first].has_request = True
        self.open()
        self.assertEqual(self.events(first), [])
        self.assertEqual(self.events(second), ["closed"])
        self.assertFalse(any(map(self.events, others)))

    def test_largest_unread_request_gives_way_once_no_connection_is_idle(self) -> None:
        small = self.open(Phase.READING)
        large = self.open(Phase.READING)
        self.assertTrue(large.resize(3 * CONNECTION_BYTES))
        running = self.fill(Phase.RUNNING)
        self.open()
        self.assertEqual(self.events(large), ["interrupted"])
        self.assertFalse(any(map(self.events, [small, *running])))
        self.assertFalse(large.resize(CONNECTION_BYTES), "it holds nothing any more")

    def test_request_that_was_just_begun_is_refused_for_another(self) -> None:
        young = self.fill(Phase.READING, age_s=0.0)
        self.assertIsNone(self.budget.open(FakeConnection()))
        self.assertFalse(any(map(self.events, young)))
        young[0].began_at -= YOUNG_S
        self.open()

    def test_request_that_runs_gives_way(self) -> None:
        running = self.fill(Phase.RUNNING)
        self.assertIsNone(self.budget.open(FakeConnection()))
        self.assertEqual(self.budget.refused, 1)
        self.assertFalse(any(map(self.events, running)))

    def test_answer_that_nobody_takes_keeps_its_room(self) -> None:
        taken, untaken = (self.open(Phase.RUNNING) for _ in range(2))
        for each in (taken, untaken):
            each.begin_writing(SMALL_BODY_BYTES)
        self.assertEqual(self.budget.used, 2 * (CONNECTION_BYTES + SMALL_BODY_BYTES))
        self.fill(Phase.RUNNING)
        untaken.progressed_at -= STALLED_S
        self.assertTrue(self.budget.buffer(CONNECTION_BYTES, 0))
        self.assertEqual(self.events(untaken), ["aborted"])
        self.assertEqual(self.events(taken), [])

    def test_connections_of_all_ports_exceed_the_limit_together(self) -> None:
        budget = self.budget = CallerBudget(ROOM, 3)
        holdings = [self.open(Phase.RUNNING) for _ in range(3)]
        self.assertIsNone(budget.open(FakeConnection()))
        holdings[0].enter(Phase.IDLE)
        self.open()
        self.assertEqual(budget.connections, 3)

    def test_large_bodies_take_the_room_of_small_requests(self) -> None:
        bodies = [self.open(Phase.READING, 0.0) for _ in range(4)]
        found = [each.await_turn(LARGE, 0.0) for each in bodies]
        self.assertEqual(found, [True, True, False, False])
        self.assertTrue(bodies[2].resize(CONNECTION_BYTES + SMALL_BODY_BYTES))

    def test_large_bodies_wait_in_order(self) -> None:
        bodies = [self.open(Phase.READING, 0.0) for _ in range(4)]
        granted: list[int] = []

        def wait(number: int) -> None:
            if bodies[number].await_turn(LARGE, WAIT_S):
                granted.append(number)

        for number in range(4):
            eventlet.spawn(wait, number)
            eventlet.sleep(0)
        self.assertEqual(granted, [0, 1])
        self.assertEqual(self.budget.count(Phase.WAITING), 2)
        bodies[1].end_request()
        eventlet.sleep(0)
        bodies[0].end_request()
        eventlet.sleep(0)
        self.assertEqual(granted, [0, 1, 2, 3])

    def test_stalled_body_keeps_others_waiting(self) -> None:
        stalled = [self.open(Phase.READING, 0.0) for _ in range(2)]
        self.assertEqual([each.await_turn(LARGE, 0.0) for each in stalled], [True, True])
        stalled[0].progressed_at -= STALLED_S
        waiting = self.open(Phase.READING, 0.0)
        self.assertTrue(waiting.await_turn(LARGE, WAIT_S))
        self.assertEqual(self.events(stalled[0]), ["interrupted"])
        self.assertEqual(self.events(stalled[1]), [])

    def test_newest_waiting_body_gives_way_before_any_that_is_read(self) -> None:
        for _ in range(2):
            self.assertTrue(self.open(Phase.READING).await_turn(LARGE, 0.0))
        waiting = [self.open(Phase.READING) for _ in range(2)]
        for each in waiting:
            eventlet.spawn(each.await_turn, LARGE, WAIT_S)
            eventlet.sleep(0)
        self.fill(Phase.RUNNING)
        self.open()
        self.assertEqual([self.events(each) for each in waiting], [[], ["interrupted"]])

    def test_room_is_lost_over_time(self) -> None:
        rng = Random(SEED)
        open_holdings: list[Holding] = []
        for _ in range(5000):
            open_holdings = [each for each in open_holdings if each.is_open]
            choice = rng.randrange(6)
            if choice == 0 or not open_holdings:
                holding = self.budget.open(FakeConnection())
                open_holdings += [] if holding is None else [holding]
                continue
            holding = rng.choice(open_holdings)
            match choice:
                case 1:
                    holding.enter(rng.choice(list(Phase)))
                case 2:
                    holding.resize(rng.randrange(SMALL_BODY_BYTES))
                case 3:
                    holding.shrink_body(0)
                    holding.await_turn(rng.randrange(1, LARGE), 0.0)
                case 4:
                    holding.end_request()
                case 5:
                    holding.close()
            kept = sum(each.bytes for each in open_holdings)
            self.assertEqual(self.budget.used, kept)
            self.assertLessEqual(kept, ROOM)
        for each in open_holdings:
            each.close()
        budget = self.budget
        left = (budget.used, budget.large_used, budget.bodies.used, budget.connections)
        self.assertEqual(left, (0, 0, 0, 0))


if __name__ == "__main__":
    unittest.main()
