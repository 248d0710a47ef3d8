"""Tests that a stream goes on only at upstreams of the software version that began it."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, PoolId, SoftwareVersion, UpstreamId

from ruddersaddle_serving.attempts import Attempt
from ruddersaddle_serving.forwarders import Forwarding
from ruddersaddle_serving.placements import Choice
from ruddersaddle_serving.pool_versions import SETTLE_S, PoolVersions
from ruddersaddle_serving.prompts import VersionPin
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import Tracker, Trackers
from ruddersaddle_serving.upstream_entries import UpstreamEntry
from ruddersaddle_serving.upstream_lists import UpstreamList
from ruddersaddle_serving.version_pins import VersionPinRule

POOL = PoolId("p")
V1 = SoftwareVersion("v1")
BROKEN = Failure(Code.UPSTREAM_FAILED, Step.READ, "u", "reset", Ran.UNKNOWN)


def make_entry(name: str, version: str | msgspec.UnsetType, born_ms: int = 1) -> UpstreamEntry:
    entry = UpstreamEntry(UpstreamId(name), POOL, "127.0.0.1:1", HallId("h"), 8, False, {}, born_ms)
    return msgspec.structs.replace(entry, software_version=version)


class RuleTest(unittest.TestCase):
    def setUp(self) -> None:
        self.rule = VersionPinRule()
        self.entries = [make_entry("a", "v1"), make_entry("b", "v1.1"), make_entry("c", "V1")]

    def select(self, pin: VersionPin | None, entries: list[UpstreamEntry]) -> list[str] | Code:
        found = self.rule.select(mock.Mock(pin=pin), entries, set())
        return found.code if isinstance(found, Failure) else [each.id for each in found]

    def test_pinned_request_gets_only_upstreams_of_exactly_its_version(self) -> None:
        self.assertEqual(self.select(VersionPin(POOL, V1), self.entries), ["a"])
        self.assertEqual(self.select(None, self.entries), ["a", "b", "c"])

    def test_version_without_upstreams_is_refused_for_good(self) -> None:
        pin = VersionPin(POOL, SoftwareVersion("v0"))
        self.assertIs(self.select(pin, self.entries), Code.STREAM_VERSION_GONE)
        self.assertIs(self.select(pin, []), Code.STREAM_VERSION_GONE)

    def test_version_that_may_be_missing_in_the_list_is_refused_for_a_while(self) -> None:
        """A host that had just started told callers to begin their streams anew."""
        self.rule.versions = mock.Mock(is_list_whole=False)
        pin = VersionPin(POOL, SoftwareVersion("v0"))
        failure = self.rule.select(mock.Mock(pin=pin), self.entries, set())
        self.assertIs(failure.code, Code.NO_UPSTREAM)
        self.assertGreater(failure.retry_after_s, 0)
        self.rule.versions.is_list_whole = True
        self.assertIs(self.select(pin, self.entries), Code.STREAM_VERSION_GONE)

    def test_unknown_version_goes_on_only_among_unknown_ones(self) -> None:
        """Hosts of an earlier program version send entries without it."""
        pin = VersionPin(POOL, msgspec.UNSET)
        unknown = [make_entry("d", msgspec.UNSET), make_entry("e", msgspec.UNSET)]
        self.assertEqual(self.select(pin, unknown), ["d", "e"])
        self.assertIs(self.select(pin, [*unknown, *self.entries]), Code.UNKNOWN_STREAM)
        self.assertEqual(self.select(VersionPin(POOL, V1), [*unknown, *self.entries]), ["a"])

    def test_upstream_whose_version_changed_after_the_choice_gets_nothing(self) -> None:
        request = mock.Mock(pin=VersionPin(POOL, V1))
        self.assertIsNone(self.rule.check(request, self.entries[0]))
        self.assertIn("v1.1", self.rule.check(request, self.entries[1]))


class SettlingVersionTest(FixedClockTest):
    """Where streams begin while a version is so new that other hosts may not know it."""

    def test_retry_does_not_begin_a_stream_at_a_version_that_others_may_not_know(self) -> None:
        """After the upstreams of the known version had failed, the new one was chosen."""
        upstreams = UpstreamList()
        rule = VersionPinRule(PoolVersions(upstreams, lambda: 40.0))
        upstreams.replace([make_entry("a", "v1")], self.now)
        rule.versions.observe()
        upstreams.replace([make_entry("a", "v1"), make_entry("b", "v2")], self.now)
        request = mock.Mock(pin=None, route=mock.Mock(resumable=True))

        def chosen() -> list[str]:
            selected = rule.select(request, upstreams.of_pool(POOL), {UpstreamId("a")})
            return [each.id for each in selected]

        self.assertEqual(chosen(), ["a"])
        self.now += SETTLE_S + 0.1
        self.assertEqual(chosen(), ["a", "b"])


class FirstEventTest(unittest.TestCase):
    """Pins of streams to the process that brought their first event."""

    def setUp(self) -> None:
        route = mock.Mock(resumable=True)
        self.forwarding = Forwarding(mock.Mock(), mock.Mock(pin=None, route=route))
        self.forwarding.pool = POOL
        self.upstreams = self.forwarding.forwarder.placement.upstreams = UpstreamList()
        self.trackers = Trackers()
        tracker = self.list_entry(make_entry("a", "v1"))
        request = mock.Mock(route=route)
        choice = Choice(tracker, None, None, 1)
        self.forwarding.attempt = Attempt(request, choice, mock.Mock(), None, mock.Mock())

    def list_entry(self, entry: UpstreamEntry) -> Tracker:
        """Apply an entry as a host does that reads it."""
        self.upstreams.put(entry)
        return self.trackers.get_or_create(self.upstreams.by_id[entry.id])

    def replace_upstream(self) -> None:
        """List a later process under the id of the chosen one, with another version."""
        self.list_entry(make_entry("a", "v2", born_ms=2))

    def test_first_event_pins_the_stream(self) -> None:
        self.forwarding._pin_to_attempt()
        self.replace_upstream()
        self.forwarding._pin_to_attempt()
        self.assertEqual(self.forwarding.request.pin, VersionPin(POOL, V1))

    def test_stream_of_a_replaced_process_is_not_resumed(self) -> None:
        """Its first event may come from the process of another version.

        The attempt keeps the tracker of the former one, so that only the list shows it.
        """
        self.replace_upstream()
        self.assertEqual(self.forwarding.attempt.choice.tracker.entry.software_version, V1)
        self.forwarding._pin_to_attempt()
        self.forwarding.splitter.last_id = "3"
        self.assertIsNone(self.forwarding.request.pin)
        may_retry = mock.patch.object(self.forwarding, "_may_retry", return_value=True)
        with may_retry, mock.patch.object(self.forwarding, "_attempt_once") as attempt:
            self.assertIs(self.forwarding._resume(BROKEN), BROKEN)
        attempt.assert_not_called()

    def test_process_whose_start_is_not_published_is_replaced_as_well(self) -> None:
        """Its tracker is kept, with the entry of the later process."""
        first = msgspec.structs.replace(make_entry("b", "v1"), born_ms=None)
        tracker = self.list_entry(first)
        choice = Choice(tracker, None, None, 1)
        self.forwarding.attempt = Attempt(mock.Mock(), choice, mock.Mock(), None, mock.Mock())
        self.list_entry(msgspec.structs.replace(first, software_version=SoftwareVersion("v2")))
        self.assertIs(self.trackers.by_id[first.id], tracker)
        self.forwarding._pin_to_attempt()
        self.assertIsNone(self.forwarding.request.pin)

    def test_entry_that_was_dropped_and_listed_anew_is_another_process(self) -> None:
        """The attempt keeps the record of the former one."""
        self.upstreams.drop(UpstreamId("a"))
        self.list_entry(make_entry("a", "v1", born_ms=2))
        self.forwarding._pin_to_attempt()
        self.assertIsNone(self.forwarding.request.pin)
        self.upstreams.drop(UpstreamId("a"))
        self.list_entry(make_entry("a", "v1"))
        self.forwarding._pin_to_attempt()
        self.assertEqual(self.forwarding.request.pin, VersionPin(POOL, V1))

    def test_pinned_stream_leaves_an_upstream_that_was_replaced_before_its_answer(self) -> None:
        self.forwarding.request.pin = VersionPin(POOL, V1)
        self.replace_upstream()
        exchange = self.forwarding.attempt.exchange = mock.Mock()
        failure = self.forwarding._await_first(mock.Mock())
        self.assertIs(failure.ran, Ran.UNKNOWN)
        exchange.read_some.assert_not_called()


if __name__ == "__main__":
    unittest.main()
