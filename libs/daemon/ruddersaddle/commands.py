"""Command line of the executable: the daemon and the client for operators."""

import logging
import os
import sys
from typing import NoReturn

import defopt
import msgspec
from ruddersaddle_base.codecs import decode_json, encode_json_text
from ruddersaddle_base.failures import Failure, Step
from ruddersaddle_base.loggers import start_logging
from ruddersaddle_base.settings import Settings, describe_settings, read_settings
from ruddersaddle_state.configurations import check_references
from ruddersaddle_state.records import Change, Stream

from ruddersaddle.callers import digest_key
from ruddersaddle.published_files import Problem, format_published, read_published
from ruddersaddle.publishers import Published, Publisher, PublishOutcome, call_operator
from ruddersaddle.replays import TraceReplay, read_caller_keys
from ruddersaddle.reports import Accepted, Stats, Status
from ruddersaddle.traces import Arrival, ExpectedOutcome, Fault, TraceLine, read_trace

logger = logging.getLogger(__name__)

EXIT_OK = 0
EXIT_PROBLEM = 1
EXIT_USAGE = 2
EXIT_REJECTED = 3
EXIT_UNKNOWN = 4
EXIT_UNREACHABLE = 5
EXIT_BY_OUTCOME = {
    PublishOutcome.ACCEPTED: EXIT_OK,
    PublishOutcome.REJECTED: EXIT_REJECTED,
    PublishOutcome.UNKNOWN: EXIT_UNKNOWN,
}
TIMEOUT_S = 5.0
"""Longest wait for a change's result or for a host's answer."""


class HistoryRow(msgspec.Struct):
    """One change of the configuration and its outcome."""

    offset: int
    change: str
    author: str
    outcome: str
    reason: str
    entries: list[str]


class TraceSummary(msgspec.Struct):
    """Duration of a trace in seconds, and counts of its lines."""

    seconds: float
    arrivals: int
    faults: int
    stated: int
    arrivals_by_path: dict[str, int]


def serve(*, file: str = "", set: list[str] = ()) -> None:  # noqa: A002
    """Run this host until its planned stop (SIGTERM, or `drain`).

    Example: ruddersaddle serve --file host.ini --set host.id=host-1

    :param file: settings in INI
    :param set: settings as section.key=value; they override the environment and the file
    """
    settings = _load_settings(file, set)
    start_logging(settings.text("host.log_level"), settings.text("host.id"))
    from ruddersaddle.daemons import Daemon

    Daemon.from_settings(settings).serve()


def settings(*, file: str = "", set: list[str] = ()) -> None:  # noqa: A002
    """Check settings; without a file, print the table of defaults.

    Example: ruddersaddle settings --file host.ini

    :param file: settings in INI
    :param set: settings as section.key=value
    """
    _load_settings(file, set)
    print(describe_settings() if not file else f"{file}: good")


def check(file: str) -> None:
    """Validate a configuration file as `config publish` does.

    Example: ruddersaddle config check clinics.ini

    :param file: configuration in INI
    """
    wanted = _load_entries(file)
    print(f"{file}: good, {len(wanted)} entries")


def publish(
    file: str, *, author: str = "operator", json: bool = False, log: str = "", hosts: str = ""
) -> None:
    """Publish a configuration file; the exit status is 0 accepted, 3 rejected or 4 unknown.

    Example: ruddersaddle config publish clinics.ini --author anna

    :param file: configuration in INI
    :param author: name of the operator who publishes
    :param json: print JSON
    :param log: IP:port of the log service
    :param hosts: IP:port of the host list
    """
    wanted = _load_entries(file)
    publisher = _connect_publisher(log, hosts)
    edits = publisher.edits_for(wanted)
    if not edits:
        _print(json, Accepted("unchanged"), "unchanged: all entries are already in force")
        return
    published = publisher.publish(author, edits, TIMEOUT_S)
    if published.word is PublishOutcome.ACCEPTED:
        published = publisher.wait_until_in_force(published)
        _warn_references(publisher)
    _print(json, published, describe_published(published))
    sys.exit(EXIT_BY_OUTCOME[published.word])


