"""Fleet of processes on loopback: stand-ins, entry hosts, and a published configuration."""

import tempfile
from pathlib import Path

import msgspec
import urllib3
from ruddersaddle.callers import digest_key
from ruddersaddle.published_files import DesiredEntry
from ruddersaddle.publishers import Published, Publisher, PublishOutcome
from ruddersaddle.reports import Status
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import HallId, HostId, StoreId, UpstreamId, WorkspaceId
from ruddersaddle_routing.retries import CircuitState
from ruddersaddle_state.entries import (
    Model,
    PathRule,
    Pool,
    PoolKind,
    Store,
    Upstream,
    Value,
    Workspace,
    entry_key,
)
from ruddersaddle_upstreams.host_lists import HostRole, HostRow, HostState

from ruddersaddle_standins.port_blocks import LOOPBACK, free_ports
from ruddersaddle_standins.processes import Process, is_good, wait_until
from ruddersaddle_standins.servers import Fault
from ruddersaddle_standins.service_servers import Run, read_runs

STANDINS_MODULE = "ruddersaddle_standins.programs"
PRODUCT_MODULE = "ruddersaddle.programs"
MODEL = "assistant"
VERSION = "v1"
PUBLISH_S = 10.0


class Topology(msgspec.Struct, kw_only=True):
    """Composition of a fleet; `settings` apply to every host, `speeds` to every stand-in."""

    halls: tuple[str, ...] = ("glerar", "oddeyri", "krossanes")
    hosts: int = 3
    engines: int = 2
    services: int = 1
    stores: int = 1
    workspaces: tuple[str, ...] = ("clinic-1", "clinic-2")
    service_prefix: str = "/booking/"
    checks_fences: bool = True
    settings: dict[str, str] = {}
    speeds: dict[str, str] = {}


