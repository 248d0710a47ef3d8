"""A record that raises an exception, whatever it is, costs itself alone."""

import unittest
from unittest import mock

from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import HallId, PoolId, SoftwareVersion, UpstreamId

from ruddersaddle_serving import record_faults
from ruddersaddle_serving.crash_records import CrashRecords
from ruddersaddle_serving.crash_shares import CrashShares
from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.ports import ModelVersion, Page, Record, StorePosition, Topic
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.record_faults import LINES_INTERVAL_S, LINES_MAX, RecordFaults
from ruddersaddle_serving.rollouts.order_books import OrderBook
from ruddersaddle_serving.rollouts.orders import RolloutOrder, UnusableOrder
from ruddersaddle_serving.routes import PublishedConfiguration
from ruddersaddle_serving.store_followers import (
    CrashFollower,
    OperatorFollower,
    StoreLink,
    UpstreamFollower,
)
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList

END = StorePosition(1, 9)


def make_entry(name: str) -> UpstreamEntry:
    return UpstreamEntry(UpstreamId(name), PoolId("p"), "10.0.0.1:80", HallId("h"), 8, False, {}, 1)


class RecordFaultsTest(unittest.TestCase):
    def test_lines_are_bounded_whoever_writes_the_records(self) -> None:
        faults = RecordFaults(Topic.UPSTREAMS)
        with (
            mock.patch.object(clocks, "now_s") as now_s,
            self.assertLogs(record_faults.logger) as logs,
        ):
            for number in range(1000):
                now_s.return_value = 50.0 + number * LINES_INTERVAL_S / 1000
                faults.report(Record("odd", b"x", number), "not JSON")
            now_s.return_value += 2 * LINES_INTERVAL_S
            faults.report(Record("odd", b"x", 1000), "not JSON")
        self.assertEqual(len(logs.records), LINES_MAX + 1)
        self.assertEqual([each.unlogged for each in logs.records[-2:]], [0, 1000 - LINES_MAX])
        self.assertEqual(faults.count, 1001)


