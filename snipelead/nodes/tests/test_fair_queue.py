from testtools import TestCase

from snipelead.nodes.fair_queue import FairQueue
from snipelead.nodes.fair_queue import Waiter
from snipelead.types import RequestClass

BATCH = RequestClass.BATCH
ONCE = RequestClass.ONCE


class FairQueueTest(TestCase):
    def setUp(self):
        super().setUp()
        self.queue = FairQueue()

    def push(self, request_class, tenant, count=1):
        for _ in range(count):
            self.queue.push(Waiter(request_class, tenant))

    def pop_tenants(self, count):
        return ''.join(self.queue.pop(True).tenant for _ in range(count))

    def test_tenants_take_turns(self):
        self.push(ONCE, 'a', 5)
        self.push(ONCE, 'b', 2)
        self.assertEqual('ababaaa', self.pop_tenants(7))

    def test_batch_goes_last(self):
        self.push(BATCH, 'a', 2)
        self.push(ONCE, 'b', 2)
        self.assertEqual('bbaa', self.pop_tenants(4))

    def test_batch_is_left_waiting_when_not_allowed(self):
        self.push(BATCH, 'a')
        self.assertIsNone(self.queue.pop(batch_allowed=False))
        self.assertEqual(1, len(self.queue))

    def test_large_tenant_is_evicted_for_small_one(self):
        self.push(ONCE, 'a', 5)
        evicted = self.queue.evict_for(ONCE, 'b')
        self.assertEqual('a', evicted.tenant)
        self.assertEqual(4, len(self.queue))

    def test_no_eviction_among_equal_tenants(self):
        self.push(ONCE, 'a', 2)
        self.push(ONCE, 'b', 2)
        self.assertIsNone(self.queue.evict_for(ONCE, 'b'))

    def test_batch_is_evicted_for_once_but_not_the_reverse(self):
        self.push(BATCH, 'a')
        self.assertIsNotNone(self.queue.evict_for(ONCE, 'a'))
        self.push(ONCE, 'a')
        self.assertIsNone(self.queue.evict_for(BATCH, 'b'))

    def test_count_ahead_follows_turns_of_tenants(self):
        self.push(ONCE, 'a', 10)
        self.assertEqual(1, self.queue.count_ahead(ONCE, 'b'))
        self.assertEqual(10, self.queue.count_ahead(ONCE, 'a'))
        self.assertEqual(11, self.queue.count_ahead(BATCH, 'b') + 1)
