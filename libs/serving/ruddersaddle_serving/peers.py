"""Messages to and from the other hosts, over `pynng` bus sockets.

One socket receives all messages; one socket for each peer is opened when it is first needed, so
that the number of connections grows with use and not with the square of the number of hosts. A
message is dropped silently if a queue is full on either side. `pynng` only moves the bytes; the
peers come from the list of hosts.

Bus sockets are used because push sockets send on connections that are gone and end the process by a
segmentation fault: with peers that restart all the time, 4 of 4 programs crashed within 5 s, and
none of 8 with bus sockets within 12 s.
"""

import itertools
import logging
from collections import Counter
from collections.abc import Callable, Iterable, Mapping
from typing import Any

import eventlet
import msgspec
import pynng
from eventlet import patcher
from eventlet.event import Event as Signal
from eventlet.hubs import get_hub
from ruddersaddle_base import clocks
from ruddersaddle_base.codecs import decode_msgpack, encode_msgpack
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.tasks import contain, spawn_forever

from ruddersaddle_serving.pipe_gates import PipeGate

logger = logging.getLogger(__name__)

# The library runs callbacks on threads of its own, but green locks work within one thread only: if
# two callbacks contend, one waits forever, and so does whoever closes its socket: the host hangs.
pynng.nng.threading = patcher.original("threading")
# Log calls of the library's threads would acquire green locks as well; there is nothing to log.
pynng.nng.logger.disabled = True

CONNECT_S = 0.5
"""Time-out of the first connection to a peer, in seconds."""
CONNECT_POLL_S = 0.01
QUEUE_MESSAGES = 256
"""Capacity of the queue to a slow peer; further messages are dropped."""
BACKLOG_POLL_S = 0.01
"""Interval of checks, after a time-out, whether all messages that have arrived are received."""
MESSAGE_MAX_BYTES = 4 * 1024 * 1024
"""Largest message; anybody who connects may send one. The state of a host with 12,000 upstreams has
3 MB."""
LARGE_MESSAGE_BYTES = 64 * 1024
"""Messages from this size on are looked at before they are copied."""
NO_ANSWER = 0
"""Exchange number of messages that expect no answer; others count from 1."""
RECEIVES_PER_TURN = 16
"""Messages that are received before other tasks get a turn."""
TASK_THREADS = 2
"""Number of task threads of the library; its default is about 30 threads in all."""

Message = Any
"""A message of the type that an instance of `Peers` was created for."""
Handler = Callable[[Message], Message]


class Envelope(msgspec.Struct, frozen=True):
    """A message in transit, with the sender's peer address and the number of the exchange."""

    sender: str
    exchange: int
    is_answer: bool
    message: msgspec.Raw
    got_no_answer: bool = False
    """The sender's last request to this host was not answered: the connection back may be dead."""


