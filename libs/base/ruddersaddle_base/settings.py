"""Settings of one process: the table of defaults, and how values are read and validated.

Values come from an INI file, then the environment (`RUDDERSADDLE_SECTION_KEY`), then command line
options (`section.key=value`); later sources override earlier ones. `DEFAULTS` documents every key.
"""

import configparser
import difflib
import logging
import os
import re
from collections.abc import Mapping, Sequence
from pathlib import Path
from typing import NamedTuple

import msgspec

logger = logging.getLogger(__name__)

ENVIRONMENT_PREFIX = "RUDDERSADDLE_"


class Default(NamedTuple):
    """Default, type, bounds and description (with unit) of one key."""

    section: str
    key: str
    value: str
    kind: type
    description: str
    lowest: float = 0
    highest: float = 1e12

    @property
    def name(self) -> str:
        """Full name of the key."""
        return f"{self.section}.{self.key}"


DEFAULTS = (
    Default("host", "id", "host-1", str, "this host's id, as the host list names it"),
    Default("host", "hall", "hall-1", str, "the hall that this host is in"),
    Default(
        "host",
        "regions",
        "",
        str,
        "region of each hall as HALL=REGION, comma-separated; empty if there is only one region",
    ),
    Default("host", "memory_mb", "150", float, "memory of the host in MB; bounds what is kept", 32),
    Default("host", "link_mbps", "1000", float, "bandwidth of the host's link in Mbit/s", 0),
    Default("host", "address", "127.0.0.1", str, "IP address to listen on"),
    Default("host", "port", "8080", int, "port for callers and operators", 1, 65535),
    Default("host", "peer_port", "8081", int, "port for the other hosts", 1, 65535),
    Default("host", "operator_digest", "", str, "SHA-256 of the operators' key"),
    Default("host", "log_level", "INFO", str, "DEBUG, INFO, WARNING or ERROR"),
    Default("listen", "callers", "127.0.0.1:8080", str, "IP:port for callers"),
    Default("listen", "ready", "127.0.0.1:8081", str, "IP:port of readiness checks"),
    Default("listen", "peers", "127.0.0.1:8082", str, "IP:port for the other hosts"),
    Default("listen", "metrics", "127.0.0.1:9464", str, "IP:port of the metrics page"),
    Default(
        "listen", "relays", "", str, "IP:port for requests relayed by other hosts; empty: none"
    ),
    Default("listen", "seeds", "", str, "IP:port of other hosts' peer listeners, comma-separated"),
    Default("platform", "store", "127.0.0.1:9000", str, "IP:port of the metadata store"),
    Default("platform", "log", "127.0.0.1:9000", str, "IP:port of the log service"),
    Default("platform", "host_list", "127.0.0.1:9001", str, "IP:port of the host list"),
    Default("platform", "poll_s", "1.0", float, "seconds between reads of the host list", 0.05, 60),
    Default("platform", "timeout_s", "2.0", float, "seconds for one platform call", 0.05, 60),
    Default("platform", "snapshot_after", "500", int, "records between snapshots", 2),
    Default("platform", "retention_s", "86400", float, "seconds that the log keeps records", 1),
    Default("requests", "body_max", "1048576", int, "largest body in bytes", 1024),
    Default("requests", "read_timeout_s", "10", float, "seconds to read a request", 0.1, 600),
    Default("requests", "deadline_s", "30", float, "default deadline in seconds", 0.1, 3600),
    Default("requests", "concurrent_max", "2000", int, "concurrent requests before refusal", 1),
    Default("requests", "gather_ms", "40", float, "ms that tokens are batched", 0, 60),
    Default(
        "requests",
        "stop_lag_s",
        "3",
        float,
        "seconds to keep serving after a planned stop begins",
        0,
        600,
    ),
    Default("requests", "stop_max_s", "600", float, "longest wait for streams at a stop", 0, 86400),
    Default("requests", "grace_s", "8", float, "seconds from SIGTERM until SIGKILL", 1, 3600),
    Default("bounds", "key_end_ms", "5000", float, "ms until a revoked key is refused", 500),
    Default("bounds", "key_end_strict", "yes", bool, "whether key_end_ms holds in outages too"),
    Default("bounds", "weights_ms", "12000", float, "ms until old weights are out of use", 1000),
    Default("bounds", "lease_ms", "3000", float, "ms between the orders of two lease holders", 500),
    Default("bounds", "retry_share", "0.2", float, "retries as a share of requests, all hosts"),
    Default("bounds", "retry_slack", "50", float, "retries beyond that share, all hosts", 0),
    Default("bounds", "retry_window_s", "10", float, "seconds in which retries are counted", 1),
    Default(
        "rollouts",
        "exposure_share",
        "0",
        float,
        "share of a service's requests that an unproven software version may get; 0: no rollouts",
        0,
        1,
    ),
    Default(
        "rollouts",
        "exposure_slack",
        "0",
        float,
        "requests beyond that share that an unproven software version may get",
        0,
    ),
    Default(
        "rollouts",
        "stop_ms",
        "5000",
        float,
        "ms from the 50th bad answer of a software version until no host sends to it",
        100,
    ),
    Default(
        "crashes",
        "admitted_parts",
        "",
        str,
        "ids of parts of prompts that are never refused for crashes, comma-separated",
    ),
    Default("claims", "memory_s", "3600", float, "seconds that a key is remembered", 1, 86400),
    Default("claims", "skew_s", "30", float, "largest clock skew in seconds", 0, 600),
    Default("claims", "wait_s", "2.0", float, "longest wait for a claim in seconds", 0.05, 60),
    Default("claims", "gather", "yes", bool, "whether waiting claims share an append"),
    Default("claims", "ticket_s", "120", float, "seconds for which a ticket may be used", 1, 3600),
    Default("claims", "answers_max", "67108864", int, "bytes of cached answers", 0),
    Default("contexts", "keep", "yes", bool, "whether contexts are saved on store hosts"),
    Default("contexts", "min_blocks", "4", int, "shortest context to save, in blocks", 1),
    Default(
        "contexts", "prefill_tokens_s", "8000", float, "prefill speed of an engine in tokens/s", 1
    ),
    Default("contexts", "timeout_s", "5", float, "seconds for one transfer", 0.05, 120),
    Default("contexts", "prefetch_s", "20", float, "seconds before an event to prefetch", 0, 3600),
    Default("routing", "policy", "predicted", str, "predicted, round_robin, least_load, hash"),
    Default("routing", "load_poll_s", "1.0", float, "seconds between load reports", 0.05, 60),
    Default(
        "routing", "backlog_s", "0.3", float, "prefill backlog in seconds; 0: unlimited", 0, 60
    ),
    Default("routing", "retry_share", "0.1", float, "retries as a share of first attempts", 0, 1),
    Default(
        "routing", "limit_start", "8", int, "initial concurrency limit of an upstream", 1, 10000
    ),
    Default("routing", "limit_max", "64", int, "highest limit of an upstream", 1, 10000),
    Default("routing", "failures_open", "3", int, "failures in a row that open a circuit", 1, 100),
    Default("routing", "open_s", "2.0", float, "seconds that a circuit stays open", 0.05, 600),
    Default("routing", "connect_s", "1.0", float, "seconds to connect to an upstream", 0.05, 60),
    Default("routing", "read_s", "15", float, "seconds an upstream may send nothing", 0.05, 600),
    Default("leases", "length_s", "6", float, "duration of a lease in seconds", 0.2, 600),
    Default("leases", "margin_s", "2", float, "seconds a successor waits after a lease", 0, 600),
    Default("traces", "file", "", str, "file to record a trace to; empty for none"),
)
"""All known keys."""

