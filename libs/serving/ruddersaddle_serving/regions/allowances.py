"""Which regions one configuration allows for requests and for the cached parts of their prompts."""

from collections.abc import Iterable
from typing import TypeVar

import msgspec
from ruddersaddle_base.ids import RegionId, StoreId, WorkspaceId

from ruddersaddle_serving.prompts import CallerRequest
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.regions.namespaces import Namespace, dedicated_workspace
from ruddersaddle_serving.routes import (
    AllowedRegions,
    PublishedConfiguration,
    Route,
    RouteName,
    Workspace,
)

Owner = TypeVar("Owner", bound=str)
RegionList = frozenset[RegionId] | None
"""Regions as published; None for anywhere."""


class Allowance(msgspec.Struct, frozen=True):
    """What a restricted request may use."""

    regions: frozenset[RegionId]
    """Regions with halls that its route and its workspace allow; empty for nowhere."""
    namespace: str
    """Namespace of its cached parts."""


class Allowances:
    """The allowances of one configuration; they don't change."""

    def __init__(self, published: PublishedConfiguration, regions: RegionMap) -> None:
        self.version = published.version
        self.regions = regions
        workspaces = published.workspace_by_key.values()
        self._list_by_route = _collect(
            (each.name, each.allowed_regions) for each in published.routes
        )
        self._list_by_workspace = _collect((each.id, each.allowed_regions) for each in workspaces)
        self._region_by_store = {spec.id: regions.region_of(spec.hall) for spec in published.stores}
        self._restricted_workspaces = {
            each for each, listed in self._list_by_workspace.items() if listed is not None
        }
        self._by_owners: dict[tuple[RouteName, WorkspaceId | None], Allowance | None] = {}

    @property
    def restricts(self) -> bool:
        """Whether any route or workspace has a list of regions."""
        routes = self._list_by_route.values()
        return bool(self._restricted_workspaces) or any(each is not None for each in routes)

    def unknown_regions(self) -> list[str]:
        """Return each name that no hall has, with the route or workspace that lists it."""
        known = self.regions.regions
        return [
            f"{region!r} of {kind} {owner}"
            for kind, list_by_owner in (
                ("route", self._list_by_route),
                ("workspace", self._list_by_workspace),
            )
            for owner, listed in sorted(list_by_owner.items())
            for region in sorted((listed or frozenset()) - known)
        ]

    def find(self, request: CallerRequest) -> Allowance | None:
        """Return what a request may use; None if neither its route nor its workspace has a list.

        The request may have arrived under an earlier configuration. What this one says of its route
        and workspace applies; a list of one that was removed since still applies.
        """
        workspace = request.workspace
        key = (request.route.name, None if workspace is None else workspace.id)
        if key not in self._by_owners:
            found = self._make(request.route, workspace)
            if not self._has_owners(*key):
                return found
            self._by_owners[key] = found
        return self._by_owners[key]

    def _has_owners(self, route: RouteName, workspace: WorkspaceId | None) -> bool:
        """Return whether the configuration has a route, and a workspace unless it is None."""
        knows_workspace = workspace is None or workspace in self._list_by_workspace
        return route in self._list_by_route and knows_workspace

    def _make(self, route: Route, workspace: Workspace | None) -> Allowance | None:
        of_route = self._list_by_route.get(route.name, _to_list(route.allowed_regions))
        of_workspace = None
        if workspace is not None:
            listed = _to_list(workspace.allowed_regions)
            of_workspace = self._list_by_workspace.get(workspace.id, listed)
        regions = _intersect(of_route, of_workspace)
        if regions is None:
            return None
        namespace = Namespace(
            regions,
            None if of_route is None else route.name,
            None if of_workspace is None else workspace.id,
        )
        return Allowance(regions & self.regions.regions, str(namespace))

    def allows_part(self, salt: str, store: StoreId) -> bool:
        """Return whether requests of this configuration may use parts of a salt at a store."""
        namespace = Namespace.from_salt(salt)
        if namespace is None:
            return not self._is_left_behind(salt)
        return self._is_in_use(namespace) and self._region_by_store.get(store) in namespace.regions

    def _is_left_behind(self, salt: str) -> bool:
        """Return whether a salt without a namespace is of a dedicated workspace that has a list.

        Its parts were saved while it had none; no request of this configuration uses that salt.
        """
        if not self._restricted_workspaces:
            return False
        return dedicated_workspace(salt) in self._restricted_workspaces

    def _is_in_use(self, namespace: Namespace) -> bool:
        """Return whether the lists of a namespace's owners are still those that it names."""
        lists: list[RegionList] = []
        if namespace.route is not None:
            lists.append(self._list_by_route.get(namespace.route))
        if namespace.workspace is not None:
            lists.append(self._list_by_workspace.get(namespace.workspace))
        if not lists or None in lists:
            return False
        return _intersect(*lists) == namespace.regions


def _to_list(allowed: AllowedRegions) -> RegionList:
    return None if allowed is msgspec.UNSET else frozenset(allowed)


def _collect(rows: Iterable[tuple[Owner, AllowedRegions]]) -> dict[Owner, RegionList]:
    """Return the list of each owner; if an owner occurs twice, both lists apply."""
    list_by_owner: dict[Owner, RegionList] = {}
    for owner, allowed in rows:
        list_by_owner[owner] = _intersect(list_by_owner.get(owner), _to_list(allowed))
    return list_by_owner


def _intersect(*lists: RegionList) -> RegionList:
    """Return the regions that are in all lists; None if there is no list."""
    given = [each for each in lists if each is not None]
    return frozenset.intersection(*given) if given else None
