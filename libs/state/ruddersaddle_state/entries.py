"""Published configuration: the typed entries that operators edit, and their validation."""

import string
from enum import Enum
from typing import NewType

import msgspec
from ruddersaddle_base.codecs import is_decimal_integer
from ruddersaddle_base.ids import HallId, ModelId, PoolId, StoreId, UpstreamId, WorkspaceId

EntryKey = NewType("EntryKey", str)
"""`kind/id`, the name of one entry."""

DIGEST_LENGTH = 64
"""Hex characters of a caller key's SHA-256 digest."""


class PoolKind(Enum):
    """What kind of upstream a pool is made of."""

    ENGINE = "engine"
    SERVICE = "service"


class Workspace(msgspec.Struct, frozen=True, tag="workspace", forbid_unknown_fields=True):
    """A tenant: digests of its callers' keys, its weight in queues and its concurrency limit."""

    id: WorkspaceId
    key_digests: tuple[str, ...] = ()
    weight: int = 1
    concurrent_max: int = 200


class Model(msgspec.Struct, frozen=True, tag="model", forbid_unknown_fields=True):
    """A model, its current weight version and its adapters."""

    id: ModelId
    version: str
    adapters: tuple[str, ...] = ()


class Upstream(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One upstream of a pool."""

    id: UpstreamId
    address: str
    hall: HallId


class PathRule(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A path prefix of a plain service, and whether its calls may be repeated."""

    prefix: str
    repeatable: bool


class Pool(msgspec.Struct, frozen=True, tag="pool", forbid_unknown_fields=True):
    """Interchangeable upstreams, and which calls they accept."""

    id: PoolId
    kind: PoolKind
    upstreams: tuple[Upstream, ...]
    model: ModelId = ModelId("")
    checks_fences: bool = False
    paths: tuple[PathRule, ...] = ()

    def is_repeatable(self, path: str) -> bool | None:
        """Return whether a call of `path` may be repeated, by the longest matching prefix.

        None means that no rule matches.
        """
        best = None
        for rule in self.paths:
            longer = best is None or len(rule.prefix) > len(best.prefix)
            if path.startswith(rule.prefix) and longer:
                best = rule
        return None if best is None else best.repeatable


class Template(msgspec.Struct, frozen=True, tag="template", forbid_unknown_fields=True):
    """A shared prompt prefix of one workspace, with `$parameters`."""

    id: str
    workspace: WorkspaceId
    text: str
    parameters: tuple[str, ...] = ()


class Event(msgspec.Struct, frozen=True, tag="event", forbid_unknown_fields=True):
    """A scheduled time at which a template will be used; `at` is in Unix seconds."""

    id: str
    template: str
    model: ModelId
    at: float
    copies: int = 1
    arguments: dict[str, str] = {}


class Store(msgspec.Struct, frozen=True, tag="store", forbid_unknown_fields=True):
    """A store host for cached context, and the capacity of its link in bytes per second."""

    id: StoreId
    address: str
    hall: HallId
    link_bytes_s: float


Value = Workspace | Model | Pool | Template | Event | Store
KIND_BY_TYPE = {kind: kind.__struct_config__.tag for kind in (Workspace, Model, Pool)}
KIND_BY_TYPE |= {kind: kind.__struct_config__.tag for kind in (Template, Event, Store)}
TYPE_BY_KIND = {kind: value for value, kind in KIND_BY_TYPE.items()}


def entry_key(value: Value) -> EntryKey:
    """Return the name of the entry that holds `value`."""
    return EntryKey(f"{KIND_BY_TYPE[type(value)]}/{value.id}")


def check_value(value: Value) -> str | None:
    """Return what is invalid in a value, regardless of other entries, or None."""
    if not value.id or "/" in value.id:
        return "expected an id without a slash"
    match value:
        case Workspace():
            return _check_workspace(value)
        case Model() if not value.version:
            return "expected a weight version"
        case Pool():
            return _check_pool(value)
        case Template():
            return _check_template(value)
        case Event() if value.copies < 1:
            return "expected copies of 1 or more"
        case Store() if value.link_bytes_s <= 0 or not is_address(value.address):
            return "expected address IP:port and a link_bytes_s above 0"
    return None


def _check_workspace(value: Workspace) -> str | None:
    if value.weight < 1 or value.concurrent_max < 1:
        return "expected weight and concurrent_max of 1 or more"
    for digest in value.key_digests:
        if len(digest) != DIGEST_LENGTH or not set(digest) <= set(string.hexdigits.lower()):
            return "expected key_digests of 64 lower-case hex digits"
    return None


def _check_pool(value: Pool) -> str | None:
    if value.kind is PoolKind.ENGINE and not value.model:
        return "expected a model for a pool of engines"
    if value.kind is PoolKind.SERVICE and not value.paths:
        return "expected paths for a pool of services"
    for upstream in value.upstreams:
        if not is_address(upstream.address):
            return f"expected IP:port for upstream {upstream.id}"
    return None


def _check_template(value: Template) -> str | None:
    named = set(string.Template(value.text).get_identifiers())
    if named != set(value.parameters):
        return f"expected parameters {', '.join(sorted(named)) or '(none)'} as the text has them"
    return None


def is_address(text: str) -> bool:
    """Return whether `text` is an IPv4 address and a port."""
    host, colon, port = text.rpartition(":")
    parts = host.split(".")
    is_valid_host = len(parts) == 4 and all(
        is_decimal_integer(part) and int(part) < 256 for part in parts
    )
    return bool(colon) and is_valid_host and is_decimal_integer(port) and 0 < int(port) < 65536
