from specs.quota import Quota
from specs.tests.base import ModelTestCase

LIMIT = 'no window exceeds the limit'


class QuotaTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(Quota(), 17_484)

    def test_violated_by_a_leader_that_does_not_wait(self):
        labels = self.assert_violates(
            Quota(nodes=1, waits_for_lapse=False), LIMIT
        )
        self.assertIn('another control leads', labels)

    def test_violated_by_a_leader_that_was_not_confirmed(self):
        self.assert_violates(Quota(nodes=1, confirms_leadership=False), LIMIT)

    def test_violated_by_tokens_that_are_not_counted_until_they_lapse(self):
        self.assert_violates(Quota(nodes=1, counts_until_lapse=False), LIMIT)

    def test_violated_by_a_hold_time_counted_from_the_reply(self):
        self.assert_violates(Quota(nodes=1, holds_from_request=False), LIMIT)

    def test_violated_by_a_bucket_that_ignores_what_nodes_hold(self):
        self.assert_violates(Quota(nodes=1, bounds_by_room=False), LIMIT)
