"""Relays requests to another host if this one has no path to the upstreams that others reach.

The receiving host authenticates, admits and places a request as if its caller had sent it there, so
that its listener for relays gives nothing that the one for callers doesn't. It never relays a
request again. What it refuses with `REFUSAL_HEADER` has not run and may go to another host; any
other answer of it is the caller's. Of an answer that contradicts itself nothing is used.
"""

import logging
import random
from collections import Counter
from collections.abc import Callable, Iterator, Sequence
from enum import Enum

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.answer_framings import Framing
from ruddersaddle_base.codecs import is_decimal_integer
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, HostId, RequestId
from ruddersaddle_routing.rendezvous import rank_names

from ruddersaddle_serving.answer_ends import AnswerEnd, ordinary_end
from ruddersaddle_serving.attempts import (
    NOT_RUN_STATUSES,
    REFUSAL_BYTES_MAX,
    REFUSAL_TIMEOUT_S,
)
from ruddersaddle_serving.event_streams import (
    EVENT_BYTES_MAX,
    EVENT_STREAM,
    ByteStream,
    EventSplitter,
    content_type,
)
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import AnswerHead, BufferedAnswer, Wire
from ruddersaddle_serving.prompts import CallerRequest, Headers, RelayTerms
from ruddersaddle_serving.request_traces import RequestTrace
from ruddersaddle_serving.run_statements import RunStatement
from ruddersaddle_serving.upstream_connections import (
    ANSWER_BYTES_MAX,
    Exchange,
    UpstreamConnections,
)

logger = logging.getLogger(__name__)

NOT_RUN_STATUS = 503
"""The only status with which a host promises that a request has not run and never will."""

SENDER_HEADER = "Relay-Sender"
VERSION_HEADER = "Relay-Configuration"
UPSTREAMS_HEADER = "Relay-Upstreams"
REFUSAL_HEADER = "Relay-Refusal"
FRAMING_HEADER = "Relay-Framing"
"""How the upstream's answer was framed, if it ended with its connection. Answers between hosts are
always framed."""
TERMS_HEADERS = frozenset(
    name.lower() for name in (SENDER_HEADER, VERSION_HEADER, UPSTREAMS_HEADER)
)
ANSWER_HEADERS = frozenset(name.lower() for name in (REFUSAL_HEADER, FRAMING_HEADER))
"""Headers that only hosts add to answers."""
PEERS_PER_HALL = 4
"""Hosts of each hall that one host relays to, by rendezvous hashing: connections grow with hosts,
not with their square."""
PEERS_TRIED = 4
"""Hosts that one request is offered to until one accepts it."""
FAR_PENALTY = 2
"""A host of another hall gets a request if the nearer ones have this many more under way."""
STOPPING_PAUSE_S = 2.0
"""A host that is stopping gets no relayed request for this long."""
SUSPECT_S = 2.0
"""A host that couldn't be connected to, or lost a request, is suspect for this long: it gets
requests only if there is no other, one at a time until a connection opens."""
NO_PATH_PAUSE_S = 1.0
"""A host without a path to the upstreams gets no relayed request for this long."""
EXPLORE_PAUSE_S = 0.1
"""Pause between requests for hosts beyond `PEERS_PER_HALL`, if none of these is usable."""


class RelayRefusal(Enum):
    """Why a host refuses a relayed request that another host may accept."""

    STOPPING = "stopping"
    OLDER_CONFIGURATION = "older configuration"
    NO_CONFIGURATION = "no configuration"
    STALE_CONFIGURATION = "stale configuration"
    NO_PATH = "no path"


def refusal_of(failure: Failure) -> RelayRefusal | None:
    """Return why another host may accept a request that failed here; None if none would."""
    if failure.ran is not Ran.NOT_RUN:
        return None
    match failure:
        case Failure(code=Code.STOPPING):
            return RelayRefusal.STOPPING
        case Failure(code=Code.NOT_READY):
            return RelayRefusal.NO_CONFIGURATION
        case Failure(code=Code.OTHER_VERSION, step=Step.PEER):
            return RelayRefusal.OLDER_CONFIGURATION
        case Failure(code=Code.STALE_CONFIGURATION):
            return RelayRefusal.STALE_CONFIGURATION
        case Failure(code=Code.NO_UPSTREAM, step=Step.CONNECT):
            return RelayRefusal.NO_PATH
    return None


