"""What upstreams say of themselves: which start of them lives, where, and whether it is cold."""

import msgspec
from ruddersaddle_base.ids import HallId, ModelId, PoolId, UpstreamId


class UpstreamInstance(msgspec.Struct, frozen=True, array_like=True):
    """One start of an upstream; under one id there may be several."""

    id: UpstreamId
    born_ms: int | None = None
    """Unix time of the start; None where the upstream doesn't tell it."""

    def __str__(self) -> str:
        return self.id if self.born_ms is None else f"{self.id} of {self.born_ms}"


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """What changes with each write of an upstream's entry."""

    sequence: int
    """Number of the write; it rises within one start."""
    cold_s: float
    """How much longer the upstream is cold, in seconds from the write on; 0 where it is warm."""


class UpstreamEntry(msgspec.Struct, frozen=True):
    """One start of one upstream, as it describes itself."""

    id: UpstreamId
    pool: PoolId
    address: str
    hall: HallId
    slots: int
    leaving: bool
    version_by_model: dict[ModelId, int]
    born_ms: int | None = None
    """Unix time of its start; None where it is not told."""
    heartbeat: Heartbeat | None = None
    """With an entry as it was read; lists of entries keep it apart."""

    @property
    def instance(self) -> UpstreamInstance:
        """Which start of the upstream this is."""
        return UpstreamInstance(self.id, self.born_ms)

    def is_later_than(self, other: "UpstreamEntry") -> bool:
        """Return whether this is a later start under the same id than another entry's."""
        if self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms > other.born_ms