def limit_threads() -> None:
    """Limit the number of the library's threads; call before the first socket is opened."""
    library = pynng._nng.lib
    for name in ("TASK", "EXPIRE", "POLLER"):
        library.nng_init_set_parameter(getattr(library, f"NNG_INIT_NUM_{name}_THREADS"), 1)
        library.nng_init_set_parameter(getattr(library, f"NNG_INIT_MAX_{name}_THREADS"), 1)
    library.nng_init_set_parameter(library.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    library.nng_init_set_parameter(library.NNG_INIT_MAX_TASK_THREADS, TASK_THREADS)
    library.nng_init_set_parameter(library.NNG_INIT_NUM_RESOLVER_THREADS, 1)


class Peers:
    """This host's endpoint for messages to all others; `message_type` is a union of structs."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        message_type: Any,
        immediate_types: tuple[type, ...] = (),
    ) -> None:
        self.address = address
        self.handler = handler
        self.message_type = message_type
        self.immediate_types = immediate_types
        """Messages whose handler never waits: the task that receives them handles them, which
        saves a task for each."""
        self.sent_bytes = 0
        self.received_bytes = 0
        self.counter_by_address: Mapping[str, Counter[type]] = {}
        """Bytes sent by type of message to the peers that are in it: those of other regions."""
        self._socket: pynng.Bus0 | None = None
        self._socket_by_address: dict[str, pynng.Bus0] = {}
        self._signal_by_exchange: dict[int, Signal] = {}
        self._unanswered: set[str] = set()
        """Peers that did not answer the last request."""
        self._receiver: Any = None
        self._is_waiting = False
        """Whether the receiving task has taken all messages and waits for the next one."""
        self._exchange_numbers = itertools.count(1)
        self.gate = PipeGate()

    def start(self) -> None:
        """Listen, and start the task that receives messages."""
        self._socket = pynng.Bus0(recv_max_size=MESSAGE_MAX_BYTES, recv_buffer_size=512)
        self._socket.add_pre_pipe_connect_cb(self.gate.admit)
        self._socket.add_post_pipe_remove_cb(self.gate.remove)
        self._socket.listen(f"tcp://{self.address}")
        spawn_forever("peers", self._receive_all)

    def _receive_all(self) -> None:
        hub = get_hub()
        self._receiver = eventlet.getcurrent()
        # The listener stays for good: adding it for each wait is two system calls.
        listener = hub.add(
            hub.READ, self._socket.recv_fd, self._wake, self._receiver.throw, lambda: None
        )
        try:
            self._receive_until_closed(hub)
        finally:
            self._is_waiting = False
            hub.remove(listener)

    def _receive_until_closed(self, hub: Any) -> None:
        for turn in itertools.count(1):
            try:
                received = self._socket.recv_msg(block=False)
            except pynng.TryAgain:
                self._is_waiting = True
                hub.switch()
                continue
            except pynng.Closed:
                return
            with contain("messages"):
                if not self._refuse_large(received):
                    self._receive(received.bytes)
            # The next message may be awaited for long; this one may be large.
            del received
            if turn % RECEIVES_PER_TURN == 0:
                # Other tasks get a turn, however many messages arrive.
                eventlet.sleep(0)

    def _wake(self, _descriptor: int) -> None:
        """Wake the receiving task if it waits for messages and not for something else."""
        if self._is_waiting:
            self._is_waiting = False
            self._receiver.switch()

    def _refuse_large(self, received: pynng.Message) -> bool:
        """Close the connection of a large message that no host sent; return whether it is one.

        Such messages are read into memory faster than they could be copied.
        """
        data = received._buffer
        if len(data) < LARGE_MESSAGE_BYTES:
            return False
        envelope = decode_msgpack(data, Envelope, Step.PEER, "peer")
        if not isinstance(envelope, Failure):
            return False
        self.received_bytes += len(data)
        logger.warning("A large message could not be decoded. %s", envelope.detail)
        if received.pipe is not None:
            received.pipe.close()
        return True

    def _receive(self, data: bytes) -> None:
        self.received_bytes += len(data)
        envelope = decode_msgpack(data, Envelope, Step.PEER, "peer")
        if isinstance(envelope, Failure):
            logger.warning("Message could not be decoded. %s", envelope.detail)
            return
        if envelope.got_no_answer:
            self._close_to(envelope.sender, "the peer got no answer")
        message = decode_msgpack(envelope.message, self.message_type, Step.PEER, "peer")
        if isinstance(message, Failure):
            logger.warning(
                "Message of %s could not be decoded. %s", envelope.sender, message.detail
            )
        elif envelope.is_answer:
            self._handle_answer(envelope, message)
        elif isinstance(message, self.immediate_types):
            self._handle_immediately(envelope, message)
        else:
            eventlet.spawn(self._handle_request, envelope, message)

    def _handle_immediately(self, envelope: Envelope, message: Message) -> None:
        """Handle and answer a message in the receiving task, which must survive any error."""
        try:
            self._answer_immediately(envelope, message)
        except Exception:
            logger.exception("Message of %s could not be handled.", envelope.sender)

    def _answer_immediately(self, envelope: Envelope, message: Message) -> None:
        answer = self.handler(message)
        if envelope.exchange == NO_ANSWER:
            return
        wrapped = self._wrap(envelope.exchange, True, answer)
        socket = self._socket_to(envelope.sender)
        if socket.pipes:
            self._send_data(envelope.sender, socket, encode_msgpack(wrapped), type(answer))
        else:
            eventlet.spawn(self._send_envelope, envelope.sender, wrapped, type(answer))

    def _handle_answer(self, envelope: Envelope, message: Message) -> None:
        signal = self._signal_by_exchange.get(envelope.exchange)
        # An answer that arrives after the time-out of its request finds no signal and is dropped.
        if signal is not None and not signal.ready():
            signal.send(message)

    def _handle_request(self, envelope: Envelope, message: Message) -> None:
        answer = self.handler(message)
        if envelope.exchange == NO_ANSWER:
            return
        envelope_back = self._wrap(envelope.exchange, True, answer)
        self._send_envelope(envelope.sender, envelope_back, type(answer))

    def _wrap(self, exchange: int, is_answer: bool, message: Message) -> Envelope:
        return Envelope(self.address, exchange, is_answer, msgspec.Raw(encode_msgpack(message)))

    def _wrap_request(self, address: str, exchange: int, message: Message) -> Envelope:
        envelope = self._wrap(exchange, False, message)
        if address not in self._unanswered:
            return envelope
        return msgspec.structs.replace(envelope, got_no_answer=True)

    def ask(self, address: str, message: Message, timeout_s: float) -> Message | Failure:
        """Ask the host at a peer address; after a failure the message may have been handled."""
        exchange = next(self._exchange_numbers)
        signal: Signal = Signal()
        self._signal_by_exchange[exchange] = signal
        try:
            envelope = self._wrap_request(address, exchange, message)
            if not self._send_envelope(address, envelope, type(message)):
                return self._unreachable(address, "not connected")
            if self._await_answer(signal, timeout_s):
                self._unanswered.discard(address)
                return signal.wait()
            self._record_unanswered(address)
            return self._unreachable(address, f"no answer within {timeout_s:.1f} s")
        finally:
            del self._signal_by_exchange[exchange]

    def _await_answer(self, signal: Signal, timeout_s: float) -> bool:
        """Wait for an answer; return whether it came.

        At the time-out, messages that have arrived may not have been received, if the event loop
        was late. They are received first, for at most the time-out again.
        """
        with eventlet.Timeout(timeout_s, False):
            signal.wait()
            return True
        until = clocks.now_s() + timeout_s
        # The event loop polls its sockets before this task goes on.
        eventlet.sleep(0)
        while not signal.ready() and not self._is_waiting and clocks.now_s() < until:
            eventlet.sleep(BACKLOG_POLL_S)
        return signal.ready()

    def _record_unanswered(self, address: str) -> None:
        """Close the connection: the next messages use new ones, as this one may be dead."""
        self._unanswered.add(address)
        self._close_to(address, "the peer did not answer")

    def _close_to(self, address: str, reason: str) -> None:
        """Close the connection to a peer; the next message opens a new one."""
        socket = self._socket_by_address.pop(address, None)
        if socket is not None:
            logger.info("Connection to %s closed: %s.", address, reason)
            socket.close()

    def send(self, address: str, message: Message) -> None:
        """Send a message that needs no answer; it is dropped if there is no connection yet."""
        self.broadcast([address], message)

    def broadcast(self, addresses: Iterable[str], message: Message) -> None:
        """Send one message to many hosts, as `send` does."""
        data = encode_msgpack(self._wrap(NO_ANSWER, False, message))
        for address in addresses:
            socket = self._socket_to(address)
            if socket.pipes:
                self._send_data(address, socket, data, type(message))

    def _send_envelope(self, address: str, envelope: Envelope, kind: type) -> bool:
        socket = self._socket_to(address)
        if not self._await_connection(socket):
            return False
        return self._send_data(address, socket, encode_msgpack(envelope), kind)

    def _socket_to(self, address: str) -> pynng.Bus0:
        socket = self._socket_by_address.get(address)
        return self._dial(address) if socket is None else socket

    def _send_data(self, address: str, socket: pynng.Bus0, data: bytes, kind: type) -> bool:
        try:
            socket.send(data, block=False)
        except pynng.NNGException as error:
            logger.warning("Message to %s was not sent. %s", address, error)
            return False
        self.sent_bytes += len(data)
        counter = self.counter_by_address.get(address)
        if counter is not None:
            counter[kind] += len(data)
        return True

    def _dial(self, address: str) -> pynng.Bus0:
        socket = pynng.Bus0(send_buffer_size=QUEUE_MESSAGES)
        self._socket_by_address[address] = socket
        try:
            socket.dial(f"tcp://{address}", block=False)
        except pynng.NNGException as error:
            # It stays without a connection, like one to a host that doesn't answer.
            logger.warning("Peer address %r can't be connected to. %s", address, error)
        return socket

    def _await_connection(self, socket: pynng.Bus0) -> bool:
        waited_s = 0.0
        while not socket.pipes and waited_s < CONNECT_S:
            eventlet.sleep(CONNECT_POLL_S)
            waited_s += CONNECT_POLL_S
        return bool(socket.pipes)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the sockets to peers that are not in `addresses`."""
        for address in set(self._socket_by_address) - addresses:
            self._socket_by_address.pop(address).close()
        self._unanswered &= addresses

    def connected(self) -> list[str]:
        """Return the addresses of the peers to which a socket is open."""
        return sorted(self._socket_by_address)

    def _unreachable(self, address: str, detail: str) -> Failure:
        return Failure(Code.PEER_GONE, Step.PEER, address, detail, Ran.UNKNOWN)
