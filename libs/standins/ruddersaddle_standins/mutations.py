"""Mutation testing: removes one mechanism from a copy of the source tree and runs its test.

For each mutation, `mutations.ini` names the file, the text to replace, its replacement, and the
test that must fail on the copy. The source tree itself is not changed.
"""

import configparser
import os
import re
import shutil
import subprocess
import sys
import tempfile
import time
from importlib import resources
from pathlib import Path

import msgspec

from ruddersaddle_standins.suites import LIBRARIES

MUTATIONS_FILE = "mutations.ini"
TIMEOUT_S = 240.0
PLATFORM = "platform"
SOURCE_TREES = ("libs", PLATFORM)
"""Folders that are copied; a test of one that isn't would run the installed code."""
NOT_LOADED = re.compile(r"^ERROR: .*unittest\.loader\._FailedTest", re.MULTILINE)
"""A test that couldn't be loaded shows nothing."""
ERROR_LINE = re.compile(r"^(?:AssertionError|TimeoutError|\w*Error).*", re.MULTILINE)


class Mutation(msgspec.Struct, frozen=True):
    """A mechanism to remove, and the test that must fail without it."""

    name: str
    promise: str
    file: str
    old: str
    new: str
    test: str


class Outcome(msgspec.Struct, frozen=True):
    """Whether the test detected the mutation, and the error with which it failed."""

    mutation: str
    promise: str
    is_detected: bool
    error_line: str
    seconds: float


def read_mutations() -> list[Mutation]:
    """Return all mutations of `mutations.ini`."""
    parser = configparser.ConfigParser(interpolation=None)
    text = (resources.files("ruddersaddle_standins") / MUTATIONS_FILE).read_text()
    parser.read_string(text)
    return [msgspec.convert({"name": name, **parser[name]}, Mutation) for name in parser.sections()]


def run_mutation(root: Path, mutation: Mutation) -> Outcome:
    """Run the test of a mutation on a copy of the source tree without its mechanism."""
    with tempfile.TemporaryDirectory(prefix="ruddersaddle-mutation-") as folder:
        copy = Path(folder)
        for tree in SOURCE_TREES:
            shutil.copytree(root / tree, copy / tree, ignore=shutil.ignore_patterns("__pycache__"))
        target = copy / "libs" / mutation.file
        text = target.read_text()
        old = strip_bars(mutation.old)
        if text.count(old) != 1:
            raise ValueError(
                f"{mutation.name}: text to replace found {text.count(old)} times, expected once"
            )
        target.write_text(text.replace(old, strip_bars(mutation.new)))
        return _run_test(copy, mutation)


def _run_test(copy: Path, mutation: Mutation) -> Outcome:
    folders = [*(copy / "libs" / name for name in LIBRARIES), copy / PLATFORM]
    paths = os.pathsep.join(map(str, folders))
    environment = {**os.environ, "PYTHONPATH": paths}
    command = [sys.executable, "-m", "unittest", "-f", mutation.test]
    started_at = time.monotonic()
    done = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=TIMEOUT_S, check=False
    )
    error_lines = ERROR_LINE.findall(done.stderr)
    error_line = error_lines[-1] if error_lines else ""
    elapsed = time.monotonic() - started_at
    is_detected = done.returncode != 0 and not NOT_LOADED.search(done.stderr)
    return Outcome(mutation.name, mutation.promise, is_detected, error_line, elapsed)


def strip_bars(text: str) -> str:
    """Return a text without the bars that protect the indentation of its lines."""
    return "\n".join(line.removeprefix("|") for line in text.strip("\n").split("\n"))


def run_all(names: list[str]) -> bool:
    """Run all mutations, or those named; return whether every one was detected."""
    chosen = [each for each in read_mutations() if not names or each.name in names]
    is_detected = True
    for mutation in chosen:
        outcome = run_mutation(Path.cwd(), mutation)
        is_detected = is_detected and outcome.is_detected
        verdict = "fails without it" if outcome.is_detected else "NOT DETECTED"
        print(f"{outcome.promise} {outcome.mutation}: {verdict} ({outcome.seconds:.0f} s)")
        print(f"    {outcome.error_line[:160]}", flush=True)
    return is_detected
