"""Tests of which pools may have begun a stream after a route has changed."""

from ruddersaddle_base.ids import PoolId

from ruddersaddle_serving.route_pools import RoutePools
from ruddersaddle_serving.routes import (
    PublishedConfiguration,
    Route,
    RouteKind,
    RouteName,
    RouteTable,
    Target,
)
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest

P1, P2, P3 = PoolId("p1"), PoolId("p2"), PoolId("p3")
MEMORY_S = 40.0


def make_table(resumable: bool = True, **pools_by_prefix: list[PoolId]) -> RouteTable:
    """Return the table of routes with the paths /a, /ab and so on."""
    routes = [
        Route(
            RouteName(name),
            "H",
            f"/{name}",
            RouteKind.STREAM,
            9.0,
            1.0,
            tuple(map(Target, pools)),
            resumable=resumable,
        )
        for name, pools in pools_by_prefix.items()
    ]
    return RouteTable(PublishedConfiguration(1, tuple(routes)))


class RoutePoolsTest(FixedClockTest):
    def setUp(self) -> None:
        super().setUp()
        self.pools = RoutePools(lambda: MEMORY_S)

    def apply(self, resumable: bool = True, **pools_by_prefix: list[PoolId]) -> None:
        self.pools.apply_table(make_table(resumable, **pools_by_prefix))

    def test_pools_of_one_route_are_beside_one_another(self) -> None:
        self.apply(a=[P1, P2], b=[P3])
        self.assertEqual(self.pools.beside(P1), {P1, P2})
        self.assertEqual(self.pools.beside(P3), {P3})
        self.apply(resumable=False, c=[P1, P3])
        self.assertNotIn(P3, self.pools.beside(P1))

    def test_pool_that_a_route_has_left_counts_for_a_while(self) -> None:
        """A stream of the former pool went on at the version of the present one."""
        self.apply(a=[P1])
        self.apply(a=[P2])
        self.now += MEMORY_S - 0.1
        self.assertEqual(self.pools.beside(P1), {P1, P2})
        self.assertEqual(self.pools.beside(P2), {P1, P2})
        self.now += 0.2
        self.assertEqual(self.pools.beside(P2), {P2})
        self.assertEqual(self.pools.beside(P1), {P1})

    def test_later_changes_do_not_lengthen_or_end_it(self) -> None:
        self.apply(a=[P1])
        self.apply(a=[P2])
        self.now += MEMORY_S - 1
        self.apply(a=[P2], b=[P3])
        self.assertEqual(self.pools.beside(P2), {P1, P2})
        self.now += 1.1
        self.assertEqual(self.pools.beside(P2), {P2})

    def test_route_that_takes_over_the_path_of_another_has_its_pools(self) -> None:
        """A longer prefix takes part of a route's callers; its end gives them back."""
        self.apply(a=[P1])
        self.apply(a=[P1], ab=[P2])
        self.assertEqual(self.pools.beside(P2), {P1, P2})
        self.now += MEMORY_S + 1
        self.assertEqual(self.pools.beside(P2), {P2})
        self.apply(a=[P1])
        self.assertEqual(self.pools.beside(P1), {P1, P2})

    def test_route_that_was_gone_meanwhile_has_its_former_pools(self) -> None:
        for resumable in (True, False):
            with self.subTest(resumable=resumable):
                self.apply(a=[P1])
                self.apply(resumable, **({} if resumable else {"a": [P1]}))
                self.now += 1
                self.apply(a=[P2])
                self.assertEqual(self.pools.beside(P2), {P1, P2})
                self.now += MEMORY_S + 1
