"""Tests of settings: precedence of sources, places of problems, and arbitrary input."""

import tempfile
import unittest
from pathlib import Path

from hypothesis import given, strategies

from ruddersaddle_base.settings import (
    DEFAULTS,
    Settings,
    describe_settings,
    read_settings,
)
from ruddersaddle_base.tests.property_tests import DETERMINISTIC


class SettingsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = Path(folder.name) / "host.ini"

    def read(self, text: str, environment=None, options=()):
        self.path.write_text(text)
        return read_settings(str(self.path), environment or {}, options)

    def test_options_override_the_environment_and_that_overrides_the_file(self):
        environment = {"RUDDERSADDLE_HOST_HALL": "oddeyri", "RUDDERSADDLE_HOST_ID": "host-2"}
        found = self.read("[host]\nid = host-1\nhall = a\nport = 9\n", environment, ["host.id=h3"])
        values = (found.text("host.id"), found.text("host.hall"), found.integer("host.port"))
        self.assertEqual(values, ("h3", "oddeyri", 9))

    def test_a_wrong_value_names_file_line_key_and_what_was_expected(self):
        problems = self.read("[host]\nid = h\n\n[requests]\nbody_max = many\n")
        place = f"{self.path}:5: requests.body_max: expected int, got 'many'"
        self.assertEqual([str(problem) for problem in problems], [place])

    def test_a_value_out_of_bounds_names_the_bounds(self):
        problems = self.read("[host]\nport = 70000\n")
        self.assertIn("expected 1 to 65535", str(problems[0]))

    def test_an_unknown_key_of_a_file_logs_a_warning_with_the_nearest(self):
        with self.assertLogs("ruddersaddle_base.settings", "WARNING") as logs:
            found = self.read("[claims]\nmemry_s = 5\n")
        self.assertIsInstance(found, Settings)
        self.assertIn("the nearest is claims.memory_s", logs.output[0])

    def test_an_unknown_option_is_a_problem(self):
        problems = self.read("", options=["claims.wiat_s=1", "nonsense"])
        self.assertIn("the nearest is claims.wait_s", str(problems[0]))
        self.assertIn("section.key=value", str(problems[1]))

    def test_keys_are_not_remembered_longer_than_the_log_keeps_records(self):
        problems = self.read("[platform]\nretention_s = 100\n[claims]\nmemory_s = 90\n")
        self.assertIn("platform.retention_s", str(problems[0]))

    def test_a_file_that_is_missing_or_broken_is_a_problem(self):
        self.assertIn("a readable file", str(read_settings("/nowhere.ini", {}, ())[0]))
        self.assertEqual(len(self.read("no section = 1")), 1)

    def test_every_default_is_documented_and_converts(self):
        self.assertEqual(len(Settings.from_defaults().by_name), len(DEFAULTS))
        self.assertTrue(all(default.description for default in DEFAULTS))
        self.assertIn("claims.memory_s", describe_settings())

    @DETERMINISTIC
    @given(strategies.text(max_size=200))
    def test_any_text_gives_settings_or_problems(self, text):
        found = self.read(text.encode("utf-8", "replace").decode())
        self.assertIsInstance(found, Settings | list)

    @DETERMINISTIC
    @given(strategies.sampled_from(DEFAULTS), strategies.text(max_size=20))
    def test_any_value_is_accepted_or_named_in_a_problem(self, default, value):
        found = read_settings(None, {}, [f"{default.name}={value}"])
        if isinstance(found, list):
            self.assertTrue(any(default.name in str(problem) for problem in found))


if __name__ == "__main__":
    unittest.main()
