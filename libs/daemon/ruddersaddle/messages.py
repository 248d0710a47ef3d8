"""Messages between the system's own processes."""

import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import CallKey, Incarnation, RequestId, WorkspaceId
from ruddersaddle_state.records import Snapshot
from ruddersaddle_upstreams.connections import Reply


class ServiceCall(msgspec.Struct, frozen=True):
    """A call of a plain service, as a host passes it on."""

    request: RequestId
    pool: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    seconds: float

    def fingerprint(self) -> tuple[str, str, bytes]:
        """Return what has to be the same when the same key comes again."""
        return self.method, self.path, self.body


class AnswerRequest(msgspec.Struct, frozen=True, tag="ask_answer"):
    """Asks the process that holds a key for the call's answer."""

    owner: Incarnation
    key: CallKey
    call: ServiceCall


class TicketedCallRequest(msgspec.Struct, frozen=True, tag="ask_ticketed"):
    """Asks the process that a ticket names to run the call, or for its answer."""

    owner: Incarnation
    workspace: WorkspaceId
    ticket: str
    call: ServiceCall


class ConfigurationRequest(msgspec.Struct, frozen=True, tag="ask_configuration"):
    """Asks for the folded configuration."""


class AnswerReply(msgspec.Struct, frozen=True, tag="answer"):
    """A call's answer or its failure; both are None while it is still running."""

    reply: Reply | None = None
    failure: Failure | None = None


class ConfigurationReply(msgspec.Struct, frozen=True, tag="configuration"):
    """The folded configuration, or None from a host that has none."""

    snapshot: Snapshot | None


Message = (
    AnswerRequest | TicketedCallRequest | ConfigurationRequest | AnswerReply | ConfigurationReply
)
