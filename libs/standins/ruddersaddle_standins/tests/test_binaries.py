"""The executable is built and serves, without child processes and without stand-ins."""

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from ruddersaddle_standins.binaries import build
from ruddersaddle_standins.port_blocks import LOOPBACK, free_ports
from ruddersaddle_standins.processes import is_good, wait_until


class BinaryTest(unittest.TestCase):
    def test_executable_serves_without_children_and_contains_no_stand_ins(self):
        with tempfile.TemporaryDirectory() as folder:
            target = Path(folder) / "ruddersaddle"
            build(target)
            port, peer_port = free_ports(2)
            options = [f"host.port={port}", f"host.peer_port={peer_port}"]
            environment = {**os.environ, "SHIV_ROOT": folder}
            command = [sys.executable, str(target)]
            child = subprocess.Popen(
                [*command, "serve", "--set", *options],
                env=environment,
                stdout=subprocess.DEVNULL,
                stderr=subprocess.DEVNULL,
            )
            try:
                url = f"http://{LOOPBACK}:{port}/healthz"
                wait_until(lambda: is_good(url), "the executable serves", 60.0)
                self.assertEqual(self.children(child.pid), [])
            finally:
                child.kill()
                child.wait()
            done = subprocess.run(
                [*command, "settings"], env=environment, capture_output=True, check=True
            )
            self.assertIn(b"claims.memory_s", done.stdout)
            unpacked = list(Path(folder).glob("*/site-packages/ruddersaddle*"))
            names = {path.name for path in unpacked}
            self.assertIn("ruddersaddle_base", names)
            self.assertNotIn("ruddersaddle_standins", names)

    def children(self, pid: int) -> list[str]:
        tasks = Path(f"/proc/{pid}/task").iterdir()
        return [word for task in tasks for word in (task / "children").read_text().split()]


if __name__ == "__main__":
    unittest.main()
