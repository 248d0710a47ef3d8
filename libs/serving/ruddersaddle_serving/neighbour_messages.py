"""Messages between hosts: what they believe, and what changes about engines."""

import msgspec
from ruddersaddle_base.ids import HallId, HostId, ModelId, UpstreamId

from ruddersaddle_serving.cold_starts import ColdStart
from ruddersaddle_serving.crash_records import CrashRecord
from ruddersaddle_serving.crash_shares import CrashUpdate
from ruddersaddle_serving.fingerprints import Fingerprint
from ruddersaddle_serving.hosts import HostRecord
from ruddersaddle_serving.load_shares import LoadSums, Notices
from ruddersaddle_serving.part_updates import PartsRequest, PartsUpdate, StoreLost
from ruddersaddle_serving.ports import TOPIC_START, ModelVersion, StorePosition
from ruddersaddle_serving.publications import NamingAge
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.store_eras import ERA_UNKNOWN
from ruddersaddle_serving.upstream_entries import UpstreamEntry, UpstreamInstance


class StateRequest(msgspec.Struct, frozen=True, tag="ask_news"):
    """Asks for what the peer believes and the asker may not have yet."""

    host: HostId
    record: HostRecord
    version: int
    entries_revision: int
    """Revision of the peer's own entries that the asker has; -1 for none."""
    hosts_digest: int
    """Digest of the list of hosts that the asker knows."""
    crashes_revision: int = -1
    """Revision of the peer's own crash records that the asker has."""
    era: int = ERA_UNKNOWN
    """Newest era of the store that the asker knows."""
    hosts_position: StorePosition = TOPIC_START
    """Position of the list of hosts that the asker knows."""


class StateUpdate(msgspec.Struct, frozen=True, tag="news"):
    """What a peer believes, with the age of each belief when it answered, in seconds."""

    age_s: float
    end: int
    named: tuple[ModelVersion, ...]
    published: PublishedConfiguration | None
    entries: tuple[UpstreamEntry, ...] | None
    """None if the asker has them."""
    entries_revision: int
    entries_age_s: float
    hosts: dict[HostId, HostRecord] | None
    """None where the asker knows the same hosts, or a newer list."""
    namings: tuple[NamingAge, ...] = ()
    """How long ago weights were named."""
    crashes: tuple[CrashRecord, ...] | None = None
    """Requests under which two or more upstreams ended; None if the asker has them."""
    cleared: tuple[Fingerprint, ...] = ()
    """Requests of which a run ended whole a short while ago; told with `crashes`."""
    crashes_revision: int = -1
    crashes_age_s: float = float("inf")
    era: int = ERA_UNKNOWN
    """Era of the store that `end` belongs to."""
    known_era: int = ERA_UNKNOWN
    """Newest era of the store that the teller knows."""
    gone: tuple[UpstreamInstance, ...] = ()
    """Starts of upstreams that have left; told with `entries`."""
    lapsing: tuple[UpstreamId, ...] = ()
    """Upstreams among `entries` that are gone from the store and kept for their grace."""
    evacuated: tuple[HallId, ...] | None = None
    """The evacuated halls as of `end`; None from a host that knows of none such."""
    hosts_position: StorePosition = TOPIC_START
    """Position of the list that `hosts` is."""
    cold: tuple[ColdStart, ...] = ()
    """Starts of upstreams that are cold."""
    leaving: tuple[UpstreamInstance, ...] = ()
    """Starts that said in an answer that they leave, whatever their entries say."""


class Changed(msgspec.Struct, frozen=True, tag="changed"):
    """Tells that the sender knows something new, so that it is worth asking; it is not answered."""

    address: str


class Loading(msgspec.Struct, frozen=True, tag="loading"):
    """Tells that an engine gets no new work for some seconds, because it is to load weights."""

    upstream: UpstreamId
    seconds: float


class Loaded(msgspec.Struct, frozen=True, tag="loaded"):
    """Tells that an engine has new weights and takes work again."""

    upstream: UpstreamId
    model: ModelId
    version: int


class Ping(msgspec.Struct, frozen=True, tag="hello"):
    """Asks for any answer, so that a connection that is silent for good is found."""


class Ack(msgspec.Struct, frozen=True, tag="noted"):
    """Answers a message that asks nothing."""


NeighbourMessage = (
    StateRequest
    | StateUpdate
    | Changed
    | Ping
    | Loading
    | Loaded
    | Notices
    | LoadSums
    | PartsRequest
    | PartsUpdate
    | StoreLost
    | CrashUpdate
    | Ack
)
