"""Stand-in for a store host: memory and disk tiers, blocks written in pieces, a rate-limited link.

A block is visible from its first byte on, as it is in memory that is read remotely. Faults: `slow`
divides the rate of the link, `full` rejects writes, `torn` truncates that many blocks on reading,
`reused` returns the bytes of another block for that many, `flip` changes one byte of that many.
"""

from collections import OrderedDict

import eventlet
import msgspec
from eventlet.semaphore import Semaphore
from ruddersaddle_base.ids import BlockKey
from ruddersaddle_upstreams.engines import KeyList
from ruddersaddle_upstreams.frames import HEADER, split_frames
from ruddersaddle_upstreams.stores import FoundCount

from ruddersaddle_standins.servers import (
    Answer,
    Environ,
    Server,
    json_answer,
    read_bytes,
    read_json,
)
from ruddersaddle_standins.speeds import Speeds

FULL = 507


class StoreRecord(msgspec.Struct):
    """Counters of the store host."""

    read_blocks: int = 0
    written_blocks: int = 0
    moved_bytes: int = 0
    evicted_blocks: int = 0
    spoiled_blocks: int = 0


class StoreServer(Server):
    """One store host."""

    def __init__(self, speeds: Speeds) -> None:
        super().__init__()
        self.speeds = speeds
        self.record = StoreRecord()
        self.memory: OrderedDict[BlockKey, bytearray] = OrderedDict()
        self.disk: OrderedDict[BlockKey, bytearray] = OrderedDict()
        self.sealed: set[BlockKey] = set()
        self.bytes_by_tier = {id(self.memory): 0, id(self.disk): 0}
        self.link = Semaphore(1)

    def answer(self, method: str, path: str, environ: Environ) -> Answer:
        """Handle one request."""
        match method, path:
            case "POST", "/v1/find":
                return json_answer(self._find(read_json(environ, KeyList).keys))
            case "POST", "/v1/read":
                return Answer(chunks=self._read(read_json(environ, KeyList).keys))
            case "POST", "/v1/write":
                return self._write(read_bytes(environ))
            case "DELETE", "/v1/blocks":
                return self._free_all()
        return json_answer(self.record)

    def _find(self, keys: list[BlockKey]) -> FoundCount:
        count = size = 0
        for key in keys:
            if key not in self.sealed:
                break
            count += 1
            size += len(self._block(key))
        return FoundCount(count, size)

    def _block(self, key: BlockKey) -> bytearray:
        return self.memory[key] if key in self.memory else self.disk.get(key, bytearray())

    def _read(self, keys: list[BlockKey]) -> list[bytes]:
        pieces = []
        for key in keys:
            slow = self.speeds.disk_slowness if key in self.disk else 1.0
            block = self._corrupt(bytes(self._block(key)))
            if not block:
                break
            self.record.read_blocks += 1
            self._move(len(block) * slow)
            pieces.append(block)
        return pieces

    def _corrupt(self, block: bytes) -> bytes:
        corrupted = block
        if self.consume("torn"):
            corrupted = block[: HEADER.size] + block[HEADER.size : len(block) // 2]
        elif self.consume("reused") and self.memory:
            corrupted = bytes(next(iter(self.memory.values())))
        elif self.consume("flip"):
            corrupted = block[:-1] + bytes([block[-1] ^ 1])
        self.record.spoiled_blocks += corrupted != block
        return corrupted

    def _move(self, size: float) -> None:
        rate = self.speeds.link_bytes_s / max(1.0, self.strength("slow"))
        self.record.moved_bytes += int(size)
        with self.link:
            eventlet.sleep(size / rate)

    def _write(self, data: bytes) -> Answer:
        if self.is_active("full"):
            return Answer(FULL)
        for frame in split_frames(data):
            key = BlockKey(HEADER.unpack_from(frame)[1].hex())
            block = bytearray(frame[: len(frame) // 2])
            self._put(self.memory, key, block)
            self._move(len(frame))
            block[:] = frame
            self.bytes_by_tier[id(self.memory)] += len(frame) - len(frame) // 2
            self.sealed.add(key)
            self.record.written_blocks += 1
            self._evict()
        return json_answer(len(data))

    def _put(self, tier: OrderedDict, key: BlockKey, block: bytearray) -> None:
        old = tier.pop(key, bytearray())
        tier[key] = block
        self.bytes_by_tier[id(tier)] += len(block) - len(old)

    def _evict(self) -> None:
        while self.bytes_by_tier[id(self.memory)] > self.speeds.memory_bytes:
            key, block = self.memory.popitem(last=False)
            self.bytes_by_tier[id(self.memory)] -= len(block)
            self._put(self.disk, key, block)
        while self.bytes_by_tier[id(self.disk)] > self.speeds.disk_bytes:
            key, block = self.disk.popitem(last=False)
            self.bytes_by_tier[id(self.disk)] -= len(block)
            self.sealed.discard(key)
            self.record.evicted_blocks += 1

    def _free_all(self) -> Answer:
        self.memory.clear()
        self.disk.clear()
        self.sealed.clear()
        self.bytes_by_tier = {id(self.memory): 0, id(self.disk): 0}
        return json_answer(0)
