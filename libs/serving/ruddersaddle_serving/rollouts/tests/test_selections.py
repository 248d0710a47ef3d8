"""Tests of the eligibility rule of rollouts and of saving parts, and that neither exists if off."""

import unittest
from unittest import mock

import msgspec
from ruddersaddle_base.codecs import encode_msgpack
from ruddersaddle_base.ids import UpstreamId

from ruddersaddle_serving.neighbour_messages import StateUpdate
from ruddersaddle_serving.prompts import CallerHead, CallerRequest, VersionPin
from ruddersaddle_serving.rollouts import selections
from ruddersaddle_serving.rollouts.messages import CloseOld
from ruddersaddle_serving.rollouts.orders import ExposureLimits, RolloutState, Stop
from ruddersaddle_serving.rollouts.tests.host_worlds import NEW, OLD, POOL, ROUTES, HostWorld
from ruddersaddle_serving.rollouts.wirings import connect_rollouts


class SelectionTest(HostWorld):
    hosts_per_hall = 1

    def setUp(self) -> None:
        super().setUp()
        self.order()
        self.run_for(3.0)
        self.selection = self.hosts[0].participant.selection
        self.entry_list = self.hosts[0].upstreams.of_pool(POOL)
        head = CallerHead("q", None, None, None, None, ())
        self.request = CallerRequest(head, "GET", "/", b"", ROUTES[0], None, self.now)

    def draw(self, excluded: set[UpstreamId] = frozenset()) -> set[str]:
        """Return the versions selected for a request that is drawn for the new one if possible."""
        with mock.patch("random.random", return_value=0.0):
            selected = self.selection.select(self.request, self.entry_list, set(excluded))
        return {each.software_version for each in selected}

    def new_entry(self):
        return next(each for each in self.entry_list if each.software_version == NEW)

    def test_drawn_request_goes_to_the_new_version_and_a_retry_to_the_old(self) -> None:
        self.assertEqual(self.draw(), {NEW})
        self.assertEqual(self.draw({self.new_entry().id}), {OLD})

    def test_stream_that_goes_on_isnt_drawn_and_may_go_to_a_stopped_version(self) -> None:
        """No other upstream can go on with it."""
        self.request.pin = VersionPin(POOL, NEW)
        host = self.hosts[0]
        host.participant.book.stop(host.rollout, Stop("it fails", "a0"))
        new = [each for each in self.entry_list if each.software_version == NEW]
        self.assertEqual(self.selection.select(self.request, new, set()), new)
        self.assertIsNone(self.selection.check(self.request, new[0]))
        self.assertFalse(self.selection.returns_to_old(self.request))
        self.request.pin = None
        self.assertIn("it fails", self.selection.check(self.request, new[0]))

    def test_refused_sample_goes_to_the_old_version(self) -> None:
        """Requests were refused because the few sampled upstreams were full."""
        self.draw()
        self.assertTrue(self.selection.returns_to_old(self.request))
        self.assertEqual(self.draw(), {OLD})
        self.assertFalse(self.selection.returns_to_old(self.request))

    def test_sample_is_not_sent_after_a_stop_or_with_old_totals(self) -> None:
        self.draw()
        entry = self.new_entry()
        self.assertIsNone(self.selection.check(self.request, entry))
        self.now += 2.0
        self.assertIn("old", self.selection.check(self.request, entry))
        host = self.hosts[0]
        host.participant.book.stop(host.rollout, Stop("it fails", "a0"))
        self.assertIn("it fails", self.selection.check(self.request, entry))

    def test_request_that_was_connecting_is_not_sent_to_an_old_upstream_that_was_left(self) -> None:
        """The host had confirmed that it sends nothing more there."""
        host = self.hosts[0]
        old = next(each for each in self.entry_list if each.software_version == OLD)
        self.assertIsNone(self.selection.check(self.request, old))
        host.participant.close_old(CloseOld(host.rollout.id))
        self.assertIsNotNone(self.selection.check(self.request, old))

    def test_host_that_left_the_old_upstreams_goes_back_after_a_stop(self) -> None:
        """All requests were refused until the confirmation expired."""
        host = self.hosts[0]
        host.participant.close_old(CloseOld(host.rollout.id))
        self.assertEqual(self.draw(), {NEW})
        host.participant.book.stop(host.rollout, Stop("it fails", "a0"))
        self.assertIsNotNone(self.serve(host, ROUTES[0]))
        self.assertEqual(self.refused, 0)

    def test_host_that_left_the_old_upstreams_uses_all_trusted_new_ones(self) -> None:
        """All traffic went to the two sampled upstreams until the host's next step."""
        host = self.hosts[0]
        plan = host.participant.plans.plan_of(host.rollout)
        self.assertEqual(len(plan.chosen), 2)
        host.participant.close_old(CloseOld(host.rollout.id))
        selected = self.selection.select(self.request, self.entry_list, set())
        self.assertEqual(len(selected), 3)
        plan.assessment = msgspec.structs.replace(
            plan.assessment, suspects=frozenset({self.new_entry().id})
        )
        selected = self.selection.select(self.request, self.entry_list, set())
        self.assertEqual(len(selected), 2)

    def test_retry_goes_to_a_new_upstream_if_no_old_one_is_usable(self) -> None:
        """Requests that tried a dead old upstream first were refused."""
        old = next(each for each in self.entry_list if each.software_version == OLD)
        with mock.patch("random.random", return_value=0.99):
            selected = self.selection.select(self.request, self.entry_list, {old.id})
            self.assertEqual({each.software_version for each in selected}, {OLD})
            plans = self.hosts[0].participant.plans
            plans.is_usable = lambda entry: entry.software_version == NEW
            selected = self.selection.select(self.request, self.entry_list, {old.id})
        self.assertEqual({each.software_version for each in selected}, {NEW})

    def test_host_that_left_the_old_upstreams_uses_them_if_there_are_no_new_ones(self) -> None:
        host = self.hosts[0]
        host.participant.close_old(CloseOld(host.rollout.id))
        self.drop_entries(NEW)
        self.assertIsNotNone(self.serve(host, ROUTES[0]))

    def test_request_is_not_sent_to_a_version_that_was_superseded(self) -> None:
        self.draw()
        self.order("v3")
        self.assertIn("superseded", self.selection.check(self.request, self.new_entry()))

    def test_unproven_version_saves_no_parts_until_it_is_completed(self) -> None:
        """Parts that a bad version computed would be fetched by the old one's engines."""
        may_save = self.hosts[0].participant.may_save_parts
        old = next(each for each in self.entry_list if each.software_version == OLD)
        self.assertEqual((may_save(old), may_save(self.new_entry())), (True, False))
        self.run_for(10.0)
        self.assertTrue(may_save(self.new_entry()))


