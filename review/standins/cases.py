"""The frame of a case: a small deployment, its end, and the exit code."""

import os
import random
import shutil
import signal
import sys
import tempfile
import traceback
from collections.abc import Callable
from pathlib import Path
from typing import Any

from hosts import CannotRunError, Host
from records import Record
from runners import Runner
from stores import MetadataStore

HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
LIMIT_S = 110
"""A case is ended after this time."""


class Deployment:
    """The store, runners and hosts of a case; each has a loopback address of its own."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder = folder
        self.record = record
        self._prefix = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
        self._numbers = iter(range(1, 250))
        self.store = MetadataStore(self.next_ip())
        self.runners: list[Runner] = []
        self.hosts: list[Host] = []
        self.version = 0

    def next_ip(self) -> str:
        """Return a loopback address that the case has not used yet."""
        return f"{self._prefix}.{next(self._numbers)}"

    def add_runner(self, service: str, slots: int = 4, zone: str = "zone-a") -> Runner:
        """Start a runner."""
        name = f"i-{len(self.runners) + 1:08x}"
        runner = Runner(name, self.next_ip(), service, self.store, self.record, slots, zone)
        self.runners.append(runner)
        return runner

    def start_hosts(self, zones: list[str]) -> list[Host]:
        """Start one host in each of some zones, and wait until all are ready."""
        for zone in zones:
            name = f"edge-{len(self.hosts) + 1}"
            host = Host(name, self.next_ip(), zone, self.store.address, self.folder)
            self.hosts.append(host)
            host.start()
        for host in self.hosts:
            host.await_ready()
        return self.hosts

    def publish(
        self,
        routes: list[dict[str, Any]],
        tenants: list[dict[str, Any]],
        services: list[dict[str, Any]] | None = None,
    ) -> float:
        """Publish a configuration; return the time of the store's acknowledgement.

        Without `services` all are plain ones.
        """
        self.version += 1
        if services is None:
            names = sorted({each["service"] for each in routes})
            services = [{"name": each, "health_check": "/health"} for each in names]
        body = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {
                "max_header_bytes": 16384,
                "max_body_bytes": 4194304,
                "header_timeout_ms": 3000,
                "idle_timeout_ms": 15000,
            },
            "tenants": tenants,
        }
        acknowledged_at = self.store.put("keyed.op", "config", body)
        self.record.line("operator", f"configuration {self.version} is acknowledged: {tenants}")
        return acknowledged_at

    def stop(self) -> None:
        """End all processes and servers of the case."""
        for host in self.hosts:
            host.kill()
        for runner in self.runners:
            runner.stop()
        self.store.shutdown()
        self.store.server_close()


def make_route(name: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    """Return a route of the configuration."""
    return {
        "name": name,
        "host": "desk.example",
        "path_prefix": f"/{name}/",
        "type": kind,
        "timeout_ms": 2500,
        "target_latency_ms": 200,
        "priority": 2,
        "max_attempts": 1,
        "service": service,
        "public": False,
        **more,
    }


def has_trouble() -> bool:
    """Return whether the case includes its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def run_case(folder: Path, play: Callable[[Deployment, Record, bool], list[str]]) -> None:
    """Run a case and exit: 1 if `play` returns violations, 0 if none, 2 if it couldn't run."""
    signal.signal(signal.SIGALRM, _end_late)
    signal.signal(signal.SIGTERM, _end_late)
    signal.alarm(LIMIT_S)
    temporary = Path(tempfile.mkdtemp(prefix="review-"))
    record = Record(folder / "record.txt")
    deployment = Deployment(temporary, record)
    status = COULD_NOT_RUN
    try:
        record.line("case", f"disruption: {has_trouble()}")
        violations = play(deployment, record, has_trouble())
        for each in violations:
            record.line("VIOLATION", each)
            print(each)
        record.line("case", f"{len(violations)} violations")
        print(f"{len(violations)} violations")
        status = BROKEN if violations else HELD
    except CannotRunError as error:
        record.line("case", f"could not run: {error}")
        print(f"could not run: {error}")
    except Exception:
        record.line("case", traceback.format_exc())
        traceback.print_exc()
    finally:
        signal.alarm(0)
        deployment.stop()
        shutil.rmtree(temporary, ignore_errors=True)
    sys.stdout.flush()
    os._exit(status)


def _end_late(*_: object) -> None:
    raise CannotRunError("the case took too long or was stopped")
