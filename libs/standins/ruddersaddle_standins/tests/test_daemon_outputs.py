"""The daemon keeps serving and stops gracefully even if nobody reads its log output.

It logs to standard error. A plain handler would block on the first line that does not fit into an
unread pipe, which stalls the whole process: requests hang and signals are not handled.
"""

import fcntl
import os
import signal
import subprocess
import unittest

from ruddersaddle_standins.clients import Client
from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.processes import wait_until

PIPE_BYTES = 4096
"""A small pipe, so that few requests fill it; the default is 64 KB."""
GENERATIONS = 60
"""Each logs over 200 bytes at level DEBUG, together more than the pipe holds."""
STOP_TIMEOUT_S = 10.0


class DaemonOutputsTest(unittest.TestCase):
    def test_unread_log_output_delays_no_request(self):
        topology = Topology(hosts=1, engines=1, settings={"host.log_level": "DEBUG"})
        with Fleet(topology) as fleet:
            process = fleet.by_name["host-1"]
            process.kill()
            reader, writer = os.pipe()
            self.addCleanup(os.close, reader)
            fcntl.fcntl(writer, fcntl.F_SETPIPE_SZ, PIPE_BYTES)
            process.child = subprocess.Popen(
                process.command, stdout=subprocess.DEVNULL, stderr=writer
            )
            os.close(writer)
            wait_until(lambda: fleet.wait_host("host-1") is None, "the host")
            client = Client("clinic-1")
            for _ in range(GENERATIONS):
                result = client.prompt(fleet.address_by_name["host-1"], "a prompt", 1)
                self.assertEqual(result.status, 200)
            process.child.send_signal(signal.SIGTERM)
            self.assertEqual(process.wait(STOP_TIMEOUT_S), 0)


if __name__ == "__main__":
    unittest.main()
