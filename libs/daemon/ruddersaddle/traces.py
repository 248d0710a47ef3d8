"""Traces in JSON lines: arrivals, faults and platform events with times, and stated outcomes.

`serve` writes arrivals when recording is on, without any prompt's text or caller's key; the same
format is generated for benches and read by `trace replay`.
"""

import time
from collections.abc import Callable, Iterable
from pathlib import Path
from typing import Any

import msgspec
from ruddersaddle_base.codecs import decode_json, encode_json, is_decimal_integer
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_upstreams.chains import TOKEN_BYTES

WORKSPACE_KEY = "ruddersaddle.workspace"
"""Where the gateway notes a request's workspace; requests without one are not recorded."""


class Arrival(msgspec.Struct, frozen=True, tag="arrival", omit_defaults=True):
    """A request that arrives `at` seconds after the trace's start.

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
    """A fault of a stand-in from `at` on, for `seconds`."""

    at: float
    kind: str
    target: str
    seconds: float = 0.0
    value: float = 0.0


class ExpectedOutcome(msgspec.Struct, frozen=True, tag="stated"):
    """An outcome that the replay is checked against: a count's bounds."""

    name: str
    lowest: float
    highest: float


TraceLine = Arrival | Fault | ExpectedOutcome
Application = Callable[[dict[str, Any], Callable], Iterable[bytes]]


def read_trace(path: str) -> list[TraceLine] | Failure:
    """Return a trace's lines; a failure names the line that is wrong."""
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
    """Return text of so many tokens that only this name has."""
    piece = f"{name} word "
    return (piece * (tokens * TOKEN_BYTES // len(piece) + 1))[: tokens * TOKEN_BYTES]


class Recorder:
    """Writes each arrival at a host to a file, if one is named."""

    def __init__(self, path: str) -> None:
        self.file = Path(path).open("ab") if path else None  # noqa: SIM115
        self.began = time.monotonic()

    def wrap(self, application: Application) -> Application:
        """Return an application that records and passes each request on."""
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
