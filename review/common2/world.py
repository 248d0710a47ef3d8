"""A small deployment on loopback: stand-ins of the platform's store and of services, and hosts.

The stand-ins run in the event loop of the script. Hosts are processes of their own, started with
the command and the settings template of the deploy file.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import re
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable, Coroutine
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
LENGTH = struct.Struct(">I")
END_AND_FIRST = struct.Struct(">QQ")
HEARTBEAT_S = 1.2
STORE_ANSWER_S = 0.004
HEAD_MAX = 1 << 20
KEEP_S = 20.0
"""`keep_s` of the store: the history that it keeps."""
READ_MAX_KB = 1024
"""`max_kb` of a read that names none."""
REASONS = {200: "OK", 202: "Accepted", 421: "Misdirected Request", 503: "Service Unavailable"}


PORTS = range(12_000, 30_000)
"""Ports that the system gives to no outgoing connection."""


def free_ports(count: int) -> list[int]:
    """Return free ports of the loopback address."""
    found: list[int] = []
    while len(found) < count:
        port = random.choice(PORTS)
        with contextlib.suppress(OSError), socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
            if port not in _ports_given:
                _ports_given.add(port)
                found.append(port)
    return found


_ports_given: set[int] = set()


class Record:
    """Lines on what was sent, answered and run, with the time since the start."""

    def __init__(self, path: Path) -> None:
        self.began = time.monotonic()
        self.file = path.open("w")

    def write(self, text: str) -> None:
        """Write one line."""
        self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
        self.file.flush()

    def say(self, text: str) -> None:
        """Write one line, and print it."""
        self.write(text)
        print(text, flush=True)


class Request:
    """A request that a stand-in has read completely."""

    def __init__(self, method: str, target: str, headers: dict[str, str], body: bytes) -> None:
        self.method = method
        self.target = target
        self.headers = headers
        self.body = body

    def __getitem__(self, name: str) -> str | None:
        return self.headers.get(name)


class Server:
    """An HTTP/1.1 server; subclasses answer requests."""

    def __init__(self) -> None:
        self.server: asyncio.Server | None = None
        self.address = ""
        self.writers: set[asyncio.StreamWriter] = set()
        """The open channels."""

    async def start(self, port: int = 0) -> None:
        """Listen."""
        self.server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=HEAD_MAX, backlog=512
        )
        self.address = f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            while await self._serve_one(reader, writer):
                pass
        self.writers.discard(writer)
        writer.close()

    async def _serve_one(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> bool:
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")[:-2]
        method, target, _ = first.split(" ")
        headers = {}
        for line in lines:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", "0")))
        return await self.answer(Request(method, target, headers, body), reader, writer)

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError

    async def send(
        self,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes = b"",
        headers: dict[str, str] | None = None,
    ) -> bool:
        """Send an answer with a length."""
        head = f"HTTP/1.1 {status} {REASONS.get(status, 'Other')}\r\n"
        for name, value in {**(headers or {}), "Content-Length": str(len(body))}.items():
            head += f"{name}: {value}\r\n"
        writer.write(head.encode() + b"\r\n" + body)
        await writer.drain()
        return True

    async def send_json(
        self, writer: asyncio.StreamWriter, value: object, status: int = 200
    ) -> bool:
        """Send an answer in JSON."""
        headers = {"Content-Type": "application/json"}
        return await self.send(writer, status, json.dumps(value).encode(), headers)


class Topic:
    """The records of a topic's only partition, with the time at which each was appended."""

    def __init__(self) -> None:
        self.first = 0
        """The first offset that is kept."""
        self.kept: list[tuple[float, bytes]] = []
        self.newest: dict[str, tuple[bytes, int]] = {}
        """The newest value of each key, with its offset; kept for good."""

    @property
    def end(self) -> int:
        """The offset that follows the last record."""
        return self.first + len(self.kept)

    def append(self, record: bytes, is_keyed: bool) -> None:
        """Append a record."""
        if is_keyed:
            split = 1 + record[0]
            self.newest[record[1:split].decode()] = (record[split:], self.end)
        self.kept.append((time.monotonic(), record))

    def expire(self, keep_s: float) -> None:
        """Drop the records that are older than the store keeps them."""
        oldest = time.monotonic() - keep_s
        while self.kept and self.kept[0][0] < oldest:
            self.kept.pop(0)
            self.first += 1


