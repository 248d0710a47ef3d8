"""Client of a fleet: sends prompts, and calls with keys and tickets."""

import time
from collections.abc import Iterator

import msgspec
import urllib3
from ruddersaddle.replies import Usage, read_events
from ruddersaddle.responses import ErrorBody, ErrorEnvelope
from ruddersaddle_base.failures import Failure
from ruddersaddle_upstreams.engines import DONE

from ruddersaddle_standins.fleets import MODEL, caller_key

TIMEOUT_S = 60.0


class PromptResult(msgspec.Struct):
    """Result of a prompt; times are in milliseconds since it was sent."""

    status: int
    text: str = ""
    complete: bool = False
    tokens: int = 0
    misrouted_events: int = 0
    first_ms: float = 0.0
    total_ms: float = 0.0
    longest_gap_ms: float = 0.0
    usage: Usage = Usage()
    error: ErrorBody | None = None
    request: str = ""

    @property
    def recomputed_share(self) -> float:
        """Share of the prompt that was not cached."""
        if not self.usage.prompt_tokens:
            return 1.0
        return 1.0 - self.usage.cached_tokens / self.usage.prompt_tokens


class CallResult(msgspec.Struct):
    """Result of a call."""

    status: int
    body: bytes = b""
    error: ErrorBody | None = None
    retry_token: str = ""
    retry_after: str = ""
    total_ms: float = 0.0

    @property
    def outcome(self) -> str:
        """`answered`, or whether the call ran according to the error."""
        return "answered" if self.error is None else self.error.ran


class Client:
    """A caller of one workspace; a broken connection gives a result with status 0."""

    def __init__(self, workspace: str, keep_alive: bool = True) -> None:
        self.headers = {"Authorization": f"Bearer {caller_key(workspace)}"}
        if not keep_alive:
            self.headers["Connection"] = "close"
        self.http = urllib3.PoolManager(maxsize=4, retries=False)

    def prompt(
        self, address: str, prompt: str, max_tokens: int = 16, **more: object
    ) -> PromptResult:
        """Send a prompt and read its stream to the end."""
        headers = dict(self.headers)
        for name in ("deadline_ms", "priority_class"):
            if name in more:
                headers[name.replace("_", "-").title()] = str(more.pop(name))
        body = {"model": MODEL, "prompt": prompt, "max_tokens": max_tokens, "stream": True, **more}
        path = "/v1/chat/completions" if "messages" in more else "/v1/completions"
        started = time.monotonic()
        try:
            reply = self.http.request(
                "POST",
                f"http://{address}{path}",
                body=msgspec.json.encode(body),
                headers=headers,
                timeout=TIMEOUT_S,
                preload_content=False,
            )
            if reply.status != 200:
                return PromptResult(reply.status, error=_read_error(reply.read()))
            return self._read_stream(reply, started)
        except urllib3.exceptions.HTTPError:
            return PromptResult(0)

    def _read_stream(self, reply: urllib3.BaseHTTPResponse, started: float) -> PromptResult:
        result = PromptResult(reply.status, request=reply.headers.get("Request-Id", ""))
        parts = []
        last = started
        for data in _chunks(reply):
            now = time.monotonic()
            if not parts:
                result.first_ms = (now - started) * 1000
            else:
                result.longest_gap_ms = max(result.longest_gap_ms, (now - last) * 1000)
            last = now
            parts.append(data)
        result.total_ms = (last - started) * 1000
        data = b"".join(parts)
        result.complete = data.endswith(DONE)
        if b'data: {"error"' in data:
            start = data.index(b'data: {"error"') + len(b"data: ")
            result.error = _read_error(data[start:].split(b"\n\n")[0])
            data = data[: start - len(b"data: ")]
        self._apply_events(result, data.removesuffix(DONE))
        return result

    def _apply_events(self, result: PromptResult, data: bytes) -> None:
        events = read_events(data)
        if isinstance(events, Failure):
            result.complete = False
            return
        result.tokens = len(events)
        result.misrouted_events = sum(event.id != result.request for event in events)
        choices = [choice for event in events for choice in event.choices]
        result.text = "".join(choice.text + choice.delta.content for choice in choices)
        result.usage = next((e.usage for e in reversed(events) if e.usage), Usage())

    def call(self, address: str, path: str, body: str, key: str = "", **headers: str) -> CallResult:
        """Call a plain service."""
        given = dict(self.headers)
        if key:
            given["Idempotency-Key"] = key
        given |= {name.replace("_", "-").title(): value for name, value in headers.items()}
        started = time.monotonic()
        try:
            reply = self.http.request(
                "POST",
                f"http://{address}{path}",
                body=body.encode(),
                headers=given,
                timeout=TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            return CallResult(0)
        result = CallResult(reply.status, reply.data)
        result.total_ms = (time.monotonic() - started) * 1000
        result.retry_token = reply.headers.get("Retry-Token", "")
        result.retry_after = reply.headers.get("Retry-After", "")
        if reply.status != 200:
            result.error = _read_error(reply.data)
        return result

    def ticket(self, address: str) -> str:
        """Return a new ticket, empty if the host refused."""
        try:
            reply = self.http.request(
                "POST", f"http://{address}/v1/tickets", headers=self.headers, timeout=TIMEOUT_S
            )
        except urllib3.exceptions.HTTPError:
            return ""
        return msgspec.json.decode(reply.data)["ticket"] if reply.status == 200 else ""


def _chunks(reply: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    while True:
        data = reply.read1(65536)
        if not data:
            return
        yield data


def _read_error(data: bytes) -> ErrorBody | None:
    try:
        return msgspec.json.decode(data, type=ErrorEnvelope).error
    except msgspec.MsgspecError:
        return None