def read_terms(headers: Headers) -> RelayTerms | Failure:
    """Return the terms of a relayed request from its headers."""
    by_name = {name.lower(): value for name, value in headers}
    version = by_name.get(VERSION_HEADER.lower(), "")
    upstreams = by_name.get(UPSTREAMS_HEADER.lower(), "")
    sender = by_name.get(SENDER_HEADER.lower(), "")
    if not (sender and is_decimal_integer(version) and is_decimal_integer(upstreams)):
        return Failure(Code.BAD_REQUEST, Step.PARSE, "peer", "malformed terms of a relayed request")
    return RelayTerms(sender, int(version), int(upstreams))


def without_terms(headers: Headers) -> Headers:
    """Return the headers that the caller sent."""
    return tuple(each for each in headers if each[0].lower() not in TERMS_HEADERS)


def without_answer_headers(headers: Headers) -> Headers:
    """Return the headers of an upstream's answer without those that only hosts may add."""
    return tuple(each for each in headers if each[0].lower() not in ANSWER_HEADERS)


def find_contradiction(
    head: AnswerHead, refusals: Sequence[str], framings: Sequence[str]
) -> str | None:
    """Return what in the head of a relayed answer contradicts the rest of it; None if nothing does.

    A host promises that a request has not run by one status alone, on answers of its own, which
    have no receipt. It passes on no upstream's statement that a request has not run.
    """
    is_signed = head.has_receipt
    if head.statement is not RunStatement.NONE:
        return f"status {head.status} with a statement of an upstream, {head.statement.value}"
    if refusals and not _is_refusal(refusals):
        return f"malformed refusals {refusals!r}"
    if refusals and (head.status != NOT_RUN_STATUS or is_signed or framings):
        return f"refusal {refusals[0]!r} of an answer to a run, status {head.status}"
    if head.status in NOT_RUN_STATUSES and (head.status != NOT_RUN_STATUS or is_signed):
        return f"status {head.status} of an answer to a run"
    if framings not in ([], [Framing.CONNECTION.value]):
        return f"malformed framings {framings!r}"
    return None


def _is_refusal(values: Sequence[str]) -> bool:
    return len(values) == 1 and values[0] in {each.value for each in RelayRefusal}


def _as_framed_by_upstream(head: AnswerHead) -> AnswerHead:
    """Return the head of a relayed answer with the framing that the upstream's answer had."""
    if FRAMING_HEADER.lower() not in {name.lower() for name, _ in head.headers}:
        return head
    headers = without_answer_headers(head.headers)
    return msgspec.structs.replace(head, headers=headers, framing=Framing.CONNECTION)


class RelayPeer:
    """Another host as a target of relayed requests."""

    def __init__(self, host: HostId, record: HostRecord) -> None:
        self.host = host
        self.record = record
        self.connections = UpstreamConnections(record.relay)
        self.in_flight = 0
        self.refused_until = float("-inf")
        """Until when it gets nothing, as it has refused a request."""
        self.suspect_until = float("-inf")
        self.is_connecting = False
        """Whether a connection to it is being opened while it is suspect."""

    def record_refusal(self, pause_s: float) -> None:
        """Record that it refused a request, and probably will for a while."""
        self.refused_until = clocks.now_s() + pause_s

    def record_failure(self) -> None:
        """Record that it couldn't be connected to, or lost a request."""
        self.suspect_until = clocks.now_s() + SUSPECT_S