class Store(Server):
    """The platform's store: a log whose reads and appends are linearizable."""

    def __init__(self) -> None:
        super().__init__()
        self.topics: dict[str, Topic] = {}
        self.changed = asyncio.Condition()
        self.is_down = False
        """Whether it answers each call with 503, which says that nothing was done."""
        self.on_call: Callable[[str, str, str], None] = lambda port, path, topic: None
        """Called with the port, the path and the topic of each call."""
        self._more_ports: list[asyncio.Server] = []

    async def add_port(self) -> str:
        """Listen at one more port; return its address."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0, limit=HEAD_MAX)
        self._more_ports.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    def topic(self, name: str) -> Topic:
        """Return a topic without its expired records."""
        topic = self.topics.setdefault(name, Topic())
        topic.expire(KEEP_S)
        return topic

    async def put(self, topic: str, key: str, value: object | None) -> None:
        """Write a record of a keyed topic, as operators and runners do."""
        data = b"" if value is None else json.dumps(value).encode()
        async with self.changed:
            self.topic(topic).append(bytes([len(key)]) + key.encode() + data, is_keyed=True)
            self.changed.notify_all()

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Answer a call."""
        path, _, query_text = request.target.partition("?")
        query = dict(each.partition("=")[::2] for each in query_text.split("&"))
        name = query["topic"]
        port = writer.get_extra_info("sockname")[1]
        self.on_call(f"127.0.0.1:{port}", path, name)
        if self.is_down:
            return await self.send(writer, 503)
        await asyncio.sleep(STORE_ANSWER_S)
        match path:
            case "/log-newest":
                return await self.send_json(writer, self._newest(self.topic(name)))
            case "/log-read":
                return await self._read(writer, name, query)
            case "/log-append":
                return await self._append(writer, name, query, request.body)
        return await self.send(writer, 404)

    def _newest(self, topic: Topic) -> dict[str, object]:
        items = [
            {"tls_key": key, "value": base64.b64encode(value).decode(), "offset": offset}
            for key, (value, offset) in topic.newest.items()
            if value
        ]
        return {"items": items, "more": False, "end": topic.end}

    async def _read(self, writer: asyncio.StreamWriter, name: str, query: dict[str, str]) -> bool:
        since = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(wait_s), self.changed:
                await self.changed.wait_for(lambda: self.topic(name).end > since)
        if self.is_down:
            return await self.send(writer, 503)
        topic = self.topic(name)
        if since < topic.first:
            return await self.send_json(writer, {"first": topic.first}, 410)
        left = int(query.get("max_kb", READ_MAX_KB)) * 1024
        found = b""
        for _, record in topic.kept[since - topic.first :]:
            framed = LENGTH.pack(len(record)) + record
            if found and len(found) + len(framed) > left:
                break
            found += framed
        return await self.send(writer, 200, END_AND_FIRST.pack(topic.end, topic.first) + found)

    async def _append(
        self, writer: asyncio.StreamWriter, name: str, query: dict[str, str], body: bytes
    ) -> bool:
        async with self.changed:
            topic = self.topic(name)
            if "at" in query and int(query["at"]) != topic.end:
                return await self.send_json(writer, {"end": topic.end}, 412)
            offset = topic.end
            while body:
                (length,) = LENGTH.unpack_from(body)
                topic.append(body[4 : 4 + length], name.startswith("keyed."))
                body = body[4 + length :]
            self.changed.notify_all()
        return await self.send_json(writer, {"offset": offset, "end": topic.end})


class Service(Server):
    """A runner of a plain service, with an entry in the store that it writes again and again."""

    def __init__(self, world: "World", name: str, service: str, slots: int = 64) -> None:
        super().__init__()
        self.world = world
        self.name = name
        self.service = service
        self.slots = slots
        self.state = "ready"
        self.work_s = 0.03
        self.active = 0
        self.runs: list[str] = []
        """Ids of the requests that it ran."""
        self._sequence = 0
        self._heart: asyncio.Task[None] | None = None

    async def enlist(self) -> None:
        """Start to write the entry."""
        await self.write_entry()
        self._heart = asyncio.create_task(self._beat())

    async def _beat(self) -> None:
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            await self.write_entry()

    async def leave(self) -> None:
        """Remove the entry, without having said that it is draining, and serve on."""
        self._heart.cancel()
        await self.world.store.put("keyed.servers", self.name, None)

    def end(self) -> None:
        """Stop to listen, and reset all channels."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def write_entry(self) -> None:
        """Write the entry to the store."""
        self._sequence += 1
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": "z",
            "version": "1",
            "slots": self.slots,
            "state": self.state,
            "cold_left_ms": 0,
            "seq": self._sequence,
        }
        await self.world.store.put("keyed.servers", self.name, entry)

    async def answer(
        self, request: Request, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Run a request, or reject it."""
        identity = request["request-id"]
        if request["target-instance"] not in (None, self.name):
            headers = {"Not-Executed": "1", "Request-Id": identity or ""}
            return await self.send(writer, 421, b"", headers)
        if identity is None:
            return await self.send(writer, 400, b"", {"Not-Executed": "1"})
        if self.active >= self.slots:
            headers = {"Not-Executed": "1", "Request-Id": identity}
            return await self.send(writer, 503, b"", headers)
        self.runs.append(identity)
        self.world.record.write(f"{self.name} runs {identity}, body of {len(request.body)} bytes")
        self.active += 1
        try:
            await asyncio.sleep(self.work_s)
        finally:
            self.active -= 1
        headers = {"Request-Id": identity, "Response-Signature": f"{self.name}.{identity}"}
        return await self.send(writer, 200, f"done {identity}".encode(), headers)


