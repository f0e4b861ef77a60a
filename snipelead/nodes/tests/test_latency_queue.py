"""Simulations of the latency queue under load, and tests of its parts."""

import heapq
import random

from testtools import TestCase
import trio

from snipelead.nodes.latency_queue import LatencyQueue
from snipelead.nodes.latency_queue import LatencyWaiter
from snipelead.nodes.latency_queue import ServiceTimes

SLOTS = 6


class RequestStream:
    """Requests of one route.

    Attributes
    ----------
    rate : float
        Arrivals per second.
    service_s, latency_s : float
        Mean service time and latency objective, in seconds.
    priority : int
        Priority of the route; 0 is the highest.
    """

    def __init__(self, name, rate, service_s, latency_s, priority=1):
        self.name = name
        self.rate = rate
        self.service_s = service_s
        self.latency_s = latency_s
        self.priority = priority


def simulate(streams, seconds=60.0, seed=1, may_wait=LatencyWaiter.may_wait):
    """Simulate Poisson arrivals at one target.

    Returns
    -------
    dict of str to tuple of (float, float)
        Share answered in time and share refused, for each stream.
    """
    rng = random.Random(seed)
    arrivals = []
    for stream in streams:
        now = 0.0
        while (now := now + rng.expovariate(stream.rate)) < seconds:
            arrivals.append(
                (now, stream, rng.expovariate(1 / stream.service_s))
            )
    arrivals.sort(key=lambda a: a[0])
    queue = LatencyQueue()
    slot_ends = []
    counts = {stream.name: [0, 0, 0] for stream in streams}
    pending = {}

    def start_service(now, waiter):
        stream, arrived_at, service_s = pending.pop(waiter)
        heapq.heappush(slot_ends, now + service_s)
        in_time = now + service_s <= arrived_at + stream.latency_s
        counts[stream.name][1] += in_time

    def finish_requests(now):
        while slot_ends and slot_ends[0] <= now:
            slot_end = heapq.heappop(slot_ends)
            waiter = queue.pop(slot_end)
            if waiter is not None:
                start_service(slot_end, waiter)

    mean_service_s = sum(x.service_s * x.rate for x in streams) / sum(
        x.rate for x in streams
    )
    for now, stream, service_s in arrivals:
        finish_requests(now)
        counts[stream.name][0] += 1
        waiter = LatencyWaiter(
            stream.priority,
            stream.service_s,
            now + stream.latency_s,
            now + 9.0,
        )
        pending[waiter] = (stream, now, service_s)
        if len(slot_ends) < SLOTS and not queue:
            start_service(now, waiter)
            continue
        queue_wait_s = queue.service_ahead_s(waiter, now) / SLOTS
        if may_wait(waiter, queue_wait_s, mean_service_s / SLOTS, now):
            queue.push(waiter)
        else:
            del pending[waiter]
            counts[stream.name][2] += 1
    return {
        name: (in_time / offered, refused / offered)
        for name, (offered, in_time, refused) in counts.items()
    }


class AdmissionUnderLoadTest(TestCase):
    def run_simulation(self, streams, **options):
        async def main():
            return simulate(streams, **options)

        return trio.run(main)

    def test_below_capacity_nearly_all_are_answered_in_time(self):
        streams = [RequestStream('reads', 40, 0.09, 0.4)]
        in_time, refused = self.run_simulation(streams)['reads']
        self.assertGreater(in_time, 0.95)
        self.assertLess(refused, 0.05)

    def test_overload_of_twice_the_capacity_wastes_few_slots(self):
        streams = [RequestStream('reads', 133, 0.09, 0.4)]
        in_time, _ = self.run_simulation(streams)['reads']
        # At most half can be served; nearly all of these must be in time.
        self.assertGreater(in_time, 0.42)

    def test_queue_as_long_as_slack_answers_fewer_in_time(self):
        streams = [RequestStream('reads', 133, 0.09, 0.3)]

        def wait_for_whole_slack(waiter, queue_wait_s, next_slot_s, now):
            slack_s = waiter.latency_deadline - waiter.service_s - now
            return queue_wait_s + next_slot_s <= slack_s

        whole_slack = self.run_simulation(
            streams, may_wait=wait_for_whole_slack
        )['reads'][0]
        default = self.run_simulation(streams)['reads'][0]
        self.assertGreater(default, whole_slack + 0.03)

    def test_short_calls_are_not_starved_by_long_ones(self):
        streams = [
            RequestStream('reports', 10, 0.88, 2.5, priority=2),
            RequestStream('calls', 30, 0.055, 0.2, priority=2),
        ]
        shares = self.run_simulation(streams)
        # A failed short call wastes the slot of the request that made it.
        self.assertGreater(shares['calls'][0], shares['reports'][0])

    def test_route_of_high_priority_is_served_first(self):
        streams = [
            RequestStream('orders', 20, 0.12, 0.4, priority=1),
            RequestStream('reads', 100, 0.09, 0.3, priority=2),
        ]
        shares = self.run_simulation(streams)
        self.assertGreater(shares['orders'][0], shares['reads'][0] + 0.1)

    def test_route_of_low_priority_does_not_starve(self):
        streams = [
            RequestStream('orders', 130, 0.09, 0.3, priority=0),
            RequestStream('reads', 40, 0.09, 0.3, priority=2),
        ]
        shares = self.run_simulation(streams)
        self.assertGreater(shares['reads'][0], 0.25 * shares['orders'][0])


class LatencyQueueTest(TestCase):
    def run_async(self, test):
        async def main():
            test()

        trio.run(main)

    def test_late_requests_go_last(self):
        def test():
            queue = LatencyQueue()
            late = LatencyWaiter(0, 0.1, 1.0, 9.0)
            in_time = LatencyWaiter(2, 0.1, 3.0, 9.0)
            queue.push(late)
            queue.push(in_time)
            self.assertIs(in_time, queue.pop(2.0))
            self.assertIs(late, queue.pop(2.0))

        self.run_async(test)

    def test_infeasible_requests_are_removed(self):
        def test():
            queue = LatencyQueue()
            waiter = LatencyWaiter(0, 0.5, 1.0, 2.0)
            queue.push(waiter)
            self.assertEqual([], queue.pop_infeasible(1.4))
            self.assertEqual([waiter], queue.pop_infeasible(1.6))
            self.assertEqual(0, len(queue))

        self.run_async(test)

    def test_mean_of_few_samples_is_not_reported(self):
        service_times = ServiceTimes()
        for _ in range(4):
            service_times.record('r', 0.2)
            self.assertEqual(0.0, service_times.reliable_mean_s('r'))
        service_times.record('r', 0.7)
        self.assertAlmostEqual(0.3, service_times.reliable_mean_s('r'))
        self.assertEqual(0.0, service_times.reliable_mean_s('other'))

    def test_estimate_follows_samples_of_route(self):
        service_times = ServiceTimes()
        self.assertAlmostEqual(0.35, service_times.estimate_s('r', 1.0))
        service_times.record('r', 0.2)
        self.assertEqual(0.2, service_times.estimate_s('r', 1.0))
        for _ in range(100):
            service_times.record('r', 1.0)
        self.assertAlmostEqual(1.0, service_times.estimate_s('r'), places=3)
