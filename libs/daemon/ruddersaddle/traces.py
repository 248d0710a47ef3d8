"""Traces as JSON lines: arrivals, faults and platform events with times, and expected outcomes.

With recording enabled, `serve` writes arrivals, without prompt texts or callers' keys. Generators
for benches write the same format, and `trace replay` reads it.
"""

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from ruddersaddle_base.codecs import decode_json, encode_json, is_decimal_integer
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_serving.limited_applications import Application
from ruddersaddle_upstreams.chains import TOKEN_BYTES

WORKSPACE_KEY = "ruddersaddle.workspace"
"""WSGI environment key of a request's workspace; requests without it are not recorded."""


class Arrival(msgspec.Struct, frozen=True, tag="arrival", omit_defaults=True):
    """A request that arrives `at` seconds after the start of the trace.

    `context` names the conversation or template whose prefix is shared; sizes are in tokens.
    """

    at: float
    workspace: str
    path: str
    group: str = "normal"
    context: str = ""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    key: str = ""


class Fault(msgspec.Struct, frozen=True, tag="fault", omit_defaults=True):
    """A fault injected into a stand-in at `at`, lasting `seconds`."""

    at: float
    kind: str
    target: str
    seconds: float = 0.0
    value: float = 0.0


class ExpectedOutcome(msgspec.Struct, frozen=True, tag="stated"):
    """Bounds of a count that a replay is checked against."""

    name: str
    lowest: float
    highest: float


TraceLine = Arrival | Fault | ExpectedOutcome


def read_trace(path: str) -> list[TraceLine] | Failure:
    """Return a trace's lines, or a failure that names the invalid line."""
    lines = []
    for number, data in enumerate(Path(path).read_bytes().splitlines(), 1):
        line = decode_json(data, TraceLine, Step.PARSE, f"{path}:{number}")
        if isinstance(line, Failure):
            return line
        lines.append(line)
    return lines


def write_trace(path: str, lines: Iterable[TraceLine]) -> None:
    """Write a trace."""
    Path(path).write_bytes(b"".join(encode_json(line) + b"\n" for line in lines))


def fill_text(name: str, tokens: int) -> str:
    """Return text of `tokens` tokens that is unique to `name`."""
    piece = f"{name} word "
    return (piece * (tokens * TOKEN_BYTES // len(piece) + 1))[: tokens * TOKEN_BYTES]


class Recorder:
    """Writes each arrival at a host to a file, if a path is configured."""

    def __init__(self, path: str) -> None:
        self.file = Path(path).open("ab") if path else None  # noqa: SIM115
        self.began = time.monotonic()

    def wrap(self, application: Application) -> Application:
        """Wrap a WSGI application to record each request."""
        if self.file is None:
            return application

        def record(environ: dict[str, Any], start: Callable) -> Iterable[bytes]:
            at = round(time.monotonic() - self.began, 3)
            chunks = application(environ, start)
            if WORKSPACE_KEY in environ:
                self._write(environ, at)
            return chunks

        return record

    def _write(self, environ: dict[str, Any], at: float) -> None:
        size = environ.get("CONTENT_LENGTH") or "0"
        arrival = Arrival(
            at=at,
            workspace=environ[WORKSPACE_KEY],
            path=environ["PATH_INFO"],
            group=environ.get("HTTP_PRIORITY_CLASS", "normal"),
            prompt_tokens=int(size) // TOKEN_BYTES if is_decimal_integer(size) else 0,
        )
        self.file.write(encode_json(arrival) + b"\n")
        self.file.flush()

    def close(self) -> None:
        """Close the file."""
        if self.file is not None:
            self.file.close()
