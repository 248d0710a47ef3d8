"""A host whose peers connect and disconnect neither hangs nor fails to exit.

The messaging library runs callbacks on threads of its own, under a lock. With monkey patching that
lock is a green one, which works within one thread only: if two callbacks contend, one waits forever
("greenlet.error: Cannot switch to a different thread"). Closing a socket (`nng_close`) and the exit
of the process (`nng_fini`) wait for the callbacks, so that the host serves no requests or does not
exit until it is killed.
"""

import subprocess
import sys
import unittest

from ruddersaddle_standins.port_blocks import free_ports

PEERS = 8
RESTARTING_PEERS = 24
"""With eight peers, a run of 14 s was at times too short for the fault to occur."""
PROGRAM_TIMEOUT_S = 20
"""Time-out of the programs; that of the connecting peers takes about 4 s if nothing hangs."""
PROGRAM = "ruddersaddle_serving.tests.peer_churns"
RESTART_PROGRAM = "ruddersaddle_serving.tests.restart_churns"
GARBAGE_PROGRAM = "ruddersaddle_serving.tests.garbage_churns"


class PeerChurnsTest(unittest.TestCase):
    def test_peers_that_connect_and_disconnect_cause_no_hang(self) -> None:
        found = self.run_program(PROGRAM)
        self.assertEqual((found.returncode, found.stdout), (0, "done\n"), found.stderr[-2000:])

    def test_garbage_is_collected_on_the_main_thread_only(self) -> None:
        found = self.run_program(GARBAGE_PROGRAM)
        self.assertEqual((found.returncode, found.stdout), (0, "done, 0 elsewhere\n"))

    def test_restarting_peers_crash_no_host(self) -> None:
        found = self.run_program(RESTART_PROGRAM, RESTARTING_PEERS)
        self.assertEqual((found.returncode, found.stdout), (0, "done\n"), found.stderr[-2000:])

    def run_program(self, program: str, peers: int = PEERS) -> subprocess.CompletedProcess[str]:
        """Run a program with a number of peers and return its result."""
        ports = [str(port) for port in free_ports(peers)]
        command = [sys.executable, "-m", program, *ports]
        return subprocess.run(
            command, capture_output=True, text=True, timeout=PROGRAM_TIMEOUT_S, check=False
        )


if __name__ == "__main__":
    unittest.main()
