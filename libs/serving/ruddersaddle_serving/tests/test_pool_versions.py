"""Tests of when one software version alone counts in a pool."""

from unittest import mock

import msgspec
from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.pool_versions import FIRST_LIST_S, SETTLE_S, PoolVersions
from ruddersaddle_serving.routes import (
    PublishedConfiguration,
    Route,
    RouteKind,
    RouteName,
    RouteTable,
    Target,
)
from ruddersaddle_serving.stream_exchanges import StreamExchange
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.tests.test_version_pins import POOL, make_entry
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UP_TO_DATE_S, UpstreamList

MEMORY_S = 40.0


def make_table(*pools_of_routes: list[PoolId]) -> RouteTable:
    """Return the table of resumable routes with the paths /0/, /1/ and so on."""
    routes = [
        Route(
            RouteName(f"r{number}"),
            "h",
            f"/{number}/",
            RouteKind.STREAM,
            9.0,
            1.0,
            tuple(map(Target, pools)),
            resumable=True,
        )
        for number, pools in enumerate(pools_of_routes)
    ]
    return RouteTable(PublishedConfiguration(1, tuple(routes)))


def in_pool(entry: UpstreamEntry, pool: PoolId) -> UpstreamEntry:
    return msgspec.structs.replace(entry, pool=pool)


class PoolVersionsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.upstreams = UpstreamList()
        self.versions = PoolVersions(self.upstreams, lambda: MEMORY_S)

    def list_entries(self, **version_by_id: str | msgspec.UnsetType) -> None:
        entries = [make_entry(name, version) for name, version in version_by_id.items()]
        self.upstreams.replace(entries, self.now)
        self.versions.seen(POOL)

    def pass_time(self, seconds: float) -> None:
        """Let time pass, with a list that is confirmed all the time."""
        end = self.now + seconds
        while self.now < end:
            self.now = min(self.now + 1, end)
            self.upstreams.confirm(self.now)
            self.versions.observe()

    def test_version_is_alone_only_after_the_longest_stream(self) -> None:
        """A host that has just started knows no versions of before."""
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S - 0.1)
        self.assertIsNone(self.versions.alone(POOL))
        self.pass_time(0.2)
        self.assertEqual(self.versions.alone(POOL), "v1")
        self.assertIsNone(self.versions.alone(PoolId("another")))

    def test_version_counts_for_a_while_after_its_last_upstream(self) -> None:
        self.list_entries(a="v1", b="v2")
        self.pass_time(MEMORY_S + 1)
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S - 0.1)
        self.assertIsNone(self.versions.alone(POOL))
        self.pass_time(0.2)
        self.assertEqual(self.versions.alone(POOL), "v1")

    def test_version_that_came_and_went_without_traffic_counts(self) -> None:
        """Only requests looked at the versions, and a host without any missed one."""
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        for version_by_id in ({"a": "v1", "b": "v2"}, {"a": "v1"}):
            entries = [make_entry(name, version) for name, version in version_by_id.items()]
            self.upstreams.replace(entries, self.now)
            exchange = StreamExchange(
                mock.Mock(), mock.Mock(), self.versions, mock.MagicMock(), mock.MagicMock()
            )
            exchange.tell_untold()
        self.assertEqual(self.versions.seen(POOL), {"v1", "v2"})
        self.assertIsNone(self.versions.alone(POOL))

    def test_second_version_counts_at_once(self) -> None:
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        self.assertEqual(self.versions.alone(POOL), "v1")
        self.list_entries(a="v1", b="v2")
        self.assertIsNone(self.versions.alone(POOL))

    def test_nothing_is_alone_on_a_route_whose_pools_have_several(self) -> None:
        """Each of two pools had one version, so that nobody was told which one began a stream."""
        other = PoolId("other")
        self.versions.route_pools.apply_table(make_table([POOL, other]))
        entries = [make_entry("a", "v1"), in_pool(make_entry("b", "v2"), other)]
        self.upstreams.replace(entries, self.now)
        self.versions.seen(POOL)
        self.pass_time(MEMORY_S + 1)
        self.assertEqual([self.versions.alone(each) for each in (POOL, other)], [None, None])
        self.assertEqual(self.versions.seen_beside(POOL), {"v1", "v2"})
        self.versions.route_pools.apply_table(make_table([POOL], [other]))
        self.pass_time(MEMORY_S + 1)
        self.assertEqual([self.versions.alone(each) for each in (POOL, other)], ["v1", "v2"])

    def test_nothing_is_alone_after_a_route_has_moved_to_a_pool_of_another_version(self) -> None:
        """Streams that began at the former pool went on at the present one."""
        other = PoolId("other")
        entries = [make_entry("a", "v1"), in_pool(make_entry("b", "v2"), other)]
        self.upstreams.replace(entries, self.now)
        self.versions.route_pools.apply_table(make_table([POOL], []))
        self.versions.seen(POOL)
        self.pass_time(MEMORY_S + 1)
        self.assertEqual([self.versions.alone(each) for each in (POOL, other)], ["v1", "v2"])
        self.versions.route_pools.apply_table(make_table([other], []))
        for _ in range(2):
            self.assertEqual([self.versions.alone(each) for each in (POOL, other)], [None, None])
            self.pass_time(MEMORY_S - 0.1)
        self.assertEqual([self.versions.alone(each) for each in (POOL, other)], ["v1", "v2"])

    def test_pool_without_upstreams_has_no_version_alone(self) -> None:
        other = PoolId("other")
        self.versions.route_pools.apply_table(make_table([POOL, other]))
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        self.assertEqual([self.versions.alone(each) for each in (POOL, other)], ["v1", None])

    def test_nothing_is_alone_in_an_old_list(self) -> None:
        """Others may have listed another version meanwhile, and begun streams there."""
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        self.assertEqual(self.versions.alone(POOL), "v1")
        self.now += UP_TO_DATE_S + 0.1
        self.assertIsNone(self.versions.alone(POOL))
        self.upstreams.confirm(self.now)
        self.assertIsNone(self.versions.alone(POOL))
        self.pass_time(MEMORY_S - 0.1)
        self.assertIsNone(self.versions.alone(POOL))
        self.pass_time(0.2)
        self.assertEqual(self.versions.alone(POOL), "v1")

    def test_version_that_came_and_went_while_the_process_was_paused_counts(self) -> None:
        """The list was confirmed again before anything looked at its age."""
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        self.now += UP_TO_DATE_S + 0.1
        self.upstreams.confirm(self.now)
        self.assertIsNone(self.versions.alone(POOL))
        self.assertTrue(self.versions.is_list_whole)

    def test_list_that_is_confirmed_in_time_has_no_gap(self) -> None:
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        for _ in range(3):
            self.now += UP_TO_DATE_S - 0.1
            self.upstreams.confirm(self.now)
            self.assertEqual(self.versions.alone(POOL), "v1")

    def test_list_is_whole_a_while_after_the_first_one(self) -> None:
        self.assertFalse(self.versions.is_list_whole)
        self.list_entries(a="v1")
        self.assertFalse(self.versions.is_list_whole)
        self.pass_time(FIRST_LIST_S + 0.1)
        self.assertTrue(self.versions.is_list_whole)
        self.now += UP_TO_DATE_S + 0.1
        self.assertFalse(self.versions.is_list_whole)

    def test_versions_that_no_host_reads_are_one(self) -> None:
        self.list_entries(a=msgspec.UNSET, b=msgspec.UNSET)
        self.assertIs(self.versions.alone(POOL), msgspec.UNSET)
        self.list_entries(a=msgspec.UNSET, b="v1")
        self.assertIsNone(self.versions.alone(POOL))

    def test_streams_begin_at_a_new_version_when_all_hosts_know_it(self) -> None:
        """A host whose list is a bit older takes the other version for alone."""
        self.assertGreater(SETTLE_S, UP_TO_DATE_S)
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S)
        self.list_entries(a="v1", b="v2")
        entries = self.upstreams.of_pool(POOL)
        self.assertEqual(self.ids(entries), {"a"})
        self.assertEqual(self.ids([entries[1]]), {"b"})
        self.pass_time(SETTLE_S + 0.1)
        self.assertEqual(self.ids(entries), {"a", "b"})

    def test_streams_begin_late_also_at_a_version_that_comes_again(self) -> None:
        """Other hosts may have forgotten it, and take the version beside it for alone."""
        self.list_entries(a="v1", b="v2")
        self.pass_time(SETTLE_S + 0.1)
        self.list_entries(a="v1")
        self.pass_time(1)
        self.list_entries(a="v1", b="v2")
        entries = self.upstreams.of_pool(POOL)
        self.assertEqual(self.ids(entries), {"a"})
        self.assertTrue(self.versions.is_changing([POOL]))
        self.pass_time(SETTLE_S - 0.1)
        self.assertEqual(self.ids(entries), {"a"})
        self.pass_time(0.2)
        self.assertEqual(self.ids(entries), {"a", "b"})

    def test_version_is_alone_until_streams_may_begin_at_another(self) -> None:
        """Its streams were refused if their host was killed as the other was listed."""
        self.list_entries(a="v1")
        self.assertIsNone(self.versions.alone_until_now(POOL))
        self.pass_time(MEMORY_S + 1)
        self.list_entries(a="v1", b="v2")
        self.assertIsNone(self.versions.alone(POOL))
        self.assertEqual(self.versions.alone_until_now(POOL), "v1")
        self.pass_time(SETTLE_S - UP_TO_DATE_S)
        self.assertIsNone(self.versions.alone_until_now(POOL))

    def test_version_is_not_alone_until_another_that_has_left_comes_again(self) -> None:
        """Streams that began at the other before may still be taken up."""
        self.list_entries(a="v1", b="v2")
        self.pass_time(MEMORY_S + 1)
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S - 1)
        self.list_entries(a="v1", b="v2")
        self.assertIsNone(self.versions.alone_until_now(POOL))

    def test_change_at_other_upstreams_leaves_a_version_settled(self) -> None:
        self.list_entries(a="v1", b="v2")
        self.pass_time(SETTLE_S + 0.1)
        self.list_entries(a="v1", b="v2", c="v2")
        self.assertEqual(self.ids(self.upstreams.of_pool(POOL)), {"a", "b", "c"})

    def ids(self, entries: list[UpstreamEntry]) -> set[str]:
        return {each.id for each in self.versions.select_settled(entries)}
