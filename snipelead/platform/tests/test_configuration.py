import copy

import msgspec
from testtools import ExpectedException
from testtools import TestCase

from snipelead.platform.configuration import decode_configuration
from snipelead.platform.configuration import encode_configuration
from snipelead.platform.exceptions import UnreadableConfigurationError
from snipelead.releases.checks import check_release
from snipelead.releases.delta import apply_delta
from snipelead.releases.delta import make_delta
from snipelead.releases.document import AUTHENTICATION_SETTING
from snipelead.releases.document import Customer
from snipelead.releases.exceptions import DanglingReferenceError
from snipelead.releases.exceptions import InvalidNoteError

DOCUMENT = {
    'version': '00000007',
    'services': [
        {
            'name': 'huvo11a',
            'health-path': '/health',
            'max-connections': 110,
            'protocol': 'h1',
            'tls': False,
        },
        {
            'name': 'wuno96b',
            'health-path': '/health',
            'max-connections': 110,
            'protocol': 'h1',
            'tls': False,
        },
    ],
    'limits': {
        'max-header-bytes': 16384,
        'max-body-bytes': 67108864,
        'header-timeout': '3000ms',
        'idle-timeout': '15000ms',
    },
    'base-version': '00000005',
    'virtual-hosts': [
        {
            'host': 'ficu95.example',
            'paths': [
                {
                    'name': 'r-hh2b9wu',
                    'path-prefix': '/pufi791/',
                    'kind': 'unsafe',
                    'timeout': '1000ms',
                    'target-latency': '400ms',
                    'priority': 1,
                    'service': 'huvo11a',
                    'max-attempts': 2,
                },
                {
                    'name': 'r-zji9n73',
                    'path-prefix': '/lohu930/',
                    'kind': 'safe',
                    'timeout': '800ms',
                    'target-latency': '300ms',
                    'priority': 2,
                    'traffic-split': [
                        {'service': 'huvo11a', 'weight': 90},
                        {'service': 'wuno96b', 'weight': 10},
                    ],
                    'max-attempts': 2,
                },
            ],
        }
    ],
}