def render(template: str, fields: dict[str, object]) -> str:
    """Fill the settings template of the deploy file as the platform does."""

    def value_of(path: str) -> object:
        found: object = fields
        for name in path.split("."):
            if isinstance(found, list):
                found = found[int(name)]
            else:
                found = found.get(name) if isinstance(found, dict) else None
        return found

    def loop(match: re.Match[str]) -> str:
        table = value_of(match[1])
        entries = list(table.items()) if isinstance(table, dict) else []
        rows = []
        for number, (key, value) in enumerate(entries):
            row = match[2].replace("{{@}}", str(key)).replace("{{.}}", str(value))
            rows.append(row.replace("{{,}}", "," if number < len(entries) - 1 else ""))
        return "".join(rows)

    def gap(match: re.Match[str]) -> str:
        found = value_of(match[1])
        if isinstance(found, bool):
            return str(found).lower()
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", loop, template, flags=re.DOTALL)
    return re.sub(r"\{\{([\w.]+)\}\}", gap, text)


BOUNDS = {
    "grace_s": 8,
    "revoke_ms": 5000,
    "strict_revoke": True,
    "version_ms": 12000,
    "lease_ms": 3000,
    "retry_ratio": 0.2,
    "retry_slack": 52,
    "retry_window_s": 10,
}


