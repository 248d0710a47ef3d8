"""Tests of when one software version alone counts in a pool."""

from unittest import mock

import msgspec
from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.pool_versions import SETTLE_S, PoolVersions
from ruddersaddle_serving.stream_exchanges import StreamExchange
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.tests.test_version_pins import POOL, make_entry
from ruddersaddle_serving.upstream_lists import UP_TO_DATE_S, UpstreamList

MEMORY_S = 40.0


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
        self.now += seconds
        self.upstreams.confirm(self.now)

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

    def test_nothing_is_alone_in_an_old_list(self) -> None:
        """Others may have listed another version meanwhile, and begun streams there."""
        self.list_entries(a="v1")
        self.pass_time(MEMORY_S + 1)
        self.now += UP_TO_DATE_S + 0.1
        self.assertIsNone(self.versions.alone(POOL))
        self.upstreams.confirm(self.now)
        self.assertEqual(self.versions.alone(POOL), "v1")

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
        self.assertEqual(self.ids(entries, set()), {"a"})
        self.assertEqual(self.ids(entries, {"a"}), {"a", "b"})
        self.assertEqual(self.ids([entries[1]], set()), {"b"})
        self.pass_time(SETTLE_S + 0.1)
        self.assertEqual(self.ids(entries, set()), {"a", "b"})

    def ids(self, entries: list, excluded: set[str]) -> set[str]:
        return {each.id for each in self.versions.select_settled(entries, excluded)}
