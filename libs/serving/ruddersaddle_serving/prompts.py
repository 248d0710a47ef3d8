"""Callers' requests and prompts, in the form that routing decisions use."""

import random
from functools import cached_property
from typing import NewType

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId, RequestId

from ruddersaddle_serving.admissions import JUDGED_AS_MEDIAN_SHARE
from ruddersaddle_serving.fingerprints import Fingerprint, make_fingerprint
from ruddersaddle_serving.routes import Route, Workspace

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
    ) -> None:
        self.head = head
        self.method = method
        self.target = target
        self.body = body
        self.route = route
        self.workspace = workspace
        self.started_at = began
        budget_s = route.timeout_s if head.budget_s is None else head.budget_s
        self.budget_s = min(budget_s, route.timeout_s)

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
    def is_judged_as_median(self) -> bool:
        """Whether admission judges it as having median size; drawn once per caller's attempt."""
        return random.random() < JUDGED_AS_MEDIAN_SHARE

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
