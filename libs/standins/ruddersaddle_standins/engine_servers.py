"""Stand-in for a model engine: continuous batching, a prefix cache, streams, orders.

Its responses are a pure function of prompt and weight version, so that tests can check each token.
Faults: `gap` omits that many cache events, `cross` sends that many events with the id of another
request, `die_at` ends streams at that token without their end marker, `refuse` responds with 503.
"""

import heapq
import itertools
import time
from collections import OrderedDict, deque
from collections.abc import Iterator
from hashlib import blake2b

import eventlet
import msgspec
import urllib3
from eventlet.event import Event as Signal
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import BlockKey
from ruddersaddle_upstreams.chains import BLOCK_TOKENS, block_keys, count_tokens
from ruddersaddle_upstreams.engines import (
    CacheEvent,
    CacheListing,
    EngineRequest,
    EventPage,
    KeyList,
    LoadReport,
    Order,
    OtherVersion,
)
from ruddersaddle_upstreams.frames import HEADER, open_frame, seal_frame, split_frames

from ruddersaddle_standins.servers import (
    Answer,
    Environ,
    Server,
    json_answer,
    read_bytes,
    read_json,
    read_query,
)
from ruddersaddle_standins.speeds import Speeds

GENERATION = 1
REPORT_STEP_S = 0.05
REMEMBERED_REQUESTS_MAX = 500
HALF_SPEED_STREAMS = 64.0
"""Number of concurrent streams at which each token takes twice as long."""


class EngineRecord(msgspec.Struct):
    """Counters of the engine, read by tests and measurements."""

    requests: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0
    tokens: int = 0
    cancelled: int = 0
    imported_blocks: int = 0
    imported_wrong: int = 0
    orders: int = 0
    orders_refused: int = 0
    last_started: float = 0.0


class Prefill:
    """A prompt that waits for its prefill."""

    def __init__(self, request: EngineRequest) -> None:
        self.request = request
        self.keys = block_keys(request.salt, request.prompt)
        self.tokens = max(1, count_tokens(request.prompt))
        self.cached_tokens = 0
        self.missing = self.tokens
        self.done: Signal = Signal()


def token_text(prompt: str, version: str, index: int) -> str:
    """Return token `index` of the response to a prompt by a weight version."""
    digest = blake2b(f"{version}\x00{index}\x00{prompt}".encode(), digest_size=2)
    return f"{digest.hexdigest()} "


def answer_text(prompt: str, version: str, tokens: int) -> str:
    """Return the complete response to a prompt."""
    return "".join(token_text(prompt, version, index) for index in range(tokens))


