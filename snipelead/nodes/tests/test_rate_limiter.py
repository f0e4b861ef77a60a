from bisect import bisect_left
import random

from testtools import TestCase

from snipelead.nodes.rate_limiter import PROBE_RATE
from snipelead.nodes.rate_limiter import RateLimiter

WINDOW_S = 4.0


def send_requests(limiter, times):
    """Return the times at which a request may be sent."""
    return [now for now in times if limiter.try_take(now)]


def max_count(times, window_s=WINDOW_S):
    """Return the highest number of requests in any window."""
    return max(
        bisect_left(times, start + window_s) - number
        for number, start in enumerate(times)
    )


class RateLimiterTest(TestCase):
    def test_any_window_stays_within_the_allowance(self):
        for seed in range(100):
            rng = random.Random(seed)
            limiter = RateLimiter()
            limit = rng.choice((0.0, 0.2, 1.5, 3.0, 20.7, 150.0))
            limiter.set_rate(limit, 0.0)
            now, times = 0.0, []
            while now < 60.0:
                # Bursts and pauses.
                now += rng.choice((0.0, 0.001, 0.01, 0.1, 5.0))
                times.append(now)
            sent = send_requests(limiter, times)
            self.assertLessEqual(max_count(sent), 1.5 * limit * 4 + 5)

    def test_requests_get_most_of_the_stated_rate(self):
        for limit in (1.5, 20.7, 150.0):
            limiter = RateLimiter()
            limiter.set_rate(limit, 0.0)
            times = [n / 1_000 for n in range(20_000)]
            sent = send_requests(limiter, times)
            self.assertGreaterEqual(len(sent), 0.95 * limit * 20)

    def test_burst_after_a_pause_is_bounded(self):
        limiter = RateLimiter()
        limiter.set_rate(20.0, 0.0)
        self.assertEqual(5, len(send_requests(limiter, [60.0] * 100)))

    def test_limit_of_zero_leaves_only_probes(self):
        limiter = RateLimiter()
        limiter.set_rate(0.0, 0.0)
        sent = send_requests(limiter, [n / 100 for n in range(6_000)])
        self.assertEqual(int(60 * PROBE_RATE) - 1, len(sent))
        self.assertEqual(1, max_count(sent))

    def test_lower_limit_drops_the_saved_up_requests(self):
        limiter = RateLimiter()
        limiter.set_rate(100.0, 0.0)
        self.assertTrue(limiter.has_token(10.0))
        limiter.set_rate(2.0, 10.0)
        self.assertEqual(1, len(send_requests(limiter, [10.0] * 100)))

    def test_wait_is_the_time_until_a_request_may_be_sent(self):
        limiter = RateLimiter()
        limiter.set_rate(2.0, 0.0)
        self.assertEqual(0.5, limiter.wait_s(0, 0.0))
        self.assertEqual(1.5, limiter.wait_s(2, 0.0))
        self.assertEqual(0.0, limiter.wait_s(0, 5.0))
        limiter.set_rate(None, 5.0)
        self.assertEqual(0.0, limiter.wait_s(100, 5.0))

    def test_recent_rate_is_measured(self):
        limiter = RateLimiter()
        limiter.set_rate(20.0, 0.0)
        send_requests(limiter, [n / 100 for n in range(1_000)])
        self.assertAlmostEqual(20.0, limiter.measure_rate(9.99), delta=1.0)
        self.assertEqual(0.0, limiter.measure_rate(20.0))
