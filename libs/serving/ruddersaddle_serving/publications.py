"""This host's view of what operators published, and the age of that view."""

import logging
from collections.abc import Callable, Iterable

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId
from ruddersaddle_base.tasks import contain

from ruddersaddle_serving.evacuations import Evacuations
from ruddersaddle_serving.ports import TOPIC_START, ModelVersion, StorePosition
from ruddersaddle_serving.routes import PublishedConfiguration, RouteTable

logger = logging.getLogger(__name__)


START_GRACE_S = 2.0
"""How long a host that has just started uses weights that were replaced before its start. The bound
on their use may have passed already; the platform counts a host as connected from 3 s after its
start."""


class Naming(msgspec.Struct, frozen=True):
    """A naming: an operator's record that makes a version of weights the newest of its model.

    Times are of the boot-time clock. The version was not named yet at `not_before`, the last time
    before `received_at` at which this host's view was confirmed.
    """

    version: int
    not_before: float
    received_at: float


class NamingAge(msgspec.Struct, frozen=True, array_like=True):
    """How long ago a version of weights was named, as sent to other hosts; ages in seconds."""

    model: ModelId
    version: int
    received_s: float
    """Time for which the sender has known of the naming."""
    not_before_s: float
    """Upper bound on the age of the naming: the sender's last confirmation without it is so old."""


class Publications:
    """The newest configuration and the newest named weights.

    Within one process neither ever goes back to an older version. `confirmed_at` is the time, by
    the boot-time clock, of the last request whose response showed that nothing newer was published.
    """

    def __init__(self) -> None:
        self.table: RouteTable | None = None
        self.confirmed_at = float("-inf")
        self.version_by_model: dict[ModelId, int] = {}
        self.namings_by_model: dict[ModelId, list[Naming]] = {}
        self.evacuations = Evacuations()
        self.listeners: list[Callable[[RouteTable], None]] = []
        """Called synchronously with each configuration that comes into force."""
        self.end = TOPIC_START
        """Position after the newest record that was applied."""
        self.settling_until = float("-inf")
        """Until then nothing counts as confirmed: a host that has just started asks other hosts
        first, as the store may have been restored from a copy that still has revoked items."""
        self.stored_version = 0
        """Version of the configuration in the store. After a restore from an earlier copy it is
        older than the one in force until operators publish theirs again."""

    @property
    def version(self) -> int:
        """Version of the configuration; 0 if there is none yet."""
        return 0 if self.table is None else self.table.published.version

    @property
    def age_s(self) -> float:
        """Seconds since this view was last confirmed to be the newest."""
        return float("inf") if self.is_settling else clocks.now_s() - self.confirmed_at

    @property
    def is_settling(self) -> bool:
        """Whether this host has just started and is still asking other hosts what is in force."""
        return clocks.now_s() < self.settling_until

    def apply(self, item: PublishedConfiguration | ModelVersion) -> None:
        """Apply a published item if it is newer than the known one."""
        match item:
            case PublishedConfiguration():
                self._apply_configuration(item)
            case ModelVersion():
                self._apply_version(item)

    def _apply_configuration(self, published: PublishedConfiguration) -> None:
        if published.version <= self.version:
            return
        logger.info("Configuration %d is in force, after %d.", published.version, self.version)
        self.table = RouteTable(published)
        for listener in self.listeners:
            with contain("configuration"):
                listener(self.table)

    def _apply_version(self, named: ModelVersion) -> None:
        known = self.version_by_model.get(named.model, 0)
        if named.version <= known:
            return
        logger.info("Weights %d of %s are named, after %d.", named.version, named.model, known)
        self.version_by_model[named.model] = named.version
        naming = Naming(named.version, self.confirmed_at, clocks.now_s())
        self.namings_by_model.setdefault(named.model, []).append(naming)

    def naming_ages(self) -> tuple[NamingAge, ...]:
        """Return the ages of all namings that became known while this host was running."""
        now = clocks.now_s()
        return tuple(
            NamingAge(model, each.version, now - each.received_at, now - each.not_before)
            for model, namings in self.namings_by_model.items()
            for each in namings
            if each.not_before != float("-inf")
        )

    def apply_naming_ages(self, ages: Iterable[NamingAge], asked_at: float) -> None:
        """Apply the ages of namings that another host reported, relative to the request's time.

        They tell a host that has just started how long old weights may still be used; otherwise it
        stops using them after `START_GRACE_S`, when few engines may have newer ones yet.
        """
        for age in ages:
            reported = Naming(age.version, asked_at - age.not_before_s, asked_at - age.received_s)
            by_version = {each.version: each for each in self.namings_by_model.get(age.model, ())}
            own = by_version.get(age.version)
            if own is None or own.not_before == float("-inf"):
                by_version[age.version] = reported
            self.namings_by_model[age.model] = [by_version[each] for each in sorted(by_version)]

    def replaced_at_least_s(self, model: ModelId, version: int) -> float:
        """Return how long this host has known that newer weights are named; 0 if there are none."""
        replaced_at = self.replaced_at(model, version)
        return 0.0 if replaced_at is None else clocks.now_s() - replaced_at

    def is_replaced_for(self, model: ModelId, version: int, bound_s: float) -> bool:
        """Return whether newer weights may have been named longer ago than a bound.

        A host that has just started can't know when they were named; it assumes that the bound has
        passed after `START_GRACE_S`.
        """
        naming = self._first_after(model, version)
        if naming is None:
            return False
        was_known_at_start = naming.not_before == float("-inf")
        allowed_s = min(bound_s, START_GRACE_S) if was_known_at_start else bound_s
        return clocks.now_s() - naming.received_at >= allowed_s

    def replaced_at(self, model: ModelId, version: int) -> float | None:
        """Return when this host learnt that newer weights are named; None if there are none."""
        naming = self._first_after(model, version)
        return None if naming is None else naming.received_at

    def known_newest_at(self, model: ModelId, version: int) -> float | None:
        """Return when this host last knew that no newer weights were named; None if none are.

        Negative infinity if they had been named before this host started.
        """
        naming = self._first_after(model, version)
        return None if naming is None else naming.not_before

    def _first_after(self, model: ModelId, version: int) -> "Naming | None":
        namings = self.namings_by_model.get(model, ())
        return next((each for each in namings if each.version > version), None)

    def is_of_later_era(self, end: StorePosition) -> bool:
        """Return whether the store was restored from a copy after the last confirmation."""
        return self.end != TOPIC_START and end.era > self.end.era

    def confirm(self, asked_at: float, end: StorePosition) -> bool:
        """Record a response to a request sent at `asked_at`; reject one that lags behind."""
        if end < self.end:
            logger.warning("Response of the store lags: it ends at %s, known is %s.", end, self.end)
            return False
        self.end = end
        self.confirmed_at = max(self.confirmed_at, asked_at)
        return True
