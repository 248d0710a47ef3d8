"""The published configuration: routes, pools, context stores, workspaces and caller limits."""

from enum import Enum
from typing import NewType

import msgspec
from ruddersaddle_base.codecs import is_decimal_integer
from ruddersaddle_base.ids import HallId, ModelId, PoolId, RegionId, StoreId, WorkspaceId

RouteName = NewType("RouteName", str)
AllowedRegions = tuple[RegionId, ...] | msgspec.UnsetType
"""Regions that requests may be served in; unset for anywhere, empty for nowhere."""


class RouteKind(Enum):
    """How often a request may run, or how it is answered."""

    REPEATABLE = "repeatable"
    """May run more than once."""
    ONCE = "once"
    """May run at most once."""
    STREAM = "stream"
    """Answered by a stream of events."""


class Target(msgspec.Struct, frozen=True):
    """A pool that a route sends to, with its weight among the route's targets."""

    pool: PoolId
    weight: float = 1.0


class Route(msgspec.Struct, frozen=True):
    """Which requests match, where they are sent, and under which limits.

    `host` is the host name in the request's URL. A caller's request times out after `timeout_s`;
    its first event should come within `target_latency_s`.
    """

    name: RouteName
    host: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    target_latency_s: float
    targets: tuple[Target, ...]
    priority: int = 5
    """0 is the most urgent."""
    upstreams_max: int = 1
    """Most upstreams that one request may be sent to."""
    public: bool = False
    resumable: bool = False
    allowed_regions: AllowedRegions = msgspec.UNSET

    @property
    def is_repeatable(self) -> bool:
        """Whether a request may be run again if it may have run already."""
        return self.kind is RouteKind.REPEATABLE or self.resumable


class EngineSpec(msgspec.Struct, frozen=True):
    """Capabilities of the engines of a pool; sizes are in tokens."""

    slots: int
    cache_tokens: int
    models: tuple[ModelId, ...]
    watchers_max: int = 8
    """Most concurrent calls that wait for cache events."""
    token_bytes: int = 0
    """Memory of one token; 0 if the configuration doesn't state it."""


class Pool(msgspec.Struct, frozen=True):
    """Interchangeable upstreams; `engine` is None for plain services."""

    id: PoolId
    engine: EngineSpec | None = None
    cold_start_s: float = 0.0
    """How long an upstream is cold after its start."""
    cold_per_s: float = 0.0
    """Requests per second that a cold upstream can take; 0 if a cold start makes no difference."""


class ContextStore(msgspec.Struct, frozen=True):
    """A store of cached prompt parts.

    `first_s` is the fixed delay of each transfer, `watchers_max` the most concurrent calls that
    wait for changes at the store.
    """

    id: StoreId
    address: str
    hall: HallId
    capacity_tokens: int
    link_mbps: float
    first_s: float
    watchers_max: int


class Workspace(msgspec.Struct, frozen=True):
    """A tenant; `dedicated` workspaces share no cached parts with others."""

    id: WorkspaceId
    priority: int | None = None
    dedicated: bool = False
    allowed_regions: AllowedRegions = msgspec.UNSET


class CallerLimits(msgspec.Struct, frozen=True):
    """Limits on callers' requests and connections; sizes are in bytes."""

    header_bytes: int = 16384
    body_bytes: int = 4194304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class PublishedConfiguration(msgspec.Struct, frozen=True):
    """One complete version of the configuration."""

    version: int
    routes: tuple[Route, ...] = ()
    pools: tuple[Pool, ...] = ()
    stores: tuple[ContextStore, ...] = ()
    workspace_by_key: dict[str, Workspace] = {}
    limits: CallerLimits = CallerLimits()
    checks_keys: bool = False
    """Whether requests of routes that are not public need a key."""


class RouteTable:
    """Finds the routes of one configuration by host and path."""

    def __init__(self, published: PublishedConfiguration) -> None:
        self.published = published
        self.pool_by_id = {pool.id: pool for pool in published.pools}
        self._routes_by_host: dict[str, list[Route]] = {}
        for route in sorted(published.routes, key=lambda route: -len(route.path_prefix)):
            self._routes_by_host.setdefault(route.host.lower(), []).append(route)

    def find(self, host: str, path: str) -> Route | None:
        """Return the route of `host` with the longest matching prefix of `path`, or None."""
        name = host.rpartition(":")[0] if is_decimal_integer(host.rpartition(":")[2]) else host
        for route in self._routes_by_host.get(name.lower(), ()):
            if path.startswith(route.path_prefix):
                return route
        return None