class RelayPeers:
    """Chooses hosts to relay to; shared by all requests of a host."""

    def __init__(
        self,
        hosts: Hosts,
        wire: Wire,
        may_relay_to: Callable[[CallerRequest, HallId], bool],
    ) -> None:
        self.hosts = hosts
        self.wire = wire
        self.may_relay_to = may_relay_to
        self.counts = {"accepted": 0, "refused": 0, "failed": 0, "broken": 0}
        """Offers of requests to other hosts by outcome."""
        self._peer_by_host: dict[HostId, RelayPeer] = {}
        self._explore_at = float("-inf")
        self._digest = 0
        self._first: list[HostId] = []
        """The first hosts of each hall, by rendezvous hashing of this host's id."""
        self._others: list[HostId] = []
        self._found: list[HostId] = []
        """The host among `_others` that accepted a request last, if any."""

    def choose(self, request: CallerRequest, excluded: set[HostId]) -> RelayPeer | None:
        """Return the host to relay a request to; None if there is none.

        Hosts that have refused a short while ago are left out, so that no request goes round if no
        host has a path.
        """
        self._rank()
        usable = self._find_usable([*self._first, *self._found], request, excluded)
        if usable:
            return min(usable, key=self._sort_key)
        now = clocks.now_s()
        if now < self._explore_at:
            return None
        self._explore_at = now + EXPLORE_PAUSE_S
        spare = self._find_usable(self._others, request, excluded)
        return random.choice(spare) if spare else None

    def record_accepted(self, peer: RelayPeer) -> None:
        """Record that a host accepted a request; one that was found by chance is used again."""
        self.counts["accepted"] += 1
        if peer.host not in self._first:
            self._found = [peer.host]

    def _find_usable(
        self, hosts: list[HostId], request: CallerRequest, excluded: set[HostId]
    ) -> list[RelayPeer]:
        peers = (self._usable_peer(host, request) for host in hosts if host not in excluded)
        return [peer for peer in peers if peer is not None]

    def _usable_peer(self, host: HostId, request: CallerRequest) -> RelayPeer | None:
        """Return a host if it may accept a request; a suspect one is tried by one at a time."""
        record = self.hosts.by_id.get(host)
        if record is None or not record.relay:
            return None
        peer = self._get_peer(host, record)
        is_refusing = clocks.now_s() < peer.refused_until
        if is_refusing or peer.is_connecting or not self.may_relay_to(request, record.hall):
            return None
        return peer

    def is_suspect(self, peer: RelayPeer) -> bool:
        """Return whether a host probably doesn't answer; a busy one may only have been late."""
        is_late = clocks.now_s() < peer.suspect_until
        return is_late or not self.hosts.is_responsive(peer.record.address)

    def open_exchange(self, peer: RelayPeer, request: RequestId) -> Exchange | Failure:
        """Return an exchange with a host; a connection to a suspect one clears it."""
        is_suspect = self.is_suspect(peer)
        peer.is_connecting = is_suspect
        try:
            exchange = peer.connections.open_exchange(request)
        finally:
            peer.is_connecting = False
        if is_suspect and not isinstance(exchange, Failure):
            peer.suspect_until = float("-inf")
            self.hosts.record_response(peer.record.address)
        return exchange

    def _sort_key(self, peer: RelayPeer) -> tuple[bool, bool, float, float]:
        hall = peer.record.hall
        is_far = hall != self.hosts.own.hall
        is_abroad = not self.hosts.regions.is_own(hall)
        return (
            self.is_suspect(peer),
            is_abroad,
            peer.in_flight + FAR_PENALTY * is_far,
            random.random(),
        )

    def _rank(self) -> None:
        """Select the first hosts of each hall again if the list of hosts has changed."""
        if self._digest == self.hosts.digest:
            return
        self._digest = self.hosts.digest
        self._first, self._others, self._found = [], [], []
        count_by_hall: Counter[HallId] = Counter()
        for name in rank_names(self.hosts.own_id, self.hosts.by_id):
            host = HostId(name)
            hall = self.hosts.by_id[host].hall
            count_by_hall[hall] += 1
            is_first = count_by_hall[hall] <= PEERS_PER_HALL
            (self._first if is_first else self._others).append(host)
        self._drop_gone_peers()

    def _get_peer(self, host: HostId, record: HostRecord) -> RelayPeer:
        peer = self._peer_by_host.get(host)
        if peer is None or peer.record != record:
            peer = self._peer_by_host[host] = RelayPeer(host, record)
        return peer

    def _drop_gone_peers(self) -> None:
        for gone in set(self._peer_by_host) - set(self.hosts.by_id):
            self._peer_by_host.pop(gone).connections.close()

    def close_expired(self) -> None:
        """Close idle connections that are too old."""
        for peer in self._peer_by_host.values():
            peer.connections.close_expired()


