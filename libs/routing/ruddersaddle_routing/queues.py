"""Fair queueing of workspaces for the slots of a pool.

Start-time fair queueing (Goyal, Vin and Cheng, 1996): each request gets a start tag from its
workspace's last finish tag, and the request with the smallest tag goes first. A workspace that
floods the pool waits behind its own requests and doesn't delay the others.
"""

import heapq
import itertools
from collections.abc import Callable

import eventlet
from eventlet.event import Event as Signal
from ruddersaddle_base.ids import WorkspaceId

SMOOTHING = 0.1
"""Weight of the newest hold time in the moving average."""
INITIAL_HOLD_S = 0.3
"""Mean hold time of a slot before any has been released."""


class Waiter:
    """A request that waits for a slot."""

    def __init__(self) -> None:
        self.signal: Signal = Signal()
        self.abandoned = False


class FairQueue:
    """Slots of one pool on this host.

    `capacity` returns the current number of slots, `is_open` whether the upstreams accept more
    work. Requests wait here because this queue orders them fairly, and upstreams don't.
    """

    def __init__(
        self, capacity: Callable[[], int], is_open: Callable[[], bool] = lambda: True
    ) -> None:
        self.capacity = capacity
        self.is_open = is_open
        self.in_use = 0
        self.mean_hold_s = INITIAL_HOLD_S
        self.virtual_time = 0.0
        self.finish_by_workspace: dict[WorkspaceId, float] = {}
        self.waiting_by_workspace: dict[WorkspaceId, int] = {}
        self.held_by_workspace: dict[WorkspaceId, int] = {}
        self._heap: list[tuple[float, int, Waiter]] = []
        self._order = itertools.count()

    @property
    def has_room(self) -> bool:
        """Whether a slot is free; while `is_open` is false, one slot may still be used."""
        return self.in_use < self.capacity() and (self.in_use == 0 or self.is_open())

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return sum(self.waiting_by_workspace.values())

    def predict_wait_s(self, workspace: WorkspaceId) -> float:
        """Return the estimated wait of a new request of a workspace.

        Ahead of it are its workspace's waiting requests and up to as many of each other workspace.
        """
        if self.waiting == 0 and self.has_room:
            return 0.0
        own = self.waiting_by_workspace.get(workspace, 0) + 1
        ahead = sum(min(count, own) for count in self.waiting_by_workspace.values())
        return ahead * self.mean_hold_s / max(1, self.capacity())

    def acquire(self, workspace: WorkspaceId, weight: float, cost: float, timeout_s: float) -> bool:
        """Wait for a slot; return False on timeout. The caller must release a granted slot."""
        tag = max(self.virtual_time, self.finish_by_workspace.get(workspace, 0.0))
        self.finish_by_workspace[workspace] = tag + cost / weight
        if not self._heap and self.has_room:
            self._grant(tag)
            self._hold(workspace, 1)
            return True
        waiter = Waiter()
        heapq.heappush(self._heap, (tag, next(self._order), waiter))
        self._wait(workspace, 1)
        try:
            with eventlet.Timeout(timeout_s, False):
                waiter.signal.wait()
            self._hold(workspace, int(waiter.signal.ready()))
            return waiter.signal.ready()
        finally:
            waiter.abandoned = True
            self._wait(workspace, -1)

    def count_of(self, workspace: WorkspaceId) -> int:
        """Return how many requests of a workspace wait for or hold a slot."""
        waiting = self.waiting_by_workspace.get(workspace, 0)
        return waiting + self.held_by_workspace.get(workspace, 0)

    def release(self, workspace: WorkspaceId, held_s: float) -> None:
        """Release a slot that a workspace held for `held_s`."""
        self._hold(workspace, -1)
        self.in_use -= 1
        self.mean_hold_s += SMOOTHING * (held_s - self.mean_hold_s)
        self.wake()

    def _wait(self, workspace: WorkspaceId, change: int) -> None:
        _add(self.waiting_by_workspace, workspace, change)

    def _hold(self, workspace: WorkspaceId, change: int) -> None:
        _add(self.held_by_workspace, workspace, change)

    def _grant(self, tag: float) -> None:
        self.in_use += 1
        self.virtual_time = max(self.virtual_time, tag)

    def wake(self) -> None:
        """Grant free slots to the waiting requests with the smallest tags."""
        while self._heap and self.has_room:
            tag, _, waiter = heapq.heappop(self._heap)
            if waiter.abandoned or waiter.signal.ready():
                continue
            self._grant(tag)
            waiter.signal.send(True)
        if not self._heap:
            self._forget_idle()

    def _forget_idle(self) -> None:
        ahead = {k: tag for k, tag in self.finish_by_workspace.items() if tag > self.virtual_time}
        self.finish_by_workspace = ahead


def _add(counts: dict[WorkspaceId, int], workspace: WorkspaceId, change: int) -> None:
    count = counts.get(workspace, 0) + change
    if count:
        counts[workspace] = count
    else:
        counts.pop(workspace, None)
