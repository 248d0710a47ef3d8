"""Entry hosts: the program of the deploy file as separate processes, on loopback addresses."""

import json
import os
import re
import signal
import socket
import subprocess
import sys
import time
import tomllib
from pathlib import Path
from typing import Any

REPOSITORY = Path(__file__).resolve().parents[2]
BOUNDS = {
    "drain_ms": 2000,
    "grace_s": 8,
    "revoke_ms": 5000,
    "strict_revoke": True,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "lease_ms": 3000,
    "version_ms": 12000,
}
"""Bounds of the small deployments' sheets that the settings name."""


class CannotRunError(Exception):
    """Raised if a case can't be run here."""


def find_command() -> tuple[list[str], dict[str, str]]:
    """Return the command of the deploy file and the environment that it needs.

    Without a build, the program of the development environment is the same.
    """
    deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
    _, *arguments = deploy["roles"]["entry"]["run"].split()
    dependencies = REPOSITORY / "target/deps"
    python = REPOSITORY / ".venv/bin/python"
    if (dependencies / "ruddersaddle_platform").is_dir():
        return [sys.executable, *arguments], {"PYTHONPATH": str(dependencies)}
    if python.exists():
        return [str(python), *arguments], {}
    raise CannotRunError("the program is not built: run `sh deploy/build.sh` or `make setup`")


def render(template: str, fields: dict[str, Any]) -> str:
    """Fill the gaps of a settings template that `deploy/host.ini` uses."""

    def find(name: str) -> Any:
        value: Any = fields
        for key in name.split("."):
            value = value[int(key)] if isinstance(value, list) else value.get(key)
            if value is None:
                return None
        return value

    def repeat(match: re.Match[str]) -> str:
        rows = list((find(match[1]) or {}).items())
        texts = []
        for number, (key, value) in enumerate(rows):
            comma = "," if number < len(rows) - 1 else ""
            texts.append(
                match[2].replace("{{@}}", key).replace("{{.}}", value).replace("{{,}}", comma)
            )
        return "".join(texts)

    def fill(match: re.Match[str]) -> str:
        value = find(match[1])
        if value is None:
            return ""
        return json.dumps(value) if isinstance(value, bool) else str(value)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", repeat, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", fill, text)


def free_ports(ip: str, count: int) -> list[int]:
    """Return ports of an address that nothing listens at."""
    sockets = [socket.create_server((ip, 0)) for _ in range(count)]
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


class Host:
    """One entry host."""

    def __init__(self, name: str, ip: str, zone: str, store: str, folder: Path) -> None:
        self.name = name
        self.ip = ip
        self.front, self.ready, peers, relays = free_ports(ip, 4)
        fields = {
            "node_name": name,
            "ip": ip,
            "zone": zone,
            "zones": {"zone-a": "region-a", "zone-b": "region-a"},
            "limits": {"link_mbps": 1000.0},
            "listen": {"front": f"{ip}:{self.front}", "ready": f"{ip}:{self.ready}"},
            "port_range": [peers, relays],
            "provider": {"address": store},
            "bounds": BOUNDS,
        }
        template = (REPOSITORY / "deploy/host.ini").read_text()
        self.settings = folder / f"{name}.ini"
        self.settings.write_text(render(template, fields))
        self.log = folder / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the program."""
        command, variables = find_command()
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {**kept, **variables, "RUDDERSADDLE_SETTINGS": str(self.settings)}
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                command, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            with socket.create_connection((self.ip, self.ready), timeout=1) as connection:
                connection.sendall(f"GET /ready HTTP/1.1\r\nHost: {self.ip}\r\n\r\n".encode())
                return connection.recv(64).startswith(b"HTTP/1.1 200")
        except OSError:
            return False

    def await_ready(self, timeout_s: float = 20.0) -> None:
        """Wait until the host is ready."""
        until = time.monotonic() + timeout_s
        while not self.is_ready():
            if time.monotonic() > until or self.process.poll() is not None:
                raise CannotRunError(f"{self.name} is not ready: {self.log.read_text()[-2000:]}")
            time.sleep(0.1)

    def freeze(self) -> None:
        """Stop the process for a while."""
        self.process.send_signal(signal.SIGSTOP)

    def thaw(self) -> None:
        """Let the process continue."""
        self.process.send_signal(signal.SIGCONT)

    def kill(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
