"""Callers' connections: heads are checked by the grammar that platform hosts use."""

from collections.abc import Callable, Iterable
from typing import Any

import eventlet.wsgi
from ruddersaddle_base.settings import Settings
from ruddersaddle_serving.caller_protocols import CallerProtocol
from ruddersaddle_serving.routes import CallerLimits

from ruddersaddle.traces import Application


class LimitedApplication:
    """A WSGI application with what `CallerProtocol` asks its server's application for."""

    def __init__(self, application: Application, limits: CallerLimits) -> None:
        self.application = application
        self.limits = limits
        self.head_faults: dict[str, int] = {}
        """Numbers of refused heads, by reason."""

    @classmethod
    def from_settings(cls, application: Application, settings: Settings) -> "LimitedApplication":
        """Return an application with the settings' limits."""
        timeout_s = settings.number("requests.read_timeout_s")
        limits = CallerLimits(header_timeout_s=timeout_s, idle_timeout_s=timeout_s)
        return cls(application, limits)

    def __call__(self, environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
        """Answer one request."""
        return self.application(environ, start)


def serve(listener: object, application: LimitedApplication, connections_max: int) -> None:
    """Serve callers until the task is killed."""
    eventlet.wsgi.server(
        listener,
        application,
        protocol=CallerProtocol,
        log_output=False,
        minimum_chunk_size=1,
        socket_timeout=application.limits.idle_timeout_s,
        max_size=connections_max,
        debug=False,
    )
