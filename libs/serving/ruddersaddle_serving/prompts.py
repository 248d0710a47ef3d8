"""Requests of callers, in the terms that decisions are made in."""

import random
from functools import cached_property
from typing import NewType

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId, RequestId

from ruddersaddle_serving.admissions import JUDGED_AS_COMMON_SHARE
from ruddersaddle_serving.fingerprints import Fingerprint, make_fingerprint
from ruddersaddle_serving.routes import Route, Workspace

PartId = NewType("PartId", str)
Headers = tuple[tuple[str, str], ...]


class Part(msgspec.Struct, frozen=True, array_like=True):
    """One part of a prompt, named by its content; `tokens` is its length."""

    id: PartId
    tokens: int


class Prompt(msgspec.Struct, frozen=True):
    """What a request asks an engine: its parts in order, and the most tokens it generates."""

    model: ModelId
    parts: tuple[Part, ...]
    tokens_in: int
    tokens_out: int

    @property
    def tokens(self) -> int:
        """Memory that a run needs at most: what it reads and what it generates."""
        return self.tokens_in + self.tokens_out

    @property
    def shared_parts(self) -> tuple[Part, ...]:
        """The parts that other requests have too; the last one is the request's own."""
        return self.parts[:-1]

    @property
    def affinity_key(self) -> str:
        """What requests that share most of their prompt have in common."""
        shared = self.shared_parts or self.parts
        return shared[-1].id if shared else ""


class CallerHead(msgspec.Struct, frozen=True):
    """What a request's headers say. `budget_s` is how long the caller waits, in seconds."""

    id: RequestId
    key: str | None
    budget_s: float | None
    prompt: Prompt | None
    last_event_id: str | None
    forwarded_headers: Headers
    """Headers that go to the upstream as they came."""


class CallerRequest:
    """One request on its way through this host."""

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
        """The id that the caller gave."""
        return self.head.id

    @cached_property
    def fingerprint(self) -> Fingerprint:
        """What this request has in common with its copies, whichever host they come to."""
        workspace = "" if self.workspace is None else self.workspace.id
        return make_fingerprint(self.method, self.target, workspace, self.body)

    @cached_property
    def is_judged_as_common(self) -> bool:
        """Whether admission judges it as if it were of common size; drawn once for each try."""
        return random.random() < JUDGED_AS_COMMON_SHARE

    @property
    def remaining_s(self) -> float:
        """Seconds that are left of the caller's time and the route's."""
        return self.started_at + self.budget_s - clocks.now_s()

    @property
    def priority(self) -> int:
        """0 is the most urgent; a workspace's own goes before the route's."""
        if self.workspace is not None and self.workspace.priority is not None:
            return self.workspace.priority
        return self.route.priority
