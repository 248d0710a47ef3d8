"""Residency: requests are served, and their prompt parts cached, only in allowed regions.

A route and a workspace may each have a list of allowed regions; a request may use only regions that
are in both. An absent list allows every region, an empty one none. A region that no hall has allows
nothing, so that a misspelt name or a missing map refuses requests instead of serving them anywhere.

The newest configuration that this host knows applies to every request, also to one that arrived
before it: it is checked when an upstream is chosen, and again right before the request is sent.
"""

import logging

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, PoolId, StoreId, UpstreamId

from ruddersaddle_serving.context_stores import FETCH_TIMEOUT_S, NAMESPACE_MARK
from ruddersaddle_serving.prompts import CallerRequest
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.regions.allowances import Allowance, Allowances
from ruddersaddle_serving.regions.maps import RegionMap
from ruddersaddle_serving.routes import PublishedConfiguration, RouteTable
from ruddersaddle_serving.upstream_entries import UpstreamEntry

logger = logging.getLogger(__name__)

RETRY_REGION_S = 1.0
"""Retry-After if the allowed regions have no upstream at the moment: one that restarts writes its
entry again within seconds, and hosts read it within a second."""
FETCH_TRUST_S = 3.0
"""Restricted parts are neither fetched nor saved by a configuration that was last confirmed longer
ago. Hosts confirm it each 1 to 2 s; a host that is cut off stops in time for `FREE_AFTER_S`."""
FREE_AFTER_S = FETCH_TRUST_S + FETCH_TIMEOUT_S + 0.6
"""How long this host must have known that no request may use a part before the part is freed.

Until then a host that doesn't know the newest configuration may have an engine fetch the part:
`FETCH_TRUST_S` until the host stops, `FETCH_TIMEOUT_S` for the fetch, 0.6 s for the request.
"""
FREE_TRUST_S = 8.0
"""Nothing is freed by a configuration that was last confirmed longer ago: a newer one may allow the
region again. The metadata store may be out right after a change without delaying the freeing."""
FREE_CALL_S = 2.5
"""Longest time from the decision to free parts until the store has done it."""
FETCH_PAUSE_S = FREE_TRUST_S + FREE_CALL_S
"""Parts that requests may use again after a change are not fetched for this long: until then a host
that doesn't know the change may free them. Parts that may be used since this host's start are
fetched at once, since otherwise a restart of all hosts would have them recomputed."""
LEFTOVERS_S = 60.0
"""How long after its start, or after the last list of regions was removed, a host looks for
restricted parts that are left at context stores."""


class EarlierAllowances(msgspec.Struct, frozen=True):
    """The allowances of an earlier configuration, and when this host replaced them."""

    allowances: Allowances
    replaced_at: float


