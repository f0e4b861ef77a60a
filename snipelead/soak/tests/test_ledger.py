import msgspec
from testtools import TestCase

from snipelead.emulator.platform import RunRequest
from snipelead.emulator.platform_client import Reply
from snipelead.emulator.platform_operator import encode_order
from snipelead.emulator.platform_operator import RouteSpec
from snipelead.soak.disturbances import CORE
from snipelead.soak.exceptions import PromiseBrokenError
from snipelead.soak.ledger import Ledger
from snipelead.soak.records import OrderRecord
from snipelead.soak.records import RequestRecord
from snipelead.soak.records import Run

ROUTES = {'/reads/': 'reads', '/orders/': 'orders', '/moves/': 'reads'}


def make_order(number, base, sent_at=0.0, **changes):
    targets_of = {**ROUTES, f'/only-{number}/': 'reads', **changes}
    routes = [RouteSpec(p, s) for p, s in targets_of.items()]
    body = encode_order(number, base, 'h', routes, ('reads', 'orders'))
    return OrderRecord(number, base, body, targets_of, sent_at)


class LedgerCase(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.ledger = Ledger(lambda: self.now)
        self.first = make_order(1, 0)
        self.ledger.orders.append(self.first)
        self.ledger.note_order_answer(self.first, 200)
        self.first.acked_at = 1.0

    def accept(self, number, base, acked_at, **changes):
        order = make_order(number, base, acked_at - 0.1, **changes)
        self.ledger.orders.append(order)
        order.acked_at = acked_at
        return order

    def send(self, prefix='/reads/', repeatable=True, attempt='a1'):
        record = RequestRecord(
            attempt,
            f'{prefix}1',
            prefix,
            repeatable,
            'node-1',
            'orders',
            1,
            self.now,
            3.0,
            2.0,
        )
        self.ledger.note_sent(record, ('reads',))
        return record

    def run_at(self, record, target='t1', service='reads', **changes):
        told = RunRequest(record.attempt_id, record.path, 'orders', 900)
        self.ledger.note_run(
            msgspec.structs.replace(told, **changes),
            Run(target, service, self.now),
        )

    def expect(self, rule, function, *args, **kwargs):
        error = self.assertRaises(
            PromiseBrokenError, function, *args, **kwargs
        )
        self.assertTrue(str(error).find(rule) >= 0, error)

    def answer(self, record, status=200, body=None, sealed=True):
        if body is None:
            body = b'answer to ' + record.attempt_id.encode()
        self.ledger.note_reply(record, Reply(status, body, sealed))


class RequestTest(LedgerCase):
    def test_good_request(self):
        record = self.send()
        self.run_at(record)
        self.answer(record)
        self.ledger.check_end(1)

    def test_order_that_runs_twice(self):
        record = self.send('/orders/', repeatable=False)
        self.run_at(record, service='orders')
        self.expect('TWICE', self.run_at, record, 't2', 'orders')

    def test_order_that_ran_and_is_told_not_to_have(self):
        record = self.send('/orders/', repeatable=False)
        self.run_at(record, service='orders')
        self.expect('REFUSED', self.answer, record, 503, b'', False)

    def test_order_that_runs_after_its_refusal(self):
        record = self.send('/orders/', repeatable=False)
        self.answer(record, 503, b'', False)
        self.expect('REFUSED', self.run_at, record, 't1', 'orders')

    def test_answer_of_another_request(self):
        record = self.send()
        self.run_at(record)
        self.expect('MIXED', self.answer, record, body=b'answer to a2')

    def test_answer_without_a_run(self):
        self.expect('MIXED', self.answer, self.send())

    def test_run_that_nobody_asked_for(self):
        record = self.send()
        self.expect('UNASKED', self.run_at, record, path='/reads/2')
        self.expect('UNASKED', self.run_at, record, origin='reads')

    def test_longer_deadline_than_the_client_gave(self):
        self.expect('BUDGET', self.run_at, self.send(), left_ms=3_600)

    def test_run_at_a_service_that_no_release_allows(self):
        record = self.send()
        self.ledger.disturbances.begin([CORE], self.now)
        self.expect('ROUTE', self.run_at, record, service='orders')

    def test_run_by_an_older_release(self):
        self.accept(2, 1, self.now - 2.5, **{'/moves/': 'orders'})
        record = self.send('/moves/')
        self.expect('CONFIG', self.run_at, record, service='reads')

    def test_run_by_an_older_release_within_the_time_to_apply(self):
        self.accept(2, 1, self.now - 1.5, **{'/moves/': 'orders'})
        self.run_at(self.send('/moves/'), service='reads')

    def test_proper_request_that_is_denied(self):
        self.expect('DENIED', self.answer, self.send(), 404, b'', False)

    def test_target_that_runs_requests_after_it_left(self):
        self.ledger.note_left('t1')
        self.now += 2.1
        self.expect('DRAIN', self.run_at, self.send())

    def test_request_lost_in_a_planned_stop(self):
        record = self.send()
        self.run_at(record)
        self.expect('LOST', self.ledger.note_lost, record, calm=True)

    def test_request_that_crosses_a_close(self):
        record = self.send()
        self.now += 0.1
        self.ledger.note_lost(record, calm=True)

    def test_more_retries_than_allowed(self):
        for number in range(200):
            record = self.send(attempt=f'a{number}')
            self.run_at(record)
            if number < 105:
                self.run_at(record, 't2')
        self.expect('BUDGET', self.ledger.check_end, 1)


class ReleaseTest(LedgerCase):
    def test_two_orders_on_one_base(self):
        rival = make_order(2, 0)
        self.ledger.orders.append(rival)
        self.expect('CONFIG', self.ledger.note_order_answer, rival, 200)

    def test_invalid_order_that_is_accepted(self):
        order = make_order(2, 1)
        order.valid = False
        self.expect('CONFIG', self.ledger.note_order_answer, order, 200)

    def test_resend_that_is_refused(self):
        self.expect('CONFIG', self.ledger.note_order_answer, self.first, 412)

    def test_old_release_that_is_read(self):
        self.accept(2, 1, self.now - 2.5)
        self.expect(
            'CONFIG', self.ledger.note_read, self.now, 1, self.first.body
        )

    def test_release_that_is_not_what_was_sent(self):
        document = msgspec.json.decode(self.first.body)
        document['virtual-hosts'][0]['paths'].pop()
        body = msgspec.json.encode(document)
        self.expect('CONFIG', self.ledger.note_read, self.now, 1, body)

    def test_node_that_goes_back(self):
        self.accept(2, 1, self.now)
        self.ledger.disturbances.begin([CORE], self.now)
        self.ledger.note_probe(self.send('/only-2/'), 2, True)
        self.now += 0.3
        self.expect(
            'CONFIG', self.ledger.note_probe, self.send('/only-1/'), 1, True
        )

    def test_node_that_does_not_follow(self):
        self.accept(2, 1, self.now - 2.5)
        self.expect(
            'CONFIG', self.ledger.note_probe, self.send('/only-2/'), 2, False
        )

    def test_disturbed_node_may_follow_late(self):
        self.accept(2, 1, self.now - 2.5)
        self.ledger.disturbances.begin(['node-1'], self.now)
        self.ledger.note_probe(self.send('/only-2/'), 2, False)

    def test_release_that_is_lost_at_the_end(self):
        self.accept(2, 1, self.now)
        self.expect('CONFIG', self.ledger.check_end, 1)


class DisturbancesTest(LedgerCase):
    def test_stable_window_follows_a_fault(self):
        disturbances = self.ledger.disturbances
        spans = disturbances.begin(['node-1'], 10.0)
        disturbances.end(spans, 11.0)
        self.assertFalse(disturbances.is_calm(['node-1'], 13.9, 14.0))
        self.assertTrue(disturbances.is_calm(['node-1'], 14.1, 15.0))
        self.assertTrue(disturbances.is_calm(['node-2'], 10.0, 11.0))

    def test_overlapping_faults_end_apart(self):
        disturbances = self.ledger.disturbances
        spans = disturbances.begin([CORE], 10.0)
        disturbances.begin([CORE], 10.5)
        disturbances.end(spans, 11.0)
        self.assertFalse(disturbances.is_calm([CORE], 20.0, 21.0))
