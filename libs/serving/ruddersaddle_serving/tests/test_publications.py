"""Tests of a host's view of published items."""

import unittest

from ruddersaddle_base import clocks
from ruddersaddle_base.ids import ModelId

from ruddersaddle_serving.ports import ModelVersion, StorePosition
from ruddersaddle_serving.publications import START_GRACE_S, Publications
from ruddersaddle_serving.routes import (
    PublishedConfiguration,
    Route,
    RouteKind,
    RouteName,
    RouteTable,
)
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

MODEL = ModelId("m")


def make_route(name: str, host: str, prefix: str) -> Route:
    return Route(RouteName(name), host, prefix, RouteKind.ONCE, 1.0, 0.2, ())


class PublicationsTest(unittest.TestCase):
    def test_versions_never_go_back(self) -> None:
        publications = Publications()
        for version in (3, 2, 5, 4):
            publications.apply(PublishedConfiguration(version))
            publications.apply(ModelVersion(MODEL, version))
        self.assertEqual(publications.version, 5)
        self.assertEqual(publications.version_by_model, {MODEL: 5})

    def test_age_counts_from_the_request(self) -> None:
        publications = Publications()
        asked_at = clocks.now_s() - 2.0
        self.assertTrue(publications.confirm(asked_at, StorePosition(0, 4)))
        self.assertGreaterEqual(publications.age_s, 2.0)
        publications.confirm(asked_at - 1.0, StorePosition(0, 4))
        self.assertLess(publications.age_s, 2.5)

    def test_response_that_lags_confirms_nothing(self) -> None:
        publications = Publications()
        publications.confirm(clocks.now_s() - 9.0, StorePosition(0, 7))
        self.assertFalse(publications.confirm(clocks.now_s(), StorePosition(0, 6)))
        self.assertGreater(publications.age_s, 8.0)


class ListenersTest(unittest.TestCase):
    """Without listeners, restarted hosts learnt of engines' memory and of stores a second late."""

    def test_listeners_are_called_before_anything_is_served_by_a_configuration(self) -> None:
        publications = Publications()
        versions = []
        publications.listeners.append(lambda table: versions.append(table.published.version))
        for version in (3, 3, 2, 4):
            publications.apply(PublishedConfiguration(version))
        self.assertEqual(versions, [3, 4])


class NamingsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.publications = Publications()

    def not_before_s(self) -> dict[int, float]:
        """Return the longest possible age of each naming that this host has dated."""
        return {each.version: each.not_before_s for each in self.publications.naming_ages()}

    def replaced_s(self, version: int) -> float:
        return self.publications.replaced_at_least_s(MODEL, version)

    def test_weights_were_replaced_between_the_last_confirmation_and_the_naming(self) -> None:
        self.publications.confirm(99.0, StorePosition(0, 1))
        self.publications.apply(ModelVersion(MODEL, 2))
        self.now += 3.0
        self.assertEqual((self.replaced_s(1), self.replaced_s(2)), (3.0, 0.0))
        self.assertEqual(self.not_before_s(), {2: 4.0})

    def test_host_that_has_just_started_does_not_know_for_how_long(self) -> None:
        self.publications.apply(ModelVersion(MODEL, 2))
        self.now += 3.0
        self.assertEqual((self.replaced_s(1), self.not_before_s()), (3.0, {}))

    def test_host_that_has_just_started_soon_stops_using_weights_replaced_before(self) -> None:
        """After a restart of all hosts, the bound on old weights started again from zero."""
        publications = Publications()
        publications.apply(ModelVersion(MODEL, 2))
        publications.confirm(self.now, StorePosition(0, 1))
        self.assertFalse(publications.is_replaced_for(MODEL, 1, 9.5))
        self.now += START_GRACE_S
        self.assertTrue(publications.is_replaced_for(MODEL, 1, 9.5))
        self.assertFalse(publications.is_replaced_for(MODEL, 2, 9.5))
        publications.apply(ModelVersion(MODEL, 3))
        self.now += 9.0
        self.assertFalse(publications.is_replaced_for(MODEL, 2, 9.5))
        self.now += 0.5
        self.assertTrue(publications.is_replaced_for(MODEL, 2, 9.5))

    def test_host_that_has_just_started_learns_from_others_when_weights_were_replaced(self) -> None:
        """Without the ages it stopped using old weights after 2 s, when few engines had newer."""
        self.publications.confirm(self.now, StorePosition(0, 1))
        for version in (2, 3):
            self.publications.apply(ModelVersion(MODEL, version))
            self.now += 4.0
            self.publications.confirm(self.now, StorePosition(0, version))
        started = Publications()
        started.apply(ModelVersion(MODEL, 3))
        started.confirm(self.now, StorePosition(0, 3))
        started.apply_naming_ages(self.publications.naming_ages(), self.now)
        self.now += START_GRACE_S - 1.0
        self.assertFalse(started.is_replaced_for(MODEL, 1, 9.5))
        self.now += 0.5
        self.assertEqual(started.replaced_at_least_s(MODEL, 1), 9.5)
        self.assertTrue(started.is_replaced_for(MODEL, 1, 9.5))
        self.assertFalse(started.is_replaced_for(MODEL, 2, 9.5))

    def test_hosts_that_have_all_just_started_report_no_ages(self) -> None:
        self.publications.apply(ModelVersion(MODEL, 2))
        self.assertEqual(self.publications.naming_ages(), ())

    def test_the_first_newer_weights_count(self) -> None:
        for version in (2, 3):
            self.publications.confirm(self.now, StorePosition(0, version))
            self.publications.apply(ModelVersion(MODEL, version))
            self.now += 5.0
        self.assertEqual((self.replaced_s(1), self.replaced_s(2)), (10.0, 5.0))


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        routes = (
            make_route("all", "a.example", "/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("short", "a.example", "/x/"),
            make_route("other", "b.example", "/x/y/z/"),
        )
        table = RouteTable(PublishedConfiguration(1, routes))
        places = ("/x/y/z/1", "/x/z", "/xy", "/x/y")
        names = [table.find("A.example:80", path).name for path in places]
        self.assertEqual(names, ["long", "short", "all", "short"])
        self.assertIsNone(table.find("c.example", "/x/"))


if __name__ == "__main__":
    unittest.main()