def show(*, change: str = "", json: bool = False, log: str = "", hosts: str = "") -> None:
    """Show the configuration in force, or the outcome of one change.

    Example: ruddersaddle config show --change 5f0c…

    :param change: id of a change
    :param json: print JSON
    :param log: IP:port of the log service
    :param hosts: IP:port of the host list
    """
    publisher = _connect_publisher(log, hosts)
    configuration = publisher.configuration
    if change:
        result = configuration.result_by_id.get(change)
        if result is None:
            _exit(
                EXIT_UNKNOWN,
                f"{change}: not in the records that the log retains; it has not been applied",
            )
        _print(json, result, f"{result.outcome.value} at {result.position} {result.reason}")
        return
    entries = [configuration.by_key[key] for key in sorted(configuration.by_key)]
    values = [entry.value for entry in entries if entry.value is not None]
    _print(json, entries, format_published(values))


def history(*, json: bool = False, log: str = "", hosts: str = "") -> None:
    """List the changes that the log retains, with their outcomes.

    Example: ruddersaddle config history --json

    :param json: print JSON
    :param log: IP:port of the log service
    :param hosts: IP:port of the host list
    """
    publisher = _connect_publisher(log, hosts)
    rows = read_history(publisher)
    lines = [f"{row.offset} {row.author} {row.outcome} {' '.join(row.entries)}" for row in rows]
    _print(json, rows, "\n".join(lines))


def digest() -> None:
    """Read a caller's key from standard input and print the digest to publish.

    Example: ruddersaddle config digest < key.txt
    """
    print(digest_key(sys.stdin.readline().strip()))


def status(address: str, *, json: bool = False) -> None:
    """Show one host's status.

    Example: ruddersaddle status 127.0.0.1:8080

    :param address: IP:port of the host
    :param json: print JSON
    """
    found = _call_host(address, "GET", "/operator/status", Status)
    lines = [f"{found.incarnation} in {found.hall}: {found.state}, {found.active} active"]
    lines.append(f"configuration at {found.configuration_position}, log {found.log_reachable}")
    for row in found.upstreams:
        state = "leaving" if row.leaving else row.circuit
        lines.append(f"  {row.pool}/{row.upstream} {state} limit {row.limit:.1f} {row.version}")
    _print(json, found, "\n".join(lines))


def stats(address: str, *, json: bool = False) -> None:
    """Show one host's latency percentiles by workspace and class, in milliseconds.

    Example: ruddersaddle stats 127.0.0.1:8080

    :param address: IP:port of the host
    :param json: print JSON
    """
    found = _call_host(address, "GET", "/operator/stats", Stats)
    lines = ["measure workspace class count p50 p95 p99"]
    for row in found.rows:
        lines.append(" ".join(str(value) for value in msgspec.structs.astuple(row)))
    _print(json, found, "\n".join(lines))


def drain(address: str) -> None:
    """Start the planned stop of one host, from its own machine or with the operators' key.

    Example: ruddersaddle drain 127.0.0.1:8080

    :param address: IP:port of the host
    """
    print(_call_host(address, "POST", "/operator/drain", Accepted).state)


def replay(
    file: str,
    *,
    address: list[str] = (),
    keys: str = "",
    model: str = "assistant",
    json: bool = False,
) -> None:
    """Validate and summarize a trace; with addresses, replay it there and check its outcomes.

    Example: ruddersaddle trace replay opening.jsonl --json

    :param file: trace in JSON lines
    :param address: IP:port of hosts to send it to, in round-robin order
    :param keys: INI file with the callers' keys by workspace in a section [keys]
    :param model: model that prompts are sent to
    :param json: print JSON
    """
    lines = read_trace(file)
    if isinstance(lines, Failure):
        _exit(EXIT_PROBLEM, f"{lines.peer}: {lines.detail}")
    if address:
        _replay_to(lines, list(address), keys, model, json)
    summary = summarize_trace(lines)
    text = f"{summary.arrivals} arrivals, {summary.faults} faults in {summary.seconds:.1f} s"
    _print(json, summary, text)


def _replay_to(
    lines: list[TraceLine], addresses: list[str], keys: str, model: str, as_json: bool
) -> NoReturn:
    found = read_caller_keys(keys)
    if isinstance(found, Problem):
        _exit(EXIT_USAGE, str(found))
    report = TraceReplay(addresses, found, model).run(lines)
    text = f"{report.arrivals} sent, {report.answered_prompts} prompts complete, "
    text += f"first token p95 {report.first_p95_ms:.0f} ms, broken: {report.broken or 'nothing'}"
    _print(as_json, report, text)
    sys.exit(EXIT_PROBLEM if report.broken else EXIT_OK)


