"""Messages between hosts on rollouts; sent only where rollouts are switched on."""

import msgspec
from ruddersaddle_base.ids import Incarnation

from ruddersaddle_serving.rollouts.counts import RolloutCounts, RolloutTotals
from ruddersaddle_serving.rollouts.orders import OrderId, SharedRollout, Stop
from ruddersaddle_serving.routes import RouteName


class Grant(msgspec.Struct, frozen=True):
    """How far the lease holder lets traffic move to the target of an order.

    Shares never grow without a newer grant. A grant is fresh for `GRANT_S` of the order's time.
    """

    id: OrderId
    fence: int
    """Fence of the holder; grants of a later holder prevail."""
    elapsed_s: float
    """Time since the order when the holder's lease was renewed, in seconds."""
    shifted: tuple[RouteName, ...]
    """Routes that have moved to the target."""
    carried_requests: int = 0
    """Requests that no running process counted, from the record of an earlier holder."""
    carried_sent: int = 0
    """The same for requests sent to the target."""

    @property
    def rank(self) -> tuple[int, float]:
        """Key by which the newest grant of an order is found."""
        return self.fence, self.elapsed_s


class HallTotals(msgspec.Struct, frozen=True):
    """Totals over all halls of one order, as a hall's reader knows them."""

    totals: RolloutTotals
    confirmed_s: float
    """Time since the order up to which most of the other readers have reported, in seconds."""
    own: RolloutCounts | None
    """Counts of the receiving process that the totals contain; None if they contain none."""


class CountReport(msgspec.Struct, frozen=True, tag="rollout_counts"):
    """Counts of the sender, or of the hall that it reads for; answered by `CountReply`."""

    address: str
    counts: tuple[RolloutCounts, ...]
    rollouts: tuple[SharedRollout, ...]
    grants: tuple[Grant, ...]
    is_reader: bool
    """Whether the sender exchanges counts with readers, so that it needs no totals."""
    wants_all: bool
    """Whether the sender needs all counts, also of processes that have ended: it has just begun to
    exchange counts."""


class CountReply(msgspec.Struct, frozen=True, tag="rollout_totals"):
    """The receiver's counts for a reader, or totals for a host of its hall."""

    counts: tuple[RolloutCounts, ...]
    totals: tuple[HallTotals, ...]
    rollouts: tuple[SharedRollout, ...]
    grants: tuple[Grant, ...]


class RolloutNotice(msgspec.Struct, frozen=True, tag="rollout_notice"):
    """Notifies of stops, decisions, and grants that move routes; it is not answered."""

    rollouts: tuple[SharedRollout, ...]
    grants: tuple[Grant, ...] = ()


class CloseOld(msgspec.Struct, frozen=True, tag="rollout_close"):
    """Asks a host to send nothing to old upstreams for `CLOSED_S`; answered by `OldClosed`."""

    id: OrderId


class OldClosed(msgspec.Struct, frozen=True, tag="rollout_closed"):
    """Whether the host complies, and what speaks against completing the order."""

    is_closed: bool
    stop: Stop | None
    old_runs: int
    """Runs at old upstreams that can't be resumed."""
    process: Incarnation


RolloutMessage = CountReport | CountReply | RolloutNotice | CloseOld | OldClosed