class Fleet:
    """Running processes, by name; a context manager that stops them."""

    def __init__(self, topology: Topology) -> None:
        self.topology = topology
        self.folder = Path(tempfile.mkdtemp(prefix="ruddersaddle-"))
        self.by_name: dict[str, Process] = {}
        self.address_by_name: dict[str, str] = {}
        self.peer_by_name: dict[str, str] = {}
        self.row_by_name: dict[str, HostRow] = {}
        self.http = urllib3.PoolManager(maxsize=64, retries=False)
        self.publisher: Publisher | None = None

    def __enter__(self) -> "Fleet":
        try:
            self.start()
        except BaseException:
            self.stop()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.stop()

    def start(self) -> None:
        """Start all processes, publish the configuration and wait until all hosts are ready."""
        self._start_standins()
        self.publisher = Publisher(self.address_by_name["log"], self.address_by_name["list"], 2.0)
        for number in range(1, self.topology.hosts + 1):
            self.add_host(f"host-{number}")
        self.publish_list()
        self.publish(*self.base_values())
        self.wait_ready()

    def _start_standins(self) -> None:
        speeds = [f"{name}={value}" for name, value in self.topology.speeds.items()]
        options = ["--set", *speeds] if speeds else []
        for kind in ("log", "list", "weights"):
            self._add_standin(kind, kind, options)
        weights = ["--weights", self.address_by_name["weights"]]
        for kind, count, role in (
            ("engine", self.topology.engines, HostRole.ENGINE),
            ("service", self.topology.services, HostRole.SERVICE),
            ("store", self.topology.stores, HostRole.STORE),
        ):
            for number in range(1, count + 1):
                name = f"{kind}-{number}"
                extra = {"engine": weights, "service": [str(self._run_file(name))]}.get(kind, [])
                self._add_standin(name, kind, [*extra, *options])
                self._list_row(name, role, number)
        for name in self.by_name:
            self.wait_healthy(name)

    def _add_standin(self, name: str, kind: str, options: list[str]) -> None:
        port = free_ports(1)[0]
        self.address_by_name[name] = f"{LOOPBACK}:{port}"
        process = Process(name, STANDINS_MODULE, [kind, str(port), *options], self.folder)
        self.by_name[name] = process
        process.start()

    def _run_file(self, name: str) -> Path:
        return self.folder / f"{name}.runs"

    def runs(self) -> list[Run]:
        """Return all runs of the plain services, from the files that they write."""
        names = [name for name in self.by_name if name.startswith("service-")]
        return [run for name in names for run in read_runs(self._run_file(name))]

    def _list_row(self, name: str, role: HostRole, number: int, peer: str = "") -> None:
        hall = HallId(self.topology.halls[number % len(self.topology.halls)])
        address = self.address_by_name[name]
        row = HostRow(HostId(name), role, address, hall, HostState.LIVE, peer)
        self.row_by_name[name] = row

    def add_host(self, name: str, **settings: str) -> Process:
        """Start one entry host; the next `publish_list` adds it to the host list."""
        port, peer_port = free_ports(2)
        self.address_by_name[name] = f"{LOOPBACK}:{port}"
        self.peer_by_name[name] = f"{LOOPBACK}:{peer_port}"
        number = int(name.rpartition("-")[2])
        self._list_row(name, HostRole.ENTRY, number, self.peer_by_name[name])
        given = {
            "host.id": name,
            "host.hall": self.row_by_name[name].hall,
            "host.port": str(port),
            "host.peer_port": str(peer_port),
            "platform.log": self.address_by_name["log"],
            "platform.host_list": self.address_by_name["list"],
            "platform.poll_s": "0.2",
            "requests.stop_lag_s": "0.5",
            **self.topology.settings,
            **{key.replace("__", "."): value for key, value in settings.items()},
        }
        options = [f"{key}={value}" for key, value in given.items()]
        process = Process(name, PRODUCT_MODULE, ["serve", "--set", *options], self.folder)
        self.by_name[name] = process
        process.start()
        return process

    def base_values(self) -> list[Value]:
        """Return the configuration entries for the topology."""
        values: list[Value] = [Model(MODEL, VERSION)]
        for name in self.topology.workspaces:
            values.append(Workspace(WorkspaceId(name), (digest_key(caller_key(name)),)))
        values.append(
            Pool(
                "engines",
                PoolKind.ENGINE,
                self._upstreams("engine"),
                model=MODEL,
                checks_fences=self.topology.checks_fences,
            )
        )
        prefix = self.topology.service_prefix
        rules = (PathRule(prefix, False), PathRule(f"{prefix}read", True))
        values.append(Pool("services", PoolKind.SERVICE, self._upstreams("service"), paths=rules))
        for row in self._rows("store"):
            rate = float(self.topology.speeds.get("link_bytes_s", "50e6"))
            values.append(Store(StoreId(row.id), row.address, row.hall, rate))
        return values

    def _rows(self, kind: str) -> list[HostRow]:
        return [row for name, row in self.row_by_name.items() if name.startswith(f"{kind}-")]

    def _upstreams(self, kind: str) -> tuple[Upstream, ...]:
        return tuple(Upstream(UpstreamId(r.id), r.address, r.hall) for r in self._rows(kind))

    def publish_list(self) -> None:
        """Set the platform's host list to the rows of this fleet."""
        body = msgspec.json.encode(list(self.row_by_name.values()))
        self.http.request("PUT", self.url("list", "/hosts"), body=body)

    def mark_leaving(self, name: str) -> None:
        """Mark a host as leaving in the host list."""
        row = self.row_by_name[name]
        self.row_by_name[name] = msgspec.structs.replace(row, state=HostState.LEAVING)
        self.publish_list()

    def remove_row(self, name: str) -> None:
        """Remove a host from the host list."""
        del self.row_by_name[name]
        self.publish_list()

    def publish(self, *values: Value) -> Published:
        """Publish values; `RuntimeError` if they are not accepted."""
        self.publisher.read()
        wanted = [DesiredEntry(entry_key(value), value) for value in values]
        edits = self.publisher.edits_for(wanted)
        published = self.publisher.publish("fleet", edits, PUBLISH_S)
        if published.word is not PublishOutcome.ACCEPTED:
            raise RuntimeError(f"publishing ended {published.word.value}: {published.reason}")
        return published

    def wait_ready(self) -> None:
        """Wait until every running host is ready and knows all upstreams."""
        for name in self.host_names():
            self.wait_host(name)

    def wait_host(self, name: str) -> None:
        """Wait until a host is ready and knows the versions of its engines."""
        wait_until(lambda: is_good(self.url(name, "/readyz")), f"{name} ready")
        wait_until(lambda: self._knows_upstreams(name), f"{name} knows its upstreams")

    def _knows_upstreams(self, name: str) -> bool:
        status = self.status(name)
        if isinstance(status, Failure):
            return False
        rows = status.upstreams
        engines = [row for row in rows if row.pool == "engines"]
        wanted = self.topology.engines + self.topology.services
        return len(rows) >= wanted and all(row.version for row in engines)

    def wait_recovered(self) -> None:
        """Wait until every host reads and appends to the log, and no circuit is open any more."""
        for name in self.host_names():
            wait_until(
                lambda host=name: self._has_recovered(host), f"{name} recovered from earlier faults"
            )

    def _has_recovered(self, name: str) -> bool:
        status = self.status(name)
        if isinstance(status, Failure):
            return False
        if not (status.log_reachable and status.log_takes_appends):
            return False
        return all(row.circuit != CircuitState.OPEN.value for row in status.upstreams)

    def wait_healthy(self, name: str) -> None:
        """Wait until a stand-in responds."""
        wait_until(lambda: is_good(self.url(name, "/healthz")), f"{name} healthy")

    def host_names(self) -> list[str]:
        """Return the names of the entry hosts whose processes are running."""
        names = [name for name in self.by_name if name.startswith("host-")]
        return [name for name in names if self.by_name[name].is_running]

    def url(self, name: str, path: str) -> str:
        """Return the URL of a path on a process."""
        return f"http://{self.address_by_name[name]}{path}"

    def status(self, name: str) -> Status | Failure:
        """Return the status of a host."""
        return self.publisher.status_of(self.address_by_name[name])

    def inject_fault(self, name: str, kind: str, value: float = 1.0, seconds: float = 1e9) -> None:
        """Inject a fault into a stand-in."""
        body = msgspec.json.encode(Fault(kind, value, seconds))
        self.http.request("POST", self.url(name, "/faults"), body=body)

    def clear_fault(self, name: str, kind: str) -> None:
        """End a fault of a stand-in."""
        self.inject_fault(name, kind, 0.0, 0.0)

    def fetch(self, name: str, path: str, kind: type) -> object:
        """GET a path of a stand-in and return its JSON body, decoded to a type."""
        reply = self.http.request("GET", self.url(name, path))
        return msgspec.json.decode(reply.data, type=kind)

    def replace_host(self, name: str) -> None:
        """Restart a host at the same addresses after its process has ended."""
        self.by_name[name].start()
        self.wait_host(name)

    def stop(self) -> None:
        """Kill every process that this fleet started."""
        for process in self.by_name.values():
            if process.is_running:
                process.thaw()
                process.kill()
        self.http.clear()


def caller_key(workspace: str) -> str:
    """Return the API key of a workspace in a fleet."""
    return f"key-of-{workspace}"
