"""WSGI application: model completions, plain services by path, health and operators' paths."""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import Any

import eventlet
import msgspec
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import RequestId, new_request_id
from ruddersaddle_base.settings import Settings
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.entries import Model, Workspace
from ruddersaddle_upstreams.engines import DONE

from ruddersaddle.callers import (
    CALLER,
    KEY_HEADER,
    Limits,
    PromptRequest,
    digest_key,
    find_workspace,
    read_completion,
    read_limits,
    render_prompt,
)
from ruddersaddle.generations import Generation, Generator
from ruddersaddle.pools import Pools, PoolView
from ruddersaddle.replies import CompleteReply, join_events
from ruddersaddle.reports import Accepted, Stats, Status, format_metrics
from ruddersaddle.responses import TEXT_TYPE, Responder, encode_error_event
from ruddersaddle.service_routes import ServiceRoutes
from ruddersaddle.traces import WORKSPACE_KEY

logger = logging.getLogger(__name__)

LOOPBACK = "127."
MS_PER_S = 1000.0
Environ = dict[str, Any]


class ModelRow(msgspec.Struct, frozen=True):
    """One model in the list of models."""

    id: str
    version: str
    object: str = "model"


class ModelList(msgspec.Struct, frozen=True):
    """The list of models."""

    data: list[ModelRow]
    object: str = "list"


class HostControl(msgspec.Struct):
    """The host's state and actions that the gateway uses."""

    is_ready: Callable[[], bool]
    is_stopping: Callable[[], bool]
    stop: Callable[[], None]
    status: Callable[[], Status]
    stats: Callable[[], Stats]