DEFAULT_BY_NAME = {default.name: default for default in DEFAULTS}
POLICIES = ("predicted", "round_robin", "least_load", "hash")
TRUE_WORDS = ("yes", "true", "on", "1")
FALSE_WORDS = ("no", "false", "off", "0")


class Problem(msgspec.Struct, frozen=True):
    """One invalid setting: its place, and what was expected or the nearest known key."""

    source: str
    line: int
    name: str
    expected: str

    def __str__(self) -> str:
        place = f"{self.source}:{self.line}" if self.line else self.source
        return f"{place}: {self.name}: {self.expected}"


class RawValue(msgspec.Struct, frozen=True):
    """One value before conversion, with its source."""

    name: str
    text: str
    source: str
    line: int = 0


class Settings:
    """Validated values by full name (`section.key`)."""

    def __init__(self, by_name: Mapping[str, object]) -> None:
        self.by_name = dict(by_name)

    @classmethod
    def from_defaults(cls, **changes: object) -> "Settings":
        """Return the defaults; `changes` are named `section__key`."""
        by_name = {default.name: _convert(default, default.value) for default in DEFAULTS}
        for name, value in changes.items():
            by_name[name.replace("__", ".")] = value
        return cls(by_name)

    def text(self, name: str) -> str:
        """Return a text value."""
        return str(self.by_name[name])

    def number(self, name: str) -> float:
        """Return a number in the unit that `DEFAULTS` documents."""
        return float(self.by_name[name])

    def integer(self, name: str) -> int:
        """Return an integer."""
        return int(self.by_name[name])

    def flag(self, name: str) -> bool:
        """Return a boolean."""
        return bool(self.by_name[name])


def read_settings(
    path: str | None, environment: Mapping[str, str], options: Sequence[str]
) -> Settings | list[Problem]:
    """Read, validate and convert the settings; return all problems if there are any.

    An unknown key in a file is logged with a suggestion and ignored. An unknown command line option
    is a problem, since it is most likely a typing error.
    """
    given: list[RawValue] = []
    problems: list[Problem] = []
    if path:
        given += _read_file(path, problems)
    given += _read_environment(environment)
    given += _read_options(options, problems)
    by_name = {default.name: default.value for default in DEFAULTS}
    values = {name: _convert(DEFAULT_BY_NAME[name], text) for name, text in by_name.items()}
    for item in given:
        _check(item, values, problems)
    _check_combinations(values, problems)
    return problems if problems else Settings(values)


