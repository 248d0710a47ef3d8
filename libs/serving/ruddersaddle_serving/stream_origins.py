"""Finds the software version that began a stream which its caller takes up again."""

from collections import Counter
from collections.abc import Iterable
from enum import Enum
from typing import Any

import eventlet
import msgspec
from ruddersaddle_base.failures import Code, Failure, Step
from ruddersaddle_base.ids import PoolId, RequestId, SoftwareVersion

from ruddersaddle_serving.pool_versions import PoolVersions, Version
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, VersionPin
from ruddersaddle_serving.routes import RouteTable
from ruddersaddle_serving.stream_exchanges import StreamExchange
from ruddersaddle_serving.stream_records import (
    AloneVersion,
    StreamKey,
    StreamQuestion,
    StreamRecord,
    StreamReply,
)

PEER = "streams"
LONGEST_DEFAULT_S = 30.0
"""Longest stream while there is no configuration yet."""
VERSION_MARGIN_S = 10.0
"""Pause of a caller before it takes a stream up again, as far as one version alone is concerned."""
RECORD_MARGIN_S = 60.0
"""Longest pause of a caller before it takes a stream up again that is on record."""
ASKED_AGAIN = 4
"""Times that holders are asked again soon after a version has appeared: until the host that runs
the stream has listed that version as well, it has told nobody."""
ASK_AGAIN_PAUSE_S = 0.2
LOGGED_CHARS_MAX = 40
"""Characters of a caller's value in the log."""


class Finding(Enum):
    """From whom the version of a stream is known, or why it isn't."""

    HERE = "here"
    """This host ran the stream, or holds its record."""
    HOLDER = "holder"
    ALONE = "alone"
    """One version alone has served for longer than streams last, as this host knows."""
    ALONE_ELSEWHERE = "alone_elsewhere"
    """The same, as a holder knows."""
    ALONE_UNTIL_NOW = "alone_until_now"
    """Another version has just been listed, and no holder knows the stream."""
    NOT_NAMED = "not_named"
    """The caller names no request, or no valid one."""
    UNKNOWN = "unknown"
    UNREACHABLE = "unreachable"
    """No holder answered."""
    AMBIGUOUS = "ambiguous"
    """Requests with this id began streams at several versions."""


DETAIL_BY_FINDING = {
    Finding.NOT_NAMED: "the request names no request that began the stream",
    Finding.UNKNOWN: "no host knows the request that is named as the first of the stream",
    Finding.UNREACHABLE: "no host that may know the first request of the stream answered",
    Finding.AMBIGUOUS: "several streams began under the id of the first request",
}


class TakeUp(msgspec.Struct, frozen=True):
    """What is known of a stream that is taken up again: where it goes on, or why it can't."""

    finding: Finding
    pin: VersionPin | None = None
    failure: Failure | None = None
    age_s: float | None = None
    """Time since the stream began or went on, if there is a record of it."""

    def fields(self, head: CallerHead) -> dict[str, Any]:
        """Return fields for the line of the request's end."""
        resumes = None if head.resumes is None else head.resumes[:LOGGED_CHARS_MAX]
        version = (
            None if self.pin is None or self.pin.version is msgspec.UNSET else self.pin.version
        )
        return {
            "resumes": resumes,
            "after_event": (head.last_event_id or "")[:LOGGED_CHARS_MAX],
            "stream_known_from": self.finding.value,
            "stream_version": version,
            "stream_age_ms": None if self.age_s is None else round(self.age_s * 1000),
        }


