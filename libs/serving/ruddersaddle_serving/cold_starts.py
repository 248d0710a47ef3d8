"""Which upstreams are cold, as their entries report.

For some seconds after its start an upstream can take only a low request rate. Its entry states how
much longer that lasts; hosts send each other what they have read.
"""

from collections.abc import Collection, Iterable

import msgspec
from ruddersaddle_base import clocks

from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamInstance


class ColdStart(msgspec.Struct, frozen=True, array_like=True):
    """Says that an instance of an upstream is cold."""

    instance: UpstreamInstance
    heartbeat: Heartbeat
    """The write of the entry that reported it, with the remaining seconds as of now."""


class _Reported(msgspec.Struct, frozen=True):
    """The newest write that was read; `until` is on the boot-time clock."""

    sequence: int
    until: float


class ColdStarts:
    """Until when each instance of an upstream is cold."""

    def __init__(self) -> None:
        self._reported_by_instance: dict[UpstreamInstance, _Reported] = {}

    def apply(self, instance: UpstreamInstance, heartbeat: Heartbeat) -> None:
        """Apply a write of an entry, with its remaining time counted from now.

        The write was made earlier, so this overestimates the time. A lower sequence number than the
        known one can only extend it: if an upstream restarts under its id without reporting its
        time of birth, its numbers restart as well.
        """
        known = self._reported_by_instance.get(instance)
        reported = _Reported(heartbeat.sequence, clocks.now_s() + heartbeat.cold_s)
        if known is None or reported.sequence > known.sequence:
            self._reported_by_instance[instance] = reported
        elif reported.sequence < known.sequence and heartbeat.cold_s > 0:
            until = max(known.until, reported.until)
            self._reported_by_instance[instance] = msgspec.structs.replace(known, until=until)

    def apply_all(self, cold: Iterable[ColdStart]) -> None:
        """Apply what another host knows."""
        for each in cold:
            self.apply(each.instance, each.heartbeat)

    def until(self, instance: UpstreamInstance) -> float:
        """Return until when an instance is cold, on the boot-time clock.

        The result is minus infinity if it was never reported as cold.
        """
        known = self._reported_by_instance.get(instance)
        return float("-inf") if known is None else known.until

    def current(self) -> tuple[ColdStart, ...]:
        """Return the instances that are cold now."""
        now = clocks.now_s()
        return tuple(
            ColdStart(instance, Heartbeat(reported.sequence, reported.until - now))
            for instance, reported in self._reported_by_instance.items()
            if reported.until > now
        )

    def keep_only(self, instances: Collection[UpstreamInstance]) -> None:
        """Forget all other instances."""
        for gone in self._reported_by_instance.keys() - set(instances):
            del self._reported_by_instance[gone]
