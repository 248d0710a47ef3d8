"""Promise 5 at the connection: what proves that a call did not run, and what doesn't."""

import unittest

from ruddersaddle_base.failures import Failure, Ran
from ruddersaddle_upstreams.services import ServiceClient

from ruddersaddle_standins.raw_servers import RawServer

SIZED = b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"


class ServiceCallTest(unittest.TestCase):
    def call(self, address: str) -> Failure:
        answer = ServiceClient(address, 1.0, 2.0).call("POST", "/x", {}, b"body")
        self.assertIsInstance(answer, Failure)
        return answer

    def test_only_a_connection_that_was_never_made_is_not_run(self):
        with RawServer(b"") as gone:
            address = gone.address
        self.assertIs(self.call(address).ran, Ran.NOT_RUN)

    def test_an_answer_that_was_cut_anywhere_is_unknown_and_never_an_answer(self):
        # The zero that begins a chunked answer's end mark comes after the whole body.
        for whole, last in ((SIZED, len(SIZED)), (CHUNKED, CHUNKED.rindex(b"0"))):
            for end in range(last):
                with self.subTest(cut=whole[:end]), RawServer(whole[:end]) as server:
                    self.assertIs(self.call(server.address).ran, Ran.UNKNOWN)
            with RawServer(whole) as server:
                answer = ServiceClient(server.address, 1.0, 2.0).call("POST", "/x", {}, b"body")
                self.assertEqual(answer.body, b"whole")


if __name__ == "__main__":
    unittest.main()
