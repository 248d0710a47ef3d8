"""Stand-ins of model runners, and of the stores that keep parts of prompts for them."""

import json
import socket
import threading
import time
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit

from records import Record
from runners import HEARTBEAT_S, IDLE_S, Request, read_request, write_answer
from stores import MetadataStore

MODEL = "m"
PREFILL_TOKENS_PER_S = 112_000
Part = tuple[str, str]
"""Salt and id."""


def clock_ms() -> int:
    """The runners' clock."""
    return int(time.time() * 1000)


class PartStore(ThreadingHTTPServer):
    """A managed store of parts: it drops nothing by itself and doesn't know who reads."""

    daemon_threads = True
    request_queue_size = 64

    def __init__(self, name: str, ip: str, record: Record) -> None:
        super().__init__((ip, 0), _PartHandler)
        self.name = name
        self.record = record
        self.address = f"{ip}:{self.server_address[1]}"
        self.epoch = 1
        self.tokens_by_part: dict[Part, int] = {}
        self.events: list[list[object]] = []
        self.freed_at: dict[Part, float] = {}
        self.changed = threading.Condition()
        self.back_at = 0.0
        """When its next process answers, if it has crashed without a reset."""
        self.on_free: Callable[[PartStore], None] = lambda store: None
        """Called as a call to free parts arrives."""
        threading.Thread(target=self.serve_forever, args=(0.05,), daemon=True).start()

    def handle_error(self, request: object, client_address: object) -> None:
        """Ignore callers that close their connections."""

    def save(self, part: Part, tokens: int) -> None:
        """Keep a whole part, if the store is up."""
        with self.changed:
            if part in self.tokens_by_part or time.monotonic() < self.back_at:
                return
            self.tokens_by_part[part] = tokens
            self._add_event("+", part, tokens)

    def free(self, parts: list[Part]) -> None:
        """Free parts at once."""
        with self.changed:
            for part in parts:
                if self.tokens_by_part.pop(part, None) is not None:
                    self.freed_at[part] = time.monotonic()
                    self._add_event("-", part, 0)
        self.record.line(self.name, f"frees {parts}")

    def _add_event(self, sign: str, part: Part, tokens: int) -> None:
        self.events.append([len(self.events) + 1, sign, *part, tokens, MODEL])
        self.changed.notify_all()

    def crash_dark(self, down_s: float) -> None:
        """Answer nothing for some time, on open and new channels; then begin again, empty."""
        self.record.line(self.name, f"is silent for {down_s} s")
        with self.changed:
            self.back_at = time.monotonic() + down_s
            self.epoch += 1
            self.tokens_by_part.clear()
            self.events.clear()

    def is_lost(self) -> bool:
        """Wait while it is silent; return whether a call that arrived before or then is lost."""
        if time.monotonic() >= self.back_at:
            return False
        time.sleep(max(0.0, self.back_at - time.monotonic()))
        return True


class _PartHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    server: PartStore

    def log_message(self, *args: object) -> None:
        pass

    def _serve(self) -> None:
        body = self.rfile.read(int(self.headers.get("Content-Length") or 0))
        parts = urlsplit(self.path)
        query = {name: values[0] for name, values in parse_qs(parts.query).items()}
        store = self.server
        if parts.path == "/kv-free":
            store.on_free(store)
        if store.is_lost():
            self.close_connection = True
            return
        match parts.path:
            case "/kv-events":
                self._events(int(query.get("since", 0)))
            case "/kv-list":
                self._list()
            case "/kv-free":
                self._free(json.loads(body))
            case "/report":
                used = sum(store.tokens_by_part.values())
                self._send({"kv_used": used, "kv_total": 100_000_000, "epoch": store.epoch})
            case _:
                self._send({}, 404)

    do_GET = do_POST = _serve  # noqa: N815

    def _send(self, value: object, status: int = 200) -> None:
        body = json.dumps(value).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def _events(self, since: int) -> None:
        """`since` is the number of the last event that the caller knows."""
        store = self.server
        until = time.monotonic() + min(1000, int(self.headers.get("Wait-Ms") or 0)) / 1000
        with store.changed:
            while len(store.events) == since and time.monotonic() < until:
                store.changed.wait(until - time.monotonic())
            found = store.events[since:]
            end = len(store.events)
        if store.is_lost():
            self.close_connection = True
            return
        self._send(
            {
                "epoch": store.epoch,
                "next_token": end,
                "lost": False,
                "events": found,
                "clock_ms": clock_ms(),
            }
        )

    def _list(self) -> None:
        store = self.server
        with store.changed:
            held = [[*part, tokens, MODEL] for part, tokens in store.tokens_by_part.items()]
            end = len(store.events)
        self._send({"epoch": store.epoch, "next_token": end, "held": held, "partial": []})

    def _free(self, call: dict) -> None:
        store = self.server
        is_late = call.get("until_ms", clock_ms()) < clock_ms()
        if call.get("epoch", store.epoch) != store.epoch or is_late:
            self._send({}, 409)
            return
        store.free([(salt, part) for salt, part in call["parts"]])
        self._send({})


