"""The search of every interleaving, for the rule in use and for those that were weighed."""

import unittest

from ruddersaddle_state.claims import Rule

from ruddersaddle_standins.claim_models import ClaimSearch, TicketRule, Told, search_tickets

TRIES = 2
LOG_MAX = 5


class ClaimModelTest(unittest.TestCase):
    def search(self, rule: Rule, told: Told):
        return ClaimSearch(rule, told, TRIES, LOG_MAX).run()

    def test_the_rule_in_use_holds_and_lets_a_retry_run(self):
        verdict = self.search(Rule.RETRY_TOKEN, Told.AFTER_VOID)
        self.assertEqual(verdict.broken, "")
        self.assertTrue(verdict.retry_runs)

    def test_the_rules_that_were_weighed_fail_or_burn_the_key(self):
        self.assertEqual(self.search(Rule.FIRST, Told.AFTER_VOID).broken, "ran after not_run")
        self.assertEqual(self.search(Rule.READ, Told.AFTER_VOID).broken, "ran after not_run")
        final = self.search(Rule.FINAL, Told.AFTER_VOID)
        self.assertEqual((final.broken, final.retry_runs), ("", False))

    def test_not_run_said_before_the_void_is_read_back_fails_under_every_rule(self):
        for rule in Rule:
            with self.subTest(rule=rule):
                self.assertNotEqual(self.search(rule, Told.AT_ONCE).broken, "")

    def test_a_ticket_that_opens_again_runs_after_not_run_and_one_that_closes_holds(self):
        self.assertEqual(search_tickets(TicketRule.REOPENS, 3).broken, "ran after not_run")
        self.assertEqual(search_tickets(TicketRule.CLOSES, 3).broken, "")


if __name__ == "__main__":
    unittest.main()
