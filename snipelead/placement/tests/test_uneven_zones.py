"""Replay of demand that reaches the zones in waves, at uneven targets."""

import math

from fixtures import MonkeyPatch
from testtools import TestCase
import trio

from snipelead.messages.loads import TargetLoad
from snipelead.placement.expected_cost import draw_weight
from snipelead.placement.loads import ReceivedLoad
from snipelead.placement.occupancy import OccupancyAverage
from snipelead.routing.policies import Policy
from snipelead.routing.tests.test_load_balancing import FleetSize
from snipelead.routing.tests.test_load_balancing import Simulation

WAVE_SWING = 0.5
WAVE_PERIOD_S = 11.0
SAMPLE_INTERVAL_S = 0.1
SAMPLES_PER_REPORT = 5
# A sixth of the targets are slowed down, others after each interval.
SLOWDOWN = 2.5
SLOWDOWN_INTERVAL_S = 0.6
# Three requests in a hundred take several times as long.
TAIL_SHARE = 0.03
TAIL_FACTOR = 5.5
SPEEDS = (0.5, 1.0, 1.0, 1.5)
# Shares of the capacity without slowed targets and long requests, which take
# another fifth of it.
USUAL_UTILISATION = 0.4
HIGH_UTILISATION = 0.65
FLEET = FleetSize(66, 24, 9, 3, 0.265, 0.8, 9)


class WaveSimulation(Simulation):
    """Requests whose zone follows a wave, with loads shared by targets."""

    response_bytes = 1_500
    variation = 0.3

    def run(self):
        self.averages = {}
        self.slowed_down = {}
        self.schedule(0.0, self.share_loads, 0)
        self.schedule(0.0, self.slow_down)
        return super().run()

    def make_speed(self, number):
        return SPEEDS[number % len(SPEEDS)]

    def slow_down(self, now):
        names = self.random.sample(
            sorted(self.targets), len(self.targets) // 6
        )
        self.slowed_down = {id(self.targets[name]) for name in names}
        if now < self.size.duration_s:
            self.schedule(now + SLOWDOWN_INTERVAL_S, self.slow_down)

    def draw_service_s(self, target):
        service_s = super().draw_service_s(target)
        if self.random.random() < TAIL_SHARE:
            service_s *= TAIL_FACTOR
        return service_s * (SLOWDOWN if id(target) in self.slowed_down else 1)

    def share_loads(self, now, count):
        received = []
        for name, target in self.targets.items():
            average = self.averages.setdefault(name, OccupancyAverage())
            average.sample(target.slots_in_use + len(target.queue), now)
            load = TargetLoad(
                name,
                's',
                round(100 * average.mean),
                round(1_000 * target.relative_service_time.recent_mean),
            )
            received.append(ReceivedLoad(load, trio.current_time()))
        if count % SAMPLES_PER_REPORT == 0:
            for balancer in self.balancers:
                balancer.record_shared_loads(received)
        if now < self.size.duration_s:
            self.schedule(now + SAMPLE_INTERVAL_S, self.share_loads, count + 1)

    def choose_balancer(self, now):
        zones = range(self.size.zones)
        weights = [
            1
            + WAVE_SWING
            * math.sin(
                2 * math.pi * (now / WAVE_PERIOD_S + zone / self.size.zones)
            )
            for zone in zones
        ]
        (zone,) = self.random.choices(zones, weights)
        return self.random.choice(self.balancers[zone :: self.size.zones])


def draw_heaviest(random, observations, loads):
    """Choose the target that looks best, as a baseline."""
    if not observations:
        return None
    outlooks = [loads.make_outlook(o) for o in observations]
    index = max(
        range(len(outlooks)), key=lambda number: draw_weight(outlooks[number])
    )
    return observations[index], outlooks[index]


class UnevenZonesTest(TestCase):
    def check_better(self, expected, other, margin):
        self.assertGreater(
            expected.get_share('in time'), other.get_share('in time') + margin
        )

    def test_more_in_time_with_fewer_crossing_zones(self):
        """Nodes knew neither what waits at a target nor its present speed."""
        for utilisation in (USUAL_UTILISATION, HIGH_UTILISATION):
            observed, expected = (
                WaveSimulation(policy, utilisation, FLEET).run()
                for policy in (Policy.OBSERVED, Policy.EXPECTED_COMPLETION)
            )
            self.check_better(expected, observed, 0.03)
            self.assertLess(
                expected.get_share('crossed'),
                0.7 * observed.get_share('crossed'),
            )

    def test_nodes_with_the_same_loads_choose_different_targets(self):
        """All nodes chose the target that looked best half a second ago."""
        drawn = WaveSimulation(
            Policy.EXPECTED_COMPLETION, USUAL_UTILISATION, FLEET
        ).run()
        self.useFixture(
            MonkeyPatch('snipelead.placement.choice._draw', draw_heaviest)
        )
        best = WaveSimulation(
            Policy.EXPECTED_COMPLETION, USUAL_UTILISATION, FLEET
        ).run()
        self.check_better(drawn, best, 0.1)
