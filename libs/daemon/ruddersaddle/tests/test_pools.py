"""Tests of the pools of upstreams."""

import unittest
from unittest import mock

from ruddersaddle_state.entries import Event, Pool

from ruddersaddle import pools
from ruddersaddle.pools import Pools


class PoolsTest(unittest.TestCase):
    def test_pool_that_can_not_be_updated_stops_no_other(self) -> None:
        wanted = [mock.Mock(id=name) for name in ("a", "odd", "b")]
        by_kind = {Pool: wanted, Event: []}
        configuration = mock.Mock(values=by_kind.__getitem__)
        updated = []

        def update(pool: mock.Mock, hosts: object) -> None:
            if pool.id == "odd":
                raise KeyError(pool.id)
            updated.append(pool.id)

        view = mock.Mock(update=update)
        subject = Pools(mock.Mock(), mock.Mock())
        with (
            mock.patch.object(pools, "PoolView", return_value=view),
            mock.patch.object(pools, "spawn_forever"),
            self.assertLogs("ruddersaddle_base.tasks", "ERROR") as logs,
        ):
            subject.update(configuration)
        self.assertEqual(updated, ["a", "b"])
        self.assertIn("update of odd", logs.output[0])


if __name__ == "__main__":
    unittest.main()
