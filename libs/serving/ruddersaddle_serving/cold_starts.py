"""Which upstreams are cold, as they say themselves.

For some seconds after a start an upstream bears few requests a second. Its entry tells for how much
longer; hosts tell one another what they have read.
"""

from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamInstance


class ColdStart(msgspec.Struct, frozen=True, array_like=True):
    """Tells that a start of an upstream is cold."""

    start: UpstreamInstance
    heartbeat: Heartbeat
    """The write that told it, with the seconds that are left now."""


class _Told(msgspec.Struct, frozen=True):
    """The newest write that was read; `until` is of the steady clock."""

    sequence: int
    until: float


class ColdStarts:
    """Until when each start of an upstream is cold."""

    def __init__(self) -> None:
        self._told_by_start: dict[UpstreamInstance, _Told] = {}

    def take(self, start: UpstreamInstance, heartbeat: Heartbeat) -> None:
        """Take what a write of an entry says, counted from now: it was made some time before.

        A write that is older than the known one can only lengthen the time: where the same id
        begins anew without telling its birth, its numbers begin anew as well.
        """
        known = self._told_by_start.get(start)
        told = _Told(heartbeat.sequence, clocks.now_s() + heartbeat.cold_s)
        if known is None or told.sequence > known.sequence:
            self._told_by_start[start] = told
        elif told.sequence < known.sequence and heartbeat.cold_s > 0:
            until = max(known.until, told.until)
            self._told_by_start[start] = msgspec.structs.replace(known, until=until)

    def take_all(self, cold: Iterable[ColdStart]) -> None:
        """Take what another host knows."""
        for each in cold:
            self.take(each.start, each.heartbeat)

    def until(self, start: UpstreamInstance) -> float:
        """Return until when a start is cold, on the steady clock; long ago if it never was."""
        known = self._told_by_start.get(start)
        return float("-inf") if known is None else known.until

    def current(self) -> tuple[ColdStart, ...]:
        """Return the starts that are cold now."""
        now = clocks.now_s()
        return tuple(
            ColdStart(start, Heartbeat(told.sequence, told.until - now))
            for start, told in self._told_by_start.items()
            if told.until > now
        )

    def keep_only(self, starts: Collection[UpstreamInstance]) -> None:
        """Forget starts that are gone."""
        for gone in self._told_by_start.keys() - set(starts):
            del self._told_by_start[gone]
