"""Id types and the functions that create new ids."""

import secrets
import uuid
from typing import NewType

HostId = NewType("HostId", str)
HallId = NewType("HallId", str)
RegionId = NewType("RegionId", str)
"""A group of halls that are close to one another."""
WorkspaceId = NewType("WorkspaceId", str)
UpstreamId = NewType("UpstreamId", str)
PoolId = NewType("PoolId", str)
ModelId = NewType("ModelId", str)
StoreId = NewType("StoreId", str)
SoftwareVersion = NewType("SoftwareVersion", str)
"""The release of the software that an upstream runs; unrelated to versions of weights."""
RequestId = NewType("RequestId", str)
RecordId = NewType("RecordId", str)
CallKey = NewType("CallKey", str)
"""The caller's idempotency key, scoped to its workspace."""
BlockKey = NewType("BlockKey", str)
"""Hex digest that identifies one block of stored context."""
Incarnation = NewType("Incarnation", str)
"""Identifies one process of a host; each restart gets a new one."""
Position = NewType("Position", int)
"""Position of a record in a log stream: the offset of the append and the index in its batch."""

INDEX_BITS = 10
"""Bits of a position that hold the index in a batch, which limits a batch to 1024 records."""
START = Position(-1)
"""The position before the first record."""


def join_position(offset: int, index: int) -> Position:
    """Return the position of the record at `index` of the batch appended at `offset`."""
    return Position((offset << INDEX_BITS) | index)


def split_offset(position: Position) -> int:
    """Return the offset of the append that a position belongs to; -1 for `START`."""
    return position >> INDEX_BITS


def new_incarnation(host: HostId) -> Incarnation:
    """Return a new incarnation of `host`, unique across restarts."""
    return Incarnation(f"{host}.{secrets.token_hex(6)}")


def incarnation_host(incarnation: Incarnation) -> HostId:
    """Return the host that an incarnation ran on."""
    return HostId(incarnation.rpartition(".")[0])


def new_record_id() -> RecordId:
    """Return a new id for a log record."""
    return RecordId(uuid.uuid4().hex)


def new_request_id() -> RequestId:
    """Return a new id for a caller's request."""
    return RequestId(uuid.uuid4().hex[:16])
