"""Tests of the statuses with which a host answers failures."""

import unittest
from itertools import product
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Ran, Step

from ruddersaddle_serving.caller_watches import CallerLeftError
from ruddersaddle_serving.fronts import Front, RouteTimeout, _CallerExchange
from ruddersaddle_serving.prompts import RelayTerms
from ruddersaddle_serving.relays import REFUSAL_HEADER

PROMISES = (408, 421, 429, 503)


class RefusalsTest(unittest.TestCase):
    """One request, from a caller or from another host."""

    def start(self, is_relayed: bool = False) -> _CallerExchange:
        front = Front(mock.Mock(), mock.Mock(), mock.Mock(), mock.Mock())
        front.wire.write_refusal.return_value = ()
        self.start_response = mock.Mock()
        environ = {
            "caller.began": 0.0,
            "caller.protocol": mock.Mock(),
            "caller.connection": mock.Mock(),
            "eventlet.input": mock.Mock(should_send_hundred_continue=False),
            "REQUEST_METHOD": "POST",
        }
        exchange = _CallerExchange(front, environ, self.start_response)
        exchange.terms = RelayTerms("host-2", 1, 1) if is_relayed else None
        return exchange

    def answer(self, failure: Failure, is_relayed: bool = False) -> tuple[int, dict[str, str]]:
        """Return the status and the headers for a failure."""
        self.start(is_relayed)._refuse(failure)
        line, headers = self.start_response.call_args.args
        return int(line.split()[0]), dict(headers)

    def test_failure_that_may_have_run_is_answered_with_a_promise(self) -> None:
        promised = set()
        for code, ran, step, is_relayed in product(Code, Ran, Step, (False, True)):
            failure = Failure(code, step, "p", "", ran, retry_after_s=1.0)
            status, headers = self.answer(failure, is_relayed)
            if ran is not Ran.NOT_RUN and (status in PROMISES or REFUSAL_HEADER in headers):
                promised.add((code, ran, step, is_relayed))
        self.assertEqual(len(promised), 0)

    def test_failure_that_has_not_run_is_no_promise(self) -> None:
        """Without the promise, callers may not send it again."""
        self.assertEqual(self.answer(Failure(Code.OVERLOADED, Step.ADMIT, "p"))[0], 503)
        status, headers = self.answer(Failure(Code.STOPPING, Step.PEER, "p"), is_relayed=True)
        self.assertEqual((status, headers[REFUSAL_HEADER]), (503, "stopping"))

    def test_request_under_way_that_ends_by_itself_is_said_not_to_have_run(self) -> None:
        """Its time has passed, or its caller has left, while an upstream may be running it."""
        for error in (RouteTimeout(60.0), CallerLeftError()):
            with self.subTest(error=error):
                exchange = self.start()
                exchange.timer = error if isinstance(error, RouteTimeout) else None
                exchange.forwarding = mock.Mock()
                with mock.patch.object(exchange, "_read_request", side_effect=error):
                    exchange.run()
                self.assertIs(exchange.failure.ran, Ran.UNKNOWN)
                self.assertNotIn(exchange.status, PROMISES)


if __name__ == "__main__":
    unittest.main()
