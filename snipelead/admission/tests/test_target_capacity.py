"""Replay of targets that refuse or reset what is more than they take."""

from heapq import heappop
from heapq import heappush
from math import inf
import random

from testtools import TestCase

from snipelead.admission.target_capacity import GROWTH_INTERVAL_S
from snipelead.admission.target_capacity import TargetCapacity
from snipelead.messages import TargetEntry
from snipelead.types import TargetState

STATED_SLOTS = 9


def make_entry(slots=STATED_SLOTS, connections=130, incarnation=1):
    return TargetEntry(
        't',
        'n',
        'a',
        's',
        '127.0.0.1:1',
        1,
        1,
        TargetState.SERVING,
        slots,
        connections,
        target_incarnation=incarnation,
    )


def replay(real_slots, seconds=60.0, cancelled_share=0.0, runs_on=True):
    """Keep a target busy that resets connections beyond its real slots.

    Parameters
    ----------
    cancelled_share : float
        Share of the requests that are cancelled half-way.
    runs_on : bool
        Whether the target finishes cancelled requests.

    Returns
    -------
    tuple of (list of float, int)
        Times of the resets, and the number of requests served.
    """
    rng = random.Random(1)
    capacity = TargetCapacity()
    entry = make_entry()
    running = []
    resets, served, in_flight, now = [], 0, 0, 0.0
    while now < seconds:
        now += 0.01
        capacity.grow(STATED_SLOTS, now)
        while running and running[0][0] <= now:
            _, sent, is_cancelled, released = heappop(running)
            in_flight -= sent
            served += not is_cancelled and released
        in_flight -= len(capacity.pop_held(now))
        occupied = sum(entry_[3] for entry_ in running)
        while in_flight < capacity.limit(entry):
            if occupied >= real_slots:
                resets.append(now)
                capacity.record_reset(in_flight + 1, STATED_SLOTS, now, now)
                break
            in_flight += 1
            occupied += 1
            ends_at = now + rng.expovariate(1 / 0.25)
            if rng.random() < cancelled_share:
                capacity.hold(None, now)
                at = ends_at if runs_on else now + 0.02
                heappush(running, (at, 0, True, 1))
            else:
                heappush(running, (ends_at, 1, False, 1))
    return resets, served


class FullTargetTest(TestCase):
    """Guards against resets, after which the outcome is unknown."""

    def test_target_with_its_stated_slots_resets_nothing(self):
        self.assertEqual([], replay(STATED_SLOTS)[0])

    def test_few_resets_of_a_target_with_fewer_slots(self):
        resets, served = replay(6)
        early = [at for at in resets if at < 5.0]
        self.assertLess(len(early), 6)
        # It is tried again ever more rarely.
        self.assertLess(len([at for at in resets if at > 30.0]), 4)
        # It is kept busy: six slots of 0.25 s serve 24 a second.
        self.assertGreater(served, 0.85 * 24 * 60)

    def test_cancelled_requests_that_run_on_are_learned(self):
        resets, _ = replay(STATED_SLOTS, cancelled_share=0.05)
        self.assertLess(len([at for at in resets if at > 30.0]), 4)

    def test_cancelled_requests_that_end_at_once_cost_no_slots(self):
        resets, served = replay(
            STATED_SLOTS, cancelled_share=0.05, runs_on=False
        )
        self.assertEqual([], resets)
        self.assertGreater(served, 0.9 * 36 * 0.95 * 60)


class TargetCapacityTest(TestCase):
    def test_connections_limit_the_requests_in_flight(self):
        capacity = TargetCapacity()
        self.assertEqual(3, capacity.limit(make_entry(connections=4)))
        self.assertEqual(1, capacity.limit(make_entry(connections=1)))

    def test_resets_of_running_requests_are_not_learned(self):
        """Guards against a restart that takes all slots of the target."""
        capacity = TargetCapacity()
        entry = make_entry()
        capacity.limit(entry)
        for in_flight in range(9, 0, -1):
            capacity.record_reset(in_flight, STATED_SLOTS, 0.8, 1.0)
        self.assertEqual(9, capacity.limit(entry))

    def test_reset_of_a_target_with_few_requests_is_not_learned(self):
        capacity = TargetCapacity()
        capacity.limit(make_entry())
        self.assertFalse(capacity.record_reset(3, STATED_SLOTS, 1.0, 1.0))
        self.assertEqual(inf, capacity.learned)

    def test_target_that_refuses_at_any_load_keeps_most_slots(self):
        """Guards against a target that fails in part and ends at one slot.

        On a day of the platform, targets that refused part of their requests
        got one request at a time for the rest of the day.
        """
        capacity = TargetCapacity()
        entry = make_entry()
        capacity.limit(entry)
        for step in range(100):
            capacity.record_refusal(step % 9 + 1, STATED_SLOTS, 0.1 * step)
        self.assertGreaterEqual(capacity.limit(entry), 6)
        for now in range(11, 26):
            capacity.grow(STATED_SLOTS, now)
        self.assertEqual(STATED_SLOTS, capacity.limit(entry))

    def test_limit_returns_one_slot_at_a_time(self):
        capacity = TargetCapacity()
        entry = make_entry()
        capacity.limit(entry)
        self.assertTrue(capacity.record_refusal(7, STATED_SLOTS, 1.0))
        limits = []
        now = 1.0
        for _ in range(3):
            now += GROWTH_INTERVAL_S
            capacity.grow(STATED_SLOTS, now)
            limits.append(capacity.limit(entry))
        self.assertEqual([7, 8, 9], limits)

    def test_restarted_target_starts_with_its_stated_slots(self):
        capacity = TargetCapacity()
        capacity.limit(make_entry())
        capacity.record_refusal(8, STATED_SLOTS, 1.0)
        self.assertEqual(9, capacity.limit(make_entry(incarnation=2)))