class DecidedTest(HostWorld):
    """Each request took 50 to 90 us longer for good after a pool's first order."""

    def select(self, state: RolloutState) -> tuple[list, list]:
        """Return the entries of the pool and those selected, long after a decision."""
        self.order()
        host = self.hosts[0]
        book, selection = host.participant.book, host.participant.selection
        book.decide(host.rollout, state, "for the test")
        self.now += 100.0
        entries = host.upstreams.of_pool(POOL)
        with mock.patch(f"{selections.__name__}.SplitEntries") as split:
            selected = selection.select(mock.Mock(pin=None), entries, set())
        split.assert_not_called()
        return entries, selected

    def test_entries_are_not_filtered_long_after_a_completion(self) -> None:
        entries, selected = self.select(RolloutState.COMPLETED)
        self.assertIs(selected, entries)

    def test_only_old_entries_are_selected_after_a_rollback(self) -> None:
        _, selected = self.select(RolloutState.ROLLED_BACK)
        self.assertEqual([each.software_version for each in selected], [OLD] * 3)


class StartedHostTest(HostWorld):
    def test_host_that_starts_long_after_a_rollback_serves_an_ordinary_release(self) -> None:
        """It took the decision for a recent one, and refused all requests for a minute."""
        self.order()
        book = self.hosts[0].participant.book
        book.decide(self.hosts[0].rollout, RolloutState.ROLLED_BACK, "for the test")
        self.now += 30.0
        started = self.start_host("a9")
        started.participant.book.apply_shared(book.share())
        self.drop_entries(OLD)
        self.assertIsNone(self.serve(started, ROUTES[0]))
        self.now += 40.0
        self.assertIsNotNone(self.serve(started, ROUTES[0]))


class SwitchedOffTest(unittest.TestCase):
    def test_nothing_is_connected_without_exposure(self) -> None:
        forwarder, neighbours = mock.Mock(), mock.Mock()
        with mock.patch("eventlet.spawn") as spawn:
            limits = ExposureLimits(0.0, 50.0, 5.0)
            connected = connect_rollouts(limits, "p", neighbours, mock.Mock(), forwarder, None)
        self.assertIsNone(connected)
        spawn.assert_not_called()
        self.assertEqual((forwarder.mock_calls, neighbours.mock_calls), ([], []))

    def test_state_update_has_the_same_bytes_as_without_the_field(self) -> None:
        update = StateUpdate(0.0, 0, (), None, (), 0, 0.0, None)
        fields = msgspec.msgpack.decode(encode_msgpack(update))
        self.assertNotIn("rollouts", fields)


if __name__ == "__main__":
    unittest.main()
