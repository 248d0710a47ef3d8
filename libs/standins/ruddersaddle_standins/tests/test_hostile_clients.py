"""Clients that break the limits, or never finish what they send, cost a host of the own interface
neither its memory nor its descriptors, and ordinary callers still get answers.

Cases in which they did:

- Bodies stop short of their end and stay open: nothing bounded their sum.
- Small chunks: each was an object of its own.
- Heads were read up to 1 MB before the limit was compared with them.
- Bodies of requests that are refused were skipped line by line, whatever the length of a line.
- Messages between hosts were read up to 16 MB from anybody who connects.
"""

import unittest

from ruddersaddle_standins.clients import Client
from ruddersaddle_standins.crowds import (
    LARGE_CHUNK,
    MISSING_BYTES,
    UNENDED_BYTES,
    Crowd,
    Footprint,
    Sending,
    await_condition,
)
from ruddersaddle_standins.fleets import Fleet, Topology, caller_key
from ruddersaddle_standins.processes import is_good

MEMORY_MAX_MB = 150
"""Default of `host.memory_mb`."""
BODY_BYTES = 1 << 20
"""Default of `requests.body_max`."""
CLIENTS = 150
SPARE_DESCRIPTORS = 40
MESSAGE_BYTES = 16 << 20
HOST = "host-1"


def head(path: str = "/booking/read", key: str = "") -> bytes:
    """Return a request's head without its end."""
    key = key or caller_key("clinic-1")
    return (
        f"POST {path} HTTP/1.1\r\nHost: api.example\r\nAuthorization: Bearer {key}\r\n"
        "Deadline-Ms: 60000\r\n"
    ).encode()


def chunks(chunk_bytes: int = LARGE_CHUNK, body_bytes: int = BODY_BYTES) -> Sending:
    """Return a whole body in chunks."""
    return Sending.in_chunks(head(), body_bytes, chunk_bytes)


class HostileClientsTest(unittest.TestCase):
    def setUp(self) -> None:
        topology = Topology(hosts=1, engines=1, settings={"requests.read_timeout_s": "60"})
        self.fleet = Fleet(topology)
        self.fleet.start()
        self.addCleanup(self.fleet.stop)
        self.process = self.fleet.by_name[HOST].child
        self.footprint = Footprint(self.process.pid)

    def assert_answers(self) -> None:
        """Check that an ordinary prompt is answered, and that the host says it is ready."""
        self.assertTrue(await_condition(self.is_answered), "an ordinary prompt is not answered")
        ready = self.fleet.url(HOST, "/readyz")
        self.assertTrue(await_condition(lambda: is_good(ready)), "the host is not ready")

    def is_answered(self) -> bool:
        """Send an ordinary prompt."""
        address = self.fleet.address_by_name[HOST]
        return Client("clinic-1", keep_alive=False).prompt(address, "a prompt", 4).complete

    def assert_withstands(self, *crowds: list[Sending], address: str = "") -> None:
        """Let crowds come one after the other."""
        self.assert_answers()
        before = self.footprint.descriptors
        for sendings in crowds:
            with Crowd(address or self.fleet.address_by_name[HOST], *sendings) as crowd:
                crowd.settle()
                self.assertLessEqual(
                    self.footprint.descriptors, before + len(sendings) + SPARE_DESCRIPTORS
                )
                self.assert_answers()
            self.assert_answers()
        self.assertIsNone(self.process.poll())
        self.assertLessEqual(self.footprint.peak_mb, MEMORY_MAX_MB)
        self.assertTrue(self.footprint.await_descriptors(before + SPARE_DESCRIPTORS))

    def test_bodies_that_stop_short_of_their_end(self) -> None:
        announced = f"Content-Length: {BODY_BYTES}\r\n\r\n".encode()
        sized = Sending(head() + announced, b"t" * LARGE_CHUNK, BODY_BYTES - MISSING_BYTES)
        self.assert_withstands([chunks().cut(), sized] * CLIENTS)

    def test_bodies_in_small_chunks(self) -> None:
        small = [chunks(1).cut(), chunks(4)]
        self.assert_withstands(small * (CLIENTS // 15))

    def test_heads_far_over_the_limit(self) -> None:
        self.assert_withstands([Sending.long_head(head())] * CLIENTS)

    def test_bodies_of_refused_requests(self) -> None:
        refused = head(key="unknown") + b"Transfer-Encoding: chunked\r\n\r\n"
        sending = Sending(refused, b"0" * LARGE_CHUNK, UNENDED_BYTES)
        self.assert_withstands([sending] * (CLIENTS // 5))

    def test_another_crowd_after_the_first(self) -> None:
        self.assert_withstands(
            [chunks(1000).cut()] * CLIENTS,
            [Sending.long_head(head())] * CLIENTS,
        )

    def test_crowd_at_the_port_for_other_hosts(self) -> None:
        sending = Sending.unfinished_message(MESSAGE_BYTES)
        self.assert_withstands([sending] * 20, address=self.fleet.peer_by_name[HOST])


if __name__ == "__main__":
    unittest.main()
