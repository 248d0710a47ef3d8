"""Client of model engines: streams, contexts, load, cache events and orders."""

import re

import msgspec
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import BlockKey, ModelId, Position, RequestId

from ruddersaddle_upstreams.connections import OK, Connections, OpenReply

EVENT_END = b"\n\n"
DONE = b"data: [DONE]\n\n"
EVENT_HEAD_PATTERN = re.compile(rb'^data: \{"id":"([^"]*)","token":(\d+),', re.MULTILINE)
HELD_BLOCKS_HEADER = "Held-Blocks"
CONFLICT = 409
UNAVAILABLE = 503


class EngineRequest(msgspec.Struct, frozen=True):
    """A generation request to an engine; `first_token` resumes after the delivered tokens."""

    id: RequestId
    model: ModelId
    version: str
    adapter: str
    salt: str
    prompt: str
    max_tokens: int
    priority: int
    chat: bool
    first_token: int = 0


class LoadReport(msgspec.Struct):
    """Load as reported by an engine, with a lag; `waiting_tokens` are yet to be prefilled."""

    waiting_tokens: int
    running: int
    version: str
    prefill_tokens_s: float
    age_s: float


class CacheEvent(msgspec.Struct):
    """One change of an engine's prefix cache; a skipped `sequence` is a gap."""

    sequence: int
    stored: bool
    key: BlockKey


class EventPage(msgspec.Struct):
    """Cache events from a sequence number on; `epoch` changes when the engine restarts."""

    epoch: str
    next: int
    events: list[CacheEvent]


class CacheListing(msgspec.Struct):
    """All blocks cached by an engine as of a sequence number."""

    epoch: str
    next: int
    keys: list[BlockKey]


class KeyList(msgspec.Struct):
    """Keys of blocks, in chain order."""

    keys: list[BlockKey]


class OtherVersion(msgspec.Struct):
    """Refusal of a request for a weight version that is not loaded."""

    version: str


class Order(msgspec.Struct, frozen=True):
    """An order to load a weight version; engines that check fences refuse lower ones."""

    model: ModelId
    version: str
    fence: Position


class TokenStream:
    """Events of one generation, checked to be its own, complete and in order.

    Request ids and token numbers are matched by one pattern over the bytes; no event is parsed.
    """

    def __init__(self, reply: OpenReply, request: EngineRequest) -> None:
        self.reply = reply
        self.request_id = request.id.encode()
        self.next_token = request.first_token
        self.done = False
        self._partial = b""

    def read_some(self) -> bytes | Failure:
        """Return complete events that have arrived; empty once the stream is complete."""
        while not self.done:
            data = self.reply.read_some()
            if isinstance(data, Failure):
                return data
            if not data:
                return self._fail("the stream ended without [DONE]")
            events = self._split_complete(data)
            if events:
                return self._check(events)
        return b""

    def _split_complete(self, data: bytes) -> bytes:
        joined = self._partial + data
        end = joined.rfind(EVENT_END) + len(EVENT_END)
        if end < len(EVENT_END):
            self._partial = joined
            return b""
        self._partial = joined[end:]
        return joined[:end]

    def _check(self, events: bytes) -> bytes | Failure:
        if events.endswith(DONE):
            self.done = True
            events = events[: -len(DONE)]
        found = EVENT_HEAD_PATTERN.findall(events)
        if len(found) != events.count(EVENT_END):
            return self._fail("an event has no request id or token number")
        for request_id, number in found:
            if request_id != self.request_id:
                return self._fail("an event belongs to another request")
            if int(number) != self.next_token:
                return self._fail(f"token {int(number)} where {self.next_token} was expected")
            self.next_token += 1
        return events

    def finish(self) -> None:
        """Release the connection for reuse if the stream is complete; else close it."""
        if self.done:
            self.reply.raw.drain_conn()
            self.reply.release()
        else:
            self.reply.close()

    def _fail(self, detail: str) -> Failure:
        peer = self.reply.address
        return Failure(Code.UPSTREAM_FAILED, Step.READ, peer, detail, Ran.UNKNOWN)


