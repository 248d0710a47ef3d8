"""The operators' command line against running processes: output, exit codes, JSON."""

import json
import subprocess
import sys
import unittest
from pathlib import Path

from ruddersaddle.traces import Arrival, ExpectedOutcome, write_trace

from ruddersaddle_standins.clients import Client
from ruddersaddle_standins.fleets import Fleet, Topology, caller_key

CHANGE = "[workspace:clinic-1]\nkey_digests = {digest}\nweight = {weight}\n"


class CommandTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = Fleet(Topology(hosts=1, engines=1, services=1, stores=0))
        cls.fleet.start()
        cls.addClassCleanup(cls.fleet.stop)
        cls.address = cls.fleet.address_by_name["host-1"]

    def run_command(self, *arguments: str) -> subprocess.CompletedProcess:
        command = [sys.executable, "-m", "ruddersaddle.programs", *arguments]
        addresses = self.fleet.address_by_name
        environment = {
            "RUDDERSADDLE_PLATFORM_LOG": addresses["log"],
            "RUDDERSADDLE_PLATFORM_HOST_LIST": addresses["list"],
            "PYTHONPATH": ":".join(sys.path),
        }
        return subprocess.run(
            command, env=environment, capture_output=True, text=True, timeout=60, check=False
        )

    def write(self, name: str, text: str) -> str:
        path = self.fleet.folder / name
        path.write_text(text)
        return str(path)

    def change(self, weight: int) -> str:
        self.fleet.publisher.read()
        digests = self.fleet.publisher.configuration.by_key["workspace/clinic-1"].value.key_digests
        text = CHANGE.format(digest=", ".join(digests), weight=weight)
        return self.write(f"change-{weight}.ini", text)

    def test_published_change_is_accepted_and_in_force_and_unchanged_when_repeated(self):
        file = self.change(5)
        done = self.run_command("config", "publish", file, "--author", "anna", "--json")
        self.assertEqual(done.returncode, 0, done.stderr)
        published = json.loads(done.stdout)
        self.assertEqual(
            (published["word"], published["hosts_in_force"], published["hosts_listed"]),
            ("accepted", 1, 1),
        )
        again = self.run_command("config", "publish", file)
        self.assertIn("unchanged", again.stdout)
        fate = self.run_command("config", "show", "--change", published["change"])
        self.assertIn("accepted", fate.stdout)
        history = json.loads(self.run_command("config", "history", "--json").stdout)
        row = next(row for row in history if row["change"] == published["change"])
        self.assertEqual((row["author"], row["outcome"]), ("anna", "accepted"))
        shown = self.run_command("config", "show")
        self.assertIn("[workspace:clinic-1]", shown.stdout)
        self.assertIn("weight = 5", shown.stdout)

    def test_invalid_file_is_refused_before_publishing(self):
        file = self.write("wrong.ini", "[workspace:a]\nwieght = 1\n")
        for command in ("check", "publish"):
            done = self.run_command("config", command, file)
            self.assertEqual(done.returncode, 1)
            self.assertIn(
                "wrong.ini:2: workspace:a.wieght: a known key; the nearest is weight", done.stderr
            )

    def test_change_that_has_not_landed_is_unknown(self):
        done = self.run_command("config", "show", "--change", "0" * 32)
        self.assertEqual(done.returncode, 4)

    def test_unreachable_log_is_reported(self):
        done = self.run_command("config", "show", "--log", "127.0.0.1:1")
        self.assertEqual(done.returncode, 5)
        self.assertIn("was not reached", done.stderr)

    def test_status_and_stats(self):
        Client("clinic-1").prompt(self.address, "hello", 4)
        status = json.loads(self.run_command("status", self.address, "--json").stdout)
        self.assertEqual((status["host"], status["state"]), ("host-1", "ready"))
        stats = self.run_command("stats", self.address)
        self.assertIn("first_token_ms clinic-1 normal", stats.stdout)
        metrics = self.fleet.http.request("GET", self.fleet.url("host-1", "/metrics")).data
        self.assertIn(b"ruddersaddle_generations_finished_total", metrics)
        self.assertEqual(self.run_command("status", "127.0.0.1:1").returncode, 5)

    def test_invalid_settings_prevent_the_start(self):
        file = self.write("host.ini", "[host]\nport = many\n")
        done = self.run_command("serve", "--file", file)
        self.assertEqual(done.returncode, 2)
        self.assertIn("host.ini:2: host.port: expected int", done.stderr)

    def test_digest_command_gives_the_published_digest(self):
        command = [sys.executable, "-m", "ruddersaddle.programs", "config", "digest"]
        key = caller_key("clinic-1")
        done = subprocess.run(command, input=key, capture_output=True, text=True, check=True)
        present = self.fleet.publisher.configuration.by_key["workspace/clinic-1"].value
        self.assertIn(done.stdout.strip(), present.key_digests)

    def test_trace_replay_checks_expected_outcomes(self):
        path = str(Path(self.fleet.folder) / "trace.jsonl")
        prompt = Arrival(0.0, "clinic-1", "/v1/completions", prompt_tokens=50, answer_tokens=3)
        call = Arrival(0.1, "clinic-2", "/booking/slot")
        good = [ExpectedOutcome("answered_prompts", 1, 1), ExpectedOutcome("answered_calls", 1, 1)]
        write_trace(path, [prompt, call, *good, ExpectedOutcome("wrong_answers", 0, 0)])
        keys = [f"{name} = {caller_key(name)}" for name in ("clinic-1", "clinic-2")]
        file = self.write("keys.ini", "\n".join(["[keys]", *keys]))
        arguments = ("trace", "replay", path, "--address", self.address, "--keys", file, "--json")
        done = self.run_command(*arguments)
        self.assertEqual(done.returncode, 0, done.stderr)
        report = json.loads(done.stdout)
        self.assertEqual((report["broken"], report["not_judged"]), ([], ["wrong_answers"]))
        write_trace(path, [prompt, ExpectedOutcome("answered_prompts", 2, 2)])
        self.assertEqual(self.run_command(*arguments).returncode, 1)

    def test_drain_stops_the_host_gracefully(self):
        name = "host-2"
        process = self.fleet.add_host(name)
        self.fleet.publish_list()
        self.fleet.wait_host(name)
        done = self.run_command("drain", self.fleet.address_by_name[name])
        self.assertEqual(done.stdout.strip(), "stopping")
        self.assertEqual(process.wait(), 0)
        self.assertIn("has stopped", process.read_output())
        self.fleet.remove_row(name)


if __name__ == "__main__":
    unittest.main()
