"""Messages between hosts: their state, and changes of engines."""

import msgspec
from ruddersaddle_base.ids import HallId, HostId, ModelId, UpstreamId

from ruddersaddle_serving.cold_starts import ColdStart
from ruddersaddle_serving.crash_records import CrashRecord
from ruddersaddle_serving.crash_shares import CrashUpdate
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import HostRecord
from ruddersaddle_serving.load_shares import LoadSums, LoadSumsRequest, Notices
from ruddersaddle_serving.part_crashes import PartRecord
from ruddersaddle_serving.part_updates import PartsRequest, PartsUpdate, StoreLost
from ruddersaddle_serving.ports import TOPIC_START, ModelVersion, StorePosition
from ruddersaddle_serving.publications import NamingAge
from ruddersaddle_serving.regions.links import LinkReports
from ruddersaddle_serving.regions.loads import RegionLoads
from ruddersaddle_serving.rollouts.messages import (
    CloseOld,
    CountReply,
    CountReport,
    OldClosed,
    RolloutNotice,
)
from ruddersaddle_serving.rollouts.orders import SharedRollout
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.store_eras import ERA_UNKNOWN
from ruddersaddle_serving.stream_records import (
    HeldRequest,
    StreamQuestion,
    StreamReply,
    StreamsNoted,
    StreamsTold,
)
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance


class StateRequest(msgspec.Struct, frozen=True, tag="ask_news"):
    """Requests the parts of the peer's state that the sender may not have yet."""

    host: HostId
    record: HostRecord
    version: int
    entries_digest: int = msgspec.field(name="entries_revision")
    """Digest of the sender's entries; -1 without a complete list. Hosts of the former version send
    the number of the peer's list that they received last."""
    hosts_digest: int
    """Digest of the sender's list of hosts."""
    crashes_revision: int = -1
    """Revision of the peer's crash records that the sender has."""
    era: int = ERA_UNKNOWN
    """Newest era of the store that the sender knows."""
    hosts_position: StorePosition = TOPIC_START
    """Position of the sender's list of hosts."""


class StateUpdate(msgspec.Struct, frozen=True, tag="news"):
    """The state of a host, with the age of each part when it was sent, in seconds."""

    age_s: float
    end: int
    named: tuple[ModelVersion, ...]
    published: PublishedConfiguration | None
    entries: tuple[UpstreamEntry, ...] | None
    """None if the requesting host has the same."""
    entries_digest: int = msgspec.field(name="entries_revision")
    """Digest of the sender's entries; -1 without a complete list."""
    entries_age_s: float
    hosts: dict[HostId, HostRecord] | None
    """None if the requesting host knows the same hosts, or a newer list."""
    namings: tuple[NamingAge, ...] = ()
    """How long ago weights were named."""
    crashes: tuple[CrashRecord, ...] | None = None
    """Requests during which two or more upstreams crashed; None if the requesting host has them."""
    cleared: tuple[Fingerprint, ...] = ()
    """Requests of which a run was completed a short while ago; sent with `crashes`."""
    crashes_revision: int = -1
    crashes_age_s: float = float("inf")
    era: int = ERA_UNKNOWN
    """Era of the store that `end` belongs to."""
    known_era: int = ERA_UNKNOWN
    """Newest era of the store that the sender knows."""
    gone: tuple[UpstreamInstance, ...] = ()
    """Instances of upstreams that have left; sent with `entries`."""
    lapsing: tuple[UpstreamId, ...] = ()
    """Upstreams among `entries` that are missing in the store and kept for a grace period."""
    evacuated: tuple[HallId, ...] | None = None
    """The evacuated halls as of `end`; None from a host that doesn't support evacuations."""
    hosts_position: StorePosition = TOPIC_START
    """Position of the list in `hosts`."""
    cold: tuple[ColdStart, ...] = ()
    """Instances of upstreams that are cold."""
    leaving: tuple[UpstreamInstance, ...] = ()
    """Instances that announced in a response that they are leaving, whatever their entries say."""
    rollouts: tuple[SharedRollout, ...] | msgspec.UnsetType = msgspec.UNSET
    """The newest order of each service, with its stop or decision."""
    part_records: tuple[PartRecord, ...] = ()
    """Parts of prompts during which two or more upstreams crashed; sent with `crashes`."""
    entries_end: StorePosition = TOPIC_START
    """Position in the store's topic up to which the sender's entries have all changes; the start
    from hosts of the former version."""
    crashes_end: StorePosition | msgspec.UnsetType = msgspec.UNSET
    """Position up to which the sender has read and applied the records of crashes."""


class Changed(msgspec.Struct, frozen=True, tag="changed"):
    """Notifies that the sender's state has changed and may be requested; it is not answered."""

    address: str


class Loading(msgspec.Struct, frozen=True, tag="loading"):
    """Notifies that engines get no new work for some seconds, as they are about to load weights."""

    upstream: UpstreamId
    seconds: float
    relays: bool | msgspec.UnsetType = msgspec.UNSET
    """Whether the receiver is to send it to the hosts of its region."""
    others: tuple[UpstreamId, ...] = ()
    """Further engines; hosts of the former version know only `upstream`."""
    hall_relays: bool = False
    """Whether the receiver is to send it to the hosts of its hall."""

    @property
    def engines(self) -> tuple[UpstreamId, ...]:
        """All engines that it concerns."""
        return (self.upstream, *self.others)

    def singles(self) -> list["Loading"]:
        """Return one message for each engine."""
        return [Loading(each, self.seconds, self.relays) for each in self.engines]


class LoadedEngine(msgspec.Struct, frozen=True, array_like=True):
    """An engine that accepts work again, with the version of its weights."""

    upstream: UpstreamId
    version: int


class Loaded(msgspec.Struct, frozen=True, tag="loaded"):
    """Notifies that engines have new weights, or the former ones, and accept work again."""

    upstream: UpstreamId
    model: ModelId
    version: int
    relays: bool | msgspec.UnsetType = msgspec.UNSET
    """Whether the receiver is to send it to the hosts of its region."""
    others: tuple[LoadedEngine, ...] = ()
    """Further engines; hosts of the former version know only `upstream`."""
    hall_relays: bool = False
    """Whether the receiver is to send it to the hosts of its hall."""

    @property
    def engines(self) -> tuple[LoadedEngine, ...]:
        """All engines that it concerns."""
        return (LoadedEngine(self.upstream, self.version), *self.others)

    def singles(self) -> list["Loaded"]:
        """Return one message for each engine."""
        return [
            Loaded(each.upstream, self.model, each.version, self.relays) for each in self.engines
        ]


class Ping(msgspec.Struct, frozen=True, tag="hello"):
    """Liveness probe: any answer will do. It finds connections that are dead without a reset."""


class Ack(msgspec.Struct, frozen=True, tag="noted"):
    """Acknowledges a message that requests nothing."""

    engines: int = 0
    """Number of engines of a `Loading` or `Loaded` that were applied; 0 from hosts of the former
    version, which apply one and relay nothing to their hall."""


NeighbourMessage = (
    StateRequest
    | StateUpdate
    | Changed
    | Ping
    | Loading
    | Loaded
    | Notices
    | LoadSums
    | LoadSumsRequest
    | RegionLoads
    | LinkReports
    | PartsRequest
    | PartsUpdate
    | StoreLost
    | CrashUpdate
    | CountReport
    | CountReply
    | RolloutNotice
    | CloseOld
    | OldClosed
    | StreamsTold
    | StreamsNoted
    | StreamQuestion
    | StreamReply
    | HeldRequest
    | Ack
)
