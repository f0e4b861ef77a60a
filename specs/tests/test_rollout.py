from specs.rollout import RolloutGrants
from specs.tests.base import ModelTestCase

BOUNDED = 'exposure is bounded'
NOT_LATE = 'nothing is sent after the leases of a rollback'
FINAL = 'rolled back is final'


class RolloutGrantsTest(ModelTestCase):
    def test_holds(self):
        self.assert_holds(RolloutGrants(), 108_194)

    def test_violated_by_grants_before_the_reservation(self):
        labels = self.assert_violates(
            RolloutGrants(reserves_first=False), BOUNDED
        )
        self.assertIn('a leader is elected', labels)

    def test_violated_if_a_new_leader_grants_again(self):
        labels = self.assert_violates(
            RolloutGrants(counts_earlier=False), BOUNDED
        )
        self.assertIn('a leader is elected', labels)

    def test_violated_if_a_deposed_leader_uses_new_reservations(self):
        self.assert_violates(RolloutGrants(steps_down=False), BOUNDED)

    def test_violated_by_leases_that_count_from_the_reply(self):
        self.assert_violates(
            RolloutGrants(leases_from_request=False), NOT_LATE
        )

    def test_violated_by_grants_of_a_leader_that_is_cut_off(self):
        self.assert_violates(RolloutGrants(checks_majority=False), NOT_LATE)

    def test_violated_if_a_late_command_is_applied(self):
        self.assert_violates(RolloutGrants(end_is_final=False), FINAL)
