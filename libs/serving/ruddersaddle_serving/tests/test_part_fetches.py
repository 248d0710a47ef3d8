"""Tests that no part is freed under a fetch, by hosts that read the same lists at other times.

Drawn plays in virtual time: the entry of an engine with replaced weights goes and comes back, while
one host frees parts and another one, cut off for a while, sends the engine prompts.
"""

import unittest
from random import Random
from unittest import mock

import msgspec
from ruddersaddle_base.ids import HallId, HostId, ModelId, PoolId, StoreId, UpstreamId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.context_stores import FETCH_TIMEOUT_S, StoreView
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.placements import Placement
from ruddersaddle_serving.ports import ModelVersion, StoreChange, StorePosition
from ruddersaddle_serving.prompts import PartId
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.replaced_parts import FREE_CALL_S, ReplacedParts
from ruddersaddle_serving.routes import ContextStore
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.upstream_quotas import UpstreamQuotas

MODEL = ModelId("m")
HALL = HallId("h")
SPEC = ContextStore(StoreId("s"), "10.0.0.9:1", HALL, 90_000, 130_000.0, 0.006, 8)
OLD_PART = StoreChange("m/1", PartId("shared"), 500)
MOVED = UpstreamEntry(UpstreamId("moved"), PoolId("p"), "10.0.0.1:1", HALL, 8, False, {MODEL: 1})
KEPT = msgspec.structs.replace(MOVED, id=UpstreamId("kept"), address="10.0.0.1:2")
RESTARTED = msgspec.structs.replace(KEPT, id=UpstreamId("restarted"))
STEP_S = 0.1
PLAY_S = 40.0
KEY_AGE_MAX_S = 4.7
"""Age of the configuration from which a host with strict keys sends nothing; 5 s less a margin."""
SEEDS = 150


class World:
    """What is true: the weights that are named, the entries in the store, the engines alive."""

    def __init__(self, random: Random, began_at: float) -> None:
        self.named_at = began_at + random.uniform(5, 15)
        self.moved_at = self.named_at + random.uniform(1, 4)
        """When the other engine has the new weights."""
        self.gone_at = began_at + random.uniform(2, 18)
        self.back_at = self.gone_at + random.uniform(0.5, 14)
        self.restarts = random.random() < 0.5
        """Whether the engine ends and is back under another id; else only its entry is missing."""
        self.cut_at = began_at + random.uniform(2, 18)
        self.healed_at = self.cut_at + random.uniform(0, 16)

    def named_version(self, now: float) -> int:
        """Return the newest named weights."""
        return 1 if now < self.named_at else 2

    def entries(self, now: float) -> list[UpstreamEntry]:
        """Return the entries in the metadata store."""
        version = 1 if now < self.moved_at else 2
        moved = msgspec.structs.replace(MOVED, version_by_model={MODEL: version})
        if now < self.gone_at:
            return [moved, KEPT]
        if now < self.back_at:
            return [moved]
        return [moved, RESTARTED if self.restarts else KEPT]

    def alive(self, now: float) -> set[UpstreamId]:
        """Return the engines with the replaced weights that serve requests."""
        if not self.restarts or now < self.gone_at:
            return {KEPT.id}
        return {RESTARTED.id} if now >= self.back_at else set()


class Host:
    """What one host knows; it reads entries and published items at moments of their own."""

    def __init__(self, random: Random, now: float) -> None:
        self.random = random
        self.publications = Publications()
        self.upstreams = UpstreamList()
        self.trackers = Trackers()
        self.reads_entries_at = self.reads_items_at = now
        self.offset = 0

    def read(self, world: World, now: float) -> None:
        """Read what is due."""
        asked_at = now - self.random.uniform(0, 0.3)
        if now >= self.reads_entries_at:
            self.reads_entries_at = now + self.random.uniform(0.2, 1.7)
            self.upstreams.replace(world.entries(now), asked_at)
        if now >= self.reads_items_at:
            self.reads_items_at = now + self.random.uniform(0.2, 1.7)
            self.publications.apply(ModelVersion(MODEL, world.named_version(now)))
            self.offset += 1
            self.publications.confirm(asked_at, StorePosition(0, self.offset))


class PartFetchTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.fetches = self.frees = 0

    def play(self, seed: int) -> list[str]:
        """Return the parts that were freed under a fetch."""
        random = Random(seed)
        began_at = self.now
        world = World(random, began_at)
        sender, freer = Host(random, self.now), Host(random, self.now)
        placement = self.make_placement(sender)
        frees: list[float] = []
        replaced, store = self.make_replaced_parts(freer, random, frees)
        fetches: list[float] = []
        while self.now < began_at + PLAY_S:
            self.now += STEP_S
            if not world.cut_at <= self.now < world.healed_at:
                sender.read(world, self.now)
            freer.read(world, self.now)
            for entry in sender.upstreams.of_pool(KEPT.pool):
                tracker = sender.trackers.get_or_create(entry)
                is_old = entry.id in world.alive(self.now) and tracker.version_by_model[MODEL] == 1
                is_confirmed = sender.publications.age_s <= KEY_AGE_MAX_S
                if is_old and is_confirmed and placement.may_fetch(MODEL, tracker):
                    fetches.append(self.now)
            store.confirmed_at = self.now
            store.apply(OLD_PART)
            replaced.free_unused(MODEL)
        self.fetches += len(fetches)
        self.frees += len(frees)
        return [
            f"seed {seed}: fetch at {fetch - began_at:.1f}, freed at {free - began_at:.1f}"
            for fetch in fetches
            for free in frees
            if fetch <= free < fetch + FETCH_TIMEOUT_S
        ]

    def make_placement(self, host: Host) -> Placement:
        hosts = Hosts(HostId("host"), HostRecord("10.0.0.9:1", HALL), [])
        quotas = UpstreamQuotas(hosts, host.publications, host.upstreams)
        return Placement(
            HALL,
            12.0,
            host.publications,
            host.upstreams,
            host.trackers,
            CachedParts(mock.Mock()),
            quotas,
        )

    def make_replaced_parts(
        self, host: Host, random: Random, frees: list[float]
    ) -> tuple[ReplacedParts, StoreView]:
        """Return the task of a host; the times at which the store frees parts go to `frees`."""

        def free(*call: object) -> None:
            frees.append(self.now + random.uniform(0, FREE_CALL_S))

        cached_parts = CachedParts(mock.Mock(free=free))
        store = cached_parts.by_id[SPEC.id] = StoreView(SPEC)
        store.reset(1, 0)
        store.record_clock(5_000)
        neighbours = mock.Mock(live_hosts=["a"], address="a")
        replaced = ReplacedParts(
            host.publications, host.upstreams, host.trackers, neighbours, cached_parts
        )
        return replaced, store

    def test_host_that_missed_an_absence_has_parts_fetched_that_are_being_freed(self) -> None:
        broken = [each for seed in range(SEEDS) for each in self.play(seed)[:1]]
        self.assertEqual(broken, [])
        self.assertGreater(min(self.fetches, self.frees), SEEDS)


if __name__ == "__main__":
    unittest.main()
