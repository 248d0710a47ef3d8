"""Each caller gets the complete response to its own prompt, of one workspace and one version."""

import contextlib
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import msgspec
from ruddersaddle_base.failures import Failure
from ruddersaddle_state.entries import Model

from ruddersaddle_standins.clients import Client, PromptResult
from ruddersaddle_standins.engine_servers import EngineRecord, answer_text
from ruddersaddle_standins.fleets import MODEL, VERSION, Fleet, Topology
from ruddersaddle_standins.processes import wait_until

TOKENS = 40
LONG_TOKENS = 200
DIES_AT = 150
"""By this token of a long stream, most engines have swapped their weights."""
LONG = "the same long prefix for everybody " * 40


class CompleteResponseTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(Topology(hosts=2, engines=3, services=1))
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)

    def setUp(self):
        for name in self.engines():
            if not self.fleet.by_name[name].is_running:
                self.fleet.by_name[name].start()
            self.fleet.wait_healthy(name)
        self.fleet.wait_recovered()

    def engines(self) -> list[str]:
        return [name for name in self.fleet.by_name if name.startswith("engine-")]

    def prompt(self, text: str, host: str = "host-1", workspace: str = "clinic-1", **more):
        address = self.fleet.address_by_name[host]
        return Client(workspace).prompt(address, text, TOKENS, **more)

    def assert_complete(self, result: PromptResult, text: str, version: str = VERSION) -> None:
        self.assertIsNone(result.error)
        self.assertTrue(result.complete)
        self.assertEqual(result.misrouted_events, 0)
        self.assertEqual(result.text, answer_text(text, version, TOKENS))

    def resumed(self) -> int:
        statuses = [self.fleet.status(name) for name in self.fleet.host_names()]
        return sum(s.counts["generations_resumed"] for s in statuses if not isinstance(s, Failure))

    def test_events_of_another_request_reach_no_caller(self):
        before = self.resumed()
        for name in self.engines():
            self.fleet.inject_fault(name, "cross", 2)
        texts = [f"{LONG} {number}" for number in range(6)]
        with ThreadPoolExecutor(6) as pool:
            results = list(pool.map(self.prompt, texts))
        for name in self.engines():
            self.fleet.clear_fault(name, "cross")
        for text, result in zip(texts, results, strict=True):
            self.assert_complete(result, text)
        self.assertGreater(self.resumed(), before)

    def test_stream_cut_by_its_engine_resumes_without_gap_or_repetition(self):
        before = self.resumed()
        for name in self.engines():
            self.fleet.inject_fault(name, "die_at", 13)
        texts = [f"{LONG} cut {number}" for number in range(4)]
        clearing = threading.Thread(target=self.clear_die_at_once_resumed, args=(before,))
        clearing.start()
        with ThreadPoolExecutor(4) as pool:
            results = list(pool.map(self.prompt, texts))
        clearing.join()
        for text, result in zip(texts, results, strict=True):
            if result.error is None:
                self.assert_complete(result, text)
            else:
                self.assertFalse(result.complete)
                self.assertTrue(answer_text(text, VERSION, TOKENS).startswith(result.text))
        self.assertGreater(self.resumed(), before)

    def clear_die_at_once_resumed(self, resumed_before: int) -> None:
        """Clear the fault a second after it was injected, and not before it has cut a stream."""
        time.sleep(1.0)
        with contextlib.suppress(TimeoutError):
            wait_until(lambda: self.resumed() > resumed_before, "a stream is resumed", 10.0)
        self.clear_die_at()

    def clear_die_at(self) -> None:
        for name in self.engines():
            self.fleet.clear_fault(name, "die_at")

    def test_killing_an_engine_loses_none_of_its_streams(self):
        texts = [f"{LONG} killed {number}" for number in range(8)]
        with ThreadPoolExecutor(8) as pool:
            results = pool.map(self.prompt, texts)
            wait_until(self.busy_engine, "streams run on an engine")
            self.fleet.by_name[self.busy_engine()].kill()
            results = list(results)
        for text, result in zip(texts, results, strict=True):
            self.assert_complete(result, text)

    def busy_engine(self) -> str:
        """Return the engine with most streams of host-1, empty if none has any."""
        rows = [row for row in self.fleet.status("host-1").upstreams if row.pool == "engines"]
        busiest = max(rows, key=lambda row: row.in_flight)
        return busiest.upstream if busiest.in_flight else ""

    def test_response_without_streaming_has_the_same_text(self):
        text = f"{LONG} at once"
        body = {"model": MODEL, "prompt": text, "max_tokens": TOKENS}
        client = Client("clinic-1")
        reply = client.http.request(
            "POST",
            self.fleet.url("host-1", "/v1/completions"),
            body=msgspec.json.encode(body),
            headers=client.headers,
        )
        choice = msgspec.json.decode(reply.data)["choices"][0]
        self.assertEqual(choice["text"], answer_text(text, VERSION, TOKENS))

    def test_same_prompt_of_another_workspace_has_no_cache_hit(self):
        text = f"isolated {LONG}"
        first = self.prompt(text, workspace="clinic-1")
        own = self.prompt(text, workspace="clinic-1", host="host-2")
        other = self.prompt(text, workspace="clinic-2")
        self.assertEqual(first.usage.cached_tokens, 0)
        self.assertGreater(own.usage.cached_tokens, 0)
        self.assertEqual(other.usage.cached_tokens, 0)

    def test_missing_or_forged_api_key_is_unauthorized(self):
        for header in ({}, {"Authorization": "Bearer key-of-clinic-9"}, {"Authorization": "x"}):
            for path in ("/v1/models", "/booking/read"):
                url = self.fleet.url("host-1", path)
                reply = self.fleet.http.request("GET", url, headers=header)
                self.assertEqual(reply.status, 401)
                self.assertNotIn(b"clinic", reply.data)

    def test_workspace_header_of_a_caller_is_ignored(self):
        address = self.fleet.address_by_name["host-1"]
        Client("clinic-1").call(address, "/booking/read", "forged", workspace="clinic-2")
        runs = [run for run in self.fleet.runs() if run.body == "forged"]
        self.assertEqual([run.workspace for run in runs], ["clinic-1"])

    def test_weight_swap_under_load_mixes_no_versions(self):
        stop = threading.Event()
        results: list[tuple[str, PromptResult]] = []
        threads = [
            threading.Thread(target=self.load, args=(stop, results, number)) for number in range(4)
        ]
        for thread in threads:
            thread.start()
        self.fleet.publish(Model(MODEL, "v2"))
        wait_until(self.all_on_v2, "every engine runs v2")
        self.fleet.by_name["engine-2"].kill()
        time.sleep(1.0)
        stop.set()
        for thread in threads:
            thread.join()
        self.addCleanup(self.restore_engine_and_v1)
        versions = set()
        for text, result in results:
            self.assertTrue(result.complete, result)
            by_text = {answer_text(text, v, TOKENS): v for v in (VERSION, "v2")}
            self.assertIn(result.text, by_text)
            versions.add(by_text[result.text])
        self.assertEqual(versions, {VERSION, "v2"})
        most = self.fleet.fetch("weights", "/most", int)
        self.assertLessEqual(most, 2)

    def test_stream_that_fails_in_a_weight_swap_resumes_with_its_version_or_ends_in_error(self):
        texts = [f"{LONG} dies {number}" for number in range(4)]
        client = Client("clinic-1")
        address = self.fleet.address_by_name["host-1"]
        with ThreadPoolExecutor(4) as pool:
            requests = [pool.submit(client.prompt, address, text, LONG_TOKENS) for text in texts]
            wait_until(self.busy_engine, "streams run on an engine")
            self.fleet.inject_fault(self.busy_engine(), "die_at", DIES_AT)
            self.fleet.publish(Model(MODEL, "v2"))
            self.addCleanup(self.restore_v1)
            results = [each.result() for each in requests]
        self.clear_die_at()
        for text, result in zip(texts, results, strict=True):
            own = answer_text(text, VERSION, LONG_TOKENS)
            self.assertTrue(own.startswith(result.text), "tokens of another version")
            self.assertEqual(result.complete, result.text == own)
            self.assertEqual(result.complete, result.error is None)

    def load(self, stop, results, number):
        while not stop.is_set():
            text = f"{LONG} swap {number}"
            results.append((text, self.prompt(text, host=f"host-{number % 2 + 1}")))

    def all_on_v2(self) -> bool:
        for name in self.fleet.host_names():
            rows = self.fleet.status(name).upstreams
            if any(row.version != "v2" for row in rows if row.pool == "engines"):
                return False
        return True

    def restore_engine_and_v1(self) -> None:
        self.fleet.by_name["engine-2"].start()
        self.fleet.wait_healthy("engine-2")
        self.fleet.publish(Model(MODEL, VERSION))
        for name in self.fleet.host_names():
            wait_until(lambda host=name: self.all_on_v1(host), "every engine runs v1 again")

    def all_on_v1(self, host: str) -> bool:
        rows = [r for r in self.fleet.status(host).upstreams if r.pool == "engines"]
        return all(row.version == VERSION for row in rows)

    def test_new_version_has_no_cache_hit_of_the_old_one(self):
        text = f"{LONG} versions"
        self.prompt(text)
        self.assertGreater(self.prompt(text).usage.cached_tokens, 0)
        self.fleet.publish(Model(MODEL, "v2"))
        self.addCleanup(self.restore_v1)
        wait_until(self.all_on_v2, "every engine runs v2")
        first = self.prompt(text)
        self.assert_complete(first, text, "v2")
        self.assertEqual(first.usage.cached_tokens, 0)

    def restore_v1(self) -> None:
        self.fleet.publish(Model(MODEL, VERSION))
        for name in self.fleet.host_names():
            wait_until(lambda host=name: self.all_on_v1(host), "every engine runs v1 again")


