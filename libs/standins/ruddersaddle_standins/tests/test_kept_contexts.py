"""No request uses a cached block that is freed, reused or only partly written."""

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
        self.prompt_all("host-1")
        wait_until(lambda: self.count("contexts_kept_blocks") >= len(TEXTS) * 8, "contexts kept")
        self.drop_caches()

    def prompt(self, text: str, host: str) -> PromptResult:
        return Client("clinic-1").prompt(self.fleet.address_by_name[host], text, TOKENS)

    def prompt_all(self, host: str) -> list[PromptResult]:
        with ThreadPoolExecutor(len(TEXTS)) as pool:
            results = list(pool.map(lambda text: self.prompt(text, host), TEXTS))
        for text, result in zip(TEXTS, results, strict=True):
            self.assertEqual(result.text, answer_text(text, VERSION, TOKENS))
            self.assertTrue(result.complete)
        return results

    def count(self, name: str) -> int:
        statuses = [self.fleet.status(host) for host in self.fleet.host_names()]
        return sum(s.counts[name] for s in statuses if not isinstance(s, Failure))

    def count_mismatched(self) -> int:
        statuses = [self.fleet.status(host) for host in self.fleet.host_names()]
        return sum(link.blocks_mismatched for s in statuses for link in s.links)

    def drop_caches(self) -> None:
        for name in ("engine-1", "engine-2"):
            self.fleet.http.request("POST", self.fleet.url(name, "/drop"))
        for host in self.fleet.host_names():
            wait_until(lambda name=host: self.has_no_cached_blocks(name), "cache events")

    def has_no_cached_blocks(self, host: str) -> bool:
        return sum(row.cached_blocks for row in self.fleet.status(host).upstreams) == 0

    def count_invalid_imports(self) -> int:
        records = [self.fleet.fetch(n, "/record", EngineRecord) for n in ("engine-1", "engine-2")]
        return sum(record.imported_wrong for record in records)

    def count_imports(self) -> int:
        records = [self.fleet.fetch(n, "/record", EngineRecord) for n in ("engine-1", "engine-2")]
        return sum(record.imported_blocks for record in records)

    def test_torn_reused_and_altered_blocks_are_misses_and_are_never_used(self):
        for kind in ("torn", "reused", "flip"):
            self.fleet.inject_fault("store-1", kind, 2)
            self.prompt_all("host-2")
            self.drop_caches()
        self.assertEqual(self.count_invalid_imports(), 0)
        corrupted = self.fleet.fetch("store-1", "/record", StoreRecord).spoiled_blocks
        self.assertGreaterEqual(corrupted, 4)
        # A read stops at its first invalid block, so further ones in it are not counted.
        self.assertGreater(self.count_mismatched(), 0)
        self.assertLessEqual(self.count_mismatched(), corrupted)
        self.assertGreater(self.count_imports(), 0)

    def test_concurrent_readers_writers_and_deletions_use_no_invalid_block(self):
        stop = threading.Event()

        def delete_blocks() -> None:
            while not stop.is_set():
                self.fleet.http.request("DELETE", self.fleet.url("store-1", "/v1/blocks"))
                stop.wait(0.05)

        deleter = threading.Thread(target=delete_blocks)
        deleter.start()
        try:
            for _ in range(4):
                self.prompt_all("host-1")
                self.drop_caches()
                self.prompt_all("host-2")
                self.drop_caches()
        finally:
            stop.set()
            deleter.join()
        self.assertEqual(self.count_invalid_imports(), 0)

    def test_store_host_killed_during_a_transfer_fails_no_request(self):
        self.fleet.inject_fault("store-1", "slow", 40.0)
        killer = threading.Timer(0.3, self.fleet.by_name["store-1"].kill)
        killer.start()
        self.prompt_all("host-2")
        killer.join()
        self.assertEqual(self.count_invalid_imports(), 0)
        self.assertGreater(self.count("contexts_fetch_failures"), 0)

    def test_full_store_host_fails_no_request(self):
        self.fleet.inject_fault("store-1", "full")
        self.fleet.http.request("DELETE", self.fleet.url("store-1", "/v1/blocks"))
        self.prompt_all("host-2")
        wait_until(lambda: self.count("contexts_keep_failures") > 0, "keeping is refused")
        self.prompt_all("host-1")
        self.assertEqual(self.count_invalid_imports(), 0)


if __name__ == "__main__":
    unittest.main()