class EngineClient:
    """Calls one engine."""

    def __init__(self, address: str, connect_s: float, read_s: float) -> None:
        self.address = address
        self.connections = Connections(address, connect_s, read_s, idle_max=64)

    def generate(self, request: EngineRequest) -> TokenStream | Failure:
        """Start a generation and return its stream."""
        opened = self.connections.open("POST", "/v1/completions", encode_json(request))
        if isinstance(opened, Failure):
            return opened
        if opened.status == OK:
            return TokenStream(opened, request)
        if opened.status == CONFLICT:
            return self._read_version(opened, request.version)
        opened.close()
        detail = f"status {opened.status}"
        if opened.status == UNAVAILABLE:
            return Failure(Code.OVERLOADED, Step.SEND, self.address, detail, Ran.NOT_RUN)
        return Failure(Code.UPSTREAM_FAILED, Step.SEND, self.address, detail, Ran.UNKNOWN)

    def _read_version(self, opened: OpenReply, requested: str) -> Failure:
        """Return the failure for other loaded weights; its detail is their version.

        Any other conflict says nothing on whether the engine ran the request.
        """
        data = opened.read_some()
        opened.close()
        if isinstance(data, Failure):
            return data
        found = decode_json(data, OtherVersion, Step.SEND, self.address)
        if isinstance(found, Failure):
            return found.with_ran(Ran.UNKNOWN)
        if found.version == requested:
            detail = f"status {CONFLICT} names the requested version"
            return Failure(Code.UPSTREAM_FAILED, Step.SEND, self.address, detail, Ran.UNKNOWN)
        return Failure(Code.OTHER_VERSION, Step.SEND, self.address, found.version, Ran.NOT_RUN)

    def load(self) -> LoadReport | Failure:
        """Return the engine's load, as of its last report."""
        return self._get("/v1/load", LoadReport)

    def events(self, start: int, wait_s: float) -> EventPage | Failure:
        """Return cache events from a sequence number on, waiting for some if there are none."""
        return self._get(f"/v1/events?from={start}&wait={wait_s}", EventPage)

    def listing(self) -> CacheListing | Failure:
        """Return all cached blocks."""
        return self._get("/v1/blocks", CacheListing)

    def list_request_blocks(self, request: RequestId) -> list[BlockKey] | Failure:
        """Return the chain of block keys of a finished request's prompt and answer."""
        found = self._get(f"/v1/requests/{request}/blocks", KeyList)
        return found if isinstance(found, Failure) else found.keys

    def export_blocks(self, keys: list[BlockKey]) -> bytes | Failure:
        """Return sealed frames of those blocks that are still cached."""
        body = encode_json(KeyList(keys))
        return self.connections.call_ok("POST", "/v1/export", body, Step.KEEP)

    def import_blocks(self, frames: bytes, held: list[BlockKey]) -> int | Failure:
        """Import verified frames into the engine's cache; return the number of bytes sent.

        `held` are the preceding blocks of their chain, which must not be evicted for them.
        """
        headers = {HELD_BLOCKS_HEADER: ",".join(held)} if held else None
        reply = self.connections.call_ok("POST", "/v1/import", frames, Step.FETCH, headers)
        return reply if isinstance(reply, Failure) else len(frames)

    def order(self, order: Order) -> bool | Failure:
        """Send an order; False means that the engine refused its fence."""
        reply = self.connections.call("POST", "/v1/orders", encode_json(order))
        if isinstance(reply, Failure):
            return reply
        if reply.status in (OK, CONFLICT):
            return reply.status == OK
        return Failure(Code.UPSTREAM_FAILED, Step.ORDER, self.address, f"status {reply.status}")

    def _get(self, path: str, kind: type) -> object:
        data = self.connections.call_ok("GET", path, b"", Step.READ)
        if isinstance(data, Failure):
            return data
        return decode_json(data, kind, Step.READ, self.address)
