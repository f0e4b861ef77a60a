"""The bound on a window holds whatever nodes, granters and network do."""

from bisect import bisect_right

from hypothesis import given
from hypothesis import seed
from hypothesis import settings
from hypothesis import strategies as st
from testtools import TestCase

from snipelead.messages import QuotaRequest
from snipelead.quotas.budget import CONFIRMED_S
from snipelead.quotas.budget import HOLD_S
from snipelead.quotas.budget import LAPSE_S
from snipelead.quotas.budget import QuotaBudget
from snipelead.quotas.budget import SETTLE_S
from snipelead.quotas.granter import QuotaGranter
from snipelead.quotas.hand import QuotaHand
from snipelead.releases.document import Customer

CONTROLS = 3
NODES = 4
BUDGET = QuotaBudget(5.0, 0.1, 20.0, CONTROLS)


class Node:
    """Node that uses what it holds, at the latest time allowed."""

    def __init__(self, index):
        self.index = index
        self.incarnation = 0
        self.restart()

    def restart(self):
        self.incarnation += 1
        self.hand = QuotaHand('c')
        self.sequence = 0
        self.received = ('', 0)

    def make_request(self, waiting, now):
        self.sequence += 1
        self.hand.waiting = waiting
        demand = self.hand.make_demand(now)
        return QuotaRequest(
            f'n{self.index}',
            self.incarnation,
            self.sequence,
            *self.received,
            (demand,),
        )

    def receive(self, reply, asked_at):
        self.received = (reply.epoch, reply.number)
        for grant in reply.grants:
            self.hand.add(grant.amount, asked_at)


class Fleet:
    """Nodes and granters with every fault that the bound covers."""

    def __init__(self, rate_per_s, burst):
        self.customer = Customer('c', rate_per_s=rate_per_s, burst=burst)
        self.customers = {'c': self.customer}
        self.now = 1_000.0
        self.nodes = [Node(index) for index in range(NODES)]
        self.starts = 0
        self.leaders = [self.make_granter(-100.0)]
        self.reserves = [
            self.make_granter(0.0, is_reserve=True) for _ in range(CONTROLS)
        ]
        self.deposed_at = None
        self.runs = []

    def make_granter(self, age, is_reserve=False):
        self.starts += 1
        return QuotaGranter(
            f'e{self.starts}', BUDGET, self.now + age, is_reserve
        )

    def change_leader(self):
        self.leaders.append(self.make_granter(0.0))
        self.deposed_at = self.now

    def choose_granter(self, choice):
        if choice < CONTROLS:
            return self.reserves[choice]
        is_recent = (
            self.deposed_at is not None
            and self.now - self.deposed_at <= CONFIRMED_S
        )
        if choice == CONTROLS and is_recent:
            return self.leaders[-2]
        return self.leaders[-1]

    def exchange(self, node, choice, waiting, loss, delay):
        asked_at = self.now
        request = node.make_request(waiting, asked_at)
        if loss == 1:
            return
        granter = self.choose_granter(choice)
        reply = granter.handle(request, self.customers, self.now)
        if loss == 3:
            granter.handle(request, self.customers, self.now)
        if loss != 2:
            self.now += delay
            node.receive(reply, asked_at)

    def use(self, node, count, delay, refunds):
        for _ in range(count):
            admission = node.hand.take(self.now)
            if admission is None:
                return
            if refunds:
                refunds -= 1
                node.hand.refund(admission, self.now)
            else:
                self.runs.append(self.now + delay)

    def check(self, case):
        runs = sorted(self.runs)
        worst = max(
            (
                bisect_right(runs, start + BUDGET.window_s) - index
                for index, start in enumerate(runs)
            ),
            default=0,
        )
        case.assertLessEqual(worst, BUDGET.bound(self.customer) + 1e-6)
        return worst


STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ['ask', 'ask', 'ask', 'use', 'use', 'wait', 'lead', 'restart']
            + ['reserve']
        ),
        st.integers(0, NODES - 1),
        st.integers(0, CONTROLS + 3),
        st.sampled_from([0, 1, 3, 30, 1_000]),
        st.integers(0, 7),
        st.sampled_from([0.0, 0.01, 0.2, SETTLE_S * 0.99, 1.5]),
    ),
    max_size=120,
)