class Residency:
    """Applies the allowed regions of the configuration in force.

    It is a rule of `Placement` (`EligibilityRule`) and of `CachedParts` (`PartRule`). Times are of
    the boot-time clock.
    """

    def __init__(self, regions: RegionMap, publications: Publications) -> None:
        self.regions = regions
        self.publications = publications
        self.current = Allowances(PublishedConfiguration(0), regions)
        self.counts = {"refused": 0, "refused_nowhere": 0, "withdrawn": 0, "parts_freed": 0}
        """Requests without an upstream in an allowed region, and of those that may go nowhere;
        upstreams that were no longer allowed when a request was about to be sent; freed parts."""
        self._first_at: float | None = None
        """When this host applied its first configuration."""
        self._applied_at: float | None = None
        """When it applied the newest one."""
        self._restricted_at = float("-inf")
        """When a configuration with lists was last known to be in force."""
        self._earlier: list[EarlierAllowances] = []
        """Allowances that were replaced within the last seconds, oldest first."""
        self._refused: set[tuple[PoolId, str]] = set()
        """Pools and namespaces whose refusal is logged already."""

    def apply_table(self, table: RouteTable) -> None:
        """Apply a configuration."""
        now = self._applied_at = clocks.now_s()
        if self._first_at is None:
            self._first_at = now
        else:
            self._earlier = [
                each for each in self._earlier if now - each.replaced_at < FETCH_PAUSE_S
            ]
            self._earlier.append(EarlierAllowances(self.current, now))
        if self.current.restricts:
            self._restricted_at = now
        self.current = Allowances(table.published, self.regions)
        self._refused.clear()
        self._log_unknown_regions()

    def _log_unknown_regions(self) -> None:
        unknown = self.current.unknown_regions()
        if unknown and not self.regions.regions:
            logger.error(
                "Configuration %d restricts regions, but setting host.regions is empty: restricted "
                "requests are refused. Regions: %s.",
                self.current.version,
                ", ".join(unknown),
            )
        elif unknown:
            logger.error(
                "Configuration %d names regions that no hall has; they allow nothing: %s.",
                self.current.version,
                ", ".join(unknown),
            )

    @property
    def is_in_use(self) -> bool:
        """Whether the configuration in force has any list of regions, or one did since the start.

        Deployments without residency have no metrics of it.
        """
        return self.current.restricts or self._restricted_at != float("-inf")

    # Rule of placements

    def select(
        self, request: CallerRequest, entries: list[UpstreamEntry], excluded: set[UpstreamId]
    ) -> list[UpstreamEntry] | Failure:
        """Return the entries in regions that are allowed for the request, or why there is none.

        An empty pool is left to the refusal that unrestricted requests get.
        """
        allowance = self.current.find(request)
        if allowance is None:
            return entries
        allowed = [
            entry for entry in entries if self.regions.region_of(entry.hall) in allowance.regions
        ]
        if allowed:
            self._log_served_again(allowed[0].pool, allowance)
            return allowed
        if allowance.regions and not entries:
            return entries
        return self._refuse(request, allowance, entries)

    def _refuse(
        self, request: CallerRequest, allowance: Allowance, entries: list[UpstreamEntry]
    ) -> Failure:
        self.counts["refused"] += 1
        peer = entries[0].pool if entries else request.route.targets[0].pool
        if not allowance.regions:
            self.counts["refused_nowhere"] += 1
            detail = "its route and its workspace allow no region in which there is a hall"
            retry_after_s = 0.0
        else:
            names = ", ".join(sorted(allowance.regions))
            detail = f"none of {len(entries)} upstreams is in an allowed region ({names})"
            retry_after_s = RETRY_REGION_S
        if (peer, allowance.namespace) not in self._refused:
            self._refused.add((peer, allowance.namespace))
            logger.warning(
                "Requests for %s are refused: %s. Namespace %s.", peer, detail, allowance.namespace
            )
        return Failure(
            Code.NO_ALLOWED_REGION, Step.ADMIT, peer, detail, retry_after_s=retry_after_s
        )

    def _log_served_again(self, pool: PoolId, allowance: Allowance) -> None:
        key = (pool, allowance.namespace)
        if key in self._refused:
            self._refused.discard(key)
            logger.info("Pool %s has an upstream in an allowed region again. Namespace %s.", *key)

    def allows_hall(self, request: CallerRequest, hall: HallId) -> bool:
        """Return whether a request may be relayed to a host of a hall."""
        allowance = self.current.find(request)
        return allowance is None or self.regions.region_of(hall) in allowance.regions

    def check(self, request: CallerRequest, entry: UpstreamEntry) -> str | None:
        """Return why the request may no longer be sent to its chosen upstream, or None."""
        allowance = self.current.find(request)
        region = self.regions.region_of(entry.hall)
        if allowance is None or region in allowance.regions:
            return None
        self.counts["withdrawn"] += 1
        return f"since it was chosen, its region {region} was removed from the allowed ones"

    # Rule of cached parts

    def namespace_of(self, request: CallerRequest) -> str:
        """Return the namespace of a request's parts; empty if it is not restricted."""
        allowance = self.current.find(request)
        return "" if allowance is None else allowance.namespace

    def may_fetch(self, salt: str, store: StoreId) -> bool:
        """Return whether engines may fetch parts of a salt from a store."""
        if NAMESPACE_MARK not in salt:
            return True
        return self.may_save(salt, store) and all(
            each.allows_part(salt, store) for each in self._replaced_within(FETCH_PAUSE_S)
        )

    def may_save(self, salt: str, store: StoreId) -> bool:
        """Return whether engines may save parts of a salt to a store."""
        if NAMESPACE_MARK not in salt:
            return True
        is_trusted = self.publications.age_s < FETCH_TRUST_S
        return is_trusted and self.current.allows_part(salt, store)

    # Freeing of parts

    @property
    def may_have_leftovers(self) -> bool:
        """Whether context stores may hold parts that no request may use any more."""
        if self._first_at is None or not self.regions.regions:
            return False
        since = max(self._first_at, self._restricted_at)
        return self.current.restricts or clocks.now_s() - since < LEFTOVERS_S

    @property
    def in_force_s(self) -> float:
        """Seconds since the newest configuration came into force here; 0 if there is none."""
        return 0.0 if self._applied_at is None else clocks.now_s() - self._applied_at

    def must_free(self, salt: str, store: StoreId, delay_s: float = 0.0) -> bool:
        """Return whether parts of a salt at a store are to be freed.

        No request may have used them for `FREE_AFTER_S`, and for `delay_s` longer.
        """
        after_s = FREE_AFTER_S + delay_s
        is_settled = self._first_at is not None and clocks.now_s() - self._first_at >= after_s
        if not is_settled or self.publications.age_s >= FREE_TRUST_S:
            return False
        recent = [self.current, *self._replaced_within(after_s)]
        return not any(each.allows_part(salt, store) for each in recent)

    def _replaced_within(self, seconds: float) -> list[Allowances]:
        """Return the allowances that were replaced in the last seconds."""
        oldest_at = clocks.now_s() - seconds
        return [each.allowances for each in self._earlier if each.replaced_at > oldest_at]
