"""Tests of the choice of an upstream."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base import clocks
from ruddersaddle_base.failures import Code, Failure, Ran
from ruddersaddle_base.ids import HallId, HostId, ModelId, PoolId, RequestId, UpstreamId

from ruddersaddle_serving.cached_parts import CachedParts
from ruddersaddle_serving.evacuations import Evacuation
from ruddersaddle_serving.hosts import HostRecord, Hosts
from ruddersaddle_serving.placements import (
    CANDIDATES_MAX,
    RETRY_SOON_S,
    Choice,
    Placement,
)
from ruddersaddle_serving.ports import ModelVersion, StorePosition
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, Part, PartId, Prompt
from ruddersaddle_serving.publications import Publications
from ruddersaddle_serving.routes import (
    Pool,
    PublishedConfiguration,
    Route,
    RouteKind,
    RouteName,
    Target,
)
from ruddersaddle_serving.self_reports import LimitUpdate
from ruddersaddle_serving.tests.fixed_clocks import FixedClockTest
from ruddersaddle_serving.trackers import TRIAL_PAUSE_S, Tracker, Trackers
from ruddersaddle_serving.upstream_entries import Heartbeat, UpstreamEntry
from ruddersaddle_serving.upstream_lists import FOLLOWED_AGE_MAX_S, UpstreamList
from ruddersaddle_serving.upstream_quotas import JOIN_GRACE_S, UpstreamQuotas

POOL = PoolId("p")
MODEL = ModelId("m")
CAPACITY = 10_000
ROUTE = Route(RouteName("r"), "h", "/", RouteKind.STREAM, 9.0, 0.4, (Target(POOL),), priority=1)


def make_request(tokens: int, as_median: bool = False) -> CallerRequest:
    """Return a prompt; `as_median` sets how admission judges it, which production code draws."""
    parts = (Part(PartId("shared"), tokens - 10), Part(PartId("own"), 10))
    head = CallerHead(RequestId("q"), None, None, Prompt(MODEL, parts, tokens, 0), None, ())
    request = CallerRequest(head, "POST", "/", b"", ROUTE, None, clocks.now_s())
    request.is_judged_as_median = as_median
    return request


class PlacementFixture(FixedClockTest):
    """A placement and two engines of one pool."""

    def setUp(self) -> None:
        super().setUp()
        self.publications = Publications()
        self.upstreams = UpstreamList()
        self.trackers = Trackers()
        cached_parts = CachedParts(mock.Mock())
        self.hosts = Hosts(HostId("host"), HostRecord("10.0.0.9:1", HallId("h")), [])
        self.placement = Placement(
            HallId("h"),
            12.0,
            self.publications,
            self.upstreams,
            self.trackers,
            cached_parts,
            UpstreamQuotas(self.hosts, self.publications, self.upstreams),
        )
        self.first, self.second = (self.add(name) for name in ("e-1", "e-2"))
        self.request = make_request(1000)
        self.confirmations = 0

    def add(self, name: str) -> Tracker:
        entry = UpstreamEntry(
            UpstreamId(name), POOL, "10.0.0.1:80", HallId("h"), 8, False, {MODEL: 1}
        )
        self.upstreams.put(entry)
        tracker = self.trackers.get_or_create(entry)
        tracker.memory.capacity_tokens = CAPACITY
        return tracker

    def fill(self, tracker: Tracker, tokens: int) -> None:
        tracker.load.add(("host", len(tracker.load.by_request_key)), 1, 0.0, tokens)

    def choose(self, tokens: int = 1000, may_refuse: bool = False) -> Choice | Failure:
        return self.placement.choose(make_request(tokens), POOL, set(), may_refuse)


class FailingBrittleUpstreamTest(PlacementFixture):
    """Guards against requests that are lost at upstreams that fail while others are only full."""

    def setUp(self) -> None:
        super().setUp()
        self.hosts.replace({HostId("host"): HostRecord("10.0.0.9:1", HallId("h"))})
        self.now += JOIN_GRACE_S + 0.1
        for _ in range(9):
            self.first.record_outcome(failed=True)
        self.second.in_flight = 8
        self.plain = msgspec.structs.replace(self.request.head, prompt=None)

    def choose_by_kind(self) -> list[Choice | Failure]:
        plain = CallerRequest(self.plain, "GET", "/", b"", ROUTE, None, clocks.now_s())
        return [
            self.placement.choose(plain, POOL, set()),
            self.placement.choose(make_request(10), POOL, set()),
        ]

    def test_request_waits_for_room_at_another(self) -> None:
        self.trackers.brittle_pools.record_brittle(POOL, 4.0)
        for result in self.choose_by_kind():
            self.assertEqual(result.code, Code.NO_UPSTREAM)
            self.assertIs(result.ran, Ran.NOT_RUN)
            self.assertEqual(
                result.detail, "2 upstreams, 1 brittle and full, 1 brittle and failing"
            )

    def test_single_requests_find_out_when_it_is_back(self) -> None:
        self.trackers.brittle_pools.record_brittle(POOL, 4.0)
        self.now += TRIAL_PAUSE_S + 0.01
        for result in self.choose_by_kind():
            self.assertIs(result.tracker, self.first)
        self.first.in_flight = 1
        for result in self.choose_by_kind():
            self.assertEqual(result.code, Code.NO_UPSTREAM)

    def test_it_is_tried_if_all_fail(self) -> None:
        self.trackers.brittle_pools.record_brittle(POOL, 4.0)
        for _ in range(9):
            self.second.record_outcome(failed=True)
        for result in self.choose_by_kind():
            self.assertIs(result.tracker, self.first)

    def test_it_gets_requests_again_once_its_failures_are_past(self) -> None:
        self.now += 30.0
        self.trackers.brittle_pools.record_brittle(POOL, 4.0)
        for result in self.choose_by_kind():
            self.assertIs(result.tracker, self.first)

    def test_upstreams_that_are_not_brittle_are_never_full(self) -> None:
        for result in self.choose_by_kind():
            self.assertIs(result.tracker, self.second)


class PlacementTest(PlacementFixture):
    def test_the_emptier_engine_is_chosen(self) -> None:
        self.fill(self.first, CAPACITY)
        self.assertIs(self.choose().tracker, self.second)
        self.first.load.end(("host", 0))
        self.fill(self.second, CAPACITY)
        self.assertIs(self.choose().tracker, self.first)

    def test_engine_that_caches_the_prompt_is_chosen(self) -> None:
        for tracker in (self.first, self.second):
            parts = make_request(9000).head.prompt.shared_parts
            tracker.memory.record_use("m/1", parts)
            self.assertIs(self.choose(9000).tracker, tracker)
            tracker.memory.clear()

    def outcomes_while_engines_fill(self, *requests: CallerRequest) -> list[tuple[bool, ...]]:
        """Return which of the requests are refused at each step of filling both engines."""
        outcomes = []
        for tenths in range(5, 21):
            for tracker in (self.first, self.second):
                self.fill(tracker, CAPACITY // 10 if tenths > 5 else CAPACITY // 2)
            outcomes.append(tuple(self.is_refused(each) for each in requests))
        return outcomes

    def is_refused(self, request: CallerRequest) -> bool:
        result = self.placement.choose(request, POOL, set(), may_refuse=True)
        return isinstance(result, Failure)

    def test_large_request_that_is_judged_by_its_own_size_is_refused_before_a_small_one(
        self,
    ) -> None:
        large, small = (make_request(tokens) for tokens in (2000, 50))
        outcomes = self.outcomes_while_engines_fill(large, small)
        admitted, mixed, refused = (False, False), (True, False), (True, True)
        self.assertEqual(outcomes, sorted(outcomes, key=[admitted, mixed, refused].index))
        self.assertGreaterEqual(outcomes.count(mixed), 2)
        self.assertIn(admitted, outcomes)
        large = self.choose(2000, may_refuse=True)
        self.assertEqual(large.code, Code.OVERLOADED)
        self.assertGreater(large.retry_after_s, 0)

    def test_large_request_that_is_judged_as_median_is_refused_where_a_common_one_is(self) -> None:
        for _ in range(9):
            self.choose(400, may_refuse=True)
        large, common = make_request(2000, as_median=True), make_request(400)
        outcomes = self.outcomes_while_engines_fill(large, common)
        self.assertEqual(set(outcomes), {(False, False), (True, True)})

    def test_small_request_that_is_judged_as_median_is_admitted_as_by_its_own_size(self) -> None:
        for _ in range(9):
            self.choose(400, may_refuse=True)
        as_median, by_own_size = (make_request(50, as_median=each) for each in (True, False))
        outcomes = self.outcomes_while_engines_fill(as_median, by_own_size)
        self.assertEqual(set(outcomes), {(False, False), (True, True)})

    def test_prompt_that_fits_no_engine_is_refused_at_once_without_a_retry_after(self) -> None:
        for may_refuse in (True, False):
            refusal = self.choose(CAPACITY + 1, may_refuse)
            self.assertEqual(refusal.code, Code.FITS_NO_ENGINE)
            self.assertIn(str(CAPACITY + 1), refusal.detail)
        self.second.memory.capacity_tokens = 2 * CAPACITY
        self.assertIs(self.choose(CAPACITY + 1).tracker, self.second)

    def test_prompt_is_not_refused_for_its_size_where_engines_memory_is_not_known(self) -> None:
        for tracker in (self.first, self.second):
            tracker.memory.capacity_tokens = 0
        self.assertIsInstance(self.choose(CAPACITY + 1), Choice)

    def test_prompt_whose_prefill_exceeds_its_target_is_admitted_where_nothing_waits(
        self,
    ) -> None:
        for tracker in (self.first, self.second):
            tracker.load.service_time.prefill_factor = 4.0
        choice = self.choose(9000, may_refuse=True)
        self.assertIsInstance(choice, Choice)
        self.assertGreater(choice.assignment.prefill_s * 4.0, ROUTE.target_latency_s)

    def test_retries_of_refused_callers_are_spread_out(self) -> None:
        for tracker in (self.first, self.second):
            self.fill(tracker, CAPACITY * 3)
        times = {self.choose(2000, may_refuse=True).retry_after_s for _ in range(20)}
        self.assertEqual(len(times), 20)

    def test_engine_with_a_slow_observed_prefill_is_avoided(self) -> None:
        self.assertEqual(self.choose(5000).wait_s, 0.0)
        for slow, other in ((self.first, self.second), (self.second, self.first)):
            slow.load.service_time.prefill_factor, other.load.service_time.prefill_factor = 3.0, 1.0
            self.assertIs(self.choose(5000).tracker, other)

    def test_admission_follows_observed_service_times(self) -> None:
        for tracker in (self.first, self.second):
            tracker.load.add(("host", 1), 1, 0.1, 100)
        self.assertIsInstance(self.choose(200, may_refuse=True), Choice)
        for tracker in (self.first, self.second):
            tracker.load.service_time.prefill_factor = 4.0
        self.assertIsInstance(self.choose(200, may_refuse=True), Failure)

    def test_retried_request_is_sent_however_long_it_would_wait(self) -> None:
        for tracker in (self.first, self.second):
            self.fill(tracker, CAPACITY * 2)
        self.assertIsInstance(self.choose(2000, may_refuse=True), Failure)
        self.assertIsInstance(self.choose(2000), Choice)

    def test_admitted_request_is_sent_at_once_though_memory_is_full(self) -> None:
        """Holding it back would make it late: the engine admits it as soon as a run ends."""
        for tracker in (self.first, self.second):
            self.fill(tracker, round(CAPACITY * 0.95))
            tracker.load.memory_run_s = 0.1
        self.assertIsInstance(self.choose(500, may_refuse=True), Choice)

    def test_old_weights_are_avoided_before_their_bound(self) -> None:
        self.publications.confirm(self.now, StorePosition(0, 1))
        self.publications.apply(ModelVersion(MODEL, 2))
        self.first.record_version(MODEL, 2)
        self.now += 9.0
        self.assertIsInstance(self.choose(), Choice)
        self.now += 1.0
        for _ in range(3):
            self.assertEqual((self.choose().tracker, self.choose().version), (self.first, 2))

    def test_engine_that_is_back_with_replaced_weights_fetches_parts_that_are_being_freed(
        self,
    ) -> None:
        self.follow(3.0)
        self.assertTrue(self.placement.may_fetch(MODEL, self.first))
        self.publications.apply(ModelVersion(MODEL, 2))
        self.assertTrue(self.placement.may_fetch(MODEL, self.first))
        self.follow(1.0)
        self.upstreams.drop(self.first.id)
        self.upstreams.put(self.first.entry)
        self.assertFalse(self.placement.may_fetch(MODEL, self.first))
        self.assertTrue(self.placement.may_fetch(MODEL, self.second))
        store = mock.Mock(**{"transfer_s.return_value": 0.01, "spec.address": "10.0.0.8:1"})
        request = make_request(1000)
        held = [store] * len(request.head.prompt.shared_parts)
        with mock.patch.object(self.placement.cached_parts, "find_holders", return_value=held):
            choice = self.placement.choose(request, POOL, {self.second.id})
        self.assertIs(choice.tracker, self.first)
        self.assertFalse(any(choice.transfer.fetch_from))
        self.first.record_version(MODEL, 2)
        self.assertTrue(self.placement.may_fetch(MODEL, self.first))

    def follow(self, seconds: float) -> None:
        """Confirm the lists each half second."""
        for _ in range(int(seconds * 2)):
            self.now += 0.5
            self.confirmations += 1
            self.publications.confirm(self.now, StorePosition(0, self.confirmations))
            self.upstreams.confirm(self.now)

    def test_host_that_may_have_missed_an_absence_has_replaced_weights_fetched(self) -> None:
        """It was cut off when newer weights were named; its list kept the engine all the time."""
        self.follow(3.0)
        self.now += 8.0
        self.publications.apply(ModelVersion(MODEL, 2))
        self.follow(3.0)
        self.assertFalse(self.placement.may_fetch(MODEL, self.first))
        self.first.record_version(MODEL, 2)
        self.assertTrue(self.placement.may_fetch(MODEL, self.first))

    def test_host_whose_list_is_old_has_replaced_weights_fetched(self) -> None:
        self.follow(3.0)
        self.publications.apply(ModelVersion(MODEL, 2))
        self.now += FOLLOWED_AGE_MAX_S
        self.assertTrue(self.placement.may_fetch(MODEL, self.first))
        self.now += 0.1
        self.assertFalse(self.placement.may_fetch(MODEL, self.first))

    def test_weights_in_use_elsewhere_show_that_others_are_replaced(self) -> None:
        """A host that was cut off read the list of upstreams before the named weights."""
        self.follow(3.0)
        self.upstreams.put(msgspec.structs.replace(self.second.entry, version_by_model={MODEL: 2}))
        self.assertFalse(self.placement.may_fetch(MODEL, self.first))
        self.second.record_version(MODEL, 2)
        self.assertTrue(self.placement.may_fetch(MODEL, self.second))

    def test_later_instance_under_an_id_fetches_parts_of_replaced_weights(self) -> None:
        born = msgspec.structs.replace(self.first.entry, born_ms=1)
        self.upstreams.put(born)
        self.follow(3.0)
        self.publications.apply(ModelVersion(MODEL, 2))
        self.now += 0.5
        self.upstreams.put(msgspec.structs.replace(born, born_ms=2))
        tracker = self.trackers.get_or_create(self.upstreams.by_id[born.id])
        self.assertFalse(self.placement.may_fetch(MODEL, tracker))

    def test_engine_that_is_back_with_the_current_weights_fetches_as_before(self) -> None:
        self.follow(3.0)
        self.publications.apply(ModelVersion(MODEL, 2))
        self.upstreams.drop(self.first.id)
        self.now += 8.0
        self.upstreams.put(msgspec.structs.replace(self.first.entry, version_by_model={MODEL: 2}))
        tracker = self.trackers.get_or_create(self.upstreams.by_id[self.first.id])
        self.assertTrue(self.placement.may_fetch(MODEL, tracker))

    def test_bound_counts_from_the_first_newer_weights(self) -> None:
        """A second version published 4 s later must not extend the use of the oldest weights."""
        self.publications.confirm(self.now, StorePosition(0, 1))
        self.publications.apply(ModelVersion(MODEL, 2))
        self.now += 4.0
        self.publications.apply(ModelVersion(MODEL, 3))
        self.first.record_version(MODEL, 2)
        self.now += 6.0
        self.fill(self.first, CAPACITY)
        self.assertEqual((self.choose().tracker, self.choose().version), (self.first, 2))
        self.now += 4.0
        self.assertEqual(self.choose().code, Code.OTHER_VERSION)

    def test_engine_that_loads_weights_is_chosen_only_as_a_last_resort(self) -> None:
        self.first.avoided_until = self.now + 1.0
        self.assertIs(self.choose().tracker, self.second)
        self.second.avoided_until = self.now + 1.0
        self.assertIsInstance(self.choose(), Choice)

    def test_engine_that_refuses_connections_is_avoided(self) -> None:
        self.first.record_connect_failure()
        self.assertIs(self.choose().tracker, self.second)
        self.now += 0.6
        self.fill(self.second, CAPACITY)
        self.assertIs(self.choose().tracker, self.first)

    def test_few_of_many_engines_are_compared(self) -> None:
        for number in range(3, 30):
            self.add(f"e-{number}")
        chosen = set()
        for _ in range(20):
            tracker = self.choose().tracker
            chosen.add(tracker.id)
            tracker.load.add(("host", len(tracker.load.by_request_key)), 1, 0.01, 10)
        self.assertEqual(len(chosen), CANDIDATES_MAX)

    def test_part_in_high_demand_goes_beyond_its_candidates(self) -> None:
        for number in range(3, 30):
            self.add(f"e-{number}")
        for _ in range(25):
            choice = self.choose(may_refuse=True)
            self.assertIsInstance(choice, Choice)
            self.fill(choice.tracker, CAPACITY * 2)
        loaded = [each for each in self.trackers.by_id.values() if each.load.by_request_key]
        self.assertGreater(len(loaded), 20)


class AvailableUpstreamsTest(PlacementFixture):
    """Which upstreams are available at all: evacuated halls, cold starts, limits and backoff."""

    def setUp(self) -> None:
        super().setUp()
        self.publications.apply(PublishedConfiguration(1, pools=(Pool(POOL, None, 3.0, 2.0),)))
        self.hosts.replace({})
        self.now += JOIN_GRACE_S

    def turn_cold(self, tracker: Tracker) -> None:
        self.upstreams.cold.apply(tracker.entry.instance, Heartbeat(1, 3.0))

    def evacuate(self, hall: str) -> None:
        self.publications.evacuations.apply(Evacuation(HallId(hall), in_force=True))

    def test_cold_engine_is_chosen_until_this_host_has_used_its_quota(self) -> None:
        self.turn_cold(self.first)
        self.fill(self.second, CAPACITY)
        for _ in range(2):
            self.assertIs(self.choose().tracker, self.first)
            self.placement.quotas.record_sent(self.first)
        self.assertIs(self.choose().tracker, self.second)

    def test_all_cold_and_no_quota_left_is_refused_and_has_not_run(self) -> None:
        for tracker in (self.first, self.second):
            self.turn_cold(tracker)
            for _ in range(2):
                self.placement.quotas.record_sent(tracker)
        refusal = self.choose()
        self.assertEqual((refusal.code, refusal.ran), (Code.NO_UPSTREAM, Ran.NOT_RUN))
        self.assertIn("2 cold", refusal.detail)
        self.assertGreater(refusal.retry_after_s, 0)

    def test_engine_at_its_limit_is_avoided_and_its_last_request_held_back(self) -> None:
        self.fill(self.second, CAPACITY)
        self.first.reported.rate_limit.apply(LimitUpdate(1.0, False, RequestId("q")))
        self.assertIs(self.choose().tracker, self.first)
        self.placement.quotas.record_sent(self.first)
        self.assertIs(self.choose().tracker, self.second)
        self.assertIn("limited", self.placement.check_available(self.request, self.first).detail)
        for tracker in (self.first, self.second):
            tracker.reported.rate_limit.apply(LimitUpdate(0.0, False, RequestId("q")))
            self.placement.quotas.record_sent(tracker)
        self.assertEqual("2 upstreams, 2 at their limit", self.choose().detail)

    def test_engine_in_backoff_is_avoided_and_a_refusal_has_the_remaining_time(self) -> None:
        self.first.reported.back_off(3.0)
        self.fill(self.second, CAPACITY)
        self.assertIs(self.choose().tracker, self.second)
        self.assertIn("backoff", self.placement.check_available(self.request, self.first).detail)
        self.second.reported.back_off(5.0)
        self.now += 1.0
        refusal = self.choose()
        self.assertEqual((refusal.code, refusal.ran), (Code.NO_UPSTREAM, Ran.NOT_RUN))
        self.assertEqual(refusal.detail, "2 upstreams, 2 backing off")
        self.assertGreaterEqual(refusal.retry_after_s, 2.0)
        self.assertLessEqual(refusal.retry_after_s, 2.0 + RETRY_SOON_S)
        self.now += 2.0
        self.assertIs(self.choose().tracker, self.first)

    def test_upstreams_of_an_evacuated_hall_are_avoided(self) -> None:
        entry = msgspec.structs.replace(self.first.entry, id=UpstreamId("e-3"), hall=HallId("g"))
        self.upstreams.put(entry)
        self.evacuate("h")
        self.assertEqual(self.choose().tracker.id, entry.id)
        self.evacuate("g")
        refusal = self.choose()
        self.assertEqual((refusal.code, refusal.ran), (Code.EVACUATED, Ran.NOT_RUN))
        self.assertGreater(refusal.retry_after_s, 0)

    def test_request_is_sent_to_an_upstream_whose_entry_went_as_it_connected(self) -> None:
        self.upstreams.drop(self.first.id)
        failure = self.placement.check_available(self.request, self.first)
        self.assertIn("gone", failure.detail)
        self.assertEqual(failure.ran, Ran.NOT_RUN)

    def test_request_is_sent_to_an_instance_that_another_one_replaced(self) -> None:
        later = msgspec.structs.replace(self.first.entry, born_ms=5)
        self.upstreams.put(later)
        self.assertIn("gone", self.placement.check_available(self.request, self.first).detail)

    def test_availability_is_checked_again_when_a_request_is_sent(self) -> None:
        self.assertIsNone(self.placement.check_available(self.request, self.first))
        self.turn_cold(self.first)
        for _ in range(2):
            self.placement.quotas.record_sent(self.first)
        self.assertEqual(self.placement.check_available(self.request, self.first).ran, Ran.NOT_RUN)
        self.evacuate("h")
        self.assertIn("evacuated", self.placement.check_available(self.request, self.second).detail)
        self.upstreams.record_leaving(self.second.entry.instance, RequestId("q"), "host")
        self.assertIn("leaves", self.placement.check_available(self.request, self.second).detail)

    def test_rules_select_upstreams_and_are_checked_again_when_a_request_is_sent(self) -> None:
        rule = mock.Mock()
        rule.select.side_effect = lambda request, entries, excluded: [self.second.entry]
        rule.check.return_value = None
        self.placement.rules.append(rule)
        self.fill(self.second, CAPACITY)
        self.assertIs(self.choose().tracker, self.second)
        self.assertIsNone(self.placement.check_available(self.request, self.second))
        rule.check.return_value = "since it was chosen, its version was rolled back"
        failure = self.placement.check_available(self.request, self.second)
        self.assertEqual((failure.detail, failure.ran), (rule.check.return_value, Ran.NOT_RUN))
        rule.select.side_effect = lambda request, entries, excluded: failure
        self.assertIs(self.choose(), failure)


if __name__ == "__main__":
    unittest.main()
