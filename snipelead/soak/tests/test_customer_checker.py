import random

import msgspec
from testtools import TestCase

from snipelead.emulator.platform_client import Attempt
from snipelead.emulator.platform_client import Response
from snipelead.emulator.platform_target import StartedRequest
from snipelead.soak.checker import HistoryChecker
from snipelead.soak.customers import draw_api_key
from snipelead.soak.customers import draw_fields
from snipelead.soak.customers import make_customers
from snipelead.soak.customers import max_runs_in_window
from snipelead.soak.customers import QUOTA_WINDOW_S
from snipelead.soak.customers import REVOCATION_S
from snipelead.soak.customers import ROTATION_PERIOD_S
from snipelead.soak.exceptions import GuaranteeViolationError
from snipelead.soak.records import Execution
from snipelead.soak.records import ReleaseRecord
from snipelead.soak.records import RequestRecord

KEPT = {'kept': 'steady', 'slow': 'limited'}
SERVICES_BY_PREFIX = {'/reads/': ('reads',), '/moves/': ('reads',)}


class CustomerCheckerCase(TestCase):
    def setUp(self):
        super().setUp()
        self.now = 100.0
        self.checker = HistoryChecker(lambda: self.now)
        self.add_release(1, 1.0, **KEPT, removed='steady')

    def add_release(self, number, acked_at, **holders_by_key):
        release = ReleaseRecord(
            number,
            number - 1,
            b'',
            SERVICES_BY_PREFIX,
            acked_at - 0.1,
            acked_at,
            holders_by_key=holders_by_key,
        )
        self.checker.releases.append(release)
        return release

    def send(self, api_key, prefix='/reads/'):
        number = len(self.checker.requests)
        record = RequestRecord(
            f'a{number}',
            f'{prefix}{number}',
            prefix,
            True,
            'node-1',
            'orders',
            1,
            self.now,
            30.0,
            20.0,
            api_key=api_key,
        )
        self.checker.record_sent(record, ('reads',))
        return record

    def execute(self, record, customers=('steady',), api_keys=()):
        self.checker.record_execution(
            StartedRequest(
                record.attempt_id,
                record.path,
                'orders',
                900,
                customers,
                api_keys,
            ),
            Execution('t1', 'reads', self.now),
        )

    def deny(self, record):
        self.checker.record_response(record, Response(401))

    def assert_violation(self, rule, function, *args, **kwargs):
        error = self.assertRaises(
            GuaranteeViolationError, function, *args, **kwargs
        )
        self.assertTrue(str(error).find(rule) >= 0, error)


class CustomerNameTest(CustomerCheckerCase):
    def test_name_of_holder_passes(self):
        self.execute(self.send('kept'))
        self.execute(self.send('slow'), ('limited',))
        self.execute(self.send('kept', '/moves/'), ())
        self.execute(self.send(None, '/moves/'), ())

    def test_key_at_target(self):
        self.assert_violation(
            'CUSTOMER', self.execute, self.send('kept'), api_keys=('kept',)
        )

    def test_key_at_target_of_public_route(self):
        record = self.send('kept', '/moves/')
        self.assert_violation(
            'CUSTOMER', self.execute, record, (), api_keys=('kept',)
        )

    def test_wrong_names(self):
        # A name that the caller stated may come instead of, or beside, the
        # name of the holder.
        for names in ((), ('limited',), ('steady', 'false-customer')):
            self.assert_violation(
                'CUSTOMER', self.execute, self.send('kept'), names
            )

    def test_name_on_public_route(self):
        record = self.send('kept', '/moves/')
        self.assert_violation('CUSTOMER', self.execute, record, ('steady',))

    def test_execution_with_unknown_key(self):
        record = self.send('unknown')
        self.assert_violation('CUSTOMER', self.execute, record, ())

    def test_execution_without_key(self):
        self.assert_violation('CUSTOMER', self.execute, self.send(None), ())

    def test_releases_without_customers_pass(self):
        self.checker.releases[0].holders_by_key.clear()
        self.execute(self.send('any'), ('any',), ('any',))