class ContainmentTest(unittest.TestCase):
    """Each decoder below raises for records named `odd`."""

    def setUp(self) -> None:
        self.store = mock.Mock()
        self.page = Page(tuple(Record(key, b"x", 5) for key in ("a", "odd", "b")), END)
        self.enterContext(self.assertLogs(record_faults.logger, "ERROR"))
        self.now = clocks.now_s()

    def decode_upstream(self, record: Record) -> UpstreamEntry:
        if record.key == "odd":
            raise KeyError(record.key)
        return make_entry(record.key)

    def test_entry_that_raises_hides_no_other_entry(self) -> None:
        self.store.decode_upstream = self.decode_upstream
        for complete in (True, False):
            with self.subTest(complete=complete):
                upstreams = UpstreamList()
                if not complete:
                    upstreams.replace([make_entry("odd"), make_entry("c")], self.now - 1.0)
                follower = UpstreamFollower(self.store, StoreLink(), upstreams)
                self.assertTrue(follower.apply(self.page, complete, self.now))
                ids = {"a", "b"} if complete else {"a", "b", "c"}
                self.assertEqual(set(upstreams.by_id), ids)
                self.assertEqual(upstreams.confirmed_at, self.now)
                self.assertEqual(upstreams.end, END)
                self.assertEqual(follower.faults.count, 1)

    def test_entry_that_can_not_be_applied_hides_no_other_entry(self) -> None:
        self.store.decode_upstream = lambda record: make_entry(record.key)
        upstreams = UpstreamList()
        upstreams.replace([], self.now - 1.0)
        follower = UpstreamFollower(self.store, StoreLink(), upstreams)
        follower._is_first_page = False
        put = upstreams.put

        def put_written(entry: UpstreamEntry) -> None:
            if entry.id == "odd":
                raise ValueError("odd")
            put(entry)

        with mock.patch.object(upstreams, "put_written", put_written):
            follower.apply(self.page, False, self.now)
        self.assertEqual(set(upstreams.by_id), {"a", "b"})
        self.assertEqual(upstreams.confirmed_at, self.now)

    def test_operators_record_that_raises_hides_no_configuration_and_no_evacuation(self) -> None:
        items = {
            "a": Evacuation(HallId("h"), in_force=True),
            "b": PublishedConfiguration(7, (), ()),
            "c": ModelVersion("m", 3),
            "broken": Failure(Code.BAD_REQUEST, Step.READ, "store", "not JSON"),
        }
        self.store.decode_operator = lambda record: items[record.key]
        keys = ("odd", "a", "broken", "b", "c")
        page = Page(tuple(Record(key, b"x", number) for number, key in enumerate(keys)), END)
        for complete in (True, False):
            with self.subTest(complete=complete):
                publications = Publications()
                follower = OperatorFollower(self.store, StoreLink(), publications)
                self.assertTrue(follower.apply(page, complete, self.now))
                self.assertEqual(publications.version, 7)
                self.assertEqual(publications.version_by_model, {"m": 3})
                self.assertTrue(publications.evacuations.is_in_force(HallId("h")))
                self.assertEqual(publications.confirmed_at, self.now)
                self.assertEqual(follower.faults.count, 2)

    def test_order_that_raises_hides_no_other_order(self) -> None:
        self.store.decode_operator = lambda record: RolloutOrder(
            PoolId(record.key), SoftwareVersion("v2"), 30.0
        )
        for complete in (True, False):
            with self.subTest(complete=complete):
                book = mock.Mock()
                taken = []

                def apply(order: RolloutOrder, position: StorePosition, taken=taken) -> None:
                    if order.pool == "odd":
                        raise KeyError(order.pool)
                    taken.append(order.pool)

                book.apply = apply
                publications = Publications()
                follower = OperatorFollower(self.store, StoreLink(), publications, book)
                follower.apply(self.page, complete, self.now)
                self.assertEqual(taken, ["a", "b"])
                self.assertEqual(publications.confirmed_at, self.now)

    def test_order_that_can_not_be_read_leaves_the_former_one_in_force(self) -> None:
        """A host that read the complete topic withdrew the order, others went on with it."""
        unusable = UnusableOrder(PoolId("p"), Failure(Code.BAD_REQUEST, Step.READ, "s", "not JSON"))
        self.store.decode_operator = lambda record: unusable
        for complete in (True, False):
            with self.subTest(complete=complete):
                book = OrderBook(mock.Mock(seen_at=0.0), UpstreamList())
                follower = OperatorFollower(self.store, StoreLink(), Publications(), book)
                book.apply(RolloutOrder(PoolId("p"), SoftwareVersion("v2"), 30.0), END)
                later = StorePosition(1, 12)
                follower.apply(Page((Record("p", b"x", 11),), later), complete, self.now)
                self.assertEqual([each.stop for each in book.in_force()], [None])
                self.assertEqual(follower.faults.count, 1)

    def test_crash_record_that_raises_hides_no_other(self) -> None:
        shares = CrashShares(mock.Mock(), mock.Mock(), self.store, CrashRecords())
        follower = CrashFollower(self.store, shares)
        effects = [None, KeyError("odd"), None]
        with mock.patch.object(shares, "apply_record", side_effect=effects) as applied:
            follower.apply(self.page, False, self.now)
        self.assertEqual(applied.call_count, 3)
        self.assertEqual(shares.confirmed_at, self.now)
        self.assertEqual(follower.faults.count, 1)


class OtherFaultsTest(unittest.TestCase):
    def test_listener_that_raises_hides_the_configuration_from_no_other(self) -> None:
        publications = Publications()
        seen = []
        publications.listeners += [mock.Mock(side_effect=KeyError), seen.append]
        with self.assertLogs("ruddersaddle_base.tasks", "ERROR"):
            publications.apply(PublishedConfiguration(7, (), ()))
        self.assertEqual(len(seen), 1)

    def test_page_that_raises_is_read_anew_from_the_complete_topic(self) -> None:
        store = mock.Mock()
        follower = UpstreamFollower(store, StoreLink(), UpstreamList())
        follower.position = END
        store.changes.side_effect = KeyError("page")
        with self.assertRaises(KeyError):
            follower.run(0.0, 0.0, lambda: True, lambda pause_s: None)
        self.assertIsNone(follower.position)


if __name__ == "__main__":
    unittest.main()
