"""Tests that bounds which build on one another leave room for what a host hears by others."""

import unittest

from ruddersaddle_serving.context_stores import TRUST_S
from ruddersaddle_serving.kept_parts import FOLLOW_WAIT_S
from ruddersaddle_serving.neighbours import AGE_CHECK_S, ASK_PAUSE_S, STALE_S
from ruddersaddle_serving.part_relays import ASK_PAUSE_S as PARTS_ASK_PAUSE_S
from ruddersaddle_serving.store_followers import (
    CRASH_FALLBACK_S,
    CRASH_WAIT_S,
    FALLBACK_S,
    OPERATOR_WAIT_S,
)
from ruddersaddle_serving.upstream_lists import UP_TO_DATE_S

WAY_S = 0.1
"""Ways of a question and its answer, on a slowed host."""
READER_AGE_S = 2 * OPERATOR_WAIT_S + WAY_S
"""Oldest belief of a reader: the answer to a waiting question is dated from when it left, and it
counts until the next answer is here."""
HEARD_AGE_S = READER_AGE_S + ASK_PAUSE_S + AGE_CHECK_S
"""Oldest belief of a host that asks the reader."""


class BeliefAgesTest(unittest.TestCase):
    def test_store_is_not_asked_by_hosts_that_hear_of_others(self) -> None:
        self.assertGreater(FALLBACK_S, HEARD_AGE_S)

    def test_store_is_not_asked_for_crash_records_by_hosts_that_hear_of_others(self) -> None:
        heard_age_s = 2 * CRASH_WAIT_S + WAY_S + ASK_PAUSE_S + AGE_CHECK_S
        self.assertGreater(CRASH_FALLBACK_S, heard_age_s)

    def test_reader_that_the_store_answers_asks_no_other(self) -> None:
        self.assertGreater(STALE_S, READER_AGE_S)

    def test_list_of_upstreams_is_certain_on_hosts_that_hear_of_others(self) -> None:
        self.assertGreater(UP_TO_DATE_S, HEARD_AGE_S)

    def test_listings_are_trusted_by_hosts_that_hear_of_others(self) -> None:
        self.assertGreater(TRUST_S, 2 * FOLLOW_WAIT_S + WAY_S + PARTS_ASK_PAUSE_S)


if __name__ == "__main__":
    unittest.main()