class ConfigurationTest(TestCase):
    def setUp(self):
        super().setUp()
        self.document = copy.deepcopy(DOCUMENT)

    @property
    def paths(self):
        return self.document['virtual-hosts'][0]['paths']

    def decode(self):
        replacement = decode_configuration(msgspec.json.encode(self.document))
        check_release(replacement.release)
        return replacement

    def check_invalid(self, error=UnreadableConfigurationError):
        with ExpectedException(error):
            self.decode()

    def test_encoding_restores_the_decoded_document(self):
        release = self.decode().release
        self.assertEqual(
            DOCUMENT, msgspec.json.decode(encode_configuration(release))
        )

    def test_encoding_after_a_delta(self):
        before = self.decode().release
        self.document['version'] = '0000000a'
        self.document['base-version'] = '00000007'
        self.paths[0]['timeout'] = '1500ms'
        after = self.decode().release
        patched = apply_delta(before, make_delta(before, after))
        self.assertEqual(
            self.document, msgspec.json.decode(encode_configuration(patched))
        )

    def test_release_numbers(self):
        replacement = self.decode()
        self.assertEqual(
            (7, 5), (replacement.release.number, replacement.base)
        )

    def test_only_safe_routes_are_repeatable(self):
        routes = self.decode().release.routes
        self.assertFalse(routes['r-hh2b9wu'].repeatable)
        self.assertTrue(routes['r-zji9n73'].repeatable)

    def test_routes_of_two_hosts_may_share_a_name(self):
        other = copy.deepcopy(self.document['virtual-hosts'][0])
        other['host'] = 'other.example'
        self.document['virtual-hosts'].append(other)
        release = self.decode().release
        self.assertEqual(4, len(release.routes))
        self.assertEqual(
            self.document, msgspec.json.decode(encode_configuration(release))
        )

    def add_tenants(self):
        for path in self.paths:
            path['public'] = False
        self.paths[1]['public'] = True
        self.document['tenants'] = [
            {
                'name': 'bozi300',
                'api-keys': ['dedev3nax7u27gxprymh', '2rrytapjsujqurtyiikd'],
                'priority': 1,
                'rate-per-s': 326,
                'burst': 326,
            },
            {'name': 'leka610', 'api-keys': []},
        ]

    def test_encoding_restores_tenants_and_public_routes(self):
        self.add_tenants()
        release = self.decode().release
        self.assertEqual(
            self.document, msgspec.json.decode(encode_configuration(release))
        )

    def test_tenants_become_customers(self):
        self.add_tenants()
        release = self.decode().release
        self.assertTrue(release.settings[AUTHENTICATION_SETTING].value)
        self.assertEqual(
            Customer(
                'bozi300',
                ('dedev3nax7u27gxprymh', '2rrytapjsujqurtyiikd'),
                1,
                326.0,
                326.0,
            ),
            release.customers['bozi300'],
        )
        self.assertIsNone(release.customers['leka610'].priority)
        self.assertTrue(release.routes['r-zji9n73'].public)
        self.assertFalse(release.routes['r-hh2b9wu'].public)

    def test_empty_list_of_tenants_still_requires_keys(self):
        # Removing the last customer must not open the routes to everybody.
        self.document['tenants'] = []
        release = self.decode().release
        self.assertIn(AUTHENTICATION_SETTING, release.settings)
        encoded = msgspec.json.decode(encode_configuration(release))
        self.assertEqual([], encoded['tenants'])

    def test_configuration_without_tenants_requires_no_keys(self):
        self.assertNotIn(
            AUTHENTICATION_SETTING, self.decode().release.settings
        )

    def test_key_of_two_tenants_is_rejected_and_not_shown(self):
        self.add_tenants()
        self.document['tenants'][1]['api-keys'] = ['2rrytapjsujqurtyiikd']
        error = self.assertRaises(InvalidNoteError, self.decode)
        self.assertNotIn('2rrytapjsujqurtyiikd', str(error.to_info()))

    def test_tenant_listed_twice_is_rejected(self):
        self.add_tenants()
        self.document['tenants'][1]['name'] = 'bozi300'
        self.check_invalid()

    def test_negative_rate_is_rejected(self):
        self.add_tenants()
        self.document['tenants'][0]['rate-per-s'] = -1
        self.check_invalid(InvalidNoteError)

    def test_removed_key_reaches_a_node_as_a_delta(self):
        self.add_tenants()
        before = self.decode().release
        self.document['version'] = '0000000a'
        self.document['base-version'] = '00000007'
        del self.document['tenants'][0]['api-keys'][0]
        after = self.decode().release
        delta = make_delta(before, after)
        self.assertEqual(1, len(delta.customers))
        self.assertEqual((), delta.routes)
        patched = apply_delta(before, delta)
        self.assertEqual(after.customers, patched.customers)

    def test_truncated_documents_are_rejected(self):
        body = msgspec.json.encode(self.document)
        for size in range(0, len(body), 37):
            with ExpectedException(UnreadableConfigurationError):
                decode_configuration(body[:size])

    def test_unknown_service_is_rejected(self):
        self.paths[0]['service'] = 'nobody'
        self.check_invalid(DanglingReferenceError)

    def test_unknown_service_in_a_split_is_rejected(self):
        self.paths[1]['traffic-split'][1]['service'] = 'nobody'
        self.check_invalid(DanglingReferenceError)

    def test_unknown_service_beside_a_split_is_rejected(self):
        self.paths[1]['service'] = 'nobody'
        self.check_invalid(DanglingReferenceError)

    def test_negative_weight_is_rejected(self):
        self.paths[1]['traffic-split'][1]['weight'] = -1
        self.check_invalid(InvalidNoteError)

    def test_zero_weight_is_allowed(self):
        self.paths[1]['traffic-split'][1]['weight'] = 0
        self.decode()

    def test_zero_timeout_is_rejected(self):
        self.paths[0]['timeout'] = '0ms'
        self.check_invalid()

    def test_latency_objective_is_limited_by_the_timeout(self):
        self.paths[0]['target-latency'] = '61000ms'
        self.check_invalid()
        self.paths[0]['target-latency'] = '60.9s'
        self.decode()

    def test_values_of_wrong_types_are_rejected(self):
        for key, value in (
            ('version', 7),
            ('version', '7'),
            ('services', {}),
            ('limits', None),
            ('virtual-hosts', 'none'),
        ):
            self.document = copy.deepcopy(DOCUMENT)
            self.document[key] = value
            self.check_invalid()

    def test_missing_fields_are_rejected(self):
        for key in DOCUMENT:
            self.document = copy.deepcopy(DOCUMENT)
            del self.document[key]
            self.check_invalid()

    def test_route_without_service_is_rejected(self):
        del self.paths[0]['service']
        self.check_invalid()

    def test_unknown_fields_are_ignored(self):
        self.paths[0]['comment'] = 'new'
        self.decode()
