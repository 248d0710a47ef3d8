"""Checks the claim rule in use and its rejected alternatives against every interleaving."""

import unittest

from ruddersaddle_state.claims import Rule

from ruddersaddle_standins.claim_models import ClaimSearch, NotRunTiming, TicketRule, search_tickets

ATTEMPTS = 2
LOG_MAX = 5


class ClaimModelTest(unittest.TestCase):
    def search(self, rule: Rule, timing: NotRunTiming):
        return ClaimSearch(rule, timing, ATTEMPTS, LOG_MAX).run()

    def test_the_rule_in_use_holds_and_lets_a_retry_run(self):
        result = self.search(Rule.RETRY_TOKEN, NotRunTiming.AFTER_VOID)
        self.assertEqual(result.violation, "")
        self.assertTrue(result.retry_runs)

    def test_rejected_rules_fail_or_burn_the_key(self):
        self.assertEqual(
            self.search(Rule.FIRST, NotRunTiming.AFTER_VOID).violation, "ran after not_run"
        )
        self.assertEqual(
            self.search(Rule.READ, NotRunTiming.AFTER_VOID).violation, "ran after not_run"
        )
        final = self.search(Rule.FINAL, NotRunTiming.AFTER_VOID)
        self.assertEqual((final.violation, final.retry_runs), ("", False))

    def test_not_run_reported_before_the_void_is_read_back_fails_under_every_rule(self):
        for rule in Rule:
            with self.subTest(rule=rule):
                self.assertNotEqual(self.search(rule, NotRunTiming.AT_ONCE).violation, "")

    def test_reopened_ticket_runs_after_not_run_and_closed_one_does_not(self):
        self.assertEqual(search_tickets(TicketRule.REOPENS, 3).violation, "ran after not_run")
        self.assertEqual(search_tickets(TicketRule.CLOSES, 3).violation, "")


if __name__ == "__main__":
    unittest.main()