def block_payload(key: BlockKey, size: int) -> bytes:
    """Return the only correct content of a block."""
    seed = blake2b(key.encode(), digest_size=64).digest()
    return (seed * (size // len(seed) + 1))[:size]


class EngineServer(Server):
    """One engine; `weights` is the address of the weight store, empty if there is none."""

    def __init__(self, speeds: Speeds, version: str, weights: str = "") -> None:
        super().__init__()
        self.speeds = speeds
        self.version = version
        self.weights = weights
        self.epoch = f"{time.time():.6f}"
        self.record = EngineRecord()
        self.fence = -1
        self.running = 0
        self.cache: OrderedDict[BlockKey, None] = OrderedDict()
        self.events: list[CacheEvent] = []
        self.event_times: list[float] = []
        self.keys_by_request: OrderedDict[str, list[BlockKey]] = OrderedDict()
        self.reports: deque[tuple[float, LoadReport]] = deque()
        self._queue: list[tuple[int, int, Prefill]] = []
        self._next_number = itertools.count()
        self._queue_filled: Signal = Signal()
        self._queued_tokens = 0

    def run(self, port: int) -> None:
        """Serve until the process is ended."""
        eventlet.spawn(self._run_prefills)
        eventlet.spawn(self._run_reports)
        super().run(port)

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Handle one request."""
        match method, path:
            case "POST", "/v1/completions":
                return self._complete(read_json(environ, EngineRequest))
            case "GET", "/v1/load":
                return json_answer(self._lagged_report())
            case "GET", "/v1/events":
                start = int(read_query(environ, "from", 0))
                return self._answer_events(start, read_query(environ, "wait", 0))
            case "GET", "/v1/blocks":
                listing = CacheListing(self.epoch, len(self.events), list(self.cache))
                return json_answer(listing)
            case "POST", "/v1/export":
                return Answer(body=self._export(read_json(environ, KeyList).keys))
            case "POST", "/v1/import":
                held = environ.get("HTTP_HELD_BLOCKS", "")
                return self._import(read_bytes(environ), held.split(",") if held else [])
            case "POST", "/v1/orders":
                return self._handle_order(read_json(environ, Order))
            case "GET", "/record":
                return json_answer(self.record)
            case "POST", "/drop":
                self._trim(0)
                return json_answer(len(self.cache))
        request_id = path.removeprefix("/v1/requests/").removesuffix("/blocks")
        return json_answer(KeyList(self.keys_by_request.get(request_id, [])))

    def _complete(self, request: EngineRequest) -> Answer:
        if self.is_active("refuse") or self.running >= self.speeds.running_max:
            return Answer(503)
        if request.version != self.version:
            return json_answer(OtherVersion(self.version), 409)
        self.record.requests += 1
        self.record.last_started = time.time()
        prefill = Prefill(request)
        prefill.missing = self._count_missing(prefill)
        self._queued_tokens += prefill.missing
        entry = (request.priority, next(self._next_number), prefill)
        heapq.heappush(self._queue, entry)
        if not self._queue_filled.ready():
            self._queue_filled.send(None)
        return Answer(chunks=self._stream(prefill, self.version), kind="text/event-stream")

    def _run_prefills(self) -> None:
        while True:
            self._queue_filled.wait()
            self._queue_filled = Signal()
            while self._queue:
                prefill = heapq.heappop(self._queue)[2]
                self._prefill(prefill)

    def _prefill(self, prefill: Prefill) -> None:
        missing = self._count_missing(prefill)
        prefill.cached_tokens = max(0, prefill.tokens - missing)
        eventlet.sleep(missing / self.speeds.prefill_tokens_s)
        self._queued_tokens -= prefill.missing
        self._store(prefill.keys)
        self.record.prompt_tokens += prefill.tokens
        self.record.cached_tokens += prefill.cached_tokens
        prefill.done.send(None)

    def _count_missing(self, prefill: Prefill) -> int:
        cached = 0
        for key in prefill.keys:
            if key not in self.cache:
                break
            cached += 1
        return max(1, prefill.tokens - cached * BLOCK_TOKENS)

    def _stream(self, prefill: Prefill, version: str) -> Iterator[bytes]:
        request = prefill.request
        self.running += 1
        finished = False
        try:
            prefill.done.wait()
            for index in range(request.first_token, request.max_tokens):
                eventlet.sleep(self.speeds.token_s * (1 + self.running / HALF_SPEED_STREAMS))
                if self.is_active("die_at") and index >= self.strength("die_at"):
                    return
                self.record.tokens += 1
                yield self._event(prefill, version, index)
            self._finish(request, version)
            finished = True
            yield b"data: [DONE]\n\n"
        finally:
            self.running -= 1
            self.record.cancelled += not finished

    def _finish(self, request: EngineRequest, version: str) -> None:
        text = request.prompt + answer_text(request.prompt, version, request.max_tokens)
        keys = block_keys(request.salt, text)
        self._store(keys)
        self.keys_by_request[request.id] = keys
        if len(self.keys_by_request) > REMEMBERED_REQUESTS_MAX:
            self.keys_by_request.popitem(last=False)

    def _event(self, prefill: Prefill, version: str, index: int) -> bytes:
        request = prefill.request
        shown = "crossed" if self.consume("cross") else request.id
        text = token_text(request.prompt, version, index)
        piece = f'"delta":{{"content":"{text}"}}' if request.chat else f'"text":"{text}"'
        end = ""
        if index == request.max_tokens - 1:
            piece += ',"finish_reason":"length"'
            end = (
                f',"usage":{{"prompt_tokens":{prefill.tokens},'
                f'"cached_tokens":{prefill.cached_tokens},"completion_tokens":{index + 1}}}'
            )
        head = f'data: {{"id":"{shown}","token":{index},'
        return f'{head}"choices":[{{"index":0,{piece}}}]{end}}}\n\n'.encode()

    def _store(self, keys: list[BlockKey]) -> None:
        """Cache a chain from its end, which is evicted first: it is useless without its start."""
        for key in reversed(keys):
            if key not in self.cache:
                self._record_cache_event(True, key)
            self.cache[key] = None
            self.cache.move_to_end(key)
        self._trim(self.speeds.cache_blocks)

    def _trim(self, blocks: int) -> None:
        while len(self.cache) > blocks:
            key, _ = self.cache.popitem(last=False)
            self._record_cache_event(False, key)

    def _record_cache_event(self, stored: bool, key: BlockKey) -> None:
        self.events.append(CacheEvent(len(self.events), stored, key))
        self.event_times.append(time.time())

    def _answer_events(self, start: int, wait_s: float) -> Answer:
        deadline = time.time() + wait_s
        while True:
            end = len(self.events)
            oldest = time.time() - self.speeds.event_lag_s
            while end > start and self.event_times[end - 1] > oldest:
                end -= 1
            if end > start or time.time() >= deadline:
                break
            eventlet.sleep(REPORT_STEP_S)
        found = self.events[start:end]
        if len(found) > 1 and self.consume("gap"):
            del found[len(found) // 2]
        return json_answer(EventPage(self.epoch, end, found))

    def _run_reports(self) -> None:
        while True:
            speed = self.speeds.prefill_tokens_s
            report = LoadReport(self._queued_tokens, self.running, self.version, speed, 0.0)
            self.reports.append((time.time(), report))
            while len(self.reports) > 1 and self._is_past_lag(self.reports[1][0]):
                self.reports.popleft()
            eventlet.sleep(REPORT_STEP_S)

    def _is_past_lag(self, at: float) -> bool:
        return at < time.time() - self.speeds.load_lag_s

    def _lagged_report(self) -> LoadReport:
        at, report = self.reports[0]
        report.age_s = time.time() - at
        return report

    def _export(self, keys: list[BlockKey]) -> bytes:
        frames = []
        for key in keys:
            if key not in self.cache:
                break
            payload = block_payload(key, self.speeds.block_bytes)
            frames.append(seal_frame(key, GENERATION, payload))
        return b"".join(frames)

    def _import(self, data: bytes, held: list[BlockKey]) -> Answer:
        keys = [key for key in held if key in self.cache]
        before = len(keys)
        for piece in split_frames(data):
            key = BlockKey(HEADER.unpack_from(piece)[1].hex())
            frame = open_frame(piece, key, "host")
            right = block_payload(key, self.speeds.block_bytes)
            if isinstance(frame, Failure) or frame.payload != right:
                self.record.imported_wrong += 1
                continue
            keys.append(key)
        self.record.imported_blocks += len(keys) - before
        self._store(keys)
        return json_answer(len(keys))

    def _handle_order(self, order: Order) -> Answer:
        if self.speeds.checks_fences and order.fence < self.fence:
            self.record.orders_refused += 1
            return Answer(409)
        self.fence = max(self.fence, order.fence)
        if self.weights:
            urllib3.request("GET", f"http://{self.weights}/load", retries=False)
        else:
            eventlet.sleep(self.speeds.weight_s)
        self.record.orders += 1
        self.version = order.version
        return json_answer(order.version)