class Relaying:
    """The relaying of one request."""

    def __init__(
        self, peers: RelayPeers, request: CallerRequest, terms: RelayTerms, trace: RequestTrace
    ) -> None:
        self.peers = peers
        self.request = request
        self.terms = terms
        self.trace = trace
        self.splitter: EventSplitter | ByteStream = EventSplitter()
        self._peer: RelayPeer | None = None
        self._exchange: Exchange | None = None
        self._framing = Framing.DELIMITED
        """Framing of the upstream's answer."""
        self._excluded: set[HostId] = set()

    def begin(self) -> BufferedAnswer | AnswerHead | Failure | None:
        """Return another host's answer; None if no host accepted the request, which has not run.

        A stream's head is returned without its events; see `events`.
        """
        for _ in range(PEERS_TRIED):
            self._peer = self._choose()
            if self._peer is None:
                return None
            is_suspect = self.peers.is_suspect(self._peer)
            result = self._offer()
            if not (isinstance(result, Failure) and result.ran is Ran.NOT_RUN):
                return result
            self.finish()
            if is_suspect:
                # All others are suspect as well, and each may cost a connect timeout.
                return None
        return None

    def _choose(self) -> RelayPeer | None:
        peer = self.peers.choose(self.request, self._excluded)
        if peer is not None:
            self._excluded.add(peer.host)
        return peer

    def _offer(self) -> BufferedAnswer | AnswerHead | Failure:
        peer = self._peer
        peer.in_flight += 1
        exchange = self.peers.open_exchange(peer, self.request.id)
        if isinstance(exchange, Failure):
            return self._fail(exchange)
        self._exchange = exchange
        failure = self._send()
        head = failure or exchange.read_head(self.peers.wire)
        if isinstance(head, Failure):
            return self._fail(head)
        if head.request != self.request.id:
            detail = f"the answer names request {head.request!r}, not {self.request.id!r}"
            return self._fail(
                Failure(Code.UPSTREAM_FAILED, Step.PEER, peer.host, detail, Ran.UNKNOWN)
            )
        if head.framing is not Framing.DELIMITED:
            return self._break(exchange.break_off("the relayed answer has no framing"))
        refusals = exchange.raw.headers.getlist(REFUSAL_HEADER)
        framings = exchange.raw.headers.getlist(FRAMING_HEADER)
        contradiction = find_contradiction(head, refusals, framings)
        if contradiction is not None:
            return self._contradicted(contradiction)
        if refusals:
            return self._apply_refusal(RelayRefusal(refusals[0]))
        head = _as_framed_by_upstream(head)
        self._framing = head.framing
        self.trace.relayed_to = peer.host
        if head.status == 200 and self.request.is_stream:
            self.peers.record_accepted(self._peer)
            if content_type(head.headers) not in (None, EVENT_STREAM):
                self.splitter = ByteStream()
            return head
        return self._read_complete(head)

    def _send(self) -> Failure | None:
        request = self.request
        remaining_s = request.remaining_s
        headers = self.peers.wire.write_relayed(request.raw_headers, remaining_s)
        headers[SENDER_HEADER] = self.terms.sender
        headers[VERSION_HEADER] = str(self.terms.version)
        headers[UPSTREAMS_HEADER] = str(self.terms.upstreams_max)
        return self._exchange.send(
            request.method, request.target, request.body, headers, remaining_s
        )

    def _read_complete(self, head: AnswerHead) -> BufferedAnswer | Failure:
        body = self._exchange.read_all(ANSWER_BYTES_MAX)
        if isinstance(body, Failure):
            return self._break(body)
        self.peers.record_accepted(self._peer)
        self.trace.attempts.append(f"relayed to {self._peer.host}: status {head.status}")
        return BufferedAnswer(head.status, head.headers, body, head.framing)

    def _apply_refusal(self, refusal: RelayRefusal) -> Failure:
        failure = self._exchange.drain(REFUSAL_BYTES_MAX, REFUSAL_TIMEOUT_S)
        if failure is not None:
            logger.debug(
                "Connection to host %s closed, as the body of a refusal was not read: %s.",
                self._peer.host,
                failure.detail,
            )
        self.peers.counts["refused"] += 1
        if refusal is RelayRefusal.NO_PATH:
            self._peer.record_refusal(NO_PATH_PAUSE_S)
        elif refusal is RelayRefusal.STOPPING:
            self._peer.record_refusal(STOPPING_PAUSE_S)
        detail = f"relayed to {self._peer.host}: refused, {refusal.value}"
        self.trace.attempts.append(detail)
        return Failure(Code.NO_UPSTREAM, Step.PEER, self._peer.host, detail, Ran.NOT_RUN)

    def _contradicted(self, contradiction: str) -> Failure:
        """Return the failure of an answer that contradicts itself; nothing that it says is used."""
        host = self._peer.host
        detail = f"the answer contradicts itself: {contradiction}"
        fields = {"request": self.request.id}
        logger.warning("Answer of %s not used: %s.", host, detail, extra=fields)
        return self._fail(Failure(Code.UPSTREAM_FAILED, Step.PEER, host, detail, Ran.UNKNOWN))

    def _fail(self, failure: Failure) -> Failure:
        self.peers.counts["failed"] += 1
        self._peer.record_failure()
        self.trace.attempts.append(f"relayed to {self._peer.host}: {failure.detail}")
        return failure

    def _break(self, failure: Failure) -> Failure:
        """Record that an answer broke off, be it by the host or by its upstream."""
        self.peers.counts["broken"] += 1
        self.trace.attempts.append(f"relayed to {self._peer.host}: {failure.detail}")
        return failure

    def events(self) -> Iterator[bytes | Failure]:
        """Yield complete events as they arrive; a failure, if any, comes last."""
        while True:
            data = self._exchange.read_some()
            if not data and self.splitter.is_inside_event:
                data = self._exchange.break_off("ended inside an event")
            if isinstance(data, Failure):
                yield self._break(data)
                return
            events = self.splitter.feed(data) if data else self.splitter.flush()
            excess = self._find_excess()
            if events:
                yield events
            if excess is not None:
                yield self._break(excess)
                return
            if not data:
                self.trace.attempts.append(f"relayed to {self._peer.host}: {self._end()}")
                return

    def _find_excess(self) -> Failure | None:
        """Return the failure of a stream whose events are too large to be buffered."""
        if self.splitter.has_endless_event:
            return self._exchange.refuse_rest(f"an event of more than {EVENT_BYTES_MAX} bytes")
        buffered = self.splitter.buffered_bytes
        if self._exchange.has_room_for(buffered):
            return None
        return self._exchange.refuse_rest(f"{buffered} bytes of an event, beside others")

    def _end(self) -> str:
        """Return what is known of a stream that ended between events."""
        is_complete = ordinary_end(self._framing) is AnswerEnd.COMPLETE
        return "whole" if is_complete else "ended with the upstream's connection"

    def finish(self) -> None:
        """End the request at any stage; an incomplete answer's connection is closed."""
        if self._peer is None:
            return
        self._peer.in_flight -= 1
        self._peer = None
        if self._exchange is not None:
            self._exchange.finish()
            self._exchange = None
