"""Parsing and validation of callers' requests into typed values."""

import email.utils
import re
import string
import time
import uuid
from collections.abc import Mapping
from hashlib import sha256

import msgspec
from ruddersaddle_base.codecs import decode_json, is_decimal_integer
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import RequestId
from ruddersaddle_base.settings import suggest
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Template, Workspace

CALLER = "caller"
BEARER = "bearer "
ASSISTANT_OPENING = "assistant: "
"""Ends a chat's prompt, so that prompt plus answer is a prefix of the next turn's prompt."""
MAX_TOKENS_LIMIT = 65536
DEADLINE_HEADER = "HTTP_DEADLINE_MS"
CLASS_HEADER = "HTTP_PRIORITY_CLASS"
KEY_HEADER = "HTTP_IDEMPOTENCY_KEY"
DATE_HEADER = "HTTP_IDEMPOTENCY_DATE"
TOKEN_HEADER = "HTTP_RETRY_TOKEN"
PRIORITY_BY_CLASS = {"urgent": 0, "normal": 1, "batch": 2}
URGENCY_BY_CLASS = {"urgent": 4.0, "normal": 1.0, "batch": 0.25}
"""Factor of each class on its workspace's weight."""
KEY_PATTERN = re.compile(r"[\x21-\x7e]{1,200}")
UUID_TIME_SHIFT = 80
MS_PER_S = 1000


class Message(msgspec.Struct, frozen=True):
    """One message of a chat."""

    role: str
    content: str


class CompletionBody(msgspec.Struct, frozen=True):
    """Body of a completion or chat request."""

    model: str
    prompt: str = ""
    messages: tuple[Message, ...] = ()
    max_tokens: int = 256
    stream: bool = False
    adapter: str = ""
    template: str = ""
    parameters: dict[str, str] = {}


class Limits(msgspec.Struct, frozen=True):
    """A request's priority class and its deadline, in monotonic seconds."""

    group: str
    deadline: float

    @property
    def priority(self) -> int:
        """The priority for the engine; lower values go first."""
        return PRIORITY_BY_CLASS[self.group]

    @property
    def urgency(self) -> float:
        """Factor of the class on its workspace's weight."""
        return URGENCY_BY_CLASS[self.group]

    def remaining_s(self) -> float:
        """Return the seconds left until the deadline."""
        return self.deadline - time.monotonic()


class PromptRequest(msgspec.Struct, frozen=True):
    """A validated prompt request."""

    id: RequestId
    workspace: Workspace
    body: CompletionBody
    text: str
    chat: bool
    limits: Limits


class KeyDate(msgspec.Struct, frozen=True):
    """A call's idempotency key and the date of the key in Unix seconds."""

    key: str
    dated: float


def find_workspace(configuration: Configuration, header: str) -> Workspace | Failure:
    """Return the workspace that the caller's key in the `Authorization` header belongs to."""
    if header.lower().startswith(BEARER):
        digest = digest_key(header[len(BEARER) :].strip())
        workspace = configuration.workspace_by_digest.get(digest)
        if workspace is not None:
            return workspace
    detail = "expected Authorization: Bearer and a known key"
    return Failure(Code.UNAUTHORIZED, Step.AUTHENTICATE, CALLER, detail)


def digest_key(key: str) -> str:
    """Return the digest that is published for a caller's key."""
    return sha256(key.encode()).hexdigest()


def read_limits(environ: Mapping[str, str], default_s: float) -> Limits | Failure:
    """Return the priority class and the deadline from the headers."""
    group = environ.get(CLASS_HEADER, "normal")
    if group not in PRIORITY_BY_CLASS:
        return _bad_request(f"Priority-Class: {suggest(group, PRIORITY_BY_CLASS)}")
    text = environ.get(DEADLINE_HEADER, "")
    if not text:
        return Limits(group, time.monotonic() + default_s)
    if not is_decimal_integer(text) or not 0 < int(text) <= 3_600_000:
        return _bad_request("Deadline-Ms: expected 1 to 3600000")
    return Limits(group, time.monotonic() + int(text) / MS_PER_S)


