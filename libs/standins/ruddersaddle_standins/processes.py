"""Starts, freezes, resumes and ends the processes of a test or measurement."""

import os
import signal
import subprocess
import sys
import time
from pathlib import Path

import urllib3

START_TIMEOUT_S = 15.0
STOP_TIMEOUT_S = 20.0
POLL_INTERVAL_S = 0.02


class Process:
    """A child process; its output goes to a file."""

    def __init__(self, name: str, module: str, arguments: list[str], folder: Path) -> None:
        self.name = name
        self.output = folder / f"{name}.log"
        self.command = [sys.executable, "-m", module, *arguments]
        self.child: subprocess.Popen | None = None

    def start(self) -> None:
        """Start or restart the process."""
        with self.output.open("ab") as file:
            self.child = subprocess.Popen(
                self.command, stdout=file, stderr=file, stdin=subprocess.DEVNULL
            )

    @property
    def is_running(self) -> bool:
        """Whether the process has not ended."""
        return self.child is not None and self.child.poll() is None

    def kill(self) -> None:
        """Kill the process."""
        if self.is_running:
            self.child.kill()
            self.child.wait()

    def freeze(self) -> None:
        """Suspend the process."""
        if self.is_running:
            os.kill(self.child.pid, signal.SIGSTOP)

    def thaw(self) -> None:
        """Resume a suspended process."""
        if self.is_running:
            os.kill(self.child.pid, signal.SIGCONT)

    def terminate(self) -> None:
        """Ask the process to shut down gracefully."""
        self.child.terminate()

    def wait(self, seconds: float = STOP_TIMEOUT_S) -> int:
        """Wait for the process to exit; return its exit code."""
        return self.child.wait(seconds)

    def read_output(self) -> str:
        """Return the output of the process so far."""
        return self.output.read_text(errors="replace")


def wait_until(condition: object, what: str, seconds: float = START_TIMEOUT_S) -> None:
    """Wait until `condition()` is true; raise a `TimeoutError` that names `what`."""
    deadline = time.monotonic() + seconds
    while not condition():
        if time.monotonic() >= deadline:
            raise TimeoutError(f"{what}: not reached within {seconds:g} s")
        time.sleep(POLL_INTERVAL_S)


def is_good(url: str) -> bool:
    """Return whether a GET request succeeds with status 200."""
    try:
        return urllib3.request("GET", url, retries=False, timeout=1.0).status == 200
    except urllib3.exceptions.HTTPError:
        return False
