"""Tests that a stream goes on only at upstreams of the software version that began it."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base.failures import Code, Failure, Ran, Step
from ruddersaddle_base.ids import HallId, PoolId, SoftwareVersion, UpstreamId

from ruddersaddle_serving.forwarders import Forwarding
from ruddersaddle_serving.prompts import VersionPin
from ruddersaddle_serving.upstream_entries import UpstreamEntry
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


class FirstEventTest(unittest.TestCase):
    """Pins of streams to the process that brought their first event."""

    def setUp(self) -> None:
        route = mock.Mock(resumable=True)
        self.forwarding = Forwarding(mock.Mock(), mock.Mock(pin=None, route=route))
        self.forwarding.pool = POOL
        self.forwarding.attempt = mock.Mock(entry=make_entry("a", "v1"), has_same_upstream=True)

    def test_first_event_pins_the_stream(self) -> None:
        self.forwarding._pin_to_attempt()
        self.forwarding.attempt.entry = make_entry("a", "v2")
        self.forwarding._pin_to_attempt()
        self.assertEqual(self.forwarding.request.pin, VersionPin(POOL, V1))

    def test_stream_of_a_replaced_process_is_not_resumed(self) -> None:
        """Its first event may come from the process of another version."""
        self.forwarding.attempt.has_same_upstream = False
        self.forwarding._pin_to_attempt()
        self.forwarding.splitter.last_id = "3"
        self.assertIsNone(self.forwarding.request.pin)
        may_retry = mock.patch.object(self.forwarding, "_may_retry", return_value=True)
        with may_retry, mock.patch.object(self.forwarding, "_attempt_once") as attempt:
            self.assertIs(self.forwarding._resume(BROKEN), BROKEN)
        attempt.assert_not_called()

    def test_pinned_stream_leaves_an_upstream_that_was_replaced_before_its_answer(self) -> None:
        self.forwarding.request.pin = VersionPin(POOL, V1)
        self.forwarding.attempt.has_same_upstream = False
        failure = self.forwarding._await_first(mock.Mock())
        self.assertIs(failure.ran, Ran.UNKNOWN)
        self.forwarding.attempt.exchange.read_some.assert_not_called()


if __name__ == "__main__":
    unittest.main()
