"""Tests of what a host believes of published items."""

import time
import unittest

from ruddersaddle_base.ids import ModelId

from ruddersaddle_serving.ports import ModelVersion
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import Published, Route, RouteKind, RouteName, RouteTable

MODEL = ModelId("m")


def make_route(name: str, host: str, prefix: str) -> Route:
    return Route(RouteName(name), host, prefix, RouteKind.ONCE, 1.0, 0.2, ())


class PublicationsTest(unittest.TestCase):
    def test_versions_never_go_back(self) -> None:
        publications = Publications()
        for version in (3, 2, 5, 4):
            publications.take(Published(version))
            publications.take(ModelVersion(MODEL, version))
        self.assertEqual(publications.version, 5)
        self.assertEqual(publications.version_by_model, {MODEL: 5})

    def test_age_counts_from_the_question(self) -> None:
        publications = Publications()
        asked_at = time.monotonic() - 2.0
        self.assertTrue(publications.confirm(asked_at, 4))
        self.assertGreaterEqual(publications.age_s, 2.0)
        publications.confirm(asked_at - 1.0, 4)
        self.assertLess(publications.age_s, 2.5)

    def test_answer_that_lags_confirms_nothing(self) -> None:
        publications = Publications()
        publications.confirm(time.monotonic() - 9.0, 7)
        self.assertFalse(publications.confirm(time.monotonic(), 6))
        self.assertGreater(publications.age_s, 8.0)


class RouteTableTest(unittest.TestCase):
    def test_longest_prefix_of_the_host_wins(self) -> None:
        routes = (
            make_route("all", "a.example", "/"),
            make_route("long", "a.example", "/x/y/"),
            make_route("short", "a.example", "/x/"),
            make_route("other", "b.example", "/x/y/z/"),
        )
        table = RouteTable(Published(1, routes))
        places = ("/x/y/z/1", "/x/z", "/xy", "/x/y")
        names = [table.find("A.example:80", path).name for path in places]
        self.assertEqual(names, ["long", "short", "all", "short"])
        self.assertIsNone(table.find("c.example", "/x/"))


if __name__ == "__main__":
    unittest.main()