def describe_settings() -> str:
    """Return the table of defaults as Markdown."""
    lines = ["| key | default | meaning |", "| --- | --- | --- |"]
    lines += [f"| `{each.name}` | `{each.value}` | {each.description} |" for each in DEFAULTS]
    return "\n".join(lines)


def _read_file(path: str, problems: list[Problem]) -> list[RawValue]:
    parser = configparser.ConfigParser(interpolation=None)
    try:
        text = Path(path).read_text(encoding="utf-8")
        parser.read_string(text, source=path)
    except (OSError, UnicodeDecodeError) as error:
        problems.append(Problem(path, 0, "file", f"a readable file ({error})"))
        return []
    except configparser.Error as error:
        problems.append(Problem(path, getattr(error, "lineno", 0) or 0, "file", _join_lines(error)))
        return []
    found = []
    for section in parser.sections():
        for key, value in parser.items(section):
            if not value.strip():
                # Templates leave a value empty where the platform has none; use the default.
                continue
            line = find_line(text, section, key)
            found.append(RawValue(f"{section}.{key}", value, path, line))
    return found


def find_line(text: str, section: str, key: str) -> int:
    """Return the line number of a key in INI `text`, or 0 if it is not found."""
    current = ""
    for number, line in enumerate(text.splitlines(), 1):
        heading = re.match(r"\s*\[(.+)\]", line)
        if heading:
            current = heading.group(1)
        elif current == section and re.match(rf"\s*{re.escape(key)}\s*[=:]", line, re.IGNORECASE):
            return number
    return 0


def _read_environment(environment: Mapping[str, str]) -> list[RawValue]:
    found = []
    for default in DEFAULTS:
        variable = f"{ENVIRONMENT_PREFIX}{default.section}_{default.key}".upper()
        if variable in environment:
            found.append(RawValue(default.name, environment[variable], variable))
    return found


def _read_options(options: Sequence[str], problems: list[Problem]) -> list[RawValue]:
    found = []
    for option in options:
        name, equals, text = option.partition("=")
        if not equals:
            problems.append(Problem("option", 0, option, "section.key=value"))
        elif name not in DEFAULT_BY_NAME:
            problems.append(Problem("option", 0, name, suggest(name, DEFAULT_BY_NAME)))
        else:
            found.append(RawValue(name, text, "option"))
    return found


def suggest(name: str, known: Sequence[str] | Mapping[str, object]) -> str:
    """Return the expectation of a known key, with the nearest one as a suggestion."""
    near = difflib.get_close_matches(name, list(known), n=1, cutoff=0.4)
    if near:
        return f"a known key; the nearest is {near[0]}"
    return "a known key"


def _check(item: RawValue, values: dict[str, object], problems: list[Problem]) -> None:
    default = DEFAULT_BY_NAME.get(item.name)
    if default is None:
        unknown = Problem(item.source, item.line, item.name, suggest(item.name, DEFAULT_BY_NAME))
        logger.warning("Unknown key ignored. %s", unknown)
        return
    value = _convert(default, item.text)
    if value is None:
        expected = f"expected {default.kind.__name__}, got {item.text!r}"
        problems.append(Problem(item.source, item.line, item.name, expected))
    elif default.kind in (int, float) and not default.lowest <= value <= default.highest:
        expected = f"expected {default.lowest:g} to {default.highest:g}, got {item.text!r}"
        problems.append(Problem(item.source, item.line, item.name, expected))
    else:
        values[item.name] = value


def _check_combinations(values: dict[str, object], problems: list[Problem]) -> None:
    if values["routing.policy"] not in POLICIES:
        expected = f"expected one of {', '.join(POLICIES)}"
        problems.append(Problem("settings", 0, "routing.policy", expected))
    needed = float(values["claims.memory_s"]) + 2 * float(values["claims.skew_s"])
    if needed > float(values["platform.retention_s"]):
        expected = "claims.memory_s and twice claims.skew_s within platform.retention_s"
        problems.append(Problem("settings", 0, "claims.memory_s", expected))


def _convert(default: Default, text: str) -> object | None:
    stripped = text.strip()
    if default.kind is str:
        return stripped
    if default.kind is bool:
        return _convert_flag(stripped.lower())
    try:
        return default.kind(stripped)
    except ValueError:
        return None


def _convert_flag(word: str) -> bool | None:
    if word in TRUE_WORDS:
        return True
    return False if word in FALSE_WORDS else None


def _join_lines(error: Exception) -> str:
    return " ".join(str(error).split())


def process_environment() -> Mapping[str, str]:
    """Return this process's environment."""
    return os.environ
