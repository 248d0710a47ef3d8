"""An accepted configuration is in force on all hosts within seconds and never reverts."""

import json
import subprocess
import sys
import threading
import time
import unittest
from concurrent.futures import ThreadPoolExecutor

import msgspec
from ruddersaddle.publishers import Publisher, PublishOutcome
from ruddersaddle_base.failures import Failure
from ruddersaddle_base.ids import WorkspaceId
from ruddersaddle_state.entries import EntryKey, Workspace
from ruddersaddle_state.records import Edit, Outcome

from ruddersaddle_standins.fleets import Fleet, Topology
from ruddersaddle_standins.processes import wait_until

KEY = EntryKey("workspace/clinic-1")
RETENTION = 20
IN_FORCE_S = 11.0


class ConfigurationForceTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        speeds = {"retention_records": str(RETENTION)}
        settings = {"platform.snapshot_after": "4", "platform.retention_s": "7200"}
        topology = Topology(
            hosts=3, engines=1, services=1, stores=0, speeds=speeds, settings=settings
        )
        cls.fleet = Fleet(topology)
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)

    def setUp(self):
        self.fleet.wait_recovered()
        self.fleet.publisher.read()

    def publisher(self) -> Publisher:
        addresses = self.fleet.address_by_name
        publisher = Publisher(addresses["log"], addresses["list"], 2.0)
        publisher.read()
        return publisher

    def edit(self, publisher: Publisher, weight: int) -> Edit:
        present = publisher.configuration.by_key[KEY].value
        changed = msgspec.structs.replace(present, weight=weight)
        return Edit(KEY, publisher.configuration.version(KEY), changed)

    def weight(self) -> int:
        self.fleet.publisher.read()
        return self.fleet.publisher.configuration.get(Workspace, "clinic-1").weight

    def wait_until_consistent(self) -> None:
        """Wait until every host has the configuration at the end of the log."""
        self.fleet.publisher.read()
        wanted = self.fleet.publisher.configuration.digest()
        for name in self.fleet.host_names():
            wait_until(
                lambda host=name: self.digest(host) == wanted,
                f"{name} has the newest configuration",
                IN_FORCE_S,
            )

    def digest(self, name: str) -> str:
        status = self.fleet.status(name)
        return "" if isinstance(status, Failure) else status.configuration_digest

    def test_of_racing_operators_one_is_accepted_and_the_others_are_rejected(self):
        publishers = [self.publisher() for _ in range(6)]
        edits = [self.edit(each, 10 + number) for number, each in enumerate(publishers)]

        def publish(number):
            return publishers[number].publish(f"op-{number}", [edits[number]], 5.0)

        with ThreadPoolExecutor(6) as pool:
            results = list(pool.map(publish, range(6)))
        outcomes = [result.word for result in results]
        self.assertEqual(outcomes.count(PublishOutcome.ACCEPTED), 1)
        self.assertEqual(outcomes.count(PublishOutcome.REJECTED), 5)
        winner = outcomes.index(PublishOutcome.ACCEPTED)
        self.assertEqual(self.weight(), 10 + winner)
        losers = [result for result in results if result.word is PublishOutcome.REJECTED]
        self.assertTrue(all(results[winner].change in result.reason for result in losers))
        self.wait_until_consistent()

    def test_lost_response_ends_accepted_as_the_change_is_read_back(self):
        publisher = self.publisher()
        self.fleet.inject_fault("log", "lose", 1)
        result = publisher.publish("op", [self.edit(publisher, 21)], 5.0)
        self.assertEqual((result.word, self.weight()), (PublishOutcome.ACCEPTED, 21))
        self.wait_until_consistent()

    def test_late_append_ends_unknown_and_lands_later(self):
        publisher = self.publisher()
        self.fleet.inject_fault("log", "late", 4.0, 1.0)
        result = publisher.publish("op", [self.edit(publisher, 22)], 0.5)
        self.assertEqual(result.word, PublishOutcome.UNKNOWN)
        wait_until(lambda: self.weight() == 22, "the late change lands")
        self.wait_until_consistent()

    def test_in_an_outage_the_outcome_is_unknown_and_found_later(self):
        publisher = self.publisher()
        self.fleet.by_name["log"].freeze()
        result = publisher.publish("op", [self.edit(publisher, 23)], 0.5)
        self.fleet.by_name["log"].thaw()
        self.assertEqual(result.word, PublishOutcome.UNKNOWN)
        # The request had been sent, so the log executes the append once it resumes.
        wait_until(lambda: self.weight() == 23, "the change lands")
        publisher.read()
        fate = publisher.configuration.result_by_id[result.change]
        self.assertIs(fate.outcome, Outcome.ACCEPTED)
        self.wait_until_consistent()

    def test_publisher_killed_after_its_append_leaves_a_complete_change(self):
        file = self.fleet.folder / "change.ini"
        file.write_text("[workspace:clinic-3]\nkey_digests =\nweight = 4\n")
        addresses = self.fleet.address_by_name
        command = [sys.executable, "-m", "ruddersaddle.programs", "config", "publish", str(file)]
        command += ["--log", addresses["log"], "--hosts", addresses["list"]]
        self.fleet.inject_fault("log", "late", 1.0, 5.0)
        child = subprocess.Popen(command, stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
        wait_until(lambda: self.has_landed(child), "the change lands")
        child.kill()
        child.wait()
        self.fleet.clear_fault("log", "late")
        self.wait_until_consistent()

    def has_landed(self, child: subprocess.Popen) -> bool:
        self.fleet.publisher.read()
        return self.fleet.publisher.configuration.get(Workspace, "clinic-3") is not None

    def test_host_that_starts_in_an_outage_adopts_the_newest_state_of_its_peers(self):
        self.fleet.publish(msgspec.structs.replace(self.present(), weight=31))
        self.wait_until_consistent()
        process = self.fleet.by_name["host-3"]
        process.kill()
        self.fleet.inject_fault("log", "refuse")
        self.addCleanup(self.fleet.clear_fault, "log", "refuse")
        self.fleet.replace_host("host-3")
        self.assertEqual(self.digest("host-3"), self.digest("host-1"))

    def test_isolated_host_is_not_ready_in_an_outage(self):
        self.fleet.inject_fault("log", "refuse")
        self.addCleanup(self.fleet.clear_fault, "log", "refuse")
        isolated = self.fleet.add_host("host-9", platform__host_list="127.0.0.1:1")
        self.addCleanup(lambda: (isolated.kill(), self.fleet.by_name.pop("host-9")))
        self.addCleanup(self.fleet.row_by_name.pop, "host-9")
        status = f"{self.fleet.url('host-9', '/readyz')}"
        wait_until(lambda: b"listens" in isolated.output.read_bytes(), "host-9 listens")
        self.assertEqual(self.fleet.http.request("GET", status).status, 503)

    def present(self) -> Workspace:
        self.fleet.publisher.read()
        return self.fleet.publisher.configuration.get(Workspace, "clinic-1")

    def test_past_retention_a_restarted_and_a_frozen_host_become_consistent(self):
        frozen = self.fleet.by_name["host-2"]
        frozen.freeze()
        self.addCleanup(frozen.thaw)
        for number in range(RETENTION * 2):
            self.fleet.publish(Workspace(WorkspaceId(f"new-{number}"), weight=2))
            time.sleep(0.05)
        page = self.fleet.http.request("GET", self.fleet.url("log", "/streams/configuration"))
        self.assertGreater(json.loads(page.data)["first"], RETENTION)
        frozen.thaw()
        self.fleet.by_name["host-3"].kill()
        self.fleet.replace_host("host-3")
        self.wait_until_consistent()

    def test_past_retention_all_hosts_restarted_at_once_recover_from_a_snapshot(self):
        for number in range(RETENTION * 2):
            self.fleet.publish(Workspace(WorkspaceId(f"lost-{number}"), weight=2))
            time.sleep(0.05)
        self.wait_until_consistent()
        wait_until(lambda: self.publisher().configuration.complete, "a snapshot covers the rest")
        names = self.fleet.host_names()
        for name in names:
            self.fleet.by_name[name].kill()
        for name in names:
            self.fleet.by_name[name].start()
        for name in names:
            self.fleet.wait_host(name)
        self.wait_until_consistent()
        self.assertIsNotNone(self.present())

    def test_no_host_reverts_while_changes_are_published_and_a_host_is_frozen(self):
        positions: dict[str, list[int]] = {}
        stop = threading.Event()

        def watch():
            while not stop.is_set():
                for name in ("host-1", "host-2"):
                    status = self.fleet.status(name)
                    if not isinstance(status, Failure):
                        positions.setdefault(name, []).append(status.configuration_position)

        watcher = threading.Thread(target=watch)
        watcher.start()
        for number in range(12):
            self.fleet.publish(msgspec.structs.replace(self.present(), weight=40 + number))
            if number == 4:
                self.fleet.by_name["host-2"].freeze()
            if number == 8:
                self.fleet.by_name["host-2"].thaw()
        stop.set()
        watcher.join()
        for seen in positions.values():
            self.assertEqual(seen, sorted(seen))
        self.wait_until_consistent()


if __name__ == "__main__":
    unittest.main()
