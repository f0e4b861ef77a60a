from contextlib import suppress

import msgspec
from testtools import TestCase

from snipelead.emulator.platform_client import Response
from snipelead.emulator.platform_operator import encode_release
from snipelead.emulator.platform_operator import RouteSpec
from snipelead.emulator.platform_target import StartedRequest
from snipelead.soak.checker import HistoryChecker
from snipelead.soak.disturbances import ANY_CONTROL
from snipelead.soak.exceptions import GuaranteeViolationError
from snipelead.soak.records import Execution
from snipelead.soak.records import ReleaseRecord
from snipelead.soak.records import RequestRecord

ROUTES = {'/reads/': 'reads', '/orders/': 'orders', '/moves/': 'reads'}


def make_release(number, base, sent_at=0.0, **changes):
    service_by_prefix = {**ROUTES, f'/marker-{number}/': 'reads', **changes}
    routes = [RouteSpec(p, s) for p, s in service_by_prefix.items()]
    services_by_prefix = {route.prefix: route.services for route in routes}
    body = encode_release(number, base, 'h', routes, ('reads', 'orders'))
    return ReleaseRecord(number, base, body, services_by_prefix, sent_at)


class HistoryCheckerCase(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.checker = HistoryChecker(lambda: self.now)
        self.first_release = make_release(1, 0)
        self.checker.releases.append(self.first_release)
        self.checker.record_submit_response(self.first_release, 200)
        self.first_release.acked_at = 1.0

    def add_acknowledged_release(self, number, base, acked_at, **changes):
        release = make_release(number, base, acked_at - 0.1, **changes)
        self.checker.releases.append(release)
        release.acked_at = acked_at
        return release

    def send_request(self, prefix='/reads/', repeatable=True, attempt_id='a1'):
        record = RequestRecord(
            attempt_id,
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
        self.checker.record_sent(record, ('reads',))
        return record

    def execute(self, record, target='t1', service='reads', **changes):
        target_request = StartedRequest(
            record.attempt_id, record.path, 'orders', 900
        )
        self.checker.record_execution(
            msgspec.structs.replace(target_request, **changes),
            Execution(target, service, self.now),
        )

    def assert_violation(self, rule, function, *args, **kwargs):
        error = self.assertRaises(
            GuaranteeViolationError, function, *args, **kwargs
        )
        self.assertTrue(str(error).find(rule) >= 0, error)

    def respond(self, record, status=200, body=None, sealed=True):
        if body is None:
            body = b'answer to ' + record.attempt_id.encode()
        self.checker.record_response(record, Response(status, body, sealed))


class RequestTest(HistoryCheckerCase):
    def test_executed_request_passes(self):
        record = self.send_request()
        self.execute(record)
        self.respond(record)
        self.checker.check_end(1)

    def test_second_execution_of_non_repeatable_request(self):
        record = self.send_request('/orders/', repeatable=False)
        self.execute(record, service='orders')
        self.assert_violation('TWICE', self.execute, record, 't2', 'orders')

    def test_not_run_status_after_execution(self):
        record = self.send_request('/orders/', repeatable=False)
        self.execute(record, service='orders')
        self.assert_violation('REFUSED', self.respond, record, 503, b'', False)

    def test_execution_after_not_run_status(self):
        record = self.send_request('/orders/', repeatable=False)
        self.respond(record, 503, b'', False)
        self.assert_violation('REFUSED', self.execute, record, 't1', 'orders')

    def test_response_of_another_request(self):
        record = self.send_request()
        self.execute(record)
        self.assert_violation(
            'MIXED', self.respond, record, body=b'answer to a2'
        )

    def test_response_without_execution(self):
        self.assert_violation('MIXED', self.respond, self.send_request())

    def test_execution_of_unsent_request(self):
        record = self.send_request()
        self.assert_violation('UNASKED', self.execute, record, path='/reads/2')
        self.assert_violation('UNASKED', self.execute, record, origin='reads')

    def test_deadline_longer_than_that_of_client(self):
        self.assert_violation(
            'BUDGET', self.execute, self.send_request(), left_ms=3_600
        )

    def test_execution_by_service_of_no_release(self):
        record = self.send_request()
        self.checker.disturbances.begin_fault([ANY_CONTROL], self.now)
        self.assert_violation('ROUTE', self.execute, record, service='orders')

    def test_route_of_older_release(self):
        self.add_acknowledged_release(
            2, 1, self.now - 2.5, **{'/moves/': 'orders'}
        )
        record = self.send_request('/moves/')
        self.assert_violation('CONFIG', self.execute, record, service='reads')

    def test_route_of_older_release_within_apply_time_passes(self):
        self.add_acknowledged_release(
            2, 1, self.now - 1.5, **{'/moves/': 'orders'}
        )
        self.execute(self.send_request('/moves/'), service='reads')

    def test_denied_request_of_known_route(self):
        self.assert_violation(
            'DENIED', self.respond, self.send_request(), 404, b'', False
        )

    def test_execution_after_target_left(self):
        self.checker.record_leave_acknowledged('t1')
        self.now += 2.1
        self.assert_violation('DRAIN', self.execute, self.send_request())

    def test_executed_request_lost_in_planned_stop(self):
        record = self.send_request()
        self.execute(record)
        self.assert_violation(
            'LOST',
            self.checker.record_connection_loss,
            record,
            fault_free=True,
        )

    def test_request_crossing_connection_close_passes(self):
        record = self.send_request()
        self.now += 0.1
        self.checker.record_connection_loss(record, fault_free=True)

    def test_retries_above_budget(self):
        for number in range(200):
            record = self.send_request(attempt_id=f'a{number}')
            self.execute(record)
            if number < 105:
                self.execute(record, 't2')
        self.assert_violation('BUDGET', self.checker.check_end, 1)


class ReleaseTest(HistoryCheckerCase):
    def test_two_acknowledged_releases_on_one_base(self):
        competing_release = make_release(2, 0)
        self.checker.releases.append(competing_release)
        self.assert_violation(
            'CONFIG',
            self.checker.record_submit_response,
            competing_release,
            200,
        )

    def test_acknowledged_invalid_release(self):
        release = make_release(2, 1)
        release.valid = False
        self.assert_violation(
            'CONFIG', self.checker.record_submit_response, release, 200
        )

    def test_refused_resubmission_of_acknowledged_release(self):
        self.assert_violation(
            'CONFIG',
            self.checker.record_submit_response,
            self.first_release,
            412,
        )

    def test_read_of_superseded_release(self):
        self.add_acknowledged_release(2, 1, self.now - 2.5)
        self.assert_violation(
            'CONFIG',
            self.checker.record_read,
            self.now,
            1,
            self.first_release.body,
        )

    def test_read_of_release_with_other_content(self):
        document = msgspec.json.decode(self.first_release.body)
        document['virtual-hosts'][0]['paths'].pop()
        body = msgspec.json.encode(document)
        self.assert_violation(
            'CONFIG', self.checker.record_read, self.now, 1, body
        )

    def test_node_returning_to_older_release(self):
        self.add_acknowledged_release(2, 1, self.now)
        self.checker.disturbances.begin_fault([ANY_CONTROL], self.now)
        self.checker.record_probe(self.send_request('/marker-2/'), 2, True)
        self.now += 0.3
        self.assert_violation(
            'CONFIG',
            self.checker.record_probe,
            self.send_request('/marker-1/'),
            1,
            True,
        )

    def test_node_not_applying_newest_release(self):
        self.add_acknowledged_release(2, 1, self.now - 2.5)
        self.assert_violation(
            'CONFIG',
            self.checker.record_probe,
            self.send_request('/marker-2/'),
            2,
            False,
        )

    def test_disturbed_node_may_apply_release_late(self):
        self.add_acknowledged_release(2, 1, self.now - 2.5)
        self.checker.disturbances.begin_fault(['node-1'], self.now)
        self.checker.record_probe(self.send_request('/marker-2/'), 2, False)

    def test_violation_that_a_target_swallowed_is_raised_at_the_end(self):
        """The command reported such a run as passed."""
        record = self.send_request('/reads/')
        request = StartedRequest('unsent', record.path, 'reads', 10)
        with suppress(GuaranteeViolationError):
            self.checker.record_execution(request, Execution('t', 'reads', 1))
        self.assert_violation('UNASKED', self.checker.check_end, 1)

    def test_acknowledged_release_missing_at_end(self):
        self.add_acknowledged_release(2, 1, self.now)
        self.assert_violation('CONFIG', self.checker.check_end, 1)


class DisturbancesTest(HistoryCheckerCase):
    def test_machine_is_disturbed_until_stabilization(self):
        disturbances = self.checker.disturbances
        spans = disturbances.begin_fault(['node-1'], 10.0)
        disturbances.end_fault(spans, 11.0)
        self.assertFalse(disturbances.is_undisturbed(['node-1'], 13.9, 14.0))
        self.assertTrue(disturbances.is_undisturbed(['node-1'], 14.1, 15.0))
        self.assertTrue(disturbances.is_undisturbed(['node-2'], 10.0, 11.0))

    def test_overlapping_faults_end_independently(self):
        disturbances = self.checker.disturbances
        spans = disturbances.begin_fault([ANY_CONTROL], 10.0)
        disturbances.begin_fault([ANY_CONTROL], 10.5)
        disturbances.end_fault(spans, 11.0)
        self.assertFalse(
            disturbances.is_undisturbed([ANY_CONTROL], 20.0, 21.0)
        )
