import copy
import json

import msgspec
from testtools import ExpectedException
from testtools import TestCase
import trio

from snipelead.callers.exceptions import BadRequestError
from snipelead.http.message import Message
from snipelead.platform.configuration import decode_configuration
from snipelead.platform.exceptions import UnreadableConfigurationError
from snipelead.platform.exceptions import UnreadableHeartbeatError
from snipelead.platform.heartbeats import decode_heartbeat
from snipelead.platform.protocols import PlatformCallerProtocol
from snipelead.platform.rollouts import handle_rollouts
from snipelead.platform.rollouts import ROLLOUTS_PATH
from snipelead.platform.tests.test_configuration import DOCUMENT


class ExtremeDeadlineTest(TestCase):
    """Guards against an uncaught error for a deadline that is infinite."""

    def check_rejected(self, deadline):
        request = Message(None)
        request.fields[b'deadline-ms'] = deadline
        protocol = PlatformCallerProtocol(lambda: 'stock')
        with ExpectedException(BadRequestError):
            protocol.read_options(request)

    def test_infinite_deadline_is_a_bad_request(self):
        self.check_rejected(b'inf')

    def test_deadline_beyond_the_range_of_floats_is_a_bad_request(self):
        self.check_rejected(b'1e400')


class ExtremeDurationTest(TestCase):
    """Guards against an uncaught error for a duration of 400 digits."""

    def test_configuration_with_huge_duration_is_unreadable(self):
        document = copy.deepcopy(DOCUMENT)
        document['limits']['idle-timeout'] = '9' * 400 + 'ms'
        body = msgspec.json.encode(document)
        with ExpectedException(UnreadableConfigurationError):
            decode_configuration(body)

    def test_configuration_with_finite_but_huge_duration_is_unreadable(self):
        document = copy.deepcopy(DOCUMENT)
        document['limits']['idle-timeout'] = '9' * 300 + 'ms'
        body = msgspec.json.encode(document)
        with ExpectedException(UnreadableConfigurationError):
            decode_configuration(body)


class ExtremeIntegerTest(TestCase):
    """Guards against an uncaught error for an integer of 31 digits."""

    def check_unreadable(self, part, key):
        part[key] = 10**30
        with ExpectedException(UnreadableConfigurationError):
            decode_configuration(json.dumps(self.document).encode())

    def setUp(self):
        super().setUp()
        self.document = copy.deepcopy(DOCUMENT)

    def test_configuration_with_huge_connection_limit_is_unreadable(self):
        self.check_unreadable(self.document['services'][0], 'max-connections')

    def test_configuration_with_huge_header_limit_is_unreadable(self):
        self.check_unreadable(self.document['limits'], 'max-header-bytes')

    def test_configuration_with_huge_priority_is_unreadable(self):
        path = self.document['virtual-hosts'][0]['paths'][0]
        self.check_unreadable(path, 'priority')

    def test_configuration_with_huge_number_of_attempts_is_unreadable(self):
        path = self.document['virtual-hosts'][0]['paths'][0]
        self.check_unreadable(path, 'max-attempts')


class ExtremeWeightTest(TestCase):
    """Guards against an uncaught error for a weight of 401 digits."""

    def test_weight_beyond_the_range_of_floats_is_unreadable(self):
        document = copy.deepcopy(DOCUMENT)
        path = document['virtual-hosts'][0]['paths'][0]
        path.pop('service', None)
        service = document['services'][0]['name']
        path['traffic-split'] = [{'service': service, 'weight': 10**400}]
        with ExpectedException(UnreadableConfigurationError):
            decode_configuration(json.dumps(document).encode())


class ExtremeHeartbeatTest(TestCase):
    """A number too large for the next poll ended the node's process."""

    def make_heartbeat(self, slots=6, sequence=1, started_ms=1):
        return json.dumps(
            {
                'address': '10.1.0.9:8080',
                'info': {
                    'service': 'stock',
                    'zone': 'a',
                    'slots': slots,
                    'version': 'v1',
                },
                'status': {
                    'state': 'ready',
                    'seq': sequence,
                    'cold-remaining': '0ms',
                },
                'born': started_ms,
            }
        ).encode()

    def test_numbers_that_cannot_be_passed_on_are_unreadable(self):
        for field in ('slots', 'sequence', 'started_ms'):
            for number in (10**30, 2**63, -1, -(10**30)):
                body = self.make_heartbeat(**{field: number})
                with ExpectedException(UnreadableHeartbeatError):
                    decode_heartbeat('t', body)

    def test_largest_numbers_can_be_passed_on(self):
        body = self.make_heartbeat(2**63 - 1, 2**63 - 1, 2**63 - 1)
        msgspec.msgpack.encode(decode_heartbeat('t', body))


class NestingTest(TestCase):
    """Guards against an uncaught error for a document nested too deeply."""

    nested = b'{"x":' * 100_000

    def test_heartbeat_nested_too_deeply_is_unreadable(self):
        with ExpectedException(UnreadableHeartbeatError):
            decode_heartbeat('t', self.nested)

    def test_configuration_nested_too_deeply_is_unreadable(self):
        with ExpectedException(UnreadableConfigurationError):
            decode_configuration(self.nested)

    def test_rollout_nested_too_deeply_is_invalid(self):
        response = trio.run(
            handle_rollouts, None, b'POST', ROLLOUTS_PATH, self.nested
        )
        self.assertEqual(400, response.status)