class StreamOrigins:
    """Knows, or asks others, at which software versions streams began."""

    def __init__(self, versions: PoolVersions, exchange: StreamExchange) -> None:
        self.versions = versions
        self.exchange = exchange
        self.count_by_finding: Counter[Finding] = Counter()

    def counts(self) -> dict[str, int]:
        """Return the numbers of streams taken up again by finding, including zeros."""
        return {each.value: self.count_by_finding[each] for each in Finding}

    def record_first_event(self, request: CallerRequest) -> None:
        """Record that a stream's first event of this request has come from its pinned version."""
        is_return = request.takes_up_stream
        first = request.head.resumes if is_return else request.id
        key = _key_of(request, first or RequestId(""))
        pin = request.pin
        if key.is_valid and pin.version is not msgspec.UNSET:
            self.exchange.record_begun(StreamRecord(key, pin.pool, pin.version))

    def find(self, request: CallerRequest, drawn: PoolId) -> TakeUp:
        """Return where a stream goes on; `drawn` is the pool of it if any would do."""
        found = self._find(request, drawn)
        self.count_by_finding[found.finding] += 1
        return found

    def _find(self, request: CallerRequest, drawn: PoolId) -> TakeUp:
        key = _key_of(request, request.head.resumes or RequestId(""))
        pools = tuple(each.pool for each in request.route.targets)
        record = self.exchange.find_known(key) if key.is_valid else None
        alone = _common(map(self.versions.alone, pools))
        if record is not None and (alone is not None or record.version is None):
            return _from_record(record, pools, Finding.HERE)
        if alone is not None:
            return TakeUp(Finding.ALONE, VersionPin(drawn, alone))
        if not key.is_valid:
            return _refuse(Finding.NOT_NAMED)
        question = StreamQuestion(key, pools)
        if record is not None:
            # Another host may have begun a stream under the same id at another version.
            replies = [StreamReply(record), *self.exchange.ask(question)]
            found = self._from_replies(replies, pools, drawn)
            return msgspec.structs.replace(found, finding=Finding.HERE) if found.pin else found
        # Asking takes so long that streams may begin at another version meanwhile.
        alone_until_now = _common(map(self.versions.alone_until_now, pools))
        begun = set().union(*map(self.versions.begun_beside, pools))
        replies = self.exchange.ask(question)
        found = self._from_replies(replies, pools, drawn)
        is_missing_some = len(replies) < len(self.exchange.other_holders(key))
        if found.finding in (Finding.UNREACHABLE, Finding.UNKNOWN) and is_missing_some:
            # A pause of this process, or a connection that was dead, looks the same. Others may
            # have answered that were not told of the stream.
            replies = self.exchange.ask(question)
            found = self._from_replies(replies, pools, drawn)
        if alone_until_now is None:
            alone_until_now = _alone_until_now_in(replies, pools, begun)
        if found.finding is Finding.UNKNOWN and alone_until_now is not None:
            return TakeUp(Finding.ALONE_UNTIL_NOW, VersionPin(drawn, alone_until_now))
        for _ in range(ASKED_AGAIN):
            if found.finding is not Finding.UNKNOWN or not self.versions.is_changing(pools):
                break
            eventlet.sleep(ASK_AGAIN_PAUSE_S)
            found = self._from_replies(self.exchange.ask(question), pools, drawn)
        return found

    def _from_replies(
        self, replies: list[StreamReply], pools: tuple[PoolId, ...], drawn: PoolId
    ) -> TakeUp:
        records = [each.record for each in replies if each.record is not None]
        if len({(each.pool, each.version) for each in records}) > 1:
            return _refuse(Finding.AMBIGUOUS)
        if records:
            return _from_record(records[0], pools, Finding.HOLDER)
        versions = {
            each for reply in replies if (each := _alone_in(reply.alone, pools)) is not None
        }
        if len(versions) == 1 and all(self._agrees(pool, *versions) for pool in pools):
            return TakeUp(Finding.ALONE_ELSEWHERE, VersionPin(drawn, *versions))
        return _refuse(Finding.UNKNOWN if replies else Finding.UNREACHABLE)

    def _agrees(self, pool: PoolId, version: SoftwareVersion) -> bool:
        """Return whether this host has seen no other version on a pool's routes than a holder."""
        return self.versions.seen_beside(pool) <= {version}


class StreamTimes:
    """Times for which versions and records count, by the longest timeout of the routes."""

    def __init__(self) -> None:
        self.longest_s = LONGEST_DEFAULT_S

    def apply_table(self, table: RouteTable) -> None:
        """Apply the routes of a configuration."""
        times = [each.timeout_s for each in table.published.routes if each.resumable]
        self.longest_s = max(times, default=0.0)

    def version_memory_s(self) -> float:
        """Return how long a version counts after its last upstream is gone."""
        return self.longest_s + VERSION_MARGIN_S

    def record_memory_s(self) -> float:
        """Return how long a record is kept after the stream last began or went on."""
        return self.longest_s + RECORD_MARGIN_S


def _key_of(request: CallerRequest, first: RequestId) -> StreamKey:
    workspace = request.workspace
    return StreamKey(None if workspace is None else workspace.id, first)


def _common(versions: Iterable[Version | None]) -> Version | None:
    """Return the version that some pools have in common, or None."""
    found = set(versions)
    return found.pop() if len(found) == 1 else None


def _alone_in(alone: tuple[AloneVersion, ...], pools: tuple[PoolId, ...]) -> SoftwareVersion | None:
    """Return the version that has served alone in all of some pools, as a holder knows."""
    version_by_pool = {each.pool: each.version for each in alone}
    return _common(map(version_by_pool.get, pools))


def _alone_until_now_in(
    replies: list[StreamReply], pools: tuple[PoolId, ...], begun: set[Version]
) -> SoftwareVersion | None:
    """Return the version that holders say was alone until now, or None.

    It is for hosts that haven't been up for long enough to know it. `begun` are the versions at
    which streams may have begun, as far as this host knows.
    """
    named = {_alone_in(reply.alone_until_now, pools) for reply in replies} - {None}
    return named.pop() if len(named) == 1 and begun <= named else None


def _from_record(record: StreamRecord, pools: tuple[PoolId, ...], finding: Finding) -> TakeUp:
    if record.version is None:
        return _refuse(Finding.AMBIGUOUS)
    if record.pool not in pools:
        return _refuse(Finding.UNKNOWN)
    pin = VersionPin(record.pool, record.version)
    return TakeUp(finding, pin, age_s=record.age_s)


def _refuse(finding: Finding) -> TakeUp:
    detail = f"{DETAIL_BY_FINDING[finding]}; begin the stream anew, without its last event"
    return TakeUp(finding, failure=Failure(Code.UNKNOWN_STREAM, Step.ADMIT, PEER, detail))
