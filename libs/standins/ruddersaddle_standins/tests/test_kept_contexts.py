"""Promise 1: no request reads a block that is freed, reused or only partly written."""

import threading
import unittest
from concurrent.futures import ThreadPoolExecutor

from ruddersaddle_base.failures import Failure

from ruddersaddle_standins.clients import Client, PromptResult
from ruddersaddle_standins.engine_servers import EngineRecord, answer_text
from ruddersaddle_standins.fleets import VERSION, Fleet, Topology
from ruddersaddle_standins.processes import wait_until
from ruddersaddle_standins.store_servers import StoreRecord

TOKENS = 8
LONG = "line of a referral that comes back " * 60
TEXTS = [f"patient {number}: {LONG}" for number in range(6)]


class KeptContextTest(unittest.TestCase):
    def setUp(self):
        speeds = {"link_bytes_s": "20e6"}
        self.fleet = Fleet(Topology(hosts=2, engines=2, services=1, stores=1, speeds=speeds))
        self.fleet.start()
        self.addCleanup(self.fleet.stop)
        self.ask_all("host-1")
        wait_until(lambda: self.count("contexts_kept_blocks") >= len(TEXTS) * 8, "contexts kept")
        self.drop_caches()

    def ask(self, text: str, host: str) -> PromptResult:
        return Client("clinic-1").prompt(self.fleet.address_by_name[host], text, TOKENS)

    def ask_all(self, host: str) -> list[PromptResult]:
        with ThreadPoolExecutor(len(TEXTS)) as pool:
            results = list(pool.map(lambda text: self.ask(text, host), TEXTS))
        for text, result in zip(TEXTS, results, strict=True):
            self.assertEqual(result.text, answer_text(text, VERSION, TOKENS))
            self.assertTrue(result.complete)
        return results

    def count(self, name: str) -> int:
        statuses = [self.fleet.status(host) for host in self.fleet.host_names()]
        return sum(s.counts[name] for s in statuses if not isinstance(s, Failure))

    def mismatched(self) -> int:
        statuses = [self.fleet.status(host) for host in self.fleet.host_names()]
        return sum(link.blocks_mismatched for s in statuses for link in s.links)

    def drop_caches(self) -> None:
        for name in ("engine-1", "engine-2"):
            self.fleet.http.request("POST", self.fleet.url(name, "/drop"))
        for host in self.fleet.host_names():
            wait_until(lambda name=host: self.knows_nothing(name), "cache events")

    def knows_nothing(self, host: str) -> bool:
        return sum(row.cached_blocks for row in self.fleet.status(host).upstreams) == 0

    def used_wrongly(self) -> int:
        records = [self.fleet.fetch(n, "/record", EngineRecord) for n in ("engine-1", "engine-2")]
        return sum(record.imported_wrong for record in records)

    def imported(self) -> int:
        records = [self.fleet.fetch(n, "/record", EngineRecord) for n in ("engine-1", "engine-2")]
        return sum(record.imported_blocks for record in records)

    def test_torn_reused_and_changed_blocks_are_misses_and_are_never_used(self):
        for kind in ("torn", "reused", "flip"):
            self.fleet.inject_fault("store-1", kind, 2)
            self.ask_all("host-2")
            self.drop_caches()
        self.assertEqual(self.used_wrongly(), 0)
        spoiled = self.fleet.fetch("store-1", "/record", StoreRecord).spoiled_blocks
        self.assertGreaterEqual(spoiled, 4)
        # A read is given up at its first wrong block, so that it may hold more than one.
        self.assertGreater(self.mismatched(), 0)
        self.assertLessEqual(self.mismatched(), spoiled)
        self.assertGreater(self.imported(), 0)

    def test_readers_beside_writers_and_a_store_host_that_frees_all(self):
        stop = threading.Event()

        def free() -> None:
            while not stop.is_set():
                self.fleet.http.request("DELETE", self.fleet.url("store-1", "/v1/blocks"))
                stop.wait(0.05)

        freer = threading.Thread(target=free)
        freer.start()
        try:
            for _ in range(4):
                self.ask_all("host-1")
                self.drop_caches()
                self.ask_all("host-2")
                self.drop_caches()
        finally:
            stop.set()
            freer.join()
        self.assertEqual(self.used_wrongly(), 0)

    def test_a_store_host_that_dies_in_a_transfer_costs_no_answer(self):
        self.fleet.inject_fault("store-1", "slow", 40.0)
        killer = threading.Timer(0.3, self.fleet.by_name["store-1"].kill)
        killer.start()
        self.ask_all("host-2")
        killer.join()
        self.assertEqual(self.used_wrongly(), 0)
        self.assertGreater(self.count("contexts_fetch_failures"), 0)

    def test_a_full_store_host_costs_no_answer(self):
        self.fleet.inject_fault("store-1", "full")
        self.fleet.http.request("DELETE", self.fleet.url("store-1", "/v1/blocks"))
        self.ask_all("host-2")
        wait_until(lambda: self.count("contexts_keep_failures") > 0, "keeping is refused")
        self.ask_all("host-1")
        self.assertEqual(self.used_wrongly(), 0)


if __name__ == "__main__":
    unittest.main()
