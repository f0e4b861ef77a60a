import msgspec

from snipelead.emulator.platform_client import Response
from snipelead.soak.tests.test_checker import HistoryCheckerCase


class TargetStatusCheckerTest(HistoryCheckerCase):
    def setUp(self):
        super().setUp()
        self.epoch = (1, 0)
        self.statuses = self.checker.target_statuses
        self.statuses.get_epoch = lambda node: self.epoch
        self.count = 0

    def send(self, node='node-1'):
        """Record a request that reaches the target now."""
        self.count += 1
        record = msgspec.structs.replace(
            self.send_request(attempt_id=f'a{self.count}'), node=node
        )
        self.checker.requests[record.attempt_id] = record
        self.arrive(record)
        return record

    def arrive(self, record):
        self.checker.record_arrival('t1', record.attempt_id)

    def tell(self, node='node-1', **statements):
        """Record a response that a node forwards with some statements."""
        record = self.send(node)
        self.execute(record)
        body = b'answer to ' + record.attempt_id.encode()
        response = Response(200, body, True, **statements)
        self.checker.record_response(record, response)

    def limit(self, value):
        """State a limit, tell node-1, and wait until the rule applies."""
        self.statuses.record_limit('t1', value)
        self.tell(states_limit=True)
        self.now += 3.0

    def test_allowed_number_of_requests_passes(self):
        self.limit(1.0)
        for _ in range(11):
            self.send()

    def test_more_requests_than_allowed_fail(self):
        self.limit(1.0)
        for _ in range(11):
            self.send()
        self.assert_violation('LIMIT', self.send)

    def test_window_slides(self):
        self.limit(1.0)
        for _ in range(3):
            for _ in range(11):
                self.send()
            self.now += 4.0

    def test_requests_of_nodes_that_were_not_told_do_not_count(self):
        self.limit(1.0)
        for _ in range(20):
            self.send('node-2')

    def test_request_counts_half_a_second_after_its_node_was_told(self):
        self.limit(1.0)
        self.tell('node-2', states_limit=True)
        self.now += 0.4
        for _ in range(20):
            self.send('node-2')
        self.now += 0.2
        for _ in range(11):
            self.send('node-2')
        self.assert_violation('LIMIT', self.send, 'node-2')

    def test_restart_excuses_a_node(self):
        self.limit(1.0)
        self.epoch = (2, 0)
        for _ in range(20):
            self.send()

    def test_cut_excuses_a_node(self):
        self.limit(1.0)
        self.checker.disturbances.record_event('node-1', self.now)
        for _ in range(20):
            self.send()

    def test_highest_limit_of_the_window_applies(self):
        self.limit(5.0)
        self.statuses.record_limit('t1', 0.0)
        for _ in range(35):
            self.send()
        self.assert_violation('LIMIT', self.send)

    def test_no_rule_applies_after_the_limit_has_ended(self):
        self.limit(0.0)
        self.statuses.record_limit('t1', None)
        for _ in range(50):
            self.send()

    def test_request_after_the_drain_time_fails(self):
        self.tell(states_leaving=True)
        self.now += 1.9
        self.send()
        self.now += 0.2
        self.assert_violation('DRAIN', self.send)

    def test_request_sent_before_the_drain_time_may_arrive_later(self):
        self.tell(states_leaving=True)
        self.now += 1.9
        record = self.send()
        self.now += 5.0
        self.arrive(record)

    def test_cut_does_not_excuse_a_node_from_draining(self):
        self.tell(states_leaving=True)
        self.checker.disturbances.record_event('node-1', self.now)
        self.now += 2.1
        self.assert_violation('DRAIN', self.send)

    def test_freeze_excuses_a_node_from_draining(self):
        self.tell(states_leaving=True)
        self.epoch = (1, 1)
        self.now += 2.1
        self.send()

    def test_other_nodes_may_send_to_a_leaving_target(self):
        self.tell(states_leaving=True)
        self.now += 2.1
        self.send('node-2')
