"""Publishing of configuration changes by operators; the outcome that is reported is always true.

The operator's process appends the change and reads the log until it finds the change's result.
Only that result counts: a lost answer to the append does not tell whether it took effect.
"""

import time
from enum import Enum

import msgspec
from ruddersaddle_base.codecs import decode_json
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import Position, RecordId, new_record_id
from ruddersaddle_state.configurations import Configuration
from ruddersaddle_state.followers import Follower
from ruddersaddle_state.log_clients import LogClient
from ruddersaddle_state.records import Batch, Change, Edit, Outcome, RecordResult, Stream
from ruddersaddle_upstreams.connections import OK, Connections
from ruddersaddle_upstreams.host_lists import HostList, HostState

from ruddersaddle.published_files import DesiredEntry
from ruddersaddle.reports import Status

POLL_S = 0.1
IN_FORCE_TIMEOUT_S = 11.0
"""Longest wait for a change to be in force on every live host."""


class PublishOutcome(Enum):
    """Outcome of publishing a change."""

    ACCEPTED = "accepted"
    REJECTED = "rejected"
    UNKNOWN = "unknown"


class Published(msgspec.Struct):
    """Outcome of a change as it is shown to the operator."""

    word: PublishOutcome
    change: RecordId
    offset: Position | None
    reason: str
    hosts_in_force: int = 0
    hosts_listed: int = 0
    seconds: float = 0.0


class Publisher:
    """An operator's client of the log and of the host list."""

    def __init__(self, log_address: str, list_address: str, timeout_s: float) -> None:
        self.client = LogClient(log_address, timeout_s)
        self.configuration = Configuration()
        self.follower = Follower(self.client, Stream.CONFIGURATION, self.configuration)
        self.hosts = HostList(list_address, POLL_S, timeout_s)
        self.timeout_s = timeout_s

    def read(self) -> bool:
        """Read the current configuration; return whether the log answered."""
        return self.follower.read_to_end()

    def edits_for(self, wanted: list[DesiredEntry]) -> list[Edit]:
        """Return the edits that bring the current configuration to the desired entries."""
        edits = []
        for each in wanted:
            entry = self.configuration.by_key.get(each.key)
            current = None if entry is None else entry.value
            if current != each.value:
                edits.append(Edit(each.key, self.configuration.version(each.key), each.value))
        return edits

    def publish(self, author: str, edits: list[Edit], wait_s: float) -> Published:
        """Append a change and return its outcome, `unknown` after `wait_s` seconds."""
        change = Change(new_record_id(), author, tuple(edits))
        reply = self.client.append(Stream.CONFIGURATION, Batch((change,)))
        if isinstance(reply, Failure) and reply.ran is Ran.NOT_RUN:
            reason = f"the log service was not reached: {reply.detail}"
            return Published(PublishOutcome.REJECTED, change.id, None, reason)
        result = self._wait_for_result(change.id, time.monotonic() + wait_s)
        if result is None:
            reason = f"not read back within {wait_s:g} s; see `config show --change {change.id}`"
            return Published(PublishOutcome.UNKNOWN, change.id, None, reason)
        accepted = result.outcome is Outcome.ACCEPTED
        outcome = PublishOutcome.ACCEPTED if accepted else PublishOutcome.REJECTED
        return Published(outcome, change.id, result.position, result.reason)

    def _wait_for_result(self, change: RecordId, deadline: float) -> RecordResult | None:
        while True:
            self.follower.read_once(0.0)
            result = self.configuration.result_by_id.get(change)
            if result is not None or time.monotonic() >= deadline:
                return result
            time.sleep(POLL_S)

    def wait_until_in_force(self, published: Published) -> Published:
        """Wait until the change is in force on every live host; return how many have it."""
        began = time.monotonic()
        while True:
            self.hosts.refresh()
            rows = [row for row in self.hosts.entries() if row.state is HostState.LIVE]
            statuses = [self.status_of(row.address) for row in rows]
            positions = [s.configuration_position for s in statuses if isinstance(s, Status)]
            in_force = sum(position >= published.offset for position in positions)
            elapsed = time.monotonic() - began
            if in_force == len(rows) or elapsed >= IN_FORCE_TIMEOUT_S:
                return msgspec.structs.replace(
                    published, hosts_in_force=in_force, hosts_listed=len(rows), seconds=elapsed
                )
            time.sleep(POLL_S)

    def status_of(self, address: str) -> Status | Failure:
        """Return one host's status."""
        data = call_operator(address, "GET", "/operator/status", self.timeout_s)
        if isinstance(data, Failure):
            return data
        return decode_json(data, Status, Step.READ, address)


def call_operator(
    address: str, method: str, path: str, timeout_s: float, key: str = ""
) -> bytes | Failure:
    """Call an operators' endpoint of one host."""
    headers = {"Authorization": f"Bearer {key}"} if key else {}
    connections = Connections(address, timeout_s, timeout_s)
    reply = connections.call(method, path, b"", headers)
    connections.close()
    if isinstance(reply, Failure):
        return reply
    if reply.status != OK:
        detail = f"status {reply.status}: {reply.body.decode(errors='replace')}"
        return Failure(Code.UPSTREAM_FAILED, Step.READ, address, detail)
    return reply.body
