"""Callers' calls of plain services: repeatable, with a key, or with a ticket."""

import logging
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import msgspec
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import CallKey, Incarnation, incarnation_host
from ruddersaddle_base.settings import Settings
from ruddersaddle_serving.peers import Peers
from ruddersaddle_state.entries import Workspace
from ruddersaddle_upstreams.connections import Reply
from ruddersaddle_upstreams.host_lists import HostList
from ruddersaddle_upstreams.services import is_forwarded

from ruddersaddle.answers import Answer, AnswerCounts
from ruddersaddle.bodies import read_body
from ruddersaddle.callers import CALLER, KEY_HEADER, Limits, read_key, read_retry_token
from ruddersaddle.keyed_calls import (
    ANSWER_WAIT_S,
    OWNER_TIMEOUT_S,
    KeyedCall,
    KeyedCalls,
    to_message,
)
from ruddersaddle.messages import (
    AnswerReply,
    AnswerRequest,
    Message,
    ServiceCall,
    TicketedCallRequest,
)
from ruddersaddle.pools import Pools, PoolView
from ruddersaddle.responses import Responder
from ruddersaddle.service_calls import ServiceCaller
from ruddersaddle.tickets import TicketIssuer, is_ticket, parse_ticket

logger = logging.getLogger(__name__)

CALL_COST = 1.0
WORKSPACE_HEADER = "Workspace"
Environ = dict[str, Any]


class TicketReply(msgspec.Struct, frozen=True):
    """A ticket and the seconds for which it may be used."""

    ticket: str
    seconds: float


class ServiceRoutes:
    """Serves calls of plain services."""

    def __init__(
        self,
        settings: Settings,
        pools: Pools,
        caller: ServiceCaller,
        keyed: KeyedCalls,
        tickets: TicketIssuer,
        hosts: HostList,
    ) -> None:
        self.settings = settings
        self.pools = pools
        self.caller = caller
        self.keyed = keyed
        self.tickets = tickets
        self.hosts = hosts
        self.peers: Peers | None = None
        self.counts = AnswerCounts()

    def issue_ticket(self, workspace: Workspace) -> TicketReply:
        """Return a new ticket for one call of a workspace."""
        return TicketReply(self.tickets.issue(workspace.id), self.tickets.valid_s)

    def read_body(self, environ: Environ) -> bytes | Failure:
        """Return a request's complete body."""
        bytes_max = self.settings.integer("requests.body_max")
        return read_body(environ, bytes_max, self.settings.number("requests.read_timeout_s"))

    def serve(
        self, environ: Environ, responder: Responder, workspace: Workspace, limits: Limits
    ) -> Iterable[bytes]:
        """Serve one call."""
        view = self.pools.for_path(environ["PATH_INFO"])
        if view is None:
            detail = f"no service has path {environ['PATH_INFO']}"
            return responder.send_refusal(Failure(Code.NOT_FOUND, Step.PARSE, CALLER, detail))
        body = self.read_body(environ)
        if isinstance(body, Failure):
            return responder.send_refusal(body)
        call = _read_call(environ, responder, workspace, view, body, limits)
        answer = self._run(environ, view, workspace, call, limits)
        if isinstance(answer, Failure):
            return responder.send_failure(answer)
        return _forward_reply(answer, responder)

    def _run(
        self,
        environ: Environ,
        view: PoolView,
        workspace: Workspace,
        call: ServiceCall,
        limits: Limits,
    ) -> Answer:
        if view.pool.is_repeatable(environ["PATH_INFO"]):
            return self._dispatch_in_slot(view, workspace, limits, self.caller.dispatch, call)
        answer = self._run_once(environ, view, workspace, call, limits)
        self.counts.record(answer)
        return answer

    def _dispatch_in_slot(
        self,
        view: PoolView,
        workspace: Workspace,
        limits: Limits,
        dispatch: Callable[[ServiceCall], Answer],
        call: ServiceCall,
    ) -> Answer:
        slot = view.acquire_slot(workspace, CALL_COST, limits.remaining_s())
        if isinstance(slot, Failure):
            return slot
        try:
            return dispatch(call)
        finally:
            slot.release()

    def _run_once(
        self,
        environ: Environ,
        view: PoolView,
        workspace: Workspace,
        call: ServiceCall,
        limits: Limits,
    ) -> Answer:
        key = read_key(environ)
        text = environ.get(KEY_HEADER, "")
        if is_ticket(text):
            return self._run_ticketed(text, workspace, call, limits)
        token = read_retry_token(environ)
        if isinstance(key, Failure):
            return key
        if isinstance(token, Failure):
            return token.with_ran(Ran.UNKNOWN)
        name = CallKey(f"{workspace.id}/{key.key}")
        keyed = KeyedCall(name, key.dated, token, call, limits.deadline)
        slot = view.acquire_slot(workspace, CALL_COST, limits.remaining_s())
        if isinstance(slot, Failure):
            return self.keyed.refuse(keyed, slot)
        try:
            return self.keyed.run(keyed, self.caller.dispatch_once, self.ask_owner)
        finally:
            slot.release()

    def _run_ticketed(
        self, text: str, workspace: Workspace, call: ServiceCall, limits: Limits
    ) -> Answer:
        ticket = parse_ticket(text)
        if isinstance(ticket, Failure):
            return ticket
        if ticket.owner == self.tickets.incarnation:
            return self.tickets.run(workspace.id, text, call, self.caller.dispatch_once)
        request = TicketedCallRequest(ticket.owner, workspace.id, text, call)
        while limits.remaining_s() > 0:
            message = self.ask_owner(
                ticket.owner, request, min(OWNER_TIMEOUT_S, limits.remaining_s())
            )
            if isinstance(message, Failure):
                return message.with_ran(Ran.UNKNOWN)
            if message.reply is not None:
                return message.reply
            if message.failure is not None:
                return message.failure
        return Failure(Code.DEADLINE, Step.PEER, ticket.owner, "still running", Ran.UNKNOWN)

    def ask_owner(
        self, owner: Incarnation, request: AnswerRequest | TicketedCallRequest, timeout_s: float
    ) -> AnswerReply | Failure:
        """Ask the process that owns a key or ticket; a process on an unlisted host is gone."""
        row = self.hosts.by_id.get(incarnation_host(owner))
        if row is None or not row.peer_address or self.peers is None:
            detail = "the owner's host is not in the host list"
            return Failure(Code.PEER_GONE, Step.PEER, owner, detail, Ran.UNKNOWN)
        answer = self.peers.ask(row.peer_address, request, timeout_s)
        if isinstance(answer, Failure | AnswerReply):
            return answer
        return Failure(Code.PEER_GONE, Step.PEER, owner, "unexpected type of reply", Ran.UNKNOWN)

    def serve_peer(self, message: Message) -> AnswerReply:
        """Handle another host's request about a key or a ticket that this process owns."""
        match message:
            case AnswerRequest():
                return self.keyed.serve(message)
            case TicketedCallRequest() if message.owner == self.tickets.incarnation:
                return self._serve_ticketed(message)
        detail = "the process that issued the ticket is gone"
        failure = Failure(Code.PEER_GONE, Step.PEER, "host", detail, Ran.UNKNOWN)
        return AnswerReply(failure=failure)

    def _serve_ticketed(self, request: TicketedCallRequest) -> AnswerReply:
        """Start a ticket's call unless it was started, and wait a short time for its answer."""
        key = CallKey(request.ticket)
        answers = self.tickets.answers
        if key not in answers.by_key:
            task = eventlet.spawn(
                self.tickets.run,
                request.workspace,
                request.ticket,
                request.call,
                self.caller.dispatch_once,
            )
            eventlet.sleep(0)
            if key not in answers.by_key:
                # The call was refused without a slot, so the task ends at once.
                return to_message(task.wait())
        return to_message(answers.join(key, request.call, ANSWER_WAIT_S))