class BoundTest(TestCase):
    @seed(7)
    @settings(max_examples=400, deadline=None, database=None)
    @given(
        st.sampled_from([(2.0, 2.0), (40.0, 40.0), (400.0, 400.0), (9, 1)]),
        STEPS,
    )
    def test_no_window_exceeds_the_bound(self, limit, steps):
        # Guards against two granters, lost, late and doubled messages, lost
        # nodes, refunds and late runs adding up to more than the bound.
        fleet = Fleet(*limit)
        for action, index, choice, count, loss, delay in steps:
            node = fleet.nodes[index]
            match action:
                case 'ask':
                    fleet.exchange(node, choice, count, loss, delay)
                case 'use':
                    fleet.use(node, count, min(delay, SETTLE_S), loss)
                case 'wait':
                    fleet.now += delay
                case 'lead':
                    fleet.change_leader()
                    # Elections take longer than a confirmation lasts.
                    fleet.now += delay
                case 'restart':
                    node.restart()
                case 'reserve':
                    fleet.reserves[choice % CONTROLS] = fleet.make_granter(
                        0.0, is_reserve=True
                    )
        fleet.check(self)

    def test_bound_is_used_up_by_a_greedy_customer(self):
        # Guards against a granter that holds by granting too little.
        fleet = Fleet(40.0, 40.0)
        for _ in range(100):
            for node in fleet.nodes:
                fleet.exchange(node, CONTROLS + 1, 30, 0, 0.01)
                fleet.use(node, 1_000, 0.0, 0)
            fleet.now += 0.05
        worst = fleet.check(self)
        self.assertGreaterEqual(worst, 5 * 40 + 40)

    def test_worst_change_of_leader(self):
        # Guards against a new leader that grants at the full rate while the
        # tokens of the one before it can still be used.
        fleet = Fleet(400.0, 400.0)
        old, *others = fleet.nodes
        fleet.exchange(old, CONTROLS + 1, 1, 0, 0.0)
        fleet.change_leader()
        fleet.now += CONFIRMED_S
        fleet.exchange(old, CONTROLS, 10_000, 0, 0.0)
        start = fleet.now
        fleet.now += HOLD_S * 0.99
        fleet.use(old, 10_000, SETTLE_S * 0.99, 0)
        fleet.now = start + (HOLD_S + SETTLE_S) * 0.98
        for _ in range(100):
            for node in others:
                fleet.exchange(node, CONTROLS + 1, 10_000, 0, 0.0)
                fleet.use(node, 10_000, 0.01, 0)
            fleet.now += 0.05
        fleet.check(self)


class ReportTest(TestCase):
    def setUp(self):
        super().setUp()
        self.fleet = Fleet(40.0, 40.0)
        self.node = self.fleet.nodes[0]

    def test_admitted_requests_count_until_they_cannot_be_refunded(self):
        # Guards against a refunded token that was created a second time.
        self.fleet.exchange(self.node, CONTROLS + 1, 1, 0, 0.01)
        self.assertIsNotNone(self.node.hand.take(self.fleet.now))
        self.fleet.exchange(self.node, CONTROLS + 1, 0, 0, 0.01)
        account = self.fleet.leaders[0].accounts['c']
        self.assertGreaterEqual(account.outstanding, 1)

    def test_numbers_of_another_granter_mean_nothing(self):
        # Guards against a lost grant that counts as used, because the node
        # has got replies with higher numbers from another granter.
        for _ in range(5):
            self.fleet.exchange(self.node, CONTROLS + 1, 1, 0, 1.0)
        self.fleet.change_leader()
        self.fleet.now += 3.0
        self.fleet.exchange(self.node, CONTROLS + 1, 2, 2, 0.0)
        self.fleet.exchange(self.node, CONTROLS + 1, 0, 2, 0.0)
        account = self.fleet.leaders[-1].accounts['c']
        self.assertGreaterEqual(account.outstanding, 2)


class LapseTest(TestCase):
    def test_late_reply_gives_no_usable_tokens(self):
        # Guards against a node that was frozen while it waited for a reply.
        fleet = Fleet(40.0, 40.0)
        fleet.exchange(fleet.nodes[0], CONTROLS + 1, 5, 0, 1.0)
        self.assertIsNone(fleet.nodes[0].hand.take(fleet.now))

    def test_tokens_end_while_a_node_is_frozen(self):
        # Guards against a node that thaws and spends what it held.
        fleet = Fleet(40.0, 40.0)
        node = fleet.nodes[0]
        fleet.exchange(node, CONTROLS + 1, 5, 0, 0.01)
        admission = node.hand.take(fleet.now)
        fleet.now += LAPSE_S
        self.assertIsNone(node.hand.take(fleet.now))
        self.assertFalse(admission.is_valid(fleet.now))
        node.hand.refund(admission, fleet.now)
        self.assertEqual(0, node.hand.left(fleet.now))

    def test_refund_is_usable_again(self):
        fleet = Fleet(40.0, 40.0)
        node = fleet.nodes[0]
        fleet.exchange(node, CONTROLS + 1, 1, 0, 0.01)
        admission = node.hand.take(fleet.now)
        self.assertIsNone(node.hand.take(fleet.now))
        node.hand.refund(admission, fleet.now)
        self.assertIsNotNone(node.hand.take(fleet.now))

    def test_full_bucket_does_not_accumulate_while_tokens_lapse(self):
        # Guards against tokens for the time in which nodes held all of them.
        fleet = Fleet(40.0, 40.0)
        granter = fleet.leaders[0]
        fleet.exchange(fleet.nodes[0], CONTROLS + 1, 1_000, 0, 0.0)
        account = granter.accounts['c']
        account.advance(fleet.now + LAPSE_S)
        self.assertEqual(0, account.outstanding)
        self.assertLess(account.level, 1.0)
