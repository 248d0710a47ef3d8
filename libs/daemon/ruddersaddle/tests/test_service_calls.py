"""Tests of what calls with several attempts say on whether they ran."""

import unittest
from itertools import product
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_upstreams.connections import Reply

from ruddersaddle.answers import Answer
from ruddersaddle.generations import Generation
from ruddersaddle.service_calls import ServiceCaller

NOT_RUN = Failure(Code.UPSTREAM_FAILED, Step.CONNECT, "u", "", Ran.NOT_RUN)
UNKNOWN = Failure(Code.UPSTREAM_FAILED, Step.SEND, "u", "", Ran.UNKNOWN)
FULL = Failure(Code.OVERLOADED, Step.SEND, "u", "", Ran.NOT_RUN)
ERROR = Reply(503, (), b"")


class ServiceCallsTest(unittest.TestCase):
    def dispatch(self, *answers: Answer) -> Answer:
        """Return the answer of a repeatable call whose upstreams give these answers."""
        caller = ServiceCaller(mock.Mock(), mock.Mock())
        caller.pools.by_id.get.return_value.budget.try_spend.return_value = True
        loads = [mock.Mock(address=f"u:{number}") for number in range(len(answers))]
        calls = mock.patch.object(caller, "_call", side_effect=answers)
        chosen = mock.patch.object(caller, "_select_load", side_effect=[*loads, None])
        with calls, chosen:
            return caller.dispatch(mock.Mock(pool="p"))

    def test_attempt_that_may_have_run_is_forgotten_after_a_lost_connection(self) -> None:
        for answers in product((NOT_RUN, UNKNOWN, ERROR), repeat=3):
            with self.subTest(answers=answers):
                answer = self.dispatch(*answers)
                is_not_run = all(each is NOT_RUN for each in answers)
                if isinstance(answer, Failure):
                    self.assertEqual(answer.ran is Ran.NOT_RUN, is_not_run)


class GenerationsTest(unittest.TestCase):
    def begin(self, *failures: Failure) -> Failure | None:
        """Return the failure of a generation whose engines fail so."""
        request = mock.Mock()
        request.limits.deadline = float("inf")
        generation = Generation(mock.Mock(), request, mock.Mock(), mock.Mock())
        generation.view.pool.id = "p"
        generation.view.budget.try_spend.side_effect = [True] * (len(failures) - 1) + [False]
        with mock.patch.object(generation, "_open_best", side_effect=failures):
            return generation.begin()

    def test_attempt_that_may_have_run_is_forgotten_after_a_refusal(self) -> None:
        for failures in product((FULL, UNKNOWN), repeat=3):
            with self.subTest(failures=failures):
                is_not_run = all(each is FULL for each in failures)
                self.assertEqual(self.begin(*failures).ran is Ran.NOT_RUN, is_not_run)


if __name__ == "__main__":
    unittest.main()
