"""The daemon serves on, and stops as planned, wherever its log goes.

It logs to standard error. With a plain handler the first line that does not fit into a pipe that
nobody reads stops the whole process for good: no request goes on, no signal is noticed.
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
"""A small pipe, so that few requests fill it; by default one takes 64 KB."""
GENERATIONS = 60
"""Each writes a line of over 200 bytes at the most talkative level: more than the pipe takes."""
STOP_S = 10.0


class DaemonOutputsTest(unittest.TestCase):
    def test_reader_that_stops_holds_no_request_up(self):
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
            self.assertEqual(process.wait(STOP_S), 0)


if __name__ == "__main__":
    unittest.main()
