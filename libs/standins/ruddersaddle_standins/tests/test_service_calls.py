"""Only a failed connection proves that a call did not run; a truncated response does not."""

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

    def test_only_a_failed_connection_is_not_run(self):
        with RawServer(b"") as gone:
            address = gone.address
        self.assertIs(self.call(address).ran, Ran.NOT_RUN)

    def test_response_truncated_anywhere_is_unknown(self):
        # A chunked response is complete once the "0" that begins its last chunk has arrived.
        for response, last in ((SIZED, len(SIZED)), (CHUNKED, CHUNKED.rindex(b"0"))):
            for end in range(last):
                with self.subTest(cut=response[:end]), RawServer(response[:end]) as server:
                    self.assertIs(self.call(server.address).ran, Ran.UNKNOWN)
            with RawServer(response) as server:
                answer = ServiceClient(server.address, 1.0, 2.0).call("POST", "/x", {}, b"body")
                self.assertEqual(answer.body, b"whole")


if __name__ == "__main__":
    unittest.main()
