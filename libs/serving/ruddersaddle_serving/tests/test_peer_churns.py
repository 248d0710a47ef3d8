"""A host whose peers come and go is not held up by its library's threads, nor at its end.

In three of thirteen rolls of six or seven hosts that were stopped, signalled, frozen and started in
turn, one host had not ended when SIGKILL came. One of the three had answered nothing since its
SIGTERM: 54 requests ended without an answer, some of them run by upstreams. The other two cut
nothing; the stack of the one that was asked for it stood in `nng_fini`. The messaging library calls
back on threads of its own, under a lock, and the green library had put its own kind of lock there,
which is for one thread only. When two callbacks met, one waited for good:

    eventlet/semaphore.py, line 153, in _do_acquire: waiter.switch()
    greenlet.error: Cannot switch to a different thread

Closing a socket waits for its callbacks, in the one thread that serves all requests, and the end of
the process waits for them, too (`nng_close`, `nng_fini`).
"""

import subprocess
import sys
import unittest

from ruddersaddle_standins.port_blocks import free_ports

PEERS = 8
RESTARTED = 24
"""With eight a run of 14 s was at times too short for the fault."""
END_S = 20
"""The program takes about 4 s where nothing holds it up."""
PROGRAM = "ruddersaddle_serving.tests.peer_churns"
RESTART_PROGRAM = "ruddersaddle_serving.tests.restart_churns"
GARBAGE_PROGRAM = "ruddersaddle_serving.tests.garbage_churns"


class PeerChurnsTest(unittest.TestCase):
    def test_peers_that_come_and_go_hold_nothing_up(self) -> None:
        found = self.run_program(PROGRAM)
        self.assertEqual((found.returncode, found.stdout), (0, "done\n"), found.stderr[-2000:])

    def test_garbage_is_collected_on_the_thread_of_the_requests_alone(self) -> None:
        found = self.run_program(GARBAGE_PROGRAM)
        self.assertEqual((found.returncode, found.stdout), (0, "done, 0 elsewhere\n"))

    def test_peers_that_are_started_again_end_no_host(self) -> None:
        found = self.run_program(RESTART_PROGRAM, RESTARTED)
        self.assertEqual((found.returncode, found.stdout), (0, "done\n"), found.stderr[-2000:])

    def run_program(self, program: str, peers: int = PEERS) -> subprocess.CompletedProcess[str]:
        """Run a program for a number of peers to its end."""
        ports = [str(port) for port in free_ports(peers)]
        command = [sys.executable, "-m", program, *ports]
        return subprocess.run(command, capture_output=True, text=True, timeout=END_S, check=False)


if __name__ == "__main__":
    unittest.main()
