"""Client of store hosts, which cache blocks of context in memory and on disk."""

import time

import msgspec
from ruddersaddle_base.codecs import decode_json, encode_json
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import BlockKey

from ruddersaddle_upstreams.connections import OK, Connections
from ruddersaddle_upstreams.engines import KeyList
from ruddersaddle_upstreams.frames import Frame, open_frame, split_frames
from ruddersaddle_upstreams.links import Link

INSUFFICIENT_STORAGE = 507


class FoundCount(msgspec.Struct):
    """How many sealed blocks of a chain, from its start, a store host has, and their size."""

    count: int
    bytes: int


class ReadCounts(msgspec.Struct):
    """Numbers of blocks read, and of those discarded after a failed verification."""

    tried: int = 0
    mismatched: int = 0


class StoreClient:
    """Calls one store host over its link."""

    def __init__(self, address: str, link: Link, connect_s: float, timeout_s: float) -> None:
        self.address = address
        self.link = link
        self.counts = ReadCounts()
        self.connections = Connections(address, connect_s, timeout_s)

    def find(self, keys: list[BlockKey]) -> FoundCount | Failure:
        """Return how much of a chain, from its start, the store host has."""
        body = encode_json(KeyList(keys))
        data = self.connections.call_ok("POST", "/v1/find", body, Step.FETCH)
        if isinstance(data, Failure):
            return data
        return decode_json(data, FoundCount, Step.FETCH, self.address)

    def read(self, keys: list[BlockKey]) -> list[Frame] | Failure:
        """Return verified frames from the chain's start up to the first that is invalid."""
        started = time.monotonic()
        body = encode_json(KeyList(keys))
        data = self.connections.call_ok("POST", "/v1/read", body, Step.FETCH)
        if isinstance(data, Failure):
            self.link.record_failure()
            return data
        self.link.record_transfer(len(data), time.monotonic() - started)
        return self._verify(keys, data)

    def _verify(self, keys: list[BlockKey], data: bytes) -> list[Frame]:
        frames = []
        for key, piece in zip(keys, split_frames(data), strict=False):
            self.counts.tried += 1
            frame = open_frame(piece, key, self.address)
            if isinstance(frame, Failure):
                self.counts.mismatched += 1
                break
            frames.append(frame)
        return frames

    def write(self, frames: bytes) -> int | Failure:
        """Write sealed frames; return the number of bytes written."""
        started = time.monotonic()
        reply = self.connections.call("POST", "/v1/write", frames)
        if isinstance(reply, Failure):
            self.link.record_failure()
            return reply
        if reply.status != OK:
            code = Code.OVERLOADED if reply.status == INSUFFICIENT_STORAGE else Code.UPSTREAM_FAILED
            return Failure(code, Step.KEEP, self.address, f"status {reply.status}")
        self.link.record_transfer(len(frames), time.monotonic() - started)
        return len(frames)
