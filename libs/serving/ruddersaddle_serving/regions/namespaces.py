"""Namespaces of the cached parts of restricted requests, as they occur in cache salts.

A restricted salt is `MODEL/VERSION~NAMESPACE`, or that with `/WORKSPACE` if it is dedicated. The
version in front of the mark is a number, so no salt of an unrestricted request is equal to it. The
namespace names the allowed regions and who restricts them: a route, a workspace or both. If
workspaces with equal lists shared parts, those of a workspace that loses a region could not be told
from those of the others, and would stay there.
"""

import re
from collections.abc import Iterable
from functools import lru_cache
from urllib.parse import quote, unquote

import msgspec
from ruddersaddle_base.ids import RegionId, WorkspaceId

from ruddersaddle_serving.context_stores import NAMESPACE_MARK
from ruddersaddle_serving.routes import RouteName

REGION_SEPARATOR = "+"
OWNER_SEPARATOR = ";"
ROUTE_LABEL = "r="
WORKSPACE_LABEL = "w="
PARSED_MAX = 4096
"""Salts whose namespaces are cached; parsing one takes 7 us, and each prompt needs it for each
context store."""
_RESTRICTED = re.compile(rf"/\d+{NAMESPACE_MARK}([^/]*)")
_DEDICATED = re.compile(r"/\d+/(.+)$")


class Namespace(msgspec.Struct, frozen=True):
    """The regions that a configuration allows, and the route and workspace that restrict them.

    `route` and `workspace` are None if they have no list of their own. `regions` are as published,
    with names that no hall has, so that they don't depend on the settings of a host.
    """

    regions: frozenset[RegionId]
    route: RouteName | None = None
    workspace: WorkspaceId | None = None

    @classmethod
    def from_salt(cls, salt: str) -> "Namespace | None":
        """Return the namespace in a salt; None if it is a salt of unrestricted requests."""
        return _parse(salt) if NAMESPACE_MARK in salt else None

    def __str__(self) -> str:
        """Return its text in salts: ASCII without slashes, which headers and salts need."""
        owners = []
        if self.route is not None:
            owners.append(ROUTE_LABEL + quote(self.route, safe=""))
        if self.workspace is not None:
            owners.append(WORKSPACE_LABEL + quote(self.workspace, safe=""))
        regions = REGION_SEPARATOR.join(sorted(quote(each, safe="") for each in self.regions))
        return OWNER_SEPARATOR.join([regions, *owners])


@lru_cache(maxsize=PARSED_MAX)
def _parse(salt: str) -> Namespace | None:
    found = _RESTRICTED.search(salt)
    if found is None:
        return None
    regions, *owners = found.group(1).split(OWNER_SEPARATOR)
    names = filter(None, regions.split(REGION_SEPARATOR))
    route = _find_owner(owners, ROUTE_LABEL)
    workspace = _find_owner(owners, WORKSPACE_LABEL)
    return Namespace(
        frozenset(RegionId(unquote(name)) for name in names),
        None if route is None else RouteName(route),
        None if workspace is None else WorkspaceId(workspace),
    )


def _find_owner(owners: Iterable[str], label: str) -> str | None:
    """Return the unquoted name behind a label, or None."""
    names = (each.removeprefix(label) for each in owners if each.startswith(label))
    return next(map(unquote, names), None)


def dedicated_workspace(salt: str) -> WorkspaceId | None:
    """Return the workspace that an unrestricted salt belongs to alone; None if it is shared."""
    found = _DEDICATED.search(salt)
    return None if found is None else WorkspaceId(found.group(1))