class RevocationTest(CustomerCheckerCase):
    def setUp(self):
        super().setUp()
        self.removal = self.add_release(2, 50.0, **KEPT)

    def test_request_sent_before_bound_passes(self):
        self.now = 50.0 + REVOCATION_S - 0.1
        record = self.send('removed')
        # The time at which it was sent counts, also if it waits for long.
        self.now += 10.0
        self.execute(record)

    def test_request_sent_after_bound(self):
        self.now = 50.0 + REVOCATION_S + 0.1
        record = self.send('removed')
        self.assert_violation('REVOKED', self.execute, record)

    def test_faults_of_node_do_not_extend_bound(self):
        self.checker.disturbances.begin_fault(['node-1'], 49.0)
        self.assert_violation('REVOKED', self.execute, self.send('removed'))

    def test_unacknowledged_removal_passes(self):
        self.removal.acked_at = float('inf')
        self.execute(self.send('removed'))

    def test_key_that_was_added_again_passes(self):
        self.add_release(3, 99.0, **KEPT, removed='steady')
        self.execute(self.send('removed'))

    def test_refused_release_does_not_add_key(self):
        release = self.add_release(3, float('inf'), removed='steady')
        release.sent_at, release.refused = 99.0, True
        self.assert_violation('REVOKED', self.execute, self.send('removed'))


class DenialTest(CustomerCheckerCase):
    def test_denial_of_key_in_all_releases(self):
        self.add_release(2, 50.0, **KEPT)
        self.assert_violation('DENIED', self.deny, self.send('kept'))

    def test_denial_on_public_route(self):
        record = self.send(None, '/moves/')
        self.assert_violation('DENIED', self.deny, record)

    def test_denial_of_other_keys_passes(self):
        self.add_release(2, 50.0, **KEPT)
        for key in ('removed', 'unknown', None):
            self.deny(self.send(key))


class QuotaTest(CustomerCheckerCase):
    def execute_evenly(self, number, api_key='slow', customer='limited'):
        for _ in range(number):
            self.execute(self.send(api_key), (customer,))
            self.now += 0.9 * QUOTA_WINDOW_S / number

    def test_runs_at_bound_pass(self):
        self.execute_evenly(max_runs_in_window())
        self.checker.customers.check_end()

    def test_runs_above_bound(self):
        self.now += 20.0
        self.execute_evenly(max_runs_in_window() + 1)
        self.assert_violation('QUOTA', self.checker.check_end, 1)

    def test_runs_above_bound_in_two_windows_pass(self):
        self.execute_evenly(max_runs_in_window())
        self.now += QUOTA_WINDOW_S
        self.execute_evenly(max_runs_in_window())
        self.checker.customers.check_end()

    def test_runs_of_other_customers_pass(self):
        self.execute_evenly(2 * max_runs_in_window(), 'kept', 'steady')
        self.checker.customers.check_end()

    def test_bound(self):
        # (10 a second * 5 s + 5) * 1.1 + 20, rounded down.
        self.assertEqual(80, max_runs_in_window())


class CustomersTest(TestCase):
    def test_rotating_keys_stay_removed_beyond_bound(self):
        # A removal that does not last until the bound is never checked.
        present_at = {}
        for step in range(1_000):
            now = step * 0.1
            for customer in make_customers(now):
                for key in customer.api_keys:
                    present_at.setdefault(key, []).append(now)
        removed = [k for k, times in present_at.items() if len(times) < 1_000]  # noqa: PLR2004
        self.assertEqual(3, len(removed))
        for key in removed:
            times = present_at[key]
            gaps = [b - a for a, b in zip(times, times[1:], strict=False)]
            self.assertTrue(max(gaps) > REVOCATION_S + ROTATION_PERIOD_S)

    def test_requests_have_all_kinds_of_keys(self):
        rng = random.Random(1)
        keys = {draw_api_key(rng) for _ in range(2_000)}
        held = {
            k for t in (0, 4, 8) for c in make_customers(t) for k in c.api_keys
        }
        self.assertEqual(set(), held - keys)
        self.assertIn(None, keys)
        self.assertEqual(2, len(keys - held - {None}))

    def test_fields_of_request(self):
        rng = random.Random(1)
        fields = {draw_fields(rng, 'k') for _ in range(100)}
        false_customer = ('Tenant', 'false-customer')
        self.assertEqual(
            {
                (('Credential', 'k'),),
                (('Credential', 'k'), false_customer),
            },
            fields,
        )
        attempt = Attempt('a', 'GET', 'h', '/', 1, b'', (false_customer,))
        self.assertIn(b'\r\nTenant: false-customer\r\n', attempt.encode())
        plain = msgspec.structs.replace(attempt, fields=())
        self.assertTrue(plain.encode().find(b'Tenant') < 0)
