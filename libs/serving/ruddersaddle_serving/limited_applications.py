"""WSGI applications with what the protocol of callers' connections asks of them."""

from collections.abc import Callable, Iterable
from typing import Any

from ruddersaddle_serving.routes import CallerLimits

Application = Callable[[dict[str, Any], Callable], Iterable[bytes]]


class LimitedApplication:
    """A WSGI application with limits that stay the same."""

    def __init__(self, application: Application, limits: CallerLimits | None = None) -> None:
        self.application = application
        self.limits = CallerLimits() if limits is None else limits
        self.head_faults: dict[str, int] = {}
        """Numbers of refused heads, by reason."""

    def __call__(self, environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
        """Answer one request."""
        return self.application(environ, start)
