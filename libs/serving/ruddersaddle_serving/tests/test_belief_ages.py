"""Tests that dependent time bounds allow for the age of what a host receives through others."""

import unittest

from ruddersaddle_serving.cached_parts import LONG_POLL_S
from ruddersaddle_serving.context_stores import LISTING_TRUST_S
from ruddersaddle_serving.neighbours import AGE_CHECK_S, ASK_PAUSE_S, STALE_S
from ruddersaddle_serving.part_relays import ASK_PAUSE_S as PARTS_ASK_PAUSE_S
from ruddersaddle_serving.store_followers import (
    CRASH_FALLBACK_S,
    CRASH_WAIT_S,
    FALLBACK_S,
    OPERATOR_WAIT_S,
)
from ruddersaddle_serving.upstream_lists import UP_TO_DATE_S

ROUND_TRIP_S = 0.1
"""Round trip of a request to another host, on a slow host."""
READER_AGE_S = 2 * OPERATOR_WAIT_S + ROUND_TRIP_S
"""Maximum age of a reader's view: the answer to a long poll is dated from when the poll was sent,
and it counts until the next answer arrives."""
RECEIVED_AGE_S = READER_AGE_S + ASK_PAUSE_S + AGE_CHECK_S
"""Maximum age of the view of a host that asks the reader."""


class ViewAgesTest(unittest.TestCase):
    def test_hosts_that_receive_from_others_do_not_ask_the_store(self) -> None:
        self.assertGreater(FALLBACK_S, RECEIVED_AGE_S)

    def test_hosts_that_receive_from_others_do_not_ask_the_store_for_crash_records(self) -> None:
        received_age_s = 2 * CRASH_WAIT_S + ROUND_TRIP_S + ASK_PAUSE_S + AGE_CHECK_S
        self.assertGreater(CRASH_FALLBACK_S, received_age_s)

    def test_reader_that_the_store_answers_asks_no_other_host(self) -> None:
        self.assertGreater(STALE_S, READER_AGE_S)

    def test_list_of_upstreams_is_certain_on_hosts_that_receive_from_others(self) -> None:
        self.assertGreater(UP_TO_DATE_S, RECEIVED_AGE_S)

    def test_listings_are_trusted_by_hosts_that_receive_from_others(self) -> None:
        self.assertGreater(LISTING_TRUST_S, 2 * LONG_POLL_S + ROUND_TRIP_S + PARTS_ASK_PAUSE_S)


if __name__ == "__main__":
    unittest.main()
