"""Tests of what engines' answers say on whether they ran a request."""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Ran
from ruddersaddle_base.ids import ModelId, RequestId

from ruddersaddle_upstreams.engines import EngineClient, EngineRequest

REQUEST = EngineRequest(RequestId("q"), ModelId("m"), "v2", "", "", "prompt", 1, 0, False)


class EngineAnswersTest(unittest.TestCase):
    def generate(self, status: int, body: bytes) -> Failure:
        client = EngineClient("127.0.0.1:1", 1.0, 1.0)
        client.connections = mock.Mock()
        client.connections.open.return_value.status = status
        client.connections.open.return_value.read_some.return_value = body
        return client.generate(REQUEST)

    def test_answer_that_is_no_refusal_is_said_not_to_have_run(self) -> None:
        for status in (201, 204, 302, 400, 404, 408, 421, 429, 500, 501, 502, 504):
            for body in (b"", b'{"version": "v1"}'):
                with self.subTest(status=status, body=body):
                    failure = self.generate(status, body)
                    self.assertEqual(
                        (failure.code, failure.ran), (Code.UPSTREAM_FAILED, Ran.UNKNOWN)
                    )

    def test_conflict_that_names_no_other_version_is_said_not_to_have_run(self) -> None:
        for body in (b"", b"{}", b"text", b'{"version": 3}', b'{"version": "v2"}', b'{"ver'):
            with self.subTest(body=body):
                failure = self.generate(409, body)
                self.assertIs(failure.ran, Ran.UNKNOWN)
                self.assertIsNot(failure.code, Code.OTHER_VERSION)

    def test_true_refusals_are_said_not_to_have_run(self) -> None:
        full, changed = self.generate(503, b""), self.generate(409, b'{"version": "v1"}')
        self.assertEqual((full.code, full.ran), (Code.OVERLOADED, Ran.NOT_RUN))
        self.assertEqual((changed.code, changed.ran), (Code.OTHER_VERSION, Ran.NOT_RUN))


if __name__ == "__main__":
    unittest.main()
