"""Replays of bursts of single customers."""

from collections import Counter
import random

from testtools import TestCase
import trio

from snipelead.admission.acceptance import ServiceAcceptance
from snipelead.admission.standing import RequestStanding
from snipelead.admission.tests.replay import NODES
from snipelead.admission.tests.replay import Replay
from snipelead.admission.usual_rates import UsualRates

STARVATION_SHARE = 0.25
CUSTOMERS = 86
# Share of the k-th largest customer falls with this power of k.
SHARE_EXPONENT = -1.2


class CustomerReplay(Replay):
    """Burst of the three largest customers at all routes.

    Each request carries the customer and the standing that its node gives it.
    """

    def __init__(self, fair, factor=5.0, **options):
        super().__init__(**options)
        self.fair = fair
        self.factor = factor
        self.rates = [UsualRates() for _ in range(NODES)]
        self.weights = [k**SHARE_EXPONENT for k in range(1, CUSTOMERS + 1)]
        self.learn_usual_rates()

    def learn_usual_rates(self):
        """Give the nodes a minute of usual requests before the replay."""
        rate = sum(stream.rate for stream in self.streams)
        now = -60.0
        while (now := now + self.random.expovariate(rate)) < 0.0:
            customer = self.choose_customer(now)
            self.random.choice(self.rates).record(customer, now)

    def choose_customer(self, now):
        weights = list(self.weights)
        if self.is_burst(now):
            weights[1:4] = [self.factor * weight for weight in weights[1:4]]
        return self.random.choices(range(CUSTOMERS), weights)[0]

    def attempt(self, now, request):
        if not request.hops and not request.retried:
            request.customer = self.choose_customer(now)
            beyond = self.rates[request.node].record(request.customer, now)
            if self.fair:
                request.standing = RequestStanding(beyond_usual=beyond)
            self.tally_customer(request, 'all')
        super().attempt(now, request)

    def tally(self, request, outcome):
        super().tally(request, outcome)
        self.tally_customer(request, outcome)

    def tally_customer(self, request, outcome):
        customer = getattr(request, 'customer', None)
        if customer is not None and self.is_burst(request.first_at):
            is_greedy = 1 <= customer <= 3
            self.counts['greedy' if is_greedy else 'usual', outcome] += 1


def run_replay(fair, **options):
    async def main():
        return CustomerReplay(fair, **options).run()

    return trio.run(main)


class CustomerBurstTest(TestCase):
    """Guards against customers that are refused for the bursts of others."""

    def test_requests_beyond_the_usual_rate_are_shed_first(self):
        """Shedding by customer must cost few requests in all."""
        counts = {True: Counter(), False: Counter()}
        for fair, total in counts.items():
            for seed in (1, 2):
                total.update(run_replay(fair, seed=seed).counts)
        fair, unfair = counts[True], counts[False]

        def share(count, group):
            return count[group, 'served'] / count[group, 'all']

        self.assertGreater(share(fair, 'usual'), share(unfair, 'usual') + 0.03)
        self.assertGreater(share(fair, 'usual'), share(fair, 'greedy') + 0.05)
        self.assertGreater(
            share(fair, 'greedy'), STARVATION_SHARE * share(fair, 'usual')
        )
        served = [
            sum(n for (_, name), n in count.items() if name == 'served')
            for count in (fair, unfair)
        ]
        self.assertGreater(served[0], 0.95 * served[1])


class UsualRatesTest(TestCase):
    def send(self, rates, customer, rate, from_s, to_s):
        """Send Poisson arrivals; return the share beyond the usual rate."""
        rng = random.Random(1)
        counts = Counter()
        now = from_s
        while (now := now + rng.expovariate(rate)) < to_s:
            counts[rates.record(customer, now)] += 1
        return counts[True] / counts.total()

    def test_usual_requests_are_never_marked(self):
        rates = UsualRates()
        self.assertLess(self.send(rates, 'a', 3.0, 0.0, 60.0), 0.02)

    def test_most_of_a_burst_is_beyond_the_usual_rate(self):
        rates = UsualRates()
        self.send(rates, 'a', 3.0, 0.0, 60.0)
        share = self.send(rates, 'a', 15.0, 60.0, 65.0)
        self.assertGreater(share, 0.4)
        self.assertLess(share, 0.8)

    def test_lasting_rise_becomes_usual(self):
        rates = UsualRates()
        self.send(rates, 'a', 3.0, 0.0, 60.0)
        self.send(rates, 'a', 9.0, 60.0, 180.0)
        self.assertLess(self.send(rates, 'a', 9.0, 180.0, 200.0), 0.1)

    def test_nothing_is_marked_before_rates_are_known(self):
        """Guards against refusals after each start of a node."""
        rates = UsualRates()
        self.assertEqual(0.0, self.send(rates, 'a', 50.0, 0.0, 9.0))

    def test_customer_with_few_requests_is_not_marked(self):
        rates = UsualRates()
        self.send(rates, 'a', 3.0, 0.0, 60.0)
        self.send(rates, 'b', 0.1, 0.0, 60.0)
        self.assertLess(self.send(rates, 'b', 0.4, 60.0, 90.0), 0.1)


class AcceptanceByStandingTest(TestCase):
    def test_shares_add_up_to_that_of_the_route(self):
        acceptance = ServiceAcceptance()
        usual = FakeCall()
        beyond = FakeCall(RequestStanding(beyond_usual=True))
        for _ in range(50):
            for call in (usual, beyond):
                acceptance.record_request(call, 1.0)
                acceptance.get(call).record_sent(1.0)
                acceptance.record_refused(call, 1.0)
        for _ in range(70):
            acceptance.get(usual).record_sent(1.0)
        route_share = acceptance.get(usual).refusal_share(1.0)
        shares = [acceptance.refusal_share(c, 1.0) for c in (usual, beyond)]
        self.assertGreater(shares[1], shares[0])
        self.assertAlmostEqual(route_share, sum(shares) / 2, places=2)


class FakeCall:
    """Call of one route."""

    def __init__(self, standing=RequestStanding()):  # noqa: B008
        self.route = 'r'
        self.priority = 0
        self.standing = standing
