from specs.checking import replay
from specs.disk_loss import DiskLoss
from specs.tests.base import ModelTestCase

HELD = 'leaders hold accepted releases'
ONE_LEADER = 'one leader per term'

# A release is accepted, control 2 loses its disk and is replaced, then
# control 1 loses its disk.
TWO_LOSSES = (
    '0 leads term 1 by 1',
    '1 takes entry 2 of 0',
    '0 commits 2',
    '2 loses its disk',
    '2 takes entry 1 of 0',
    '2 takes entry 2 of 0',
    '0 makes voters 0 1',
    '1 takes entry 3 of 0',
    '0 commits 3',
    '2 takes entry 3 of 0',
    '0 makes voters 0 1 2*',
    '1 takes entry 4 of 0',
    '0 commits 4',
    '1 loses its disk',
)


class DiskLossTest(ModelTestCase):
    def test_holds_through_two_losses(self):
        self.assert_holds(DiskLoss(max_elections=2), 64_579)

    def test_second_loss_after_a_replacement_is_reached(self):
        state = replay(DiskLoss(max_elections=2), TWO_LOSSES)
        self.assertEqual(2, state.losses)
        self.assertEqual(4, len(state.committed))

    def test_release_survives_a_leader_after_two_losses(self):
        model = DiskLoss()
        start = replay(model, (*TWO_LOSSES, '2 takes entry 4 of 0'))
        labels = [label for label, _ in model.transitions(start)]
        self.assertIn('2 leads term 2 by 0', labels)
        self.assert_holds(model, 5_898, start=start)

    def test_empty_disk_must_not_vote_in_its_old_name(self):
        labels = self.assert_violates(
            DiskLoss(new_identity=False), HELD, properties={HELD}
        )
        self.assertIn('0 loses its disk', labels)

    def test_empty_disk_must_not_vote_twice_in_a_term(self):
        self.assert_violates(
            DiskLoss(new_identity=False),
            ONE_LEADER,
            properties={ONE_LEADER},
        )

    def test_voters_must_change_one_at_a_time(self):
        self.assert_violates(
            DiskLoss(one_voter_at_a_time=False), HELD, properties={HELD}
        )

    def test_change_must_wait_for_the_one_before(self):
        self.assert_violates(
            DiskLoss(changes_wait=False), HELD, properties={HELD}
        )
