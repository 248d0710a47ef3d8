"""Callers' requests and prompts, in the form that routing decisions use."""

import random
from functools import cached_property
from typing import NewType

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId, PoolId, RequestId, SoftwareVersion

from ruddersaddle_serving.admissions import JUDGED_AS_MEDIAN_SHARE
from ruddersaddle_serving.authorizations import Authorization, RequestTarget
from ruddersaddle_serving.fingerprints import (
    Fingerprint,
    PartKey,
    make_fingerprint,
    make_part_key,
)
from ruddersaddle_serving.routes import Route, RouteKind, Workspace

PartId = NewType("PartId", str)
Headers = tuple[tuple[str, str], ...]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt; its id is derived from its content."""

    id: PartId
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """A prompt for an engine: its parts in order, and the most tokens to generate."""

    model: ModelId
    parts: tuple[Part, ...]
    tokens_in: int
    tokens_out: int

    @property
    def tokens(self) -> int:
        """Most tokens that a run holds in memory: its prompt and its output."""
        return self.tokens_in + self.tokens_out

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests may share; the last part belongs to this request alone."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """Key that requests share if they share all parts but the last."""
        shared = self.shared_parts or self.parts
        return shared[-1].id if shared else ""


class CallerHead(msgspec.Struct, frozen=True):
    """What a request's headers state; `budget_s` is how long the caller waits, if stated."""

    id: RequestId
    key: str | None
    budget_s: float | None
    prompt: Prompt | None
    last_event_id: str | None
    forwarded_headers: Headers
    """Headers that are forwarded to the upstream unchanged."""
    resumes: RequestId | None = None
    """Request that brought the first event of the stream that is taken up again, if stated."""

    def time_budget_s(self, timeout_s: float) -> float:
        """Return the time for the request on a route with a timeout, in seconds."""
        return timeout_s if self.budget_s is None else min(self.budget_s, timeout_s)


class RelayTerms(msgspec.Struct, frozen=True):
    """The terms under which another host relays a request to this one."""

    sender: str
    """Id of that host."""
    version: int
    """Version of the configuration by which it routed and authenticated the request."""
    upstreams_max: int
    """Most upstreams that the request may be sent to."""


class VersionPin(msgspec.Struct, frozen=True):
    """The software version of a pool at which a stream began, and at which alone it may go on.

    The version is unset if no entry of the pool has one.
    """

    pool: PoolId
    version: SoftwareVersion | msgspec.UnsetType


class CallerRequest:
    """One request that this host handles."""

    def __init__(
        self,
        head: CallerHead,
        method: str,
        target: str,
        body: bytes,
        route: Route,
        workspace: Workspace | None,
        began: float,
        raw_headers: Headers = (),
        terms: RelayTerms | None = None,
    ) -> None:
        self.head = head
        self.raw_headers = raw_headers
        """The headers as the caller sent them."""
        self.terms = terms
        """Set if another host relayed the request; it must not be relayed again."""
        self.method = method
        self.target = target
        self.body = body
        self.route = route
        self.workspace = workspace
        self.asked: RequestTarget | None = None
        """What its caller asked for; None if no configuration was asked whether it may run."""
        self.version = 0
        """Version of the configuration that it was last authorized by."""
        self.started_at = began
        self.pin: VersionPin | None = None
        """Where the request must go on; None while it may begin at any software version."""
        self.budget_s = head.time_budget_s(route.timeout_s)

    def apply(self, allowed: Authorization) -> bool:
        """Go on by a newer configuration; return whether that changes where or for whom it runs."""
        self.version = allowed.version
        if (allowed.route, allowed.workspace) == (self.route, self.workspace):
            return False
        self.route, self.workspace = allowed.route, allowed.workspace
        # The workspace is a part of it.
        self.__dict__.pop("fingerprint", None)
        return True

    @property
    def id(self) -> RequestId:
        """The id that the caller set."""
        return self.head.id

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """Fingerprint by which all hosts recognize copies of this request."""
        workspace = "" if self.workspace is None else self.workspace.id
        return make_fingerprint(self.method, self.target, workspace, self.body)

    @cached_property
    def part_keys(self) -> tuple[PartKey, ...]:
        """Keys of the shared parts of its prompt; none for requests of plain services."""
        prompt = self.head.prompt
        if prompt is None:
            return ()
        return tuple(
            dict.fromkeys(make_part_key(prompt.model, each.id) for each in prompt.shared_parts)
        )

    @cached_property
    def is_judged_as_median(self) -> bool:
        """Whether admission judges it as having median size; drawn once per caller's attempt."""
        return random.random() < JUDGED_AS_MEDIAN_SHARE

    @property
    def is_first_send(self) -> bool:
        """Whether no other host has sent it to an upstream before."""
        return self.terms is None or self.terms.upstreams_max >= self.route.upstreams_max

    @property
    def upstreams_max(self) -> int:
        """Most upstreams that it may be sent to."""
        allowed = self.route.upstreams_max
        return allowed if self.terms is None else min(allowed, self.terms.upstreams_max)

    @property
    def is_stream(self) -> bool:
        """Whether a successful answer is a stream of events."""
        return self.route.kind is RouteKind.STREAM

    @property
    def takes_up_stream(self) -> bool:
        """Whether the caller goes on with a stream whose first events it has."""
        return self.route.resumable and self.is_stream and self.head.last_event_id is not None

    @property
    def remaining_s(self) -> float:
        """Time left until the caller's or the route's deadline."""
        return self.started_at + self.budget_s - clocks.now_s()

    @property
    def priority(self) -> int:
        """Priority, 0 being the most urgent; the workspace's overrides the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
