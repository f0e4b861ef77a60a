from specs.checking import replay
from specs.disk_loss import DiskLoss
from specs.tests.base import ModelTestCase

LEADERS_HOLD_ACCEPTED = 'leaders hold accepted releases'
ONE_LEADER = 'one leader per term'

# A release is accepted, control 2 loses its disk and is replaced, then
# control 1 loses its disk.
TWO_LOSSES = (
    'control 0 leads term 1, granted by 1',
    'control 1 receives entry 2 from control 0',
    'control 0 commits up to 2',
    'control 2 loses its disk',
    'control 2 receives entry 1 from control 0',
    'control 2 receives entry 2 from control 0',
    'control 0 sets voters 0 1',
    'control 1 receives entry 3 from control 0',
    'control 0 commits up to 3',
    'control 2 receives entry 3 from control 0',
    'control 0 sets voters 0 1 2*',
    'control 1 receives entry 4 from control 0',
    'control 0 commits up to 4',
    'control 1 loses its disk',
)


class DiskLossTest(ModelTestCase):
    def test_holds_through_two_losses(self):
        self.assert_holds(DiskLoss(max_elections=2), 64_579)

    def test_second_loss_after_a_replacement_is_reachable(self):
        state = replay(DiskLoss(max_elections=2), TWO_LOSSES)
        self.assertEqual(2, state.disk_losses)
        self.assertEqual(4, len(state.committed))

    def test_release_survives_a_leader_after_two_losses(self):
        model = DiskLoss()
        start_state = replay(
            model, (*TWO_LOSSES, 'control 2 receives entry 4 from control 0')
        )
        labels = [label for label, _ in model.transitions(start_state)]
        self.assertIn('control 2 leads term 2, granted by 0', labels)
        self.assert_holds(model, 5_898, start_state=start_state)

    def test_violated_if_empty_disk_votes_as_old_member(self):
        labels = self.assert_violates(
            DiskLoss(new_member_id=False),
            LEADERS_HOLD_ACCEPTED,
            properties={LEADERS_HOLD_ACCEPTED},
        )
        self.assertIn('control 0 loses its disk', labels)

    def test_violated_if_empty_disk_votes_twice_in_a_term(self):
        self.assert_violates(
            DiskLoss(new_member_id=False),
            ONE_LEADER,
            properties={ONE_LEADER},
        )

    def test_violated_by_replacing_a_voter_in_one_change(self):
        self.assert_violates(
            DiskLoss(single_voter_changes=False),
            LEADERS_HOLD_ACCEPTED,
            properties={LEADERS_HOLD_ACCEPTED},
        )

    def test_violated_if_changes_do_not_wait_for_commit(self):
        self.assert_violates(
            DiskLoss(waits_for_commit=False),
            LEADERS_HOLD_ACCEPTED,
            properties={LEADERS_HOLD_ACCEPTED},
        )