class Host:
    """One entry host as a process."""

    def __init__(self, world: "World", name: str, store: str) -> None:
        self.world = world
        self.name = name
        self.store = store
        """The address of the store for this host alone, so that its calls are told apart."""
        self.front, self.ready_port, peers, relays, metrics = free_ports(5)
        template = (ROOT / "deploy/host.ini").read_text()
        fields = {
            "node_name": name,
            "zone": "z",
            "zones": {"z": "r"},
            "ip": "127.0.0.1",
            "listen": {
                "front": f"127.0.0.1:{self.front}",
                "ready": f"127.0.0.1:{self.ready_port}",
            },
            "port_range": [peers, relays],
            "limits": {"link_mbps": 1000.0},
            "provider": {"address": store},
            "bounds": BOUNDS,
        }
        text = render(template, fields)
        # On real machines each host has an address of its own; here they share one.
        text = text.replace("127.0.0.1:9464", f"127.0.0.1:{metrics}")
        self.settings = Path(world.folder) / f"{name}.ini"
        self.settings.write_text(text)
        self.process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Start the process with the command of the deploy file."""
        deploy = (ROOT / "deploy/system.toml").read_text()
        command = re.search(r'^run = "python3 (.*)"$', deploy, re.MULTILINE)[1].split(" ")
        kept = ("PATH", "HOME", "LANG")
        environment = {name: os.environ[name] for name in kept if name in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["PYTHONDONTWRITEBYTECODE"] = "1"
        environment["RUDDERSADDLE_SETTINGS"] = str(self.settings)
        with (Path(self.world.folder) / f"{self.name}.log").open("ab") as log:
            self.process = subprocess.Popen(
                ["python3", *command], cwd=ROOT, env=environment, stdout=log, stderr=log
            )

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        self.process.send_signal(number)

    def rss_mb(self) -> float:
        """Return the resident memory of the process."""
        with contextlib.suppress(OSError):
            text = Path(f"/proc/{self.process.pid}/status").read_text()
            found = re.search(r"VmRSS:\s+(\d+) kB", text)
            return int(found[1]) / 1024 if found else 0.0
        return 0.0

    async def ask_ready(self, timeout_s: float = 1.0) -> bool:
        """Ask for readiness as the balancer does."""
        with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError):
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready_port)
                try:
                    writer.write(b"GET /ready HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")
                    line = await reader.readline()
                    return b" 200 " in line
                finally:
                    writer.close()
        return False

    async def await_ready(self, timeout_s: float = 20.0) -> bool:
        """Wait until the host is ready."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            if await self.ask_ready():
                return True
            await asyncio.sleep(0.1)
        return False

    def end(self) -> None:
        """End the process."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


class World:
    """The stand-ins and the hosts of one script."""

    def __init__(self, folder: Path) -> None:
        self.record = Record(folder / "record.txt")
        self._temporary = tempfile.TemporaryDirectory()
        self.folder = self._temporary.name
        self.store = Store()
        self.hosts: list[Host] = []
        self.services: list[Service] = []
        self.version = 0

    async def add_service(self, name: str, service: str, **more: object) -> Service:
        """Start a runner and list it."""
        runner = Service(self, name, service, **more)
        await runner.start()
        await runner.enlist()
        self.services.append(runner)
        return runner

    async def publish(self, routes: list[dict], services: list[dict], **more: object) -> None:
        """Publish a configuration."""
        self.version += 1
        body = {"version": self.version, "routes": routes, "services": services, **more}
        await self.store.put("keyed.op", "config", body)
        self.record.write(f"configuration {self.version} is acknowledged")

    async def start_hosts(self, count: int) -> bool:
        """Start hosts; return whether all are ready."""
        for number in range(count):
            host = Host(self, f"edge-{number + 1}", await self.store.add_port())
            self.hosts.append(host)
            host.start()
        ready = await asyncio.gather(*(host.await_ready() for host in self.hosts))
        return all(ready)

    def end(self) -> None:
        """End all hosts."""
        for host in self.hosts:
            host.end()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for path in Path(self.folder).glob("*.log"):
                (Path(keep) / path.name).write_bytes(path.read_bytes())
        self._temporary.cleanup()


def route(name: str, prefix: str, kind: str, service: str, **more: object) -> dict:
    """Return a route of the configuration."""
    base = {"name": name, "host": "pule25.example", "path_prefix": prefix, "type": kind}
    times = {"timeout_ms": 1200, "target_latency_ms": 150}
    return {**base, **times, "service": service, "priority": 2, **more}


LIMITS = {
    "max_header_bytes": 16384,
    "max_body_bytes": 4194304,
    "header_timeout_ms": 3000,
    "idle_timeout_ms": 15000,
}


class Answer:
    """What a client saw: a status, or None if the channel ended without an answer."""

    def __init__(self, status: int | None, body: bytes, seconds: float) -> None:
        self.status = status
        self.body = body
        self.seconds = seconds


async def call(
    world: World,
    host: Host,
    identity: str,
    path: str,
    deadline_ms: int,
    method: str = "GET",
    key: str = "",
) -> Answer:
    """Send a small request on a channel of its own and read its answer."""
    began = time.monotonic()
    world.record.write(f"client sends {identity} to {host.name}")
    status, body = None, b""
    with contextlib.suppress(OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        async with asyncio.timeout(deadline_ms / 1000 + 1.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", host.front)
            try:
                head = (
                    f"{method} {path} HTTP/1.1\r\nHost: pule25.example\r\n"
                    f"Request-Id: {identity}\r\nDeadline-Ms: {deadline_ms}\r\n"
                )
                head += f"Api-Key: {key}\r\n" if key else ""
                head += "Content-Length: 0\r\n\r\n" if method == "POST" else "\r\n"
                writer.write(head.encode())
                text = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                length = re.search(r"(?i)content-length: (\d+)", text)
                body = await reader.readexactly(int(length[1])) if length else b""
                status = int(text.split(" ")[1])
            finally:
                writer.close()
    seconds = time.monotonic() - began
    world.record.write(f"client got {status} for {identity} after {seconds:.3f} s")
    return Answer(status, body, seconds)


def main(run: Callable[[Path], Coroutine[None, None, int]], script: str) -> None:
    """Run a script's coroutine with its folder; exit with its result.

    A signal to end cancels it, so that it ends the processes that it started.
    """

    async def run_until_ended() -> int:
        task = asyncio.current_task()
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        return await run(Path(script).resolve().parent)

    try:
        status = asyncio.run(run_until_ended())
    except asyncio.CancelledError:
        print("the case took too long", file=sys.stderr)
        status = 2
    except Exception as error:
        print(f"the case could not run: {error!r}", file=sys.stderr)
        status = 2
    sys.exit(status)
