"""Orders of operators to move a service to a new software version, and their states.

These are values only; `order_books` tracks which order is in force for which pool.
"""

from enum import Enum

import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import PoolId, SoftwareVersion
from ruddersaddle_base.settings import Settings

from ruddersaddle_serving.store_eras import StorePosition

MS_PER_S = 1000.0


class RolloutOrder(msgspec.Struct, frozen=True):
    """An operator's order; `duration_s` is the time within which it should be completed.

    An order without a target takes the last order for the pool back.
    """

    pool: PoolId
    target: SoftwareVersion | None
    duration_s: float


class UnusableOrder(msgspec.Struct, frozen=True):
    """A record of an order that can't be used; it neither ends nor replaces the order in force."""

    pool: PoolId
    failure: Failure


class OrderId(msgspec.Struct, frozen=True, array_like=True):
    """Identifies one order: the same version ordered again is another order, with new counts.

    `position` is that of the order's record in the operators' topic.
    """

    pool: PoolId
    target: SoftwareVersion
    position: StorePosition

    def __str__(self) -> str:
        return f"{self.pool} to {self.target} at {self.position.era}.{self.position.offset}"

    def is_copy_of(self, earlier: "OrderId") -> bool:
        """Return whether this is an earlier record, read again after the store was restored.

        Records of the copy keep their offsets, but belong to a later era from then on.
        """
        return (
            self.pool == earlier.pool
            and self.target == earlier.target
            and self.position.offset == earlier.position.offset
            and self.position.era > earlier.position.era
        )


class RolloutState(Enum):
    """The state of a rollout as operators see it."""

    SERVING = "serving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the state of this order never changes again."""
        return self is not RolloutState.SERVING


class RolloutPhase(Enum):
    """How far traffic has moved while a rollout is in progress."""

    SAMPLING = "sampling"
    """Each route sends a small share of its requests to a few upstreams of the target version."""
    SHIFTING = "shifting"
    """Routes move to the target version one after another."""


class VersionSide(Enum):
    """To which side of a rollout an upstream belongs, by its software version."""

    BASELINE = "baseline"
    TARGET = "target"
    UNPROVEN = "unproven"
    """The target of an order that was superseded before it was completed."""


class Stop(msgspec.Struct, frozen=True):
    """Why no host may send requests to the target of an order.

    `is_bad` is false if the version may be good: the order was withdrawn, or proof is missing.
    """

    reason: str
    by: str
    """Peer address of the host that stopped first."""
    is_bad: bool = True


class SharedRollout(msgspec.Struct, frozen=True):
    """What a host knows of an order, as sent to other hosts."""

    id: OrderId
    duration_s: float
    elapsed_s: float
    """Time since the order when this was sent, in seconds."""
    state: RolloutState
    baseline: tuple[SoftwareVersion, ...]
    unproven: tuple[SoftwareVersion, ...]
    is_return: bool
    stop: Stop | None = None
    reason: str = ""
    written_era: int = -1
    """Era of the store in which the decision and its status are known to be written, or -1."""
    late: tuple[SoftwareVersion, ...] = ()
    """Versions of `baseline` whose upstreams appeared after the order."""
    decided_s: float = 0.0
    """Time since the decision when this was sent, in seconds; 0 without one."""


class ExposureLimits(msgspec.Struct, frozen=True):
    """How many requests an unproven version may get, and how soon all hosts must stop.

    Within an order's duration that is `share` of all requests to the service plus `slack`.
    """

    share: float
    slack: float
    stop_s: float

    @property
    def is_enabled(self) -> bool:
        """Whether this deployment has rollouts."""
        return self.share > 0

    @classmethod
    def from_settings(cls, settings: Settings) -> "ExposureLimits":
        """Return the limits that the `rollouts` section of the settings states."""
        return cls(
            settings.number("rollouts.exposure_share"),
            settings.number("rollouts.exposure_slack"),
            settings.number("rollouts.stop_ms") / MS_PER_S,
        )
