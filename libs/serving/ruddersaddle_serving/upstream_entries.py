"""What upstreams publish about themselves: instance, address, state, and whether it is cold."""

import msgspec
from ruddersaddle_base.ids import HallId, ModelId, PoolId, SoftwareVersion, UpstreamId


class UpstreamInstance(msgspec.Struct, frozen=True, array_like=True):
    """One process of an upstream; one id may have several, one after another."""

    id: UpstreamId
    born_ms: int | None = None
    """Unix time at which the process started; None if the upstream doesn't publish it."""

    def __str__(self) -> str:
        return self.id if self.born_ms is None else f"{self.id} of {self.born_ms}"


class Heartbeat(msgspec.Struct, frozen=True, array_like=True):
    """The part of an upstream's entry that changes with each write."""

    sequence: int
    """Number of the write; it rises within one instance."""
    cold_s: float
    """Seconds from the write on for which the upstream is still cold; 0 if it is warm."""


class UpstreamEntry(msgspec.Struct, frozen=True):
    """One instance of an upstream, as it describes itself."""

    id: UpstreamId
    pool: PoolId
    address: str
    hall: HallId
    slots: int
    leaving: bool
    version_by_model: dict[ModelId, int]
    born_ms: int | None = None
    """Unix time at which the process started; None if it is not published."""
    heartbeat: Heartbeat | None = None
    """Set in an entry as it is read from the store; lists of entries keep it separately."""
    software_version: SoftwareVersion | msgspec.UnsetType = msgspec.UNSET
    """Release that the upstream runs; unset in entries that a host of a program version sends that
    doesn't read it."""

    @property
    def instance(self) -> UpstreamInstance:
        """Which instance of the upstream this entry describes."""
        return UpstreamInstance(self.id, self.born_ms)

    def is_later_than(self, other: "UpstreamEntry") -> bool:
        """Return whether this is a later instance of the same id than that of another entry."""
        if self.born_ms is None or other.born_ms is None:
            return False
        return self.born_ms > other.born_ms
