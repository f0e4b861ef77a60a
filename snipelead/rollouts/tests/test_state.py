import msgspec
from testtools import TestCase
import zstandard

from snipelead.messages import RolloutPhase
from snipelead.voters.messages import AdvanceRollout
from snipelead.voters.messages import encode_command
from snipelead.voters.messages import Entry
from snipelead.voters.messages import StartRollout
from snipelead.voters.state import State

ORDER = StartRollout('stock', 'v2', 12_000, ('v1',))


class RolloutStateTest(TestCase):
    def setUp(self):
        super().setUp()
        self.state = State()
        self.index = 0
        self.now_ms = 1_000

    def apply(self, command):
        self.index += 1
        entry = Entry(self.index, 1, self.now_ms, encode_command(command))
        reply = self.state.apply(entry)
        # Everything must survive the loss of all processes.
        self.state = State.decode(self.state.encode())
        return reply.accepted

    def advance(self, phase, order=None, **values):
        values = {'reserved': 0, 'total': 0} | values
        order = self.rollout.order if order is None else order
        return self.apply(AdvanceRollout('stock', order, phase, **values))

    @property
    def rollout(self):
        return self.state.rollouts.by_service['stock']

    def test_resent_order_does_not_start_again(self):
        # A copy of the order that arrives after a fast rollback must not
        # give the bad version traffic again.
        self.assertTrue(self.apply(ORDER))
        self.assertTrue(self.apply(ORDER))
        self.assertEqual(1, self.rollout.order)
        self.assertTrue(self.advance(RolloutPhase.ROLLED_BACK))
        self.now_ms += 4_000
        self.assertTrue(self.apply(ORDER))
        self.assertIs(RolloutPhase.ROLLED_BACK, self.rollout.phase)
        self.now_ms += 2_000
        self.assertTrue(self.apply(ORDER))
        self.assertIs(RolloutPhase.RUNNING, self.rollout.phase)
        self.assertEqual((), self.rollout.rejected)

    def test_other_order_is_refused_while_one_is_in_progress(self):
        self.apply(ORDER)
        self.assertFalse(self.apply(StartRollout('stock', 'v3', 12_000)))
        self.advance(RolloutPhase.PROMOTING)
        self.assertFalse(self.apply(StartRollout('stock', 'v3', 12_000)))
        self.assertTrue(self.apply(StartRollout('other', 'v3', 12_000)))

    def test_rolled_back_is_final_and_exposure_never_shrinks(self):
        self.apply(ORDER)
        self.advance(RolloutPhase.RUNNING, reserved=30, total=500)
        # A leader that was deposed has decided with less information.
        self.advance(RolloutPhase.RUNNING, reserved=20, total=400)
        self.assertEqual(
            (30, 500), (self.rollout.reserved, self.rollout.total)
        )
        self.advance(RolloutPhase.ROLLED_BACK)
        self.assertFalse(self.advance(RolloutPhase.PROMOTING))
        self.assertFalse(self.advance(RolloutPhase.COMPLETED))
        self.assertIs(RolloutPhase.ROLLED_BACK, self.rollout.phase)
        self.assertEqual(('v1',), self.rollout.approved)
        self.assertEqual(('v2',), self.rollout.rejected)

    def test_decision_about_an_earlier_order_has_no_effect(self):
        self.apply(ORDER)
        self.advance(RolloutPhase.COMPLETED)
        self.assertEqual(('v2',), self.rollout.approved)
        self.apply(StartRollout('stock', 'v3', 12_000))
        self.assertFalse(self.advance(RolloutPhase.ROLLED_BACK, order=1))
        self.assertEqual(('v2',), self.rollout.approved)
        self.assertIs(RolloutPhase.RUNNING, self.rollout.phase)

    def test_order_of_the_approved_version_is_complete_at_once(self):
        self.apply(ORDER)
        self.advance(RolloutPhase.COMPLETED)
        self.now_ms += 60_000
        self.apply(ORDER)
        self.assertIs(RolloutPhase.COMPLETED, self.rollout.phase)

    def test_snapshot_without_rollouts_is_read(self):
        # Controls start from snapshots of the version before.
        data = zstandard.ZstdDecompressor().decompress(self.state.encode())
        fields = msgspec.msgpack.decode(data)[:-2]
        packed = zstandard.ZstdCompressor().compress(
            msgspec.msgpack.encode(fields)
        )
        self.assertEqual({}, State.decode(packed).rollouts.by_service)

    def test_nodes_are_told_of_phases_only(self):
        self.apply(ORDER)
        update = self.state.rollouts.update_since(0)
        self.assertEqual('v2', update.rollouts[0].version)
        self.advance(RolloutPhase.RUNNING, reserved=9)
        self.assertIsNone(self.state.rollouts.update_since(update.version))
        self.advance(RolloutPhase.PROMOTING)
        self.assertIsNotNone(self.state.rollouts.update_since(update.version))
