"""Shows that the proofs can fail: each mutation takes one mechanism out of a copy of the tree.

`mutations.ini` names, for each, the file, the text taken out, what stands in its place, and the
test that has to fail on the copy. Nothing of the tree itself is changed.
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

FILE = "mutations.ini"
LIMIT_S = 240.0
FIGURE = re.compile(r"^(?:AssertionError|TimeoutError|\w*Error).*", re.MULTILINE)


class Mutation(msgspec.Struct, frozen=True):
    """One mechanism taken out, and the test that has to notice."""

    name: str
    promise: str
    file: str
    old: str
    new: str
    test: str


class Outcome(msgspec.Struct, frozen=True):
    """Whether the test noticed, and the figure with which it failed."""

    mutation: str
    promise: str
    noticed: bool
    figure: str
    seconds: float


def read_mutations() -> list[Mutation]:
    """Return the committed mutations."""
    parser = configparser.ConfigParser(interpolation=None)
    text = (resources.files("ruddersaddle_standins") / FILE).read_text()
    parser.read_string(text)
    return [msgspec.convert({"name": name, **parser[name]}, Mutation) for name in parser.sections()]


def run_mutation(root: Path, mutation: Mutation) -> Outcome:
    """Run the mutation's test on a copy of the tree without its mechanism."""
    with tempfile.TemporaryDirectory(prefix="ruddersaddle-mutation-") as folder:
        copy = Path(folder) / "libs"
        shutil.copytree(root / "libs", copy, ignore=shutil.ignore_patterns("__pycache__"))
        target = copy / mutation.file
        text = target.read_text()
        old = unquote(mutation.old)
        if text.count(old) != 1:
            raise ValueError(f"{mutation.name}: its text stands {text.count(old)} times")
        target.write_text(text.replace(old, unquote(mutation.new)))
        return _run_test(copy, mutation)


def _run_test(copy: Path, mutation: Mutation) -> Outcome:
    paths = os.pathsep.join(str(copy / name) for name in LIBRARIES)
    environment = {**os.environ, "PYTHONPATH": paths}
    command = [sys.executable, "-m", "unittest", "-f", mutation.test]
    began = time.monotonic()
    done = subprocess.run(
        command, env=environment, capture_output=True, text=True, timeout=LIMIT_S, check=False
    )
    figures = FIGURE.findall(done.stderr)
    figure = figures[-1] if figures else ""
    elapsed = time.monotonic() - began
    return Outcome(mutation.name, mutation.promise, done.returncode != 0, figure, elapsed)


def unquote(text: str) -> str:
    """Return a text of the file with its marks of line ends and leading blanks taken out."""
    return "\n".join(line.removeprefix("|") for line in text.strip("\n").split("\n"))


def run_all(names: list[str]) -> bool:
    """Run all mutations or those named; return whether every one was noticed."""
    chosen = [each for each in read_mutations() if not names or each.name in names]
    noticed = True
    for mutation in chosen:
        outcome = run_mutation(Path.cwd(), mutation)
        noticed = noticed and outcome.noticed
        word = "fails without it" if outcome.noticed else "NOT NOTICED"
        print(f"{outcome.promise} {outcome.mutation}: {word} ({outcome.seconds:.0f} s)")
        print(f"    {outcome.figure[:160]}", flush=True)
    return noticed
