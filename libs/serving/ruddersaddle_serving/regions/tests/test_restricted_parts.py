"""Parts are freed where a configuration doesn't allow them any more, but not while they are used.

Without this, a tenant's prompt parts stay in a region that was taken away from it.
"""

import unittest
from unittest import mock

from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HostId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.ports import StoreChange, StoreListing
from ruddersaddle_serving.regions.residency import (
    FREE_AFTER_S,
    FREE_CALL_S,
    FREE_TRUST_S,
    LEFTOVERS_S,
    Residency,
)
from ruddersaddle_serving.regions.restricted_parts import RestrictedParts
from ruddersaddle_serving.regions.tests.fixtures import (
    NORTH,
    SHARED,
    SOUTH,
    STORE_BY_REGION,
    ResidencyTest,
    make_route,
    make_workspace,
)

BOTH, ONE = "m/1~north+south;w=w", "m/1~north;w=w"
OTHERS = "m/1~north+south;w=v"


class RestrictedPartsTest(ResidencyTest):
    def setUp(self) -> None:
        super().setUp()
        self.engines = mock.Mock()
        self.engines.free.return_value = None
        self.engines.store_listing.return_value = StoreListing(1, 0, (), ())
        self.cached_parts = CachedParts(self.engines)
        self.add_stores(self.cached_parts)
        self.task = self.make_task("a1", "b1")
        self.both = make_workspace(allowed_regions=(NORTH, SOUTH))
        self.one = make_workspace(allowed_regions=(NORTH,))
        self.other = make_workspace("v", allowed_regions=(NORTH, SOUTH))

    def make_task(self, own: str, *others: str) -> RestrictedParts:
        """Return the task of a host; the first letter of a host's address is its hall."""
        hosts = Hosts(HostId(own), HostRecord(own, own[0]), [])
        hosts.replace({HostId(each): HostRecord(each, each[0]) for each in others})
        return RestrictedParts(self.residency, hosts, self.cached_parts)

    def put(self, *salts: str, region: str = NORTH) -> None:
        for salt in salts:
            self.cached_parts.by_id[region].apply(StoreChange(salt, SHARED.id, SHARED.tokens))

    def held(self, region: str = NORTH) -> set[str]:
        return {salt for salt, _ in self.cached_parts.by_id[region].tokens_by_part}

    def run_for(self, seconds: float, task: RestrictedParts | None = None) -> None:
        """Check each half second; the listings and the configuration stay confirmed."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            self.confirm()
            for store in self.cached_parts.by_id.values():
                store.confirmed_at = self.now
            (task or self.task).free_unused()

    def take_away(self) -> None:
        """Take a region away from one of two workspaces that have had the same list for long."""
        self.publish(make_route(), self.both, self.other)
        self.run_for(20.0)
        self.publish(make_route(), self.one, self.other)

    def test_parts_are_freed_in_time_and_those_in_use_stay(self) -> None:
        self.put(BOTH, OTHERS, "m/1")
        self.take_away()
        self.put(ONE)
        self.run_for(FREE_AFTER_S - 0.5)
        self.assertIn(BOTH, self.held(), "a host without the newest configuration may fetch it")
        self.run_for(1.5)
        self.assertLess(FREE_AFTER_S + 1.5, 10.0)
        self.assertEqual(self.held(), {ONE, OTHERS, "m/1"})
        self.engines.free.assert_called_once()
        self.assertEqual(self.residency.counts["parts_freed"], 1)

    def test_parts_of_a_dedicated_workspace_from_before_it_had_a_list_are_freed(self) -> None:
        self.publish(make_route(), make_workspace(dedicated=True))
        self.put("m/1", "m/1/w", "m/1/v")
        self.run_for(20.0)
        self.publish(make_route(), self.one)
        self.run_for(FREE_AFTER_S + 1.0)
        self.assertEqual(self.held(), {"m/1", "m/1/v"})

    def test_incomplete_part_and_part_that_is_saved_after_the_change_are_freed(self) -> None:
        self.take_away()
        parts = tuple(StoreChange(salt, SHARED.id, 16) for salt in (BOTH, OTHERS))
        self.engines.store_listing.return_value = StoreListing(1, 0, (), parts)
        self.run_for(FREE_AFTER_S + 1.0)
        gone = (StoreChange(BOTH, SHARED.id, 0),)
        self.engines.free.assert_called_once()
        store, epoch, parts, until_ms = self.engines.free.call_args.args
        self.assertEqual((store, epoch, parts), (STORE_BY_REGION[NORTH], 1, gone))
        view = self.cached_parts.by_id[NORTH]
        self.assertLessEqual(until_ms, view.clock_ms + FREE_CALL_S * 1000)
        self.put(BOTH)
        self.run_for(1.0)
        self.assertEqual(self.held(), set())

    def test_parts_stay_if_the_region_is_given_back_in_time(self) -> None:
        self.put(BOTH)
        self.take_away()
        self.run_for(FREE_AFTER_S - 0.5)
        self.publish(make_route(), self.both)
        self.run_for(20.0)
        self.assertEqual(self.held(), {BOTH})

    def test_part_in_a_store_outside_its_regions_is_freed(self) -> None:
        self.put(ONE, region=SOUTH)
        self.publish(make_route(), self.one)
        self.run_for(FREE_AFTER_S + 1.0, self.make_task("b1", "a1"))
        self.assertEqual(self.held(SOUTH), set())

    def test_only_a_host_of_the_stores_region_frees(self) -> None:
        self.put(BOTH, region=SOUTH)
        self.take_away()
        self.run_for(20.0, self.make_task("a1", "b1"))
        self.engines.free.assert_not_called()
        self.run_for(1.0, self.make_task("a1"))
        self.assertEqual(self.held(SOUTH), set(), "no host of the region is left")

    def test_second_host_frees_later_if_the_first_does_not(self) -> None:
        self.put(BOTH)
        store = self.cached_parts.by_id[NORTH]
        hosts = (self.make_task("a1", "a2"), self.make_task("a2", "a1"))
        _, second = sorted(hosts, key=lambda host: host._rank(store))
        self.take_away()
        self.run_for(FREE_AFTER_S + 1.0, second)
        self.engines.free.assert_not_called()
        self.run_for(1.0, second)
        self.assertEqual(self.held(), set())

    def test_parts_are_freed_after_a_restart_of_host_and_store(self) -> None:
        self.publish(make_route(), self.one)
        self.task.residency = Residency(self.residency.regions, self.publications)
        self.task.residency.apply_table(self.publications.table)
        self.cached_parts.by_id[NORTH].reset(2, 0, has_parts=True)
        self.put(BOTH, ONE)
        self.run_for(FREE_AFTER_S - 0.5)
        self.assertEqual(self.held(), {BOTH, ONE})
        self.run_for(1.0)
        self.assertEqual(self.engines.free.call_args.args[1], 2)
        self.assertEqual(self.held(), {ONE})

    def test_nothing_is_freed_by_a_configuration_that_is_not_confirmed(self) -> None:
        """A newer one may have given the region back."""
        self.put(BOTH)
        self.take_away()
        self.now += FREE_TRUST_S + 0.1
        self.cached_parts.by_id[NORTH].confirmed_at = self.now
        self.task.free_unused()
        self.engines.free.assert_not_called()

    def test_failed_call_is_repeated_at_the_next_check(self) -> None:
        self.put(BOTH)
        self.take_away()
        failure = Failure(Code.UPSTREAM_FAILED, Step.KEEP, "north:1", "status 503")
        self.engines.free.side_effect = [failure, None]
        with self.assertLogs("ruddersaddle_serving.regions.restricted_parts", "WARNING"):
            self.run_for(FREE_AFTER_S + 1.0)
        self.assertEqual(self.held(), set())

    def test_parts_are_freed_after_the_last_list_is_removed(self) -> None:
        self.put(BOTH, "m/1")
        self.publish(make_route(), self.both)
        self.run_for(LEFTOVERS_S)
        self.publish(make_route(), make_workspace())
        self.run_for(FREE_AFTER_S + 1.0)
        self.assertEqual(self.held(), {"m/1"})


if __name__ == "__main__":
    unittest.main()
