"""Builds the one executable file of the product, with `shiv`.

It needs a Python 3.11 on the host, unpacks once to `SHIV_ROOT` and runs in its own process; a
bundler that forks a child would break the rule that a process starts no other.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

LIBRARIES = ("base", "state", "upstreams", "routing", "daemon")
"""The product; the stand-ins and tools are not in the executable."""
LOCK = "requirements.lock"
TOOLS_MARK = "# tools and tests"
"""Lines of the lock after this mark are not in the executable."""
ENTRY = "ruddersaddle.programs:main"
INTERPRETER = "/usr/bin/env python3"


def product_requirements(lock: str) -> str:
    """Return the part of the lock that the product needs."""
    return lock.partition(TOOLS_MARK)[0]


def build(target: Path) -> None:
    """Build the executable file."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        requirements = Path(folder) / "product.txt"
        requirements.write_text(product_requirements(Path(LOCK).read_text()))
        site = Path(folder) / "site"
        pip = [sys.executable, "-m", "pip", "install", "-q", "--no-deps", "--target", str(site)]
        subprocess.run([*pip, "-r", str(requirements)], check=True)
        sources = [f"./libs/{name}" for name in LIBRARIES]
        subprocess.run([*pip, "--no-build-isolation", *sources], check=True)
        shiv = Path(sys.executable).parent / "shiv"
        options = ["--site-packages", str(site), "-e", ENTRY, "-o", str(target)]
        subprocess.run([str(shiv), *options, "-p", INTERPRETER, "--compressed"], check=True)


if __name__ == "__main__":
    build(Path(sys.argv[1]))