def read_completion(data: bytes, chat: bool) -> CompletionBody | Failure:
    """Return the validated body of a completion or chat."""
    body = decode_json(data, CompletionBody, Step.PARSE, CALLER)
    if isinstance(body, Failure):
        return body
    if chat and not body.messages:
        return _bad_request("messages: expected at least one message")
    if not chat and not body.prompt and not body.template:
        return _bad_request("prompt: expected text, or a template")
    if not 1 <= body.max_tokens <= MAX_TOKENS_LIMIT:
        return _bad_request(f"max_tokens: expected 1 to {MAX_TOKENS_LIMIT}")
    return body


def render_prompt(
    configuration: Configuration, workspace: Workspace, body: CompletionBody
) -> str | Failure:
    """Return the complete prompt: the template, then the messages, then the prompt text."""
    prefix = ""
    if body.template:
        found = _render_template(configuration, workspace, body)
        if isinstance(found, Failure):
            return found
        prefix = found
    lines = "".join(f"{each.role}: {each.content}\n" for each in body.messages)
    opening = ASSISTANT_OPENING if body.messages else ""
    return prefix + lines + opening + body.prompt


def _render_template(
    configuration: Configuration, workspace: Workspace, body: CompletionBody
) -> str | Failure:
    templates = [t for t in configuration.values(Template) if t.workspace == workspace.id]
    by_id = {template.id: template for template in templates}
    template = by_id.get(body.template)
    if template is None:
        return _bad_request(f"template {body.template}: {suggest(body.template, by_id)}")
    for name in body.parameters:
        if name not in template.parameters:
            return _bad_request(f"parameter {name}: {suggest(name, template.parameters)}")
    missing = [name for name in template.parameters if name not in body.parameters]
    if missing:
        return _bad_request(f"parameters: missing {', '.join(missing)}")
    return string.Template(template.text).substitute(body.parameters)


def read_key(environ: Mapping[str, str]) -> KeyDate | Failure:
    """Return the call's idempotency key and its date.

    The key is a UUID of version 7, which contains its time (RFC 9562), or any other text together
    with an `Idempotency-Date` header as an HTTP date. Without a date, a key that is no longer
    remembered could not be told from a new one.
    """
    key = environ.get(KEY_HEADER, "")
    if not KEY_PATTERN.fullmatch(key):
        detail = "this call may not be repeated: expected an Idempotency-Key of 1 to 200 letters"
        return Failure(Code.KEY_NOT_DATED, Step.PARSE, CALLER, detail)
    dated = _uuid_time(key)
    if dated is not None:
        return KeyDate(key, dated)
    date = environ.get(DATE_HEADER, "")
    try:
        dated = email.utils.parsedate_to_datetime(date).timestamp()
    except (ValueError, TypeError):
        detail = "expected a UUID of version 7 as Idempotency-Key, or an Idempotency-Date"
        return Failure(Code.KEY_NOT_DATED, Step.PARSE, CALLER, detail)
    return KeyDate(f"{key}@{int(dated)}", dated)


def _uuid_time(key: str) -> float | None:
    try:
        found = uuid.UUID(key)
    except ValueError:
        return None
    if found.version != 7:
        return None
    return (found.int >> UUID_TIME_SHIFT) / MS_PER_S


def read_retry_token(environ: Mapping[str, str]) -> int | None | Failure:
    """Return the retry token of the `not_run` answer that the caller retries, or None."""
    text = environ.get(TOKEN_HEADER, "")
    if not text:
        return None
    if not is_decimal_integer(text) or len(text) > 18:
        return _bad_request("Retry-Token: expected the number that a not_run answer gave")
    return int(text)


def _bad_request(detail: str) -> Failure:
    return Failure(Code.BAD_REQUEST, Step.PARSE, CALLER, detail)
