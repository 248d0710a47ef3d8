"""Messages between hosts."""

import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import CallKey, Incarnation, RequestId, WorkspaceId
from ruddersaddle_state.records import Snapshot
from ruddersaddle_upstreams.connections import Reply


class ServiceCall(msgspec.Struct, frozen=True):
    """A call to a plain service as a host forwards it."""

    request: RequestId
    pool: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds: float

    def fingerprint(self) -> tuple[str, str, bytes]:
        """Return what must be identical when a key is used again."""
        return self.method, self.path, self.body


class AnswerRequest(msgspec.Struct, frozen=True, tag="ask_answer"):
    """Requests a call's answer from the process that holds its key."""

    owner: Incarnation
    key: CallKey
    call: ServiceCall


class TicketedCallRequest(msgspec.Struct, frozen=True, tag="ask_ticketed"):
    """Requests the process that issued a ticket to run the call, or to return its answer."""

    owner: Incarnation
    workspace: WorkspaceId
    ticket: str
    call: ServiceCall


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="ask_configuration"):
    """Requests the folded configuration."""


class AnswerReply(msgspec.Struct, frozen=True, tag="answer"):
    """A call's answer or its failure; both are None while it is still running."""

    reply: Reply | None = None
    failure: Failure | None = None


class ConfigurationReply(msgspec.Struct, frozen=True, tag="configuration"):
    """The folded configuration; None if the host has no complete one."""

    snapshot: Snapshot | None


Message = (
    AnswerRequest | TicketedCallRequest | ConfigurationRequest | AnswerReply | ConfigurationReply
)