def _read_call(
    environ: Environ,
    responder: Responder,
    workspace: Workspace,
    view: PoolView,
    body: bytes,
    limits: Limits,
) -> ServiceCall:
    query = environ.get("QUERY_STRING", "")
    path = environ["PATH_INFO"] + (f"?{query}" if query else "")
    headers = {
        name[5:].replace("_", "-").title(): value
        for name, value in environ.items()
        if name.startswith("HTTP_") and is_forwarded(name[5:].replace("_", "-"))
    }
    headers["Request-Id"] = responder.request
    headers[WORKSPACE_HEADER] = workspace.id
    if environ.get("CONTENT_TYPE"):
        headers["Content-Type"] = environ["CONTENT_TYPE"]
    method = environ["REQUEST_METHOD"]
    pairs = tuple(sorted(headers.items()))
    seconds = max(0.1, limits.remaining_s())
    return ServiceCall(responder.request, view.pool.id, method, path, pairs, body, seconds)


def _forward_reply(reply: Reply, responder: Responder) -> Iterable[bytes]:
    forwarded = [(name, value) for name, value in reply.headers if is_forwarded(name)]
    upstream_headers = [
        pair for pair in forwarded if pair[0].lower() not in ("content-type", "request-id")
    ]
    by_name = {name.lower(): value for name, value in reply.headers}
    kind = by_name.get("content-type", "application/octet-stream")
    headers = [
        *responder.headers(kind),
        *upstream_headers,
        ("Content-Length", str(len(reply.body))),
    ]
    responder.start(f"{reply.status} Answered", headers)
    return [reply.body]
