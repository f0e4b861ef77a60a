"""Replays of bursts over routes of unequal priority, calls and customers."""

from types import SimpleNamespace

from msgspec.structs import replace
from testtools import TestCase
import trio

from snipelead.admission.route_shares import RouteShares
from snipelead.admission.standing import NO_STANDING
from snipelead.admission.standing import RequestStanding
from snipelead.admission.tests.replay import LAGOS
from snipelead.admission.tests.replay import Replay
from snipelead.admission.tests.replay import Stream

# Callers need a quarter of what all are served, and a more urgent route may
# be served less often by at most this much.
STARVATION_SHARE = 0.25
ORDER_TOLERANCE = 0.05

FROM_WORK = RequestStanding(from_work=True)
BEYOND_USUAL = RequestStanding(beyond_usual=True)
# Calls of the work of another service, in the same burst.
CALLS = Stream('frame fit', 250, 0.057, 0.5, 0.25, 0.6, 0, 1.75, FROM_WORK)


def run_replay(streams=LAGOS, **options):
    async def main():
        return Replay(streams, **options).run()

    return trio.run(main)


class BurstOrderTest(TestCase):
    """Guards against serving the least urgent route best.

    Its long latency objective let it wait for slots in which the most urgent
    route was refused.
    """

    def assert_order(self, replay):
        shares = [replay.share(s.name) for s in replay.streams]
        for urgent, other in zip(shares, shares[1:], strict=False):
            self.assertGreater(urgent, other - ORDER_TOLERANCE)
        self.assertGreater(
            min(shares), STARVATION_SHARE * replay.overall_share()
        )

    def test_burst_is_shed_by_priority(self):
        for seed in (1, 2, 3):
            replay = run_replay(seed=seed)
            self.assert_order(replay)
            self.assertGreater(replay.share('stock check'), 0.95)
            self.assertGreater(replay.share('order'), 0.65)

    def test_order_costs_no_answers_in_time(self):
        in_time = {True: 0, False: 0}
        for ordered in in_time:
            for seed in (1, 2, 3):
                replay = run_replay(ordered=ordered, seed=seed)
                in_time[ordered] += replay.total('in time')
        self.assertGreater(in_time[True], 0.98 * in_time[False])

    def test_overload_by_the_most_urgent_route_starves_none(self):
        stock, order, history = LAGOS
        streams = (replace(stock, burst=4.0), order, history)
        self.assert_order(run_replay(streams))

    def test_routes_of_equal_priority_are_served_alike(self):
        streams = tuple(
            replace(stream, priority=1, burst=2.0) for stream in LAGOS
        )
        replay = run_replay(streams)
        self.assertGreater(
            min(replay.share(s.name) for s in streams),
            STARVATION_SHARE * replay.overall_share(),
        )

    def test_without_overload_nothing_is_refused(self):
        streams = tuple(
            replace(s, rate=0.6 * s.rate, burst=1.0) for s in LAGOS
        )
        replay = run_replay(streams)
        self.assertEqual(0, replay.total('early'))
        self.assertGreater(replay.overall_share(), 0.98)


class WorkCallsTest(TestCase):
    """Guards against work that fails since its calls are refused."""

    def test_calls_of_work_are_served_first(self):
        replay = run_replay((CALLS, *LAGOS))
        self.assertGreater(replay.share('frame fit'), 0.97)
        self.assertGreater(
            min(replay.share(s.name) for s in LAGOS),
            STARVATION_SHARE * replay.overall_share(),
        )

    def test_without_standing_more_of_them_fail(self):
        unmarked = replace(CALLS, standing=NO_STANDING)
        marked = run_replay((CALLS, *LAGOS))
        unmarked = run_replay((unmarked, *LAGOS), ordered=False)
        self.assertGreater(
            marked.share('frame fit'), unmarked.share('frame fit')
        )


class RouteSharesTest(TestCase):
    def make_call(self, route, priority, standing=NO_STANDING):
        return SimpleNamespace(
            route=route, priority=priority, standing=standing
        )

    def record(self, shares, call, accepted, refused):
        for _ in range(accepted):
            shares.record(call, True, 1.0)
        for _ in range(refused):
            shares.record(call, False, 1.0)

    def test_less_urgent_route_yields_until_it_starves(self):
        shares = RouteShares()
        urgent, other = self.make_call('u', 0), self.make_call('o', 2)
        self.record(shares, urgent, 50, 10)
        self.record(shares, other, 30, 20)
        self.assertTrue(shares.must_yield(other, 1.0))
        self.assertFalse(shares.must_yield(urgent, 1.0))
        self.record(shares, other, 0, 100)
        self.assertFalse(shares.must_yield(other, 1.0))

    def test_nothing_yields_without_refusals(self):
        shares = RouteShares()
        other = self.make_call('o', 2)
        self.record(shares, self.make_call('u', 0), 50, 0)
        self.record(shares, other, 50, 5)
        self.assertFalse(shares.must_yield(other, 1.0))

    def test_refusals_are_forgotten(self):
        shares = RouteShares()
        other = self.make_call('o', 2)
        self.record(shares, self.make_call('u', 0), 5, 20)
        self.record(shares, other, 20, 0)
        self.assertTrue(shares.must_yield(other, 1.0))
        self.assertFalse(shares.must_yield(other, 15.0))

    def test_requests_beyond_the_usual_rate_are_not_counted(self):
        """Guards against one customer that makes other routes yield."""
        shares = RouteShares()
        other = self.make_call('o', 2)
        self.record(shares, self.make_call('u', 0, BEYOND_USUAL), 0, 50)
        self.record(shares, other, 20, 0)
        self.assertFalse(shares.must_yield(other, 1.0))