class LeavingTest(unittest.TestCase):
    """A leaving upstream gets no new work after a few seconds."""

    LIMIT_S = 3.0

    def test_leaving_engine_gets_no_new_work_once_it_is_listed_as_leaving(self):
        with Fleet(Topology(hosts=2, engines=2)) as fleet:
            stop = threading.Event()
            results: list[PromptResult] = []
            threads = [
                threading.Thread(target=self.load, args=(fleet, stop, results, number))
                for number in range(4)
            ]
            for thread in threads:
                thread.start()
            wait_until(lambda: self.requests(fleet) > 3, "engine-1 works")
            marked = time.time()
            fleet.mark_leaving("engine-1")
            time.sleep(self.LIMIT_S + 1.0)
            stop.set()
            for thread in threads:
                thread.join()
            record = fleet.fetch("engine-1", "/record", EngineRecord)
            self.assertLess(record.last_started - marked, self.LIMIT_S)
            self.assertTrue(all(result.complete for result in results))

    def load(self, fleet, stop, results, number):
        client = Client("clinic-1")
        while not stop.is_set():
            address = fleet.address_by_name[f"host-{number % 2 + 1}"]
            results.append(client.prompt(address, f"{number} {len(results)} {LONG}", 8))

    def requests(self, fleet) -> int:
        return fleet.fetch("engine-1", "/record", EngineRecord).requests


if __name__ == "__main__":
    unittest.main()
