"""Messages to and from the other hosts, over `pynng` bus sockets.

One socket takes all that comes; one for each peer is opened when it is first needed, so that links
grow with use and not with the square of the hosts. Where a queue is full, on either side, a message
is dropped without a word. (Push sockets send on connections that are gone, and end the process by a
segmentation fault: 4 of 4 programs within 5 s whose peers were started again all the time, 0 of 8
in 12 s on the bus.) `pynng` only moves the bytes; who is a peer comes from the host list.
"""

import itertools
import logging
from collections.abc import Callable, Iterable
from typing import Any

import eventlet
import msgspec
import pynng
from eventlet import patcher
from eventlet.event import Event as Signal
from eventlet.hubs import trampoline
from ruddersaddle_base.codecs import decode_packed, encode_packed
from ruddersaddle_base.failures import Code, Failure, Ran, Step

logger = logging.getLogger(__name__)

# The library calls back on threads of its own. Green locks are for one thread: when two callbacks
# met, one waited for good, and whoever closed its socket waited for it: the whole host stood still.
pynng.nng.threading = patcher.original("threading")
# Log calls take locks, too; there is nothing to log there.
pynng.nng.logger.disabled = True

CONNECT_S = 0.5
"""Longest wait for a first connection to a peer, in seconds."""
CONNECT_STEP_S = 0.01
QUEUE_MESSAGES = 256
"""Messages that wait for a slow peer; more are dropped."""
MESSAGE_MAX = 16 * 1024 * 1024
NO_ANSWER = 0
"""Number of exchanges that expect no answer; others count from 1."""
TASK_THREADS = 2
"""Threads of the library; it would start about 30."""

Message = Any
"""A message of the type that a `Peers` was made for."""
Handler = Callable[[Message], Message]


class Envelope(msgspec.Struct, frozen=True):
    """A message on its way: the sender's peer address, the exchange it belongs to."""

    sender: str
    exchange: int
    is_answer: bool
    message: msgspec.Raw
    got_no_answer: bool = False
    """The sender's last question to this host was not answered: the connection back may be dead."""


def limit_threads() -> None:
    """Keep the library's threads few; call before the first socket is opened."""
    library = pynng._nng.lib
    for name in ("TASK", "EXPIRE", "POLLER"):
        library.nng_init_set_parameter(getattr(library, f"NNG_INIT_NUM_{name}_THREADS"), 1)
        library.nng_init_set_parameter(getattr(library, f"NNG_INIT_MAX_{name}_THREADS"), 1)
    library.nng_init_set_parameter(library.NNG_INIT_NUM_TASK_THREADS, TASK_THREADS)
    library.nng_init_set_parameter(library.NNG_INIT_MAX_TASK_THREADS, TASK_THREADS)
    library.nng_init_set_parameter(library.NNG_INIT_NUM_RESOLVER_THREADS, 1)


