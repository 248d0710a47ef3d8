"""Builds the executable file of the product, with `shiv`.

The file needs Python 3.11 on the host, unpacks itself once to `SHIV_ROOT` and runs in its own
process. Bundlers that fork a child are unsuitable, as a host must not start further processes.
"""

import subprocess
import sys
import tempfile
from pathlib import Path

LIBRARIES = ("base", "state", "upstreams", "routing", "daemon")
"""Libraries of the product; the executable does not contain stand-ins and tools."""
LOCK_FILE = "requirements.lock"
TOOLS_HEADING = "# tools and tests"
"""The executable does not contain the requirements after this line of the lock file."""
ENTRY_POINT = "ruddersaddle.programs:main"
INTERPRETER = "/usr/bin/env python3"


def product_requirements(lock: str) -> str:
    """Return the part of the lock file that the product needs."""
    return lock.partition(TOOLS_HEADING)[0]


def build(target: Path) -> None:
    """Build the executable file."""
    target.parent.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as folder:
        requirements = Path(folder) / "product.txt"
        requirements.write_text(product_requirements(Path(LOCK_FILE).read_text()))
        site = Path(folder) / "site"
        pip = [sys.executable, "-m", "pip", "install", "-q", "--no-deps", "--target", str(site)]
        subprocess.run([*pip, "-r", str(requirements)], check=True)
        sources = [f"./libs/{name}" for name in LIBRARIES]
        subprocess.run([*pip, "--no-build-isolation", *sources], check=True)
        shiv = Path(sys.executable).parent / "shiv"
        options = ["--site-packages", str(site), "-e", ENTRY_POINT, "-o", str(target)]
        subprocess.run([str(shiv), *options, "-p", INTERPRETER, "--compressed"], check=True)


if __name__ == "__main__":
    build(Path(sys.argv[1]))
