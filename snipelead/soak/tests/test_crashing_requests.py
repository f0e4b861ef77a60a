import msgspec

from snipelead.soak.tests.test_checker import HistoryCheckerCase

PATH = '/reads/crash-1'


class CrashingRequestsTest(HistoryCheckerCase):
    def setUp(self):
        super().setUp()
        self.crashing_requests = self.checker.crashing_requests
        self.count = 0

    def send(self, path=PATH, node='node-1'):
        """Record a request that reaches a target now."""
        self.count += 1
        record = msgspec.structs.replace(
            self.send_request(attempt_id=f'a{self.count}'),
            node=node,
            path=path,
        )
        self.checker.requests[record.attempt_id] = record
        self.checker.record_arrival('t1', record.attempt_id)

    def crash(self, count=3):
        for _ in range(count):
            self.crashing_requests.record_crash(PATH)

    def test_fourth_further_arrival_fails(self):
        self.crash()
        self.now += 3.1
        for _ in range(3):
            self.send()
        self.assert_violation('BUDGET', self.send)

    def test_arrivals_before_the_third_crash_do_not_count(self):
        self.crash(2)
        self.now += 3.1
        for _ in range(10):
            self.send()

    def test_arrivals_within_the_stable_window_do_not_count(self):
        self.crash()
        self.now += 2.9
        for _ in range(10):
            self.send()

    def test_other_requests_do_not_count(self):
        self.crash()
        self.now += 3.1
        for _ in range(10):
            self.send('/reads/1')

    def test_arrivals_from_a_disturbed_node_do_not_count(self):
        self.crash()
        self.now += 3.1
        self.checker.disturbances.record_event('node-1', self.now)
        for _ in range(10):
            self.send()
