"""The rule that a stream goes on only at upstreams of the software version that began it."""

import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.pool_versions import PoolVersions
from ruddersaddle_serving.prompts import CallerRequest, VersionPin
from ruddersaddle_serving.upstream_entries import UpstreamEntry


class VersionPinRule:
    """Restricts a request that is pinned to a software version to the upstreams of it.

    Streams don't begin at a version that other hosts may not know of yet.
    """

    def __init__(self, versions: PoolVersions | None = None) -> None:
        self.versions = versions

    def select(
        self, request: CallerRequest, entries: list[UpstreamEntry], excluded: set[UpstreamId]
    ) -> list[UpstreamEntry] | Failure:
        """Return the entries of the request's version, or a failure if there is none."""
        pin = request.pin
        if pin is None:
            if self.versions is None or not request.route.resumable:
                return entries
            return self.versions.select_settled(entries, excluded)
        if _is_unknown_among_known(pin, entries):
            detail = "its version was not known when it began; begin it anew"
            return Failure(Code.UNKNOWN_STREAM, Step.ADMIT, pin.pool, detail)
        found = [each for each in entries if _is_of(pin, each)]
        if not found:
            detail = f"no upstream of version {pin.version} is left; begin the stream anew"
            return Failure(Code.STREAM_VERSION_GONE, Step.ADMIT, pin.pool, detail)
        return found

    def check(self, request: CallerRequest, entry: UpstreamEntry) -> str | None:
        """Return why the chosen upstream can't go on with a stream, or None."""
        pin = request.pin
        if pin is None or _is_of(pin, entry):
            return None
        return f"it has version {entry.software_version}, the stream began at {pin.version}"


def _is_of(pin: VersionPin, entry: UpstreamEntry) -> bool:
    return entry.pool == pin.pool and entry.software_version == pin.version


def _is_unknown_among_known(pin: VersionPin, entries: list[UpstreamEntry]) -> bool:
    """Return whether a stream of an unknown version may have begun at any of the known ones."""
    return pin.version is msgspec.UNSET and any(
        each.software_version is not msgspec.UNSET for each in entries
    )