class Gateway:
    """The WSGI application of one host."""

    def __init__(
        self,
        settings: Settings,
        configuration: Configuration,
        pools: Pools,
        generator: Generator,
        services: ServiceRoutes,
        host: HostControl,
    ) -> None:
        self.settings = settings
        self.configuration = configuration
        self.pools = pools
        self.generator = generator
        self.services = services
        self.host = host
        self.active = 0
        self.batch_s = settings.number("requests.gather_ms") / MS_PER_S

    def __call__(self, environ: Environ, start: Callable) -> Iterable[bytes]:
        """Serve one request."""
        responder = _responder(environ, start, self.host.is_stopping())
        self.active += 1
        try:
            chunks = self._route(environ, responder)
        except Exception:
            self.active -= 1
            logger.exception(
                "Request failed with an unexpected error.", extra={"request": responder.request}
            )
            detail = "internal error; see the host's log"
            failure = Failure(Code.INTERNAL, Step.READ, "host", detail, Ran.UNKNOWN)
            return responder.send_failure(failure)
        return _TrackedResponse(chunks, self._count_end)

    def _count_end(self) -> None:
        self.active -= 1

    def _route(self, environ: Environ, responder: Responder) -> Iterable[bytes]:
        path = environ["PATH_INFO"]
        match environ["REQUEST_METHOD"], path:
            case "GET", "/healthz":
                return responder.send_json(Accepted("live"))
            case "GET", "/readyz":
                return self._send_ready(responder)
            case _, "/metrics":
                return self._handle_operator(environ, responder, path)
            case _, _ if path.startswith("/operator/"):
                return self._handle_operator(environ, responder, path)
        if not self.host.is_ready() and not self.host.is_stopping():
            return responder.send_refusal(_not_ready())
        workspace = find_workspace(self.configuration, environ.get("HTTP_AUTHORIZATION", ""))
        if isinstance(workspace, Failure):
            return responder.send_refusal(workspace)
        environ[WORKSPACE_KEY] = workspace.id
        limits = read_limits(environ, self.settings.number("requests.deadline_s"))
        if isinstance(limits, Failure):
            return responder.send_refusal(limits)
        return self._route_caller(environ, responder, workspace, limits)

    def _route_caller(
        self, environ: Environ, responder: Responder, workspace: Workspace, limits: Limits
    ) -> Iterable[bytes]:
        if self.active > self.settings.integer("requests.concurrent_max"):
            return responder.send_refusal(_overloaded())
        match environ["REQUEST_METHOD"], environ["PATH_INFO"]:
            case "GET", "/v1/models":
                return self._send_models(responder)
            case "POST", "/v1/tickets":
                return responder.send_json(self.services.issue_ticket(workspace))
            case "POST", "/v1/completions":
                return self._handle_completion(environ, responder, workspace, limits, chat=False)
            case "POST", "/v1/chat/completions":
                return self._handle_completion(environ, responder, workspace, limits, chat=True)
        return self.services.serve(environ, responder, workspace, limits)

    def _send_ready(self, responder: Responder) -> Iterable[bytes]:
        if self.host.is_ready():
            return responder.send_json(Accepted("ready"))
        return responder.send_failure(_not_ready())

    def _send_models(self, responder: Responder) -> Iterable[bytes]:
        models = self.configuration.values(Model)
        return responder.send_json(ModelList([ModelRow(m.id, m.version) for m in models]))

    def _handle_operator(
        self, environ: Environ, responder: Responder, path: str
    ) -> Iterable[bytes]:
        if not self._is_operator(environ):
            detail = "expected the operators' key, or a call from this machine"
            failure = Failure(Code.UNAUTHORIZED, Step.AUTHENTICATE, CALLER, detail)
            return responder.send_failure(failure)
        match environ["REQUEST_METHOD"], path:
            case "GET", "/operator/status":
                return responder.send_json(self.host.status())
            case "GET", "/operator/stats":
                return responder.send_json(self.host.stats())
            case "POST", "/operator/drain":
                self.host.stop()
                return responder.send_json(Accepted("stopping"))
            case "GET", "/metrics":
                text = format_metrics(self.host.status(), self.host.stats())
                return responder.send_bytes(text.encode(), TEXT_TYPE)
        return responder.send_failure(_not_found(path))

    def _is_operator(self, environ: Environ) -> bool:
        digest = self.settings.text("host.operator_digest")
        if not digest:
            return environ.get("REMOTE_ADDR", "").startswith(LOOPBACK)
        header = environ.get("HTTP_AUTHORIZATION", "")
        return digest_key(header.removeprefix("Bearer ").strip()) == digest

    def _handle_completion(
        self,
        environ: Environ,
        responder: Responder,
        workspace: Workspace,
        limits: Limits,
        chat: bool,
    ) -> Iterable[bytes]:
        request = self._read_prompt(environ, responder.request, workspace, limits, chat)
        if isinstance(request, Failure):
            return responder.send_failure(request)
        view = self.pools.for_model(request.body.model)
        if view is None:
            return responder.send_failure(_no_model(request.body.model))
        return self._generate(request, view, responder)

    def _read_prompt(
        self,
        environ: Environ,
        request: RequestId,
        workspace: Workspace,
        limits: Limits,
        chat: bool,
    ) -> PromptRequest | Failure:
        data = self.services.read_body(environ)
        if isinstance(data, Failure):
            return data
        body = read_completion(data, chat)
        if isinstance(body, Failure):
            return body
        text = render_prompt(self.configuration, workspace, body)
        if isinstance(text, Failure):
            return text
        return PromptRequest(request, workspace, body, text, chat, limits)

    def _generate(
        self, request: PromptRequest, view: PoolView, responder: Responder
    ) -> Iterable[bytes]:
        generation = self.generator.start(request, view)
        if isinstance(generation, Failure):
            return responder.send_failure(generation)
        events = generation.events()
        try:
            first = next(events, b"")
        except BaseException:
            generation.finish()
            raise
        if isinstance(first, Failure):
            generation.finish()
            return responder.send_failure(first)
        if request.body.stream:
            responder.start_events()
            return self._stream_events(generation, first, events, responder.request)
        return self._collect_reply(generation, first, events, responder)

    def _stream_events(
        self,
        generation: Generation,
        first: bytes,
        events: Iterator[bytes | Failure],
        request: RequestId,
    ) -> Iterator[bytes]:
        """Yield a stream's events: the first at once, later ones in short batches."""
        try:
            yield first
            for data in events:
                if isinstance(data, Failure):
                    yield encode_error_event(data, request)
                    return
                yield data
                if self.batch_s:
                    eventlet.sleep(self.batch_s)
            yield DONE
        finally:
            generation.finish()

    def _collect_reply(
        self,
        generation: Generation,
        first: bytes,
        events: Iterator[bytes | Failure],
        responder: Responder,
    ) -> Iterable[bytes]:
        parts = [first]
        try:
            for data in events:
                if isinstance(data, Failure):
                    return responder.send_failure(data)
                parts.append(data)
        finally:
            generation.finish()
        request = generation.request
        reply = join_events(b"".join(parts), request.id, request.body.model, request.chat)
        match reply:
            case CompleteReply():
                return responder.send_json(reply.body)
            case Failure():
                return responder.send_failure(reply)


class _TrackedResponse:
    """A response's chunks, with a callback when the response has ended for any reason."""

    def __init__(self, chunks: Iterable[bytes], on_end: Callable[[], None]) -> None:
        self.chunks = chunks
        self.on_end = on_end

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.chunks)

    def close(self) -> None:
        """End the response; the WSGI server calls this once."""
        try:
            close = getattr(self.chunks, "close", None)
            if close is not None:
                close()
        finally:
            self.on_end()


def _responder(environ: Environ, start: Callable, stopping: bool) -> Responder:
    return Responder(start, new_request_id(), stopping, KEY_HEADER in environ)


def _not_ready() -> Failure:
    detail = "the host has no complete configuration yet, or is stopping"
    return Failure(Code.NOT_READY, Step.ADMIT, "host", detail, retry_after_s=1.0)


def _overloaded() -> Failure:
    detail = "the host has too many concurrent requests"
    return Failure(Code.OVERLOADED, Step.ADMIT, "host", detail, retry_after_s=1.0)


def _not_found(path: str) -> Failure:
    return Failure(Code.NOT_FOUND, Step.PARSE, CALLER, f"no such path: {path}")


def _no_model(model: str) -> Failure:
    return Failure(Code.NOT_FOUND, Step.PARSE, CALLER, f"no pool serves model {model}")
