"""Whether a request may run, and by which route, by the configuration in force."""

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step

from ruddersaddle_serving.routes import Route, RouteTable, Workspace


class RequestTarget(msgspec.Struct, frozen=True):
    """What a request asks for: the host that its caller named, and the path without its query."""

    host: str
    path: str


class Authorization(msgspec.Struct, frozen=True):
    """What one version of the configuration allows a request."""

    version: int
    route: Route
    workspace: Workspace | None
    """The workspace that has the request's key; None on routes that need none."""


def authorize(table: RouteTable, target: RequestTarget, key: str | None) -> Authorization | Failure:
    """Look up a request's route and key; a failure says that it may not run."""
    route = table.find(target.host, target.path)
    if route is None:
        return Failure(Code.NOT_FOUND, Step.ADMIT, "routes", "no route matches the request")
    workspace = None
    if not route.public and table.published.checks_keys:
        workspace = table.published.workspace_by_key.get(key or "")
        if workspace is None:
            return Failure(Code.UNAUTHORIZED, Step.AUTHENTICATE, "keys", "unknown API key")
    return Authorization(table.published.version, route, workspace)