class Peers:
    """This host's end of the messages to all others; `message_type` is a union of structs."""

    def __init__(self, address: str, handler: Handler, message_type: Any) -> None:
        self.address = address
        self.handler = handler
        self.message_type = message_type
        self.sent_bytes = 0
        self.received_bytes = 0
        self._socket: pynng.Bus0 | None = None
        self._socket_by_address: dict[str, pynng.Bus0] = {}
        self._signal_by_exchange: dict[int, Signal] = {}
        self._unanswered: set[str] = set()
        """Peers that did not answer the last question."""
        self._exchanges = itertools.count(1)

    def start(self) -> None:
        """Listen, and start the task that takes messages."""
        self._socket = pynng.Bus0(
            listen=f"tcp://{self.address}", recv_max_size=MESSAGE_MAX, recv_buffer_size=512
        )
        eventlet.spawn(self._run)

    def _run(self) -> None:
        while True:
            try:
                data = self._socket.recv(block=False)
            except pynng.TryAgain:
                trampoline(self._socket.recv_fd, read=True)
                continue
            except pynng.Closed:
                return
            self.received_bytes += len(data)
            self._take(data)

    def _take(self, data: bytes) -> None:
        envelope = decode_packed(data, Envelope, Step.PEER, "peer")
        if isinstance(envelope, Failure):
            logger.warning("Unreadable message. %s", envelope.detail)
            return
        if envelope.got_no_answer:
            self._close_to(envelope.sender, "it got no answer")
        message = decode_packed(bytes(envelope.message), self.message_type, Step.PEER, "peer")
        if isinstance(message, Failure):
            logger.warning("Unreadable message of %s. %s", envelope.sender, message.detail)
        elif envelope.is_answer:
            self._take_answer(envelope, message)
        else:
            eventlet.spawn(self._serve, envelope, message)

    def _take_answer(self, envelope: Envelope, message: Message) -> None:
        signal = self._signal_by_exchange.get(envelope.exchange)
        # An answer that comes after its asker gave up finds no signal and is dropped.
        if signal is not None and not signal.ready():
            signal.send(message)

    def _serve(self, envelope: Envelope, message: Message) -> None:
        answer = self.handler(message)
        if envelope.exchange == NO_ANSWER:
            return
        self._send_envelope(envelope.sender, self._wrap(envelope.exchange, True, answer))

    def _wrap(self, exchange: int, is_answer: bool, message: Message) -> Envelope:
        return Envelope(self.address, exchange, is_answer, msgspec.Raw(encode_packed(message)))

    def _wrap_question(self, address: str, exchange: int, message: Message) -> Envelope:
        envelope = self._wrap(exchange, False, message)
        is_unanswered = address in self._unanswered
        return msgspec.structs.replace(envelope, got_no_answer=is_unanswered)

    def ask(self, address: str, message: Message, timeout_s: float) -> Message | Failure:
        """Ask the host at a peer address; a failure says that no answer came, not that it ran."""
        exchange = next(self._exchanges)
        signal: Signal = Signal()
        self._signal_by_exchange[exchange] = signal
        try:
            if not self._send_envelope(address, self._wrap_question(address, exchange, message)):
                return self._gone(address, "not connected")
            with eventlet.Timeout(timeout_s, False):
                answer = signal.wait()
                self._unanswered.discard(address)
                return answer
            self._note_unanswered(address)
            return self._gone(address, f"no answer within {timeout_s:.1f} s")
        finally:
            del self._signal_by_exchange[exchange]

    def _note_unanswered(self, address: str) -> None:
        """Use new connections both ways from now on: those that stand may be silent for good."""
        self._unanswered.add(address)
        self._close_to(address, "it did not answer")

    def _close_to(self, address: str, reason: str) -> None:
        """Close the connection to a peer; the next message opens a new one."""
        socket = self._socket_by_address.pop(address, None)
        if socket is not None:
            logger.info("Connection to %s is closed, %s.", address, reason)
            socket.close()

    def send(self, address: str, message: Message) -> None:
        """Send a message that needs no answer; it is dropped where no connection stands yet."""
        self.broadcast([address], message)

    def broadcast(self, addresses: Iterable[str], message: Message) -> None:
        """Send one message to many hosts, as `tell` does."""
        data = encode_packed(self._wrap(NO_ANSWER, False, message))
        for address in addresses:
            socket = self._socket_to(address)
            if socket.pipes:
                self._send_data(address, socket, data)

    def _send_envelope(self, address: str, envelope: Envelope) -> bool:
        socket = self._socket_to(address)
        if not self._await_connection(socket):
            return False
        return self._send_data(address, socket, encode_packed(envelope))

    def _socket_to(self, address: str) -> pynng.Bus0:
        socket = self._socket_by_address.get(address)
        return self._dial(address) if socket is None else socket

    def _send_data(self, address: str, socket: pynng.Bus0, data: bytes) -> bool:
        try:
            socket.send(data, block=False)
        except pynng.NNGException as error:
            logger.warning("Message to %s was not sent. %s", address, error)
            return False
        self.sent_bytes += len(data)
        return True

    def _dial(self, address: str) -> pynng.Bus0:
        socket = pynng.Bus0(send_buffer_size=QUEUE_MESSAGES)
        socket.dial(f"tcp://{address}", block=False)
        self._socket_by_address[address] = socket
        return socket

    def _await_connection(self, socket: pynng.Bus0) -> bool:
        waited_s = 0.0
        while not socket.pipes and waited_s < CONNECT_S:
            eventlet.sleep(CONNECT_STEP_S)
            waited_s += CONNECT_STEP_S
        return bool(socket.pipes)

    def keep_only(self, addresses: set[str]) -> None:
        """Close the sockets to peers that are no longer listed."""
        for address in set(self._socket_by_address) - addresses:
            self._socket_by_address.pop(address).close()
        self._unanswered &= addresses

    def connected(self) -> list[str]:
        """Return the peers to which a connection was opened."""
        return sorted(self._socket_by_address)

    def _gone(self, address: str, detail: str) -> Failure:
        return Failure(Code.PEER_GONE, Step.PEER, address, detail, Ran.UNKNOWN)