def summarize_trace(lines: list[TraceLine]) -> TraceSummary:
    """Return the duration of a trace and the counts of its lines."""
    arrivals = [line for line in lines if isinstance(line, Arrival)]
    counts: dict[str, int] = {}
    for arrival in arrivals:
        counts[arrival.path] = counts.get(arrival.path, 0) + 1
    seconds = max((line.at for line in lines if not isinstance(line, ExpectedOutcome)), default=0.0)
    faults = sum(isinstance(line, Fault) for line in lines)
    stated = sum(isinstance(line, ExpectedOutcome) for line in lines)
    return TraceSummary(seconds, len(arrivals), faults, stated, counts)


def read_history(publisher: Publisher) -> list[HistoryRow]:
    """Return a row for each change that the log retains."""
    rows = []
    start = 0
    while True:
        page = publisher.client.read(Stream.CONFIGURATION, start, 0.0)
        if isinstance(page, Failure) or not page.records:
            return rows
        for placed in page.records:
            if isinstance(placed.record, Change):
                rows.append(_history_row(publisher, placed.position, placed.record))
        start = page.next


def _history_row(publisher: Publisher, position: int, change: Change) -> HistoryRow:
    result = publisher.configuration.result_by_id.get(change.id)
    outcome = "unknown" if result is None else result.outcome.value
    reason = "" if result is None else result.reason
    entries = [edit.key for edit in change.edits]
    return HistoryRow(position, change.id, change.author, outcome, reason, entries)


def describe_published(published: Published) -> str:
    """Return the outcome of a change as one sentence."""
    if published.word is not PublishOutcome.ACCEPTED:
        return f"{published.word.value}: change {published.change}. {published.reason}"
    where = f"{published.hosts_in_force} of {published.hosts_listed} hosts"
    return (
        f"accepted: change {published.change} at offset {published.offset}, "
        f"in force on {where} after {published.seconds:.1f} s"
    )


def _load_settings(file: str, options: list[str]) -> Settings:
    found = read_settings(file or None, os.environ, list(options))
    if isinstance(found, Settings):
        return found
    _exit(EXIT_USAGE, "\n".join(str(problem) for problem in found))


def _load_entries(file: str) -> list:
    wanted = read_published(file)
    problems = [each for each in wanted if isinstance(each, Problem)]
    if problems:
        _exit(EXIT_PROBLEM, "\n".join(str(problem) for problem in problems))
    return wanted


def _connect_publisher(log: str, hosts: str) -> Publisher:
    found = _load_settings("", [])
    log_address = log or found.text("platform.log")
    list_address = hosts or found.text("platform.host_list")
    publisher = Publisher(log_address, list_address, found.number("platform.timeout_s"))
    if not publisher.read():
        _exit(EXIT_UNREACHABLE, f"the log service at {log_address} was not reached")
    return publisher


def _warn_references(publisher: Publisher) -> None:
    publisher.read()
    for problem in check_references(publisher.configuration):
        print(f"warning: {problem}", file=sys.stderr)


def _call_host(address: str, method: str, path: str, kind: type) -> object:
    key = os.environ.get("RUDDERSADDLE_OPERATOR_KEY", "")
    data = call_operator(address, method, path, TIMEOUT_S, key)
    found = data if isinstance(data, Failure) else decode_json(data, kind, Step.READ, address)
    if isinstance(found, Failure):
        _exit(EXIT_UNREACHABLE, f"{address}: {found.code.value}: {found.detail}")
    return found


def _print(as_json: bool, value: object, text: str) -> None:
    print(encode_json_text(value) if as_json else text)


def _exit(code: int, text: str) -> NoReturn:
    print(text, file=sys.stderr)
    sys.exit(code)


COMMANDS = {
    "serve": serve,
    "settings": settings,
    "config": {
        "check": check,
        "publish": publish,
        "show": show,
        "history": history,
        "digest": digest,
    },
    "status": status,
    "stats": stats,
    "drain": drain,
    "trace": {"replay": replay},
}


def run() -> None:
    """Run one command."""
    defopt.run(COMMANDS)
