"""Tickets: calls that only the process that issued the ticket may run, without the log.

A ticket can be used while the log is unavailable. The issuing process alone decides, so a call runs
at most once even if that process is paused. Once it is gone, the answer is `unknown`, and the call
is never run a second time.
"""

import hmac
import secrets
import time
from hashlib import sha256

import msgspec
from ruddersaddle_base.codecs import is_decimal_integer
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import CallKey, Incarnation

from ruddersaddle.answers import Answer, AnswerCache
from ruddersaddle.keyed_calls import Dispatch
from ruddersaddle.messages import ServiceCall

PREFIX = "ticket"
SEPARATOR = ":"
SECRET_BYTES = 32
SIGNATURE_LETTERS = 32
PART_COUNT = 5


class Ticket(msgspec.Struct, frozen=True):
    """The fields of a ticket: the process that may run it, and its expiry in Unix seconds."""

    owner: Incarnation
    until: float
    nonce: str
    signature: str


class TicketIssuer:
    """Issues this process's tickets and runs the calls that use them.

    Tickets are signed with a secret of this process, so unused ones take no memory.
    """

    def __init__(self, incarnation: Incarnation, valid_s: float, answers: AnswerCache) -> None:
        self.incarnation = incarnation
        self.valid_s = valid_s
        self.answers = answers
        self.issued = 0
        self._secret = secrets.token_bytes(SECRET_BYTES)

    def issue(self, workspace: str) -> str:
        """Return a new ticket for one call of a workspace."""
        self.issued += 1
        until = f"{time.time() + self.valid_s:.0f}"
        nonce = secrets.token_hex(8)
        signature = self._sign(workspace, until, nonce)
        return SEPARATOR.join((PREFIX, self.incarnation, until, nonce, signature))

    def _sign(self, workspace: str, until: str, nonce: str) -> str:
        text = SEPARATOR.join((workspace, until, nonce))
        return hmac.new(self._secret, text.encode(), sha256).hexdigest()[:SIGNATURE_LETTERS]

    def run(self, workspace: str, text: str, call: ServiceCall, dispatch: Dispatch) -> Answer:
        """Run a ticket's call unless it was run before, and return its answer.

        A call that failed before any byte was sent also uses up the ticket. Otherwise a delayed
        copy of the call could run after the caller got `not_run`.
        """
        ticket = parse_ticket(text)
        if isinstance(ticket, Failure):
            return ticket
        signature = self._sign(workspace, f"{ticket.until:.0f}", ticket.nonce)
        if not hmac.compare_digest(ticket.signature, signature):
            return _invalid_ticket("the ticket is not of this workspace and process")
        key = CallKey(text)
        if key in self.answers.by_key:
            answer = self.answers.join(key, call, call.seconds)
            return _running() if answer is None else answer
        if time.time() > ticket.until:
            detail = "the ticket has expired; the call is not run"
            return Failure(Code.KEY_EXPIRED, Step.CLAIM, self.incarnation, detail, Ran.UNKNOWN)
        slot = self.answers.begin(key, call)
        answer = dispatch(call)
        self.answers.finish(slot, answer)
        return answer


def is_ticket(key: str) -> bool:
    """Return whether an idempotency key is a ticket."""
    return key.startswith(PREFIX + SEPARATOR)


def parse_ticket(text: str) -> Ticket | Failure:
    """Parse a ticket; its signature is not verified."""
    parts = text.split(SEPARATOR)
    if len(parts) != PART_COUNT or not is_decimal_integer(parts[2]):
        return _invalid_ticket("not a ticket")
    return Ticket(Incarnation(parts[1]), float(parts[2]), parts[3], parts[4])


def _invalid_ticket(detail: str) -> Failure:
    return Failure(Code.BAD_REQUEST, Step.CLAIM, "caller", detail)


def _running() -> Failure:
    detail = "the call was still running at the deadline"
    return Failure(Code.DEADLINE, Step.READ, "host", detail, Ran.UNKNOWN)
