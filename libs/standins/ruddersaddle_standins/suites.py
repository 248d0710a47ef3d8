"""Runs every library's tests and closes with a count; known red tests are printed, not hidden."""

import logging
import sys
import unittest
from pathlib import Path

import msgspec

LIBRARIES = ("base", "state", "upstreams", "routing", "daemon", "standins")
KNOWN_RED_FILE = "KNOWN-RED.txt"
KNOWN_RED_MAX = 3


class KnownRed(msgspec.Struct, frozen=True):
    """One test that fails for a real fault: its name, cause and issue."""

    test: str
    line: str


def read_known_red(root: Path) -> list[KnownRed]:
    """Return the known red tests; more than the allowed number is an error."""
    path = root / KNOWN_RED_FILE
    if not path.exists():
        return []
    lines = [line.strip() for line in path.read_text().splitlines() if line.strip()]
    if len(lines) > KNOWN_RED_MAX:
        raise SystemExit(f"{KNOWN_RED_FILE}: more than {KNOWN_RED_MAX} lines")
    return [KnownRed(line.split(":")[0].strip(), line) for line in lines]


def find_tests(root: Path, patterns: list[str]) -> unittest.TestSuite:
    """Return the tests of all libraries whose ids hold one of the patterns, or all."""
    suite = unittest.TestSuite()
    for name in LIBRARIES:
        loader = unittest.TestLoader()
        loader.testNamePatterns = [f"*{pattern}*" for pattern in patterns] or None
        suite.addTests(
            loader.discover(str(root / "libs" / name), top_level_dir=str(root / "libs" / name))
        )
    return suite


def main() -> int:
    """Run the tests; return the exit code."""
    root = Path.cwd()
    logging.getLogger().addHandler(logging.NullHandler())
    known = read_known_red(root)
    result = unittest.TextTestRunner(verbosity=2).run(find_tests(root, sys.argv[1:]))
    failed = [test.id() for test, _ in result.failures + result.errors]
    names = {each.test for each in known}
    red = [test for test in failed if test in names]
    for each in known:
        state = "red" if each.test in red else "green now: take it out"
        print(f"known red ({state}): {each.line}")
    new = len(failed) - len(red)
    passed = result.testsRun - len(failed) - len(result.skipped)
    print(f"{passed} passed, {new} failed, {len(result.skipped) + len(red)} skipped")
    return 1 if new or not result.testsRun or len(red) < len(known) else 0


if __name__ == "__main__":
    sys.exit(main())