class Fetch:
    """One fetch of a part by a run."""

    def __init__(self, request: str, store: PartStore, part: Part, until_ms: int) -> None:
        self.request = request
        self.store = store
        self.part = part
        self.until_ms = until_ms
        self.began = time.monotonic()
        self.is_used = False
        self.was_freed_meanwhile = False


class Engine:
    """A model runner. Its memory keeps nothing, so that it fetches whatever a request names."""

    def __init__(
        self,
        name: str,
        ip: str,
        store: MetadataStore,
        part_stores: list[PartStore],
        record: Record,
    ) -> None:
        self.name = name
        self.ip = ip
        self.store = store
        self.store_by_address = {each.address: each for each in part_stores}
        self.record = record
        self.version = 1
        self.load_s = 0.8
        self.fetch_s = 0.1
        """How long the move of one part takes; moves go one after another."""
        self._link = threading.Lock()
        self._prefill = threading.Lock()
        self.fetches: list[Fetch] = []
        self.runs: list[tuple[float, Request]] = []
        self.sequence = 0
        self.fence = -1
        self.busy_until = 0.0
        self.is_up = False
        self.born_ms = 0
        self._entry_sequence = 0
        self._connections: set[socket.socket] = set()
        self._port = 0
        threading.Thread(target=self._write_entries, daemon=True).start()

    # Its process

    def start(self) -> None:
        """Start, with the weights that it had and nothing else."""
        self.sequence, self.fence, self.busy_until = 0, -1, 0.0
        self.born_ms = clock_ms()
        self._listener = socket.create_server((self.ip, self._port), backlog=128)
        self._port = self._listener.getsockname()[1]
        self.address = f"{self.ip}:{self._port}"
        self.is_up = True
        threading.Thread(target=self._accept, args=(self._listener,), daemon=True).start()
        self.record.line(self.name, f"starts with weights {self.version}")
        self.announce()

    def crash(self) -> None:
        """End without a word; connections are reset and new ones refused."""
        self.is_up = False
        self.record.line(self.name, "crashes")
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()
        for each in list(self._connections):
            each.close()

    def announce(self) -> None:
        """Write the entry to the store."""
        self._entry_sequence += 1
        entry = {
            "service": "writer",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_left_ms": 0,
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "seq": self._entry_sequence,
            "born": self.born_ms,
        }
        self.store.put("keyed.servers", self.name, entry)

    def _write_entries(self) -> None:
        while True:
            time.sleep(HEARTBEAT_S)
            if self.is_up:
                self.announce()

    def _accept(self, listener: socket.socket) -> None:
        while True:
            try:
                connection, _ = listener.accept()
            except OSError:
                return
            self._connections.add(connection)
            threading.Thread(target=self._serve, args=(connection,), daemon=True).start()

    def _serve(self, connection: socket.socket) -> None:
        connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection.settimeout(IDLE_S)
        try:
            with connection, connection.makefile("rb") as file:
                while (request := read_request(file)) is not None:
                    self._answer(connection, request)
        except (OSError, ValueError):
            # The other end has closed its connection, or this process has crashed.
            return
        finally:
            self._connections.discard(connection)

    # Calls

    def _answer(self, connection: socket.socket, request: Request) -> None:
        if request.headers.get("target-instance", self.name) != self.name:
            write_answer(connection, 421, request.id, Not_Executed="1", Instance_Id=self.name)
        elif request.target == "/report":
            write_answer(connection, 200, "", json.dumps(self._report()).encode())
        elif request.target == "/order":
            write_answer(connection, self._order(json.loads(request.body)), "")
        elif int(request.headers.get("expect-version", self.version)) != self.version:
            write_answer(
                connection,
                421,
                request.id,
                Not_Executed="1",
                Instance_Id=self.name,
                Versions=str(self.version),
            )
        elif time.monotonic() < self.busy_until:
            write_answer(connection, 503, request.id, Not_Executed="1", Instance_Id=self.name)
        else:
            self._run(connection, request)

    def _report(self) -> dict[str, object]:
        return {
            "stage": "both",
            "models": [{"name": MODEL, "version": self.version, "adapters": []}],
            "busy": time.monotonic() < self.busy_until,
            "seq": self.sequence,
            "queued": 0,
            "active": 0,
            "kv_used": 0,
            "kv_total": 1_000_000,
            "handles": 0,
            "born": self.born_ms,
            "clock_ms": clock_ms(),
        }

    def _order(self, order: dict) -> int:
        if order["fence"] < self.fence:
            return 412
        if order["version"] == self.version:
            return 200
        if (
            time.monotonic() < self.busy_until
            or order.get("expected", self.sequence) != self.sequence
        ):
            return 409
        self.fence, self.sequence = order["fence"], self.sequence + 1
        self.busy_until = time.monotonic() + self.load_s
        self.record.line(self.name, f"loads weights {order['version']}")
        threading.Timer(self.load_s, self._end_load, (order["version"],)).start()
        return 202

    def _end_load(self, version: int) -> None:
        self.version = version
        self.announce()

    def _run(self, connection: socket.socket, request: Request) -> None:
        self.runs.append((time.monotonic(), request))
        headers = request.headers
        self.record.line(
            self.name,
            f"gets {request.id}: salt {headers.get('cache-salt')}, prompt "
            f"{headers.get('prompt-prefix')}, fetch {headers.get('kv-fetch', '-')}, "
            f"save {headers.get('kv-save', '-')}",
        )
        salt = headers.get("cache-salt", "")
        parts = [each.split(":") for each in headers.get("prompt-prefix", "").split(",")]
        read_tokens = sum(int(tokens) for _, tokens in parts) - self._fetch(request, salt, parts)
        with self._prefill:
            time.sleep(read_tokens / PREFILL_TOKENS_PER_S)
        places = _places(headers, "kv-save", len(parts))
        for (part, tokens), address in zip(parts, places, strict=True):
            if address in self.store_by_address:
                self.store_by_address[address].save((salt, part), int(tokens))
        self._stream(connection, request)

    def _fetch(self, request: Request, salt: str, parts: list[list[str]]) -> int:
        """Move the parts that a request names from stores; return how many tokens came."""
        fetched = 0
        until_ms = int(request.headers.get("kv-until", 0))
        places = _places(request.headers, "kv-fetch", len(parts))
        for (part, tokens), place in zip(parts, places, strict=True):
            store = self.store_by_address.get(place.partition("/")[0])
            if store is None or (salt, part) not in store.tokens_by_part:
                continue
            with self._link:
                if (salt, part) not in store.tokens_by_part or clock_ms() > until_ms:
                    continue
                fetch = Fetch(request.id, store, (salt, part), until_ms)
                time.sleep(self.fetch_s)
                fetch.is_used = clock_ms() <= until_ms
            self.fetches.append(fetch)
            fetched += int(tokens) if fetch.is_used else 0
            freed_at = store.freed_at.get((salt, part), 0.0)
            fetch.was_freed_meanwhile = freed_at >= fetch.began
            state = "ended in time" if fetch.is_used else "is thrown away"
            freed = ", the part was freed meanwhile" if fetch.was_freed_meanwhile else ""
            self.record.line(
                self.name,
                f"fetch of {salt} {part} from {store.name} for {request.id} {state}{freed}",
            )
        return fetched

    def _stream(self, connection: socket.socket, request: Request) -> None:
        head = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Transfer-Encoding: chunked",
            f"Request-Id: {request.id}",
            f"Response-Signature: signed-{self.name}-{request.id}",
            f"Versions: {self.version}",
        ]
        connection.sendall("\r\n".join(head).encode() + b"\r\n\r\n")
        for number in range(1, 4):
            event = b"id: %d\ndata: token\n\n" % number
            connection.sendall(b"%x\r\n%s\r\n" % (len(event), event))
        connection.sendall(b"0\r\n\r\n")


def _places(headers: dict[str, str], name: str, count: int) -> list[str]:
    """Return one address for each part; empty where there is none."""
    places = headers[name].split(",") if name in headers else []
    if len(places) == 1:
        places *= count
    places += [""] * (count - len(places))
    return ["" if each == "-" else each for each in places]
