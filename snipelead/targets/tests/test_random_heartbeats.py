"""Random orders of arrival of what a target says of itself."""

from random import Random

from testtools import TestCase
import trio
from trio.testing import MockClock

from snipelead.targets.heartbeats import HeartbeatTracker
from snipelead.targets.heartbeats import MAX_HEARTBEAT_DELAY_S
from snipelead.targets.heartbeats import TargetHeartbeat
from snipelead.targets.local import LocalTargets
from snipelead.types import TargetState

SEEDS = range(300)
INTERVAL_S = 1.5
STEPS = 60
MAX_DELAY_S = MAX_HEARTBEAT_DELAY_S - 1


class Target:
    """Target that starts, leaves, withdraws itself and starts again.

    Attributes
    ----------
    started_ms : int
        Start of the incarnation.
    is_leaving, is_gone : bool
        What the target has told the node and the node has acknowledged.
    """

    def __init__(self, rng):
        self.rng = rng
        self.started_ms = 0
        self.restart()

    def restart(self):
        self.started_ms += 1_000
        self.sequence = 0
        self.is_leaving = self.is_gone = False
        # Some targets are gone before their first heartbeats arrive.
        self.leaves_at = self.rng.randrange(1, 12)
        self.announces = self.rng.random() < 0.5

    @property
    def serves(self):
        return not (self.is_leaving or self.is_gone)

    def make_heartbeat(self):
        self.sequence += 1
        state = TargetState.SERVING
        if self.is_leaving:
            state = TargetState.LEAVING
        return TargetHeartbeat(
            'i-1',
            'stock',
            '10.0.0.1:80',
            9,
            state,
            self.started_ms,
            self.sequence,
        )


class History:
    """One target and the processes of its node, one after another."""

    def __init__(self, test, seed):
        self.test = test
        self.rng = Random(seed)
        self.target = Target(self.rng)
        self.on_the_way = []
        # Incarnations whose end the node has acknowledged.
        self.ended = set()
        self.start_node(history_complete=True)

    def start_node(self, history_complete=False):
        self.local_targets = LocalTargets('n', 'z', '10.0.0.1:1')
        self.tracker = HeartbeatTracker(
            self.local_targets, bool, history_complete
        )

    def run(self):
        clock = trio.lowlevel.current_clock()
        for _ in range(STEPS):
            self.act()
            clock.jump(INTERVAL_S)
            self.deliver()
            if self.rng.random() < 0.05:
                self.start_node()
        self.check_return()

    def act(self):
        target = self.target
        if target.is_gone:
            if self.rng.random() < 0.2:
                target.restart()
            return
        now = trio.current_time()
        if target.sequence >= target.leaves_at:
            if target.announces and not target.is_leaving:
                target.is_leaving = True
                self.receive(target.make_heartbeat())
                self.ended.add(target.started_ms)
                return
            self.tracker.withdraw('i-1')
            target.is_gone = True
            self.ended.add(target.started_ms)
            self.check()
            return
        delay_s = self.rng.choice((0, 0, self.rng.uniform(0, MAX_DELAY_S)))
        self.on_the_way.append((now + delay_s, target.make_heartbeat()))

    def deliver(self):
        now = trio.current_time()
        due = [item for item in self.on_the_way if item[0] <= now]
        self.on_the_way = [i for i in self.on_the_way if i[0] > now]
        self.rng.shuffle(due)
        for _, heartbeat in due:
            self.receive(heartbeat)

    def receive(self, heartbeat):
        self.tracker.process(heartbeat)
        if self.tracker.needs_check and self.target.serves:
            # The response to a health check names no incarnation.
            self.tracker.confirm_serving(self.tracker.newest)
        self.check()

    def check(self):
        for target in self.local_targets.targets.values():
            has_ended = target.entry.target_incarnation in self.ended
            if has_ended and target.entry.state is TargetState.SERVING:
                # A later incarnation was taken for it.
                self.test.assertTrue(self.target.serves)

    def check_return(self):
        """Check that a new incarnation serves at its first heartbeat."""
        self.target.restart()
        self.receive(self.target.make_heartbeat())
        target = self.local_targets.targets['i-1']
        self.test.assertIs(TargetState.SERVING, target.entry.state)
        self.test.assertEqual(
            self.target.started_ms, target.entry.target_incarnation
        )


class RandomHeartbeatsTest(TestCase):
    def test_what_is_acknowledged_is_kept_in_any_order(self):
        """Guards against use of a target that has left, over restarts too."""

        async def main(seed):
            History(self, seed).run()

        for seed in SEEDS:
            trio.run(main, seed, clock=MockClock())
